// Package fresh decides whether an instance may act on the configuration it
// holds, and when a revision is accepted.
//
// Freshness is derived from evidence (b, r), which works like a lease: no
// revision newer than r is accepted before b + Window, provided that the
// instance with the evidence is a member of revision r or a member recorded
// that it granted the evidence to a non-member. Evidence comes from a read of
// the table's head that started at b, from a member that holds evidence of
// known age, or from a majority of the membership of r that was asked at b and
// knows no newer revision. docs/decisions-state.md explains why the protocol is
// safe; spec/freshness.pml is its model.
package fresh

import "time"

// Window is how long evidence is valid. It bounds how long a partitioned
// instance accepts a revoked key.
const Window = 2 * time.Second

// Margin covers the drift between the monotonic clocks of two instances over
// one Window; 50 ms is 2.5%, far more than oscillators differ.
const Margin = 50 * time.Millisecond

// Params are the periods of the protocol.
type Params struct {
	Window time.Duration
	Margin time.Duration
}

// DefaultParams returns the production periods, Window and Margin.
func DefaultParams() Params { return Params{Window: Window, Margin: Margin} }

// Tracker tracks the freshness of one instance. All times are readings of the
// instance's own monotonic clock. A Tracker is not safe for concurrent use.
type Tracker struct {
	params Params

	hasState bool
	member   bool // the running incarnation is a member of the held revision
	revision uint64

	evidenceStart time.Duration // start of the newest evidence
	hasEvidence   bool
	pending       evidence // evidence about a revision that is not held yet
	// The last statements to non-members while the instance held the current
	// revision and while it held an older one.
	lastGrant, lastOlderGrant grant
}

// grant is a statement to a non-member, which may rely on it for one Window.
type grant struct {
	at    time.Duration
	valid bool
}

// evidence states that no revision newer than revision is accepted before
// start + Window.
type evidence struct {
	start       time.Duration
	revision    uint64
	membersOnly bool // usable only by members of the held revision
	valid       bool
}

// NewTracker returns the tracker of an instance that holds no revision yet.
func NewTracker(p Params) *Tracker { return &Tracker{params: p} }

// SetRevision records that the instance holds a revision and whether it is a
// member of it. It ignores a revision older than the held one and returns false.
func (t *Tracker) SetRevision(revision uint64, member bool) bool {
	if t.hasState && revision < t.revision {
		return false
	}
	if revision > t.revision && t.lastGrant.valid {
		t.lastOlderGrant, t.lastGrant = t.lastGrant, grant{}
	}
	if t.member && !member {
		// Once the removal is accepted, later revisions are accepted without
		// this instance's acknowledgement.
		t.hasEvidence = false
	}
	t.hasState = true
	t.revision = revision
	t.member = member
	if e := t.pending; e.valid && e.revision <= revision {
		t.pending = evidence{}
		t.recordEvidence(e)
	}
	return true
}

// RecordHead records that a read of the table's head, started at sent, returned
// the revision. A non-member doesn't become fresh by it, because revisions are
// accepted without a non-member's acknowledgement.
func (t *Tracker) RecordHead(sent time.Duration, revision uint64) {
	t.recordEvidence(evidence{start: sent, revision: revision, membersOnly: true, valid: true})
}

// RecordRelayed records that a member, asked at sent, returned evidence of the
// given age about the revision. A negative age is ignored.
func (t *Tracker) RecordRelayed(sent, age time.Duration, revision uint64) {
	if age < 0 {
		return
	}
	t.recordEvidence(evidence{start: sent - age, revision: revision, valid: true})
}

// RecordMajority records that a majority of the membership of the revision, in a
// poll started at sent, knew no newer revision.
func (t *Tracker) RecordMajority(sent time.Duration, revision uint64) {
	t.recordEvidence(evidence{start: sent, revision: revision, valid: true})
}

// recordEvidence applies evidence about the held revision and stores evidence
// about a newer one until that is held. Evidence about an older revision is
// usable only by members of the held revision, because the next revision is
// accepted only after their acknowledgement or the end of their window.
func (t *Tracker) recordEvidence(e evidence) {
	switch {
	case t.hasState && e.revision == t.revision:
		t.applyEvidence(e)
	case t.hasState && e.revision < t.revision:
		e.membersOnly = true
		t.applyEvidence(e)
	default:
		if !t.pending.valid || e.revision > t.pending.revision || e.start > t.pending.start {
			t.pending = e
		}
	}
}

func (t *Tracker) applyEvidence(e evidence) {
	if e.membersOnly && !t.member {
		return
	}
	if !t.hasEvidence || e.start > t.evidenceStart {
		t.evidenceStart, t.hasEvidence = e.start, true
	}
}

// Revision returns the held revision.
func (t *Tracker) Revision() uint64 { return t.revision }

// HasState reports whether the instance holds any revision.
func (t *Tracker) HasState() bool { return t.hasState }

// IsMember reports whether the instance is a member of the revision it holds.
func (t *Tracker) IsMember() bool { return t.hasState && t.member }

// FreshUntil returns the time at which freshness ends; ok is false when the
// instance has no evidence.
func (t *Tracker) FreshUntil() (until time.Duration, ok bool) {
	return t.evidenceStart + t.params.Window, t.hasState && t.hasEvidence
}

// Fresh reports whether the instance may authorize requests at time now.
func (t *Tracker) Fresh(now time.Duration) bool {
	until, ok := t.FreshUntil()
	return ok && now < until
}

// EvidenceAge returns the age of the newest evidence at time now. Statements
// carry it, so that relayed evidence keeps its original start.
func (t *Tracker) EvidenceAge(now time.Duration) time.Duration { return now - t.evidenceStart }

// Statement is the answer of an instance to another one about its revision and
// freshness.
type Statement struct {
	Revision      uint64
	Member        bool // the sender is a member of Revision and counts in majorities
	Fresh         bool
	Age           time.Duration // age of the evidence, set when Fresh
	GrantsExpired bool          // see Tracker.GrantsExpired
}

// StatementFor returns the statement for an instance at time now; toMember says
// whether that instance is a member of the revision that both hold. Only members
// make statements about freshness. A statement to a non-member is recorded as a
// grant, because acceptance doesn't wait for a non-member's acknowledgement.
func (t *Tracker) StatementFor(now time.Duration, toMember bool) Statement {
	if !t.IsMember() {
		return Statement{Revision: t.revision, GrantsExpired: t.GrantsExpired(now)}
	}
	if !toMember {
		t.lastGrant = grant{now, true}
	}
	s := Statement{Revision: t.revision, Member: true, GrantsExpired: t.GrantsExpired(now)}
	if t.Fresh(now) {
		s.Fresh, s.Age = true, t.EvidenceAge(now)
	}
	return s
}

// GrantsExpired reports whether no non-member can still rely on a statement that
// this instance made while it held an older revision. An acknowledgement sent
// before that does not count towards unanimous acceptance.
func (t *Tracker) GrantsExpired(now time.Duration) bool {
	g := t.lastOlderGrant
	return !g.valid || now >= g.at+t.params.Window+t.params.Margin
}

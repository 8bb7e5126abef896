// Package fresh decides whether an instance may act on the configuration it
// holds, and when a revision is accepted.
//
// Everything rests on evidence (b, r): no revision newer than r is accepted
// before b + Window, provided that the holder is a member of revision r or a
// member recorded that it gave the evidence to a non-member. Evidence comes
// from a read of the table's head that started at b, from a member that holds
// evidence of known age, or from a majority of the membership of r that was
// asked at b and knows nothing newer. docs/decisions-state.md has the
// argument; spec/freshness.pml checks it.
package fresh

import "time"

// Window is how long evidence lasts. It bounds how long an instance that is cut
// off honours a revoked key.
const Window = 2 * time.Second

// Margin covers the drift between the monotonic clocks of two instances over
// one Window; 50 ms is 2.5%, far more than oscillators differ.
const Margin = 50 * time.Millisecond

// Params are the periods of the protocol.
type Params struct {
	Window time.Duration
	Margin time.Duration
}

// DefaultParams returns the periods that the design page states.
func DefaultParams() Params { return Params{Window: Window, Margin: Margin} }

// Tracker is the freshness of one instance. All times are readings of the
// instance's own monotonic clock.
type Tracker struct {
	params Params

	hasState bool
	member   bool // of the held revision, with the own incarnation
	revision uint64

	evidenceStart time.Duration // start of the newest evidence
	hasEvidence   bool
	pending       evidence // evidence about a revision that is not held yet
	// When the instance last spoke to a non-member while it held this revision,
	// and while it held an older one.
	lastGrant, lastOlderGrant grant
}

type grant struct {
	at   time.Duration
	ever bool
}

type evidence struct {
	start       time.Duration
	revision    uint64
	membersOnly bool // counts only for members
	valid       bool
}

// NewTracker returns the tracker of an instance without state.
func NewTracker(p Params) *Tracker { return &Tracker{params: p} }

// SetRevision records that the instance holds a revision and whether it is a member of
// it. A revision older than the held one is ignored and reported as false.
func (t *Tracker) SetRevision(revision uint64, member bool) bool {
	if t.hasState && revision < t.revision {
		return false
	}
	if revision > t.revision && t.lastGrant.ever {
		t.lastOlderGrant, t.lastGrant = t.lastGrant, grant{}
	}
	if t.member && !member {
		// Once the removal is accepted, nobody waits for this instance any more.
		t.hasEvidence = false
	}
	t.hasState = true
	t.revision = revision
	t.member = member
	if e := t.pending; e.valid && e.revision <= revision {
		t.pending = evidence{}
		t.addEvidence(e)
	}
	return true
}

// RecordHead records that the table's head, read from sent on, named the revision. A
// non-member gains nothing by it: nobody waits for its acknowledgement.
func (t *Tracker) RecordHead(sent time.Duration, revision uint64) {
	t.addEvidence(evidence{start: sent, revision: revision, membersOnly: true, valid: true})
}

// RecordRelayed records that a member, asked at sent, stated evidence of the given
// age about the revision.
func (t *Tracker) RecordRelayed(sent, age time.Duration, revision uint64) {
	if age < 0 {
		return
	}
	t.addEvidence(evidence{start: sent - age, revision: revision, valid: true})
}

// RecordMajority records that a majority of the membership of the revision, asked
// from sent on, knew nothing newer.
func (t *Tracker) RecordMajority(sent time.Duration, revision uint64) {
	t.addEvidence(evidence{start: sent, revision: revision, valid: true})
}

// addEvidence uses evidence about the held revision and keeps evidence about a newer
// one. Evidence about an older one counts only for members of the held
// revision: whoever accepts the next revision waits for them.
func (t *Tracker) addEvidence(e evidence) {
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

// FreshUntil returns the end of freshness; ok is false when there never was any.
func (t *Tracker) FreshUntil() (until time.Duration, ok bool) {
	return t.evidenceStart + t.params.Window, t.hasState && t.hasEvidence
}

// Fresh reports whether the instance may exercise authorizations.
func (t *Tracker) Fresh(now time.Duration) bool {
	until, ok := t.FreshUntil()
	return ok && now < until
}

// EvidenceAge returns the age of the evidence, for passing it on.
func (t *Tracker) EvidenceAge(now time.Duration) time.Duration { return now - t.evidenceStart }

// Statement is what a member tells another instance.
type Statement struct {
	Revision      uint64
	Member        bool // the speaker counts in majorities
	Fresh         bool
	Age           time.Duration // of the evidence, when Fresh
	GrantsExpired bool
}

// StatementFor answers an instance that is or is not a member of the revision that
// both hold. Only members speak; others say nothing about freshness. What is
// said to a non-member is recorded, because nobody waits for its
// acknowledgement.
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

// GrantsExpired reports whether no non-member can still rely on what this instance
// stated while it held an older revision. An acknowledgement that is not clear
// does not count towards unanimous acceptance.
func (t *Tracker) GrantsExpired(now time.Duration) bool {
	v := t.lastOlderGrant
	return !v.ever || now >= v.at+t.params.Window+t.params.Margin
}

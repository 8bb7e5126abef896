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
	p Params

	hasState bool
	member   bool // of the held revision, with the own incarnation
	revision uint64

	base    time.Duration // start of the newest evidence
	hasBase bool
	pending evidence // evidence about a revision that is not held yet
	// When the instance last spoke to a non-member while it held this revision,
	// and while it held an older one.
	vouched, vouchedOlder vouch
}

type vouch struct {
	at   time.Duration
	ever bool
}

type evidence struct {
	base     time.Duration
	revision uint64
	memberBy bool // counts only for members
	valid    bool
}

// NewTracker returns the tracker of an instance without state.
func NewTracker(p Params) *Tracker { return &Tracker{p: p} }

// Hold records that the instance holds a revision and whether it is a member of
// it. A revision older than the held one is ignored and reported as false.
func (t *Tracker) Hold(revision uint64, member bool) bool {
	if t.hasState && revision < t.revision {
		return false
	}
	if revision > t.revision && t.vouched.ever {
		t.vouchedOlder, t.vouched = t.vouched, vouch{}
	}
	if t.member && !member {
		// Once the removal is accepted, nobody waits for this instance any more.
		t.hasBase = false
	}
	t.hasState = true
	t.revision = revision
	t.member = member
	if e := t.pending; e.valid && e.revision <= revision {
		t.pending = evidence{}
		t.learn(e)
	}
	return true
}

// Head records that the table's head, read from sent on, named the revision. A
// non-member gains nothing by it: nobody waits for its acknowledgement.
func (t *Tracker) Head(sent time.Duration, revision uint64) {
	t.learn(evidence{base: sent, revision: revision, memberBy: true, valid: true})
}

// Relayed records that a member, asked at sent, stated evidence of the given
// age about the revision.
func (t *Tracker) Relayed(sent, age time.Duration, revision uint64) {
	if age < 0 {
		return
	}
	t.learn(evidence{base: sent - age, revision: revision, valid: true})
}

// Majority records that a majority of the membership of the revision, asked
// from sent on, knew nothing newer.
func (t *Tracker) Majority(sent time.Duration, revision uint64) {
	t.learn(evidence{base: sent, revision: revision, valid: true})
}

// learn uses evidence about the held revision and keeps evidence about a newer
// one. Evidence about an older one counts only for members of the held
// revision: whoever accepts the next revision waits for them.
func (t *Tracker) learn(e evidence) {
	switch {
	case t.hasState && e.revision == t.revision:
		t.use(e)
	case t.hasState && e.revision < t.revision:
		e.memberBy = true
		t.use(e)
	default:
		if !t.pending.valid || e.revision > t.pending.revision || e.base > t.pending.base {
			t.pending = e
		}
	}
}

func (t *Tracker) use(e evidence) {
	if e.memberBy && !t.member {
		return
	}
	if !t.hasBase || e.base > t.base {
		t.base, t.hasBase = e.base, true
	}
}

// Revision returns the held revision.
func (t *Tracker) Revision() uint64 { return t.revision }

// HasState reports whether the instance holds any revision.
func (t *Tracker) HasState() bool { return t.hasState }

// Member reports whether the instance is a member of the revision it holds.
func (t *Tracker) Member() bool { return t.hasState && t.member }

// Until returns the end of freshness; ok is false when there never was any.
func (t *Tracker) Until() (until time.Duration, ok bool) {
	return t.base + t.p.Window, t.hasState && t.hasBase
}

// Fresh reports whether the instance may exercise authorizations.
func (t *Tracker) Fresh(now time.Duration) bool {
	until, ok := t.Until()
	return ok && now < until
}

// Age returns the age of the evidence, for passing it on.
func (t *Tracker) Age(now time.Duration) time.Duration { return now - t.base }

// Statement is what a member tells another instance.
type Statement struct {
	Revision uint64
	Member   bool // the speaker counts in majorities
	Fresh    bool
	Age      time.Duration // of the evidence, when Fresh
	Clear    bool
}

// State answers an instance that is or is not a member of the revision that
// both hold. Only members speak; others say nothing about freshness. What is
// said to a non-member is recorded, because nobody waits for its
// acknowledgement.
func (t *Tracker) State(now time.Duration, toMember bool) Statement {
	if !t.Member() {
		return Statement{Revision: t.revision, Clear: t.Clear(now)}
	}
	if !toMember {
		t.vouched = vouch{now, true}
	}
	s := Statement{Revision: t.revision, Member: true, Clear: t.Clear(now)}
	if t.Fresh(now) {
		s.Fresh, s.Age = true, t.Age(now)
	}
	return s
}

// Clear reports whether no non-member can still rely on what this instance
// stated while it held an older revision. An acknowledgement that is not clear
// does not count towards unanimous acceptance.
func (t *Tracker) Clear(now time.Duration) bool {
	v := t.vouchedOlder
	return !v.ever || now >= v.at+t.p.Window+t.p.Margin
}

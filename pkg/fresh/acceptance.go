package fresh

import (
	"slices"
	"time"

	"github.com/fescuestep/fescuestep/pkg/config"
)

// Acceptance decides when one committed revision is accepted. It is kept by
// the instance that advances the accepted revision, on its own clock.
type Acceptance struct {
	p        Params
	revision uint64

	electorates []map[identity]bool // memberships since the last accepted revision
	acked       map[identity]bool   // value: clear
	gone        map[identity]bool   // make no statements any more
	majorityAt  time.Duration
	majority    bool
}

// NewAcceptance follows a revision. memberships are those in force at any
// revision from the last accepted one to this one, both included.
func NewAcceptance(p Params, revision uint64, memberships []config.Membership) *Acceptance {
	a := &Acceptance{p: p, revision: revision, acked: map[identity]bool{}, gone: map[identity]bool{}}
	for _, m := range memberships {
		e := make(map[identity]bool, len(m.Members))
		for _, x := range m.Members {
			e[identity{x.ID, x.Incarnation}] = true
		}
		a.electorates = append(a.electorates, e)
	}
	return a
}

// Revision returns the revision that is followed.
func (a *Acceptance) Revision() uint64 { return a.revision }

// Acknowledge records at time now that a member holds a revision.
func (a *Acceptance) Acknowledge(now time.Duration, id, incarnation string, revision uint64, clear bool) {
	if revision < a.revision {
		return
	}
	key := identity{id, incarnation}
	a.acked[key] = a.acked[key] || clear
	a.observe(now)
}

// Gone records that a member incarnation makes no statements any more: another
// incarnation answers at its address, or the platform has removed it. It counts
// towards the majority, because it can no longer help an older revision to one,
// but its window is waited for. Without this rule nothing could be accepted
// after all members have restarted.
func (a *Acceptance) Gone(now time.Duration, id, incarnation string) {
	a.gone[identity{id, incarnation}] = true
	a.observe(now)
}

// observe notes when every electorate has a majority of acknowledgements.
func (a *Acceptance) observe(now time.Duration) {
	if a.majority {
		return
	}
	for _, e := range a.electorates {
		if !a.majorityOf(e) {
			return
		}
	}
	a.majority, a.majorityAt = true, now
}

func (a *Acceptance) majorityOf(electorate map[identity]bool) bool {
	n := 0
	for key := range electorate {
		if _, ok := a.acked[key]; ok || a.gone[key] {
			n++
		}
	}
	return 2*n > len(electorate) || len(electorate) == 0
}

// Accepted reports whether the revision is accepted at time now: every member
// has acknowledged it and none has vouched for a non-member lately, or the
// windows of all others have expired since a majority acknowledged it.
func (a *Acceptance) Accepted(now time.Duration) bool {
	a.observe(now)
	if !a.majority {
		return false
	}
	return a.unanimous() || now >= a.majorityAt+a.p.Window+a.p.Margin
}

func (a *Acceptance) unanimous() bool {
	for _, e := range a.electorates {
		for key := range e {
			if !a.acked[key] {
				return false
			}
		}
	}
	return true
}

// Pending returns the IDs of members that have not acknowledged the revision,
// in order.
func (a *Acceptance) Pending() []string {
	return a.ids(func(acked, _ bool) bool { return !acked })
}

// Unsettled returns the IDs of members that have not acknowledged the revision
// or whose acknowledgement is not clear yet, in order.
func (a *Acceptance) Unsettled() []string {
	return a.ids(func(acked, clear bool) bool { return !acked || !clear })
}

func (a *Acceptance) ids(want func(acked, clear bool) bool) []string {
	var out []string
	for _, e := range a.electorates {
		for key := range e {
			clear, acked := a.acked[key]
			if want(acked, clear) {
				out = append(out, key.id)
			}
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

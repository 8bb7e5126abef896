package fresh

import (
	"slices"
	"time"

	"github.com/fescuestep/fescuestep/pkg/config"
)

// Acceptance decides when one committed revision is accepted. It is kept by
// the instance that advances the accepted revision, on its own clock. It counts
// as statements arrive: after a herd of joins there are as many electorates as
// instances, and looking through all of them for each statement is cubic.
type Acceptance struct {
	params   Params
	revision uint64

	electorates     []electorate        // memberships since the last accepted revision
	voters          map[identity]*voter // of all electorates
	withoutMajority int                 // electorates without a majority
	withOpenGrants  int                 // voters that have not acknowledged clearly
	majorityAt      time.Duration
	majority        bool
}

// electorate is one membership.
type electorate struct{ size, votes int }

// voter is one member incarnation.
type voter struct {
	electorates   []int
	acked         bool
	grantsExpired bool
	gone          bool // makes no statements any more
}

// NewAcceptance follows a revision. memberships are those in force at any
// revision from the last accepted one to this one, both included.
func NewAcceptance(p Params, revision uint64, memberships []config.Membership) *Acceptance {
	a := &Acceptance{params: p, revision: revision, voters: map[identity]*voter{}}
	for _, m := range memberships {
		a.addElectorate(m)
	}
	a.withOpenGrants = len(a.voters)
	return a
}

func (a *Acceptance) addElectorate(m config.Membership) {
	index := len(a.electorates)
	a.electorates = append(a.electorates, electorate{size: len(m.Members)})
	if len(m.Members) > 0 {
		a.withoutMajority++
	}
	for _, x := range m.Members {
		key := identity{x.ID, x.Incarnation}
		v := a.voters[key]
		if v == nil {
			v = &voter{}
			a.voters[key] = v
		}
		v.electorates = append(v.electorates, index)
	}
}

// Revision returns the revision that is followed.
func (a *Acceptance) Revision() uint64 { return a.revision }

// RecordAcknowledgement records at time now that a member holds a revision.
func (a *Acceptance) RecordAcknowledgement(now time.Duration, id, incarnation string, revision uint64, clear bool) {
	v := a.voters[identity{id, incarnation}]
	if v == nil || revision < a.revision {
		return
	}
	a.countVote(v)
	v.acked = true
	if clear && !v.grantsExpired {
		v.grantsExpired = true
		a.withOpenGrants--
	}
	a.updateMajority(now)
}

// RecordGone records that a member incarnation makes no statements any more: another
// incarnation answers at its address, or the platform has removed it. It counts
// towards the majority, because it can no longer help an older revision to one,
// but its window is waited for. Without this rule nothing could be accepted
// after all members have restarted.
func (a *Acceptance) RecordGone(now time.Duration, id, incarnation string) {
	v := a.voters[identity{id, incarnation}]
	if v == nil {
		return
	}
	a.countVote(v)
	v.gone = true
	a.updateMajority(now)
}

// countVote adds a voter to the votes of its electorates once.
func (a *Acceptance) countVote(v *voter) {
	if v.acked || v.gone {
		return
	}
	for _, i := range v.electorates {
		e := &a.electorates[i]
		had := 2*e.votes > e.size
		e.votes++
		if !had && 2*e.votes > e.size {
			a.withoutMajority--
		}
	}
}

// updateMajority notes when every electorate has a majority of acknowledgements.
func (a *Acceptance) updateMajority(now time.Duration) {
	if !a.majority && a.withoutMajority == 0 {
		a.majority, a.majorityAt = true, now
	}
}

// Accepted reports whether the revision is accepted at time now: every member
// has acknowledged it and none has vouched for a non-member lately, or the
// windows of all others have expired since a majority acknowledged it.
func (a *Acceptance) Accepted(now time.Duration) bool {
	a.updateMajority(now)
	if !a.majority {
		return false
	}
	return a.withOpenGrants == 0 || now >= a.majorityAt+a.params.Window+a.params.Margin
}

// Unacknowledged returns the IDs of members that have not acknowledged the revision,
// in order.
func (a *Acceptance) Unacknowledged() []string {
	return a.memberIDs(func(acked, _ bool) bool { return !acked })
}

// Unsettled returns the IDs of members that have not acknowledged the revision
// or whose acknowledgement is not clear yet, in order.
func (a *Acceptance) Unsettled() []string {
	return a.memberIDs(func(acked, clear bool) bool { return !acked || !clear })
}

func (a *Acceptance) memberIDs(want func(acked, clear bool) bool) []string {
	var out []string
	for key, v := range a.voters {
		if want(v.acked, v.grantsExpired) {
			out = append(out, key.id)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

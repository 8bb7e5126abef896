package fresh

import (
	"slices"
	"time"

	"github.com/fescuestep/fescuestep/pkg/config"
)

// Acceptance decides when one committed revision is accepted. The instance that
// advances the accepted revision owns it; times are readings of that instance's
// monotonic clock. Votes are counted incrementally: when all instances join at
// once there are as many electorates as instances, and a scan of all electorates
// for each statement would take cubic time.
type Acceptance struct {
	params   Params
	revision uint64

	electorates     []electorate        // memberships from the last accepted revision on
	voters          map[identity]*voter // members of all electorates
	withoutMajority int                 // electorates without a majority
	unsettled       int                 // voters without acknowledgement or whose grants had not expired by it
	majorityAt      time.Duration
	majority        bool
}

// electorate counts the votes of one membership.
type electorate struct{ size, votes int }

// voter is one member incarnation.
type voter struct {
	electorates   []int // indexes into Acceptance.electorates
	acked         bool
	grantsExpired bool
	gone          bool // the incarnation no longer runs
}

// NewAcceptance returns the Acceptance of a revision. memberships are those of
// all revisions from the last accepted one to this one, both included.
func NewAcceptance(p Params, revision uint64, memberships []config.Membership) *Acceptance {
	a := &Acceptance{params: p, revision: revision, voters: map[identity]*voter{}}
	for _, m := range memberships {
		a.addElectorate(m)
	}
	a.unsettled = len(a.voters)
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

// Revision returns the revision whose acceptance is decided.
func (a *Acceptance) Revision() uint64 { return a.revision }

// RecordAcknowledgement records at time now that a member holds a revision;
// grantsExpired is Statement.GrantsExpired of its acknowledgement. It ignores
// non-members and revisions older than the one that is decided.
func (a *Acceptance) RecordAcknowledgement(now time.Duration, id, incarnation string, revision uint64, grantsExpired bool) {
	v := a.voters[identity{id, incarnation}]
	if v == nil || revision < a.revision {
		return
	}
	a.countVote(v)
	v.acked = true
	if grantsExpired && !v.grantsExpired {
		v.grantsExpired = true
		a.unsettled--
	}
	a.recordMajority(now)
}

// RecordGone records that a member incarnation no longer runs: another
// incarnation answers at its address, or the platform has removed it. It counts
// towards the majority, because it can no longer vote for an older revision, but
// its window must still expire. Without this rule no revision could be accepted
// after all members have restarted.
func (a *Acceptance) RecordGone(now time.Duration, id, incarnation string) {
	v := a.voters[identity{id, incarnation}]
	if v == nil {
		return
	}
	a.countVote(v)
	v.gone = true
	a.recordMajority(now)
}

// countVote adds a voter to the votes of its electorates unless it has been
// counted before.
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

// recordMajority records the first time at which every electorate has a majority
// of votes.
func (a *Acceptance) recordMajority(now time.Duration) {
	if !a.majority && a.withoutMajority == 0 {
		a.majority, a.majorityAt = true, now
	}
}

// Accepted reports whether the revision is accepted at time now. That needs a
// majority of every electorate and either the acknowledgement of every member
// with its grants to non-members expired, or the end of the windows of all
// others, Window + Margin after the majority was reached.
func (a *Acceptance) Accepted(now time.Duration) bool {
	a.recordMajority(now)
	if !a.majority {
		return false
	}
	return a.unsettled == 0 || now >= a.majorityAt+a.params.Window+a.params.Margin
}

// Unacknowledged returns the IDs of members that have not acknowledged the
// revision, sorted.
func (a *Acceptance) Unacknowledged() []string {
	return a.memberIDs(func(acked, _ bool) bool { return !acked })
}

// Unsettled returns the IDs of members that have not acknowledged the revision
// or whose grants had not expired when they did, sorted.
func (a *Acceptance) Unsettled() []string {
	return a.memberIDs(func(acked, grantsExpired bool) bool { return !acked || !grantsExpired })
}

func (a *Acceptance) memberIDs(want func(acked, grantsExpired bool) bool) []string {
	var out []string
	for key, v := range a.voters {
		if want(v.acked, v.grantsExpired) {
			out = append(out, key.id)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

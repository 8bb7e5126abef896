package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/external"
)

// IncarnationKey identifies one incarnation of a member.
type IncarnationKey struct{ ID, Incarnation string }

// Batch is a set of joins and leaves that is applied in one membership change.
type Batch struct {
	Joins  []config.Member
	Leaves []IncarnationKey
}

// Apply returns the membership after the batch, sorted by ID, and whether it
// differs from m, which is not modified. A join replaces another incarnation of
// the same ID; a leave of an incarnation other than the recorded one has no
// effect.
func (b Batch) Apply(m config.Membership) (config.Membership, bool) {
	out := slices.Clone(m.Members)
	changed := false
	for _, l := range b.Leaves {
		n := len(out)
		out = slices.DeleteFunc(out, func(x config.Member) bool { return x.ID == l.ID && x.Incarnation == l.Incarnation })
		changed = changed || len(out) != n
	}
	for _, j := range b.Joins {
		i := slices.IndexFunc(out, func(x config.Member) bool { return x.ID == j.ID })
		switch {
		case i < 0:
			out = append(out, j)
		case out[i] == j:
			continue
		default:
			out[i] = j
		}
		changed = true
	}
	slices.SortFunc(out, func(a, b config.Member) int { return cmp.Compare(a.ID, b.ID) })
	return config.Membership{Members: out}, changed
}

// AbsenceTracker finds members that the platform's instance list no longer
// contains. The list lags, so a member counts as gone only after it has been
// absent for the whole grace period, from the first observation without it on,
// in observations that are at most maxGap apart. It is not safe for concurrent
// use.
type AbsenceTracker struct {
	gracePeriod, maxGap time.Duration
	missing             map[IncarnationKey]absence
}

type absence struct{ since, last time.Duration }

// NewAbsenceTracker returns an AbsenceTracker with the grace period and the
// longest gap between two observations of the list.
func NewAbsenceTracker(gracePeriod, maxGap time.Duration) *AbsenceTracker {
	return &AbsenceTracker{gracePeriod: gracePeriod, maxGap: maxGap, missing: map[IncarnationKey]absence{}}
}

// RecordListing records whether a member is listed at time now and reports
// whether it has been absent for the grace period.
func (t *AbsenceTracker) RecordListing(now time.Duration, key IncarnationKey, listed bool) bool {
	if listed {
		delete(t.missing, key)
		return false
	}
	a, seen := t.missing[key]
	if !seen || now-a.last > t.maxGap {
		a.since = now // it may have been listed since the previous observation
	}
	a.last = now
	t.missing[key] = a
	return now-a.since >= t.gracePeriod
}

// RemovalCandidates records the instance list at time now and returns the members
// to propose for removal. An empty list yields none and restarts all grace
// periods, because a faulty list is more likely than the end of every instance.
func (t *AbsenceTracker) RemovalCandidates(now time.Duration, m config.Membership, listed []external.Instance) []IncarnationKey {
	if len(listed) == 0 {
		clear(t.missing)
		return nil
	}
	present := make(map[string]bool, len(listed))
	for _, x := range listed {
		present[x.ID] = true
	}
	var gone []IncarnationKey
	for _, x := range m.Members {
		key := IncarnationKey{ID: x.ID, Incarnation: x.Incarnation}
		if t.RecordListing(now, key, present[x.ID]) {
			gone = append(gone, key)
		}
	}
	t.forgetNonMembers(m)
	return gone
}

// forgetNonMembers deletes the absences of incarnations that are no longer
// members.
func (t *AbsenceTracker) forgetNonMembers(m config.Membership) {
	for key := range t.missing {
		if _, ok := Find(m, key.ID, key.Incarnation); !ok {
			delete(t.missing, key)
		}
	}
}

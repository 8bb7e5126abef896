package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/external"
)

// IncarnationKey names a member incarnation that goes.
type IncarnationKey struct{ ID, Incarnation string }

// Batch collects joins and leaves for one change.
type Batch struct {
	Joins  []config.Member
	Leaves []IncarnationKey
}

// Apply returns the membership after the batch and whether it differs. A join
// replaces an older incarnation of the same ID; a leave of an incarnation that
// is no longer the recorded one has no effect.
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

// AbsenceTracker finds members that the platform's list no longer shows. The list lags,
// so a member counts as gone only after it has been absent for the whole grace
// period, counted from when this AbsenceTracker first missed it, in looks that are at
// most gap apart. It is not safe for concurrent use.
type AbsenceTracker struct {
	gracePeriod, maxGap time.Duration
	missing             map[IncarnationKey]absence
}

type absence struct{ since, last time.Duration }

// NewAbsenceTracker returns a Watch with the grace period and the longest gap between
// two looks.
func NewAbsenceTracker(grace, gap time.Duration) *AbsenceTracker {
	return &AbsenceTracker{gracePeriod: grace, maxGap: gap, missing: map[IncarnationKey]absence{}}
}

// RecordListing records whether a member is listed at time now and reports whether it
// has been absent for the grace period.
func (w *AbsenceTracker) RecordListing(now time.Duration, key IncarnationKey, listed bool) bool {
	if listed {
		delete(w.missing, key)
		return false
	}
	a, seen := w.missing[key]
	if !seen || now-a.last > w.maxGap {
		a.since = now // it may have been listed in between
	}
	a.last = now
	w.missing[key] = a
	return now-a.since >= w.gracePeriod
}

// RemovalCandidates returns the members to propose for removal at time now. An empty list
// removes nobody: it is more likely a fault of the list than the end of every
// instance.
func (w *AbsenceTracker) RemovalCandidates(now time.Duration, m config.Membership, listed []external.Instance) []IncarnationKey {
	if len(listed) == 0 {
		clear(w.missing)
		return nil
	}
	present := make(map[string]bool, len(listed))
	for _, x := range listed {
		present[x.ID] = true
	}
	var gone []IncarnationKey
	for _, x := range m.Members {
		key := IncarnationKey{ID: x.ID, Incarnation: x.Incarnation}
		if w.RecordListing(now, key, present[x.ID]) {
			gone = append(gone, key)
		}
	}
	w.forgetNonMembers(m)
	return gone
}

// forgetNonMembers drops what is known of instances that are no longer members.
func (w *AbsenceTracker) forgetNonMembers(m config.Membership) {
	for key := range w.missing {
		if _, ok := Find(m, key.ID, key.Incarnation); !ok {
			delete(w.missing, key)
		}
	}
}

package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/platform"
)

// Leave names a member incarnation that goes.
type Leave struct{ ID, Incarnation string }

// Batch collects joins and leaves for one change.
type Batch struct {
	Joins  []config.Member
	Leaves []Leave
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

// Watch finds members that the platform's list no longer shows. The list lags,
// so a member counts as gone only after it has been absent for the whole grace
// period, counted from when this Watch first saw it as a member.
type Watch struct {
	grace   time.Duration
	missing map[Leave]time.Duration // absent since
}

// NewWatch returns a Watch with the grace period.
func NewWatch(grace time.Duration) *Watch {
	return &Watch{grace: grace, missing: map[Leave]time.Duration{}}
}

// Gone returns the members to propose for removal at time now. An empty list
// removes nobody: it is more likely a fault of the list than the end of every
// instance.
func (w *Watch) Gone(now time.Duration, m config.Membership, listed []platform.Instance) []Leave {
	if len(listed) == 0 {
		clear(w.missing)
		return nil
	}
	present := make(map[string]bool, len(listed))
	for _, x := range listed {
		present[x.ID] = true
	}
	old := w.missing
	w.missing = map[Leave]time.Duration{}
	var gone []Leave
	for _, x := range m.Members {
		if present[x.ID] {
			continue
		}
		key := Leave{ID: x.ID, Incarnation: x.Incarnation}
		since, seen := old[key]
		if !seen {
			since = now
		}
		w.missing[key] = since
		if now-since >= w.grace {
			gone = append(gone, key)
		}
	}
	return gone
}

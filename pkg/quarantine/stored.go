package quarantine

import (
	"slices"
	"time"
)

// StoredCrash is a crash as it is kept outside of the instances.
type StoredCrash struct {
	ID      uint64 // tells crashes apart; the same at all instances
	Process Process
	Parts   []Part
}

// storedAge is how long ago a stored crash counts as having happened. The clocks of
// instances differ, so that the time is not stored.
const storedAge = time.Minute

// ToStore returns the newest crashes that happened at least minAge ago and that no
// quarantined part explains, at most limit of them. Answers clear most crashes of sound
// requests sooner.
func (t *Tracker) ToStore(minAge time.Duration, limit int, now time.Time) []StoredCrash {
	var out []StoredCrash
	for _, c := range slices.Backward(t.crashes) {
		if len(out) == limit {
			break
		}
		if c.cause == 0 && now.Sub(c.At) >= minAge {
			out = append(out, StoredCrash{c.id, c.Process, slices.Clone(c.Parts)})
		}
	}
	return out
}

// AdoptStored takes over a crash that was stored before a restart, unless another instance
// has told of it.
func (t *Tracker) AdoptStored(s StoredCrash, now time.Time) {
	_, told := t.seen[s.ID]
	if told || len(s.Parts) == 0 || slices.ContainsFunc(t.crashes, func(c recorded) bool { return c.id == s.ID }) {
		return
	}
	t.add(recorded{Crash: Crash{s.Process, slices.Clone(s.Parts), now.Add(-storedAge)}, id: s.ID, stored: true})
}

// dropStored removes a crash that was taken over from the store, since its time is known
// now.
func (t *Tracker) dropStored(id uint64) {
	t.crashes = slices.DeleteFunc(t.crashes, func(c recorded) bool { return c.stored && c.id == id })
}

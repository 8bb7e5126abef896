package quarantine

import (
	"cmp"
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

// maxStoredParts bounds the parts of a stored crash: a row of the store has a limited size.
const maxStoredParts = 512

// ToStore returns the newest crashes that happened at least minAge ago and that no
// quarantined part explains, at most limit of them. Answers clear most crashes of sound
// requests sooner.
func (t *Tracker) ToStore(minAge time.Duration, limit int, now time.Time) []StoredCrash {
	var out []StoredCrash
	for _, c := range slices.Backward(t.crashes.list) {
		if len(out) == limit {
			break
		}
		if c.cause == 0 && now.Sub(c.At) >= minAge {
			out = append(out, StoredCrash{c.id, c.Process, t.MostSuspect(c.Parts, maxStoredParts, now)})
		}
	}
	return out
}

// AdoptStored takes over a crash that was stored before a restart, unless another instance
// has told of it.
func (t *Tracker) AdoptStored(s StoredCrash, now time.Time) {
	_, told := t.seen[s.ID]
	if told || len(s.Parts) == 0 || t.crashes.byID[s.ID] != nil {
		return
	}
	t.crashes.add(&recorded{Crash: Crash{s.Process, slices.Clone(s.Parts), now.Add(-storedAge)}, id: s.ID, stored: true})
}

// MostSuspect returns at most limit of some parts, in their order: first those at which most
// processes ended and that were not answered lately.
func (t *Tracker) MostSuspect(parts []Part, limit int, now time.Time) []Part {
	if len(parts) <= limit {
		return slices.Clone(parts)
	}
	ends := make(map[Part]int, len(parts))
	for _, part := range parts {
		if !t.sound.has(part, now) {
			ends[part] = len(t.crashTimes(part))
		}
	}
	byEnds := slices.Clone(parts)
	slices.SortStableFunc(byEnds, func(a, b Part) int { return cmp.Compare(ends[b], ends[a]) })
	kept := make(map[Part]bool, limit)
	for _, part := range byEnds[:limit] {
		kept[part] = true
	}
	return slices.DeleteFunc(slices.Clone(parts), func(part Part) bool { return !kept[part] })
}

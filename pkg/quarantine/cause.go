package quarantine

import (
	"slices"
	"time"
)

const (
	// crashesNeeded is the number of processes that must have ended at a part, with no
	// prompt with it answered in between, before it is quarantined.
	crashesNeeded = 3
	// crashesNeededIfIncomplete is that number while crashes may have been forgotten.
	crashesNeededIfIncomplete = 2
	// crashesNeededIfSound is that number for a part that was answered lately, for crashes
	// within soundSpan. Requests that are often sent run at most upstreams that end for
	// other reasons, but are answered again between crashes that are further apart.
	crashesNeededIfSound = 3 * crashesNeeded
	soundSpan            = 3 * time.Second
	// crashesMargin is by how many processes a part must lead each later part of the same
	// prompts. Parts before the one that ends engines are in all of its crashes, too.
	crashesMargin = 2
	// minSpan is the least time between the first and the last of these crashes. Engines
	// that lose power together end at the prompts that are frequent.
	minSpan = 100 * time.Millisecond
)

// quarantineCause quarantines the latest of the parts that enough crashes speak against.
func (t *Tracker) quarantineCause(parts []Part, now time.Time) []Part {
	for _, part := range slices.Backward(parts) {
		if !t.isCause(part, now) {
			continue
		}
		t.begin(part, now)
		return []Part{part}
	}
	return nil
}

// isCause reports whether the crashes speak against a part and none of the parts after
// it explains them nearly as well.
func (t *Tracker) isCause(part Part, now time.Time) bool {
	at := t.crashTimes(part)
	if len(at) < t.needed(part, now) {
		return false
	}
	span := slices.MaxFunc(at, time.Time.Compare).Sub(slices.MinFunc(at, time.Time.Compare))
	if span < minSpan || (t.sound.has(part, now) && span < soundSpan && len(at) < crashesNeededIfSound) {
		return false
	}
	for _, ends := range t.endedAtLaterParts(part) {
		if len(at)-ends.count() < crashesMargin {
			return false
		}
	}
	return true
}

// needed returns how many ends a part must have at least.
func (t *Tracker) needed(part Part, now time.Time) int {
	if now.Before(t.incompleteUntil) && !t.sound.has(part, now) {
		return crashesNeededIfIncomplete
	}
	return crashesNeeded
}

// crashTimes returns when processes ended at a part, one time for each process.
func (t *Tracker) crashTimes(part Part) []time.Time {
	var out []time.Time
	counted := processEnds{}
	for c := range t.crashes.against(part) {
		if counted.add(c.Process, c.At) {
			out = append(out, c.At)
		}
	}
	return out
}

// endedAtLaterParts returns the processes that ended at prompts with a part, by each part
// that follows it in one of them.
func (t *Tracker) endedAtLaterParts(part Part) map[Part]processEnds {
	out := map[Part]processEnds{}
	for c := range t.crashes.against(part) {
		for _, later := range c.Parts[slices.Index(c.Parts, part)+1:] {
			if out[later] == nil {
				out[later] = processEnds{}
			}
			out[later].add(c.Process, c.At)
		}
	}
	return out
}

package quarantine

import (
	"iter"
	"slices"
	"time"
)

// recorded is a crash that counts.
type recorded struct {
	Crash
	id     uint64
	stored bool // taken over from the store, so that its time is not known
	// cause is the quarantined part of the request, or 0. Then the crash speaks against the
	// parts before it only: several parts may be blamed that follow the one that ends
	// upstreams.
	cause Part
}

// speaksAgainst reports whether the crash may have been for a part of its request.
func (r *recorded) speaksAgainst(part Part) bool {
	i := slices.Index(r.Parts, part)
	return i >= 0 && (r.cause == 0 || i < slices.Index(r.Parts, r.cause))
}

// remove removes a part, and reports whether the crash had it.
func (r *recorded) remove(part Part) (found bool) {
	i := slices.Index(r.Parts, part)
	if i < 0 {
		return false
	}
	r.Parts = slices.Delete(r.Parts, i, i+1)
	if r.cause == part {
		r.cause = 0
	}
	return true
}

// crashLog holds the crashes that count, from the oldest to the newest one recorded, with an
// index by part: a request may have MaxParts.
type crashLog struct {
	list   []*recorded
	byPart map[Part][]*recorded
	byID   map[uint64]*recorded // the newest one with an ID
	parts  int                  // of all crashes
}

func newCrashLog() crashLog {
	return crashLog{byPart: map[Part][]*recorded{}, byID: map[uint64]*recorded{}}
}

func (l *crashLog) isEmpty() bool { return len(l.byPart) == 0 }

// add adds a crash. The oldest ones make room.
func (l *crashLog) add(r *recorded) {
	for len(l.list) > 0 && (len(l.list) >= maxCrashes || l.parts+len(r.Parts) > maxCrashParts) {
		l.dropOldest()
	}
	l.list = append(l.list, r)
	l.byID[r.id] = r
	l.parts += len(r.Parts)
	for _, part := range r.Parts {
		l.byPart[part] = append(l.byPart[part], r)
	}
}

func (l *crashLog) dropOldest() {
	oldest := l.list[0]
	l.list = slices.Delete(l.list, 0, 1)
	l.forget(oldest)
}

// drop removes the crashes for which a condition holds.
func (l *crashLog) drop(condition func(*recorded) bool) {
	l.list = slices.DeleteFunc(l.list, func(r *recorded) bool {
		if !condition(r) {
			return false
		}
		l.forget(r)
		return true
	})
}

// dropStored removes a crash that was taken over from the store, since its time is known
// now.
func (l *crashLog) dropStored(id uint64) {
	if r := l.byID[id]; r != nil && r.stored {
		l.drop(func(other *recorded) bool { return other == r })
	}
}

// forget removes a crash from the index.
func (l *crashLog) forget(r *recorded) {
	if l.byID[r.id] == r {
		delete(l.byID, r.id)
	}
	for _, part := range r.Parts {
		l.unlink(part, r)
	}
	l.parts -= len(r.Parts)
}

func (l *crashLog) unlink(part Part, r *recorded) {
	rest := slices.DeleteFunc(l.byPart[part], func(other *recorded) bool { return other == r })
	if l.byPart[part] = rest; len(rest) == 0 {
		delete(l.byPart, part)
	}
}

// clear removes parts from the crashes up to a time, and returns those that any had.
func (l *crashLog) clear(parts []Part, until time.Time) map[Part]bool {
	found := map[Part]bool{}
	for _, part := range parts {
		for _, r := range slices.Clone(l.byPart[part]) {
			if !r.At.After(until) && r.remove(part) {
				l.parts--
				l.unlink(part, r)
				found[part] = true
			}
		}
	}
	if len(found) > 0 {
		l.drop(func(r *recorded) bool { return len(r.Parts) == 0 })
	}
	return found
}

// against returns the crashes that may have been for a part, oldest first.
func (l *crashLog) against(part Part) iter.Seq[*recorded] {
	return func(yield func(*recorded) bool) {
		for _, r := range l.byPart[part] {
			if r.speaksAgainst(part) && !yield(r) {
				return
			}
		}
	}
}

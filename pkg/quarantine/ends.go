package quarantine

import (
	"slices"
	"time"
)

// minProcessLife is the least time between the ends of two processes of an upstream. The
// next one may have the ID of the last: while the store is away, its start time is not
// known. Several instances see the end of one process within less.
const minProcessLife = time.Second

// processEnds holds when processes ended, by their identity.
type processEnds map[Process][]time.Time

// has reports whether an end of a process at about a time is recorded.
func (e processEnds) has(p Process, at time.Time) bool {
	return slices.ContainsFunc(e[p], func(known time.Time) bool { return at.Sub(known).Abs() < minProcessLife })
}

// add records an end, and reports whether it was not recorded.
func (e processEnds) add(p Process, at time.Time) (isNew bool) {
	if e.has(p, at) {
		return false
	}
	e[p] = append(e[p], at)
	return true
}

// count returns how many ends are recorded.
func (e processEnds) count() int {
	n := 0
	for _, times := range e {
		n += len(times)
	}
	return n
}

// forget removes the ends that are older than age.
func (e processEnds) forget(now time.Time, age time.Duration) {
	for p, times := range e {
		times = slices.DeleteFunc(times, func(at time.Time) bool { return now.Sub(at) > age })
		if e[p] = times; len(times) == 0 {
			delete(e, p)
		}
	}
}

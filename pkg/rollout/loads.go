package rollout

import "time"

const (
	// engineShare is the part of the engines that may load at once before it is
	// known how many slow each other down: each takes no work meanwhile.
	engineShare = 5
	// mostShare is the part that may ever load at once.
	mostShare = 4
	// leastLoads may run at once in a small fleet before anything was learned.
	leastLoads = 2
	// loadsStep is the part of the limit by which it changes at once.
	loadsStep = 8
	// calmSamples is the number of loads with which a process learns how long they
	// take, and loadSamples the number from which the limit is judged.
	calmSamples, loadSamples = 4, 12
	// crowdedShare of the limit must load at once, on average, for a load to say
	// something about the limit.
	crowdedShare = 0.8
	// slowShare and freeShare are the parts of the additional loads by which each
	// load takes longer, from which the limit is lowered and up to which it is
	// raised.
	slowShare, freeShare = 0.8, 0.3
)

// MaxLoads returns how many of the engines may load at once at first.
func MaxLoads(engines int) int { return max(leastLoads, (engines+engineShare-1)/engineShare) }

// Loads learns how many engines may load at once from how long loads take: with
// more than they bear, each takes longer and takes an engine away for longer. It
// outlives plans.
type Loads struct {
	limit     int
	calmLimit int  // half of the limit, for the first loads
	calm      mean // of the first loads
	crowded   mean // of loads with about as many as the limit at once
}

// mean of durations.
type mean struct {
	sum   time.Duration
	count int
}

func (m *mean) add(d time.Duration) {
	m.sum += d
	m.count++
}

func (m *mean) value() float64 { return float64(m.sum) / float64(max(1, m.count)) }

// Limit returns how many of the engines may load at once.
func (l *Loads) Limit(engines int) int {
	if l.limit == 0 {
		l.limit = MaxLoads(engines)
	}
	most := max(MaxLoads(engines), (engines+mostShare-1)/mostShare)
	l.limit = min(max(1, l.limit), most)
	if l.calm.count < calmSamples {
		l.calmLimit = (l.limit + 1) / 2
		return l.calmLimit
	}
	return l.limit
}

// Loaded records a load that took some time, with a mean number of engines
// loading meanwhile, itself included.
func (l *Loads) Loaded(took time.Duration, atOnce float64) {
	if l.calm.count < calmSamples {
		if atOnce <= float64(l.calmLimit) {
			l.calm.add(took)
		}
		return
	}
	if atOnce < crowdedShare*float64(l.limit) {
		return
	}
	l.crowded.add(took)
	if l.crowded.count < loadSamples {
		return
	}
	step := max(1, l.limit/loadsStep)
	more := float64(l.limit)/float64(l.calmLimit) - 1
	slower := l.crowded.value()/l.calm.value() - 1
	switch {
	case more == 0: // one at once: try two
		l.limit++
	case slower >= slowShare*more: // hardly more loads a second than with few at once
		l.limit = max(1, l.limit-step)
	case slower < freeShare*more:
		l.limit += step
	}
	l.crowded = mean{}
	if l.limit <= l.calmLimit {
		l.calm = mean{}
	}
}

package rollout

import "time"

const (
	// initialLimitDivisor is the part of the engines that may load at once before it is
	// known how many slow each other down: each takes no work meanwhile.
	initialLimitDivisor = 5
	// maxLimitDivisor is the part that may ever load at once.
	maxLimitDivisor = 4
	// minInitialLimit may run at once in a small fleet before anything was learned.
	minInitialLimit = 2
	// limitStepDivisor is the part of the limit by which it changes at once.
	limitStepDivisor = 8
	// baselineSamples is the number of loads with which a process learns how long they
	// take, and saturatedSamples the number from which the limit is judged.
	baselineSamples, saturatedSamples = 4, 12
	// saturatedShare of the limit must load at once, on average, for a load to say
	// something about the limit.
	saturatedShare = 0.8
	// decreaseThreshold and increaseThreshold are the parts of the additional loads by which each
	// load takes longer, from which the limit is lowered and up to which it is
	// raised.
	decreaseThreshold, increaseThreshold = 0.8, 0.3
)

// InitialLoadLimit returns how many of the engines may load at once at first.
func InitialLoadLimit(engines int) int {
	return max(minInitialLimit, (engines+initialLimitDivisor-1)/initialLimitDivisor)
}

// LoadLimiter learns how many engines may load at once from how long loads take: with
// more than they bear, each takes longer and takes an engine away for longer. It
// outlives plans.
type LoadLimiter struct {
	limit         int
	baselineLimit int  // half of the limit, for the first loads
	baseline      mean // of the first loads
	saturated     mean // of loads with about as many as the limit at once
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
func (l *LoadLimiter) Limit(engines int) int {
	if l.limit == 0 {
		l.limit = InitialLoadLimit(engines)
	}
	most := max(InitialLoadLimit(engines), (engines+maxLimitDivisor-1)/maxLimitDivisor)
	l.limit = min(max(1, l.limit), most)
	if l.baseline.count < baselineSamples {
		l.baselineLimit = (l.limit + 1) / 2
		return l.baselineLimit
	}
	return l.limit
}

// RecordLoad records a load that took some time, with a mean number of engines
// loading meanwhile, itself included.
func (l *LoadLimiter) RecordLoad(took time.Duration, atOnce float64) {
	if l.baseline.count < baselineSamples {
		if atOnce <= float64(l.baselineLimit) {
			l.baseline.add(took)
		}
		return
	}
	if atOnce < saturatedShare*float64(l.limit) {
		return
	}
	l.saturated.add(took)
	if l.saturated.count < saturatedSamples {
		return
	}
	step := max(1, l.limit/limitStepDivisor)
	more := float64(l.limit)/float64(l.baselineLimit) - 1
	slower := l.saturated.value()/l.baseline.value() - 1
	switch {
	case more == 0: // one at once: try two
		l.limit++
	case slower >= decreaseThreshold*more: // hardly more loads a second than with few at once
		l.limit = max(1, l.limit-step)
	case slower < increaseThreshold*more:
		l.limit += step
	}
	l.saturated = mean{}
	if l.limit <= l.baselineLimit {
		l.baseline = mean{}
	}
}

package rollout

import "time"

const (
	// The initial limit is the number of engines divided by initialDivisor. It is
	// low because a loading engine serves no requests and the effect of
	// concurrent loads on each other is not known yet.
	initialDivisor = 5
	// The limit never exceeds the number of engines divided by maxDivisor, unless
	// the initial limit is higher.
	maxDivisor = 4
	// minInitialLimit is the lower bound of the initial limit in small fleets.
	minInitialLimit = 2
	// Each adjustment changes the limit by the limit divided by stepDivisor.
	stepDivisor = 8
	// baselineSamples is the number of loads at up to half of the limit whose mean
	// duration is the baseline. saturatedSamples is the number of loads close to
	// the limit after which the limit is adjusted.
	baselineSamples, saturatedSamples = 4, 12
	// saturatedShare is the fraction of the limit that must load at once on
	// average during a load for its duration to be used in an adjustment.
	saturatedShare = 0.8
	// The slowdown of loads is compared with the relative increase in concurrent
	// loads over the baseline. The limit is lowered from a ratio of
	// decreaseThreshold and raised below a ratio of increaseThreshold.
	decreaseThreshold, increaseThreshold = 0.8, 0.3
)

// InitialLoadLimit returns how many of n engines may load at once before any load
// was measured.
func InitialLoadLimit(n int) int { return max(minInitialLimit, (n+initialDivisor-1)/initialDivisor) }

// LoadLimiter is an adaptive concurrency limit for loads of weights. It measures
// how long loads take: above the capacity for concurrent loads, each load takes
// longer and keeps its engine out of service for longer. One limiter is used by
// successive plans. The zero value is ready for use.
type LoadLimiter struct {
	limit         int
	baselineLimit int  // half of the limit, in force until the baseline is measured
	baseline      mean // duration of loads at up to baselineLimit concurrent loads
	saturated     mean // duration of loads at close to limit concurrent loads
}

// mean is the arithmetic mean of durations.
type mean struct {
	sum   time.Duration
	count int
}

func (m *mean) add(d time.Duration) {
	m.sum += d
	m.count++
}

func (m *mean) value() float64 { return float64(m.sum) / float64(max(1, m.count)) }

// Limit returns how many of the given number of engines may load at once.
func (l *LoadLimiter) Limit(engines int) int {
	if l.limit == 0 {
		l.limit = InitialLoadLimit(engines)
	}
	upper := max(InitialLoadLimit(engines), (engines+maxDivisor-1)/maxDivisor)
	l.limit = min(max(1, l.limit), upper)
	if l.baseline.count < baselineSamples {
		l.baselineLimit = (l.limit + 1) / 2
		return l.baselineLimit
	}
	return l.limit
}

// RecordLoad records the duration of a completed load and the mean number of
// engines, itself included, that were loading during it. It adjusts the limit
// after enough samples.
func (l *LoadLimiter) RecordLoad(duration time.Duration, concurrency float64) {
	if l.baseline.count < baselineSamples {
		if concurrency <= float64(l.baselineLimit) {
			l.baseline.add(duration)
		}
		return
	}
	if concurrency < saturatedShare*float64(l.limit) {
		return
	}
	l.saturated.add(duration)
	if l.saturated.count < saturatedSamples {
		return
	}
	step := max(1, l.limit/stepDivisor)
	extra := float64(l.limit)/float64(l.baselineLimit) - 1
	slowdown := l.saturated.value()/l.baseline.value() - 1
	switch {
	case extra == 0: // the limit is the baseline limit: try one more
		l.limit++
	case slowdown >= decreaseThreshold*extra: // hardly more loads per second than at the baseline
		l.limit = max(1, l.limit-step)
	case slowdown < increaseThreshold*extra:
		l.limit += step
	}
	l.saturated = mean{}
	if l.limit <= l.baselineLimit {
		l.baseline = mean{}
	}
}

package concurrency

import (
	"math"
	"time"

	"github.com/fescuestep/fescuestep/pkg/call"
)

const (
	// queuedRatio is the ratio to the unqueued latency, on average over limitSamples
	// requests, above which requests queue. Single latencies vary by more than that, and
	// a limit that followed each of them used 0.63 of the slots.
	queuedRatio  = 1.3
	limitSamples = 8
	// highLoadShare is the share of the limit from which a measurement counts for it.
	highLoadShare = 0.7
	// limitWeight is the weight of limitSamples measurements in a limit that falls;
	// limitGrowth is the share by which it grows, at least one request.
	limitWeight, limitGrowth = 0.5, 0.05
	// minLimitShare is the least share of its slots to which the limit of an upstream
	// falls. It keeps capacity for measurements if everything is slow at once, or if
	// statements claim so.
	minLimitShare = 0.25
)

// limitEstimate is the learned number of requests that run at once. A request that finds n
// requests, itself included, at an upstream that runs k at a time takes n/k times as long
// as an unqueued one if n > k, so k is n over that ratio.
type limitEstimate struct {
	value float64 // 0: nothing was learned; the number of slots applies

	samples            int // since the last change, with the sums:
	ratios, concurrent float64

	full   float64 // requests that ran while others waited, as the upstream stated
	fullAt time.Time
}

// learned returns the learned limit, bounded by the slots.
func (l *limitEstimate) learned(slots int) float64 {
	if l.value == 0 {
		return float64(slots)
	}
	return min(max(l.value, 1, minLimitShare*float64(slots)), float64(slots))
}

// addSample adds the ratio of a measured to the expected unqueued latency with so many
// requests running.
func (l *limitEstimate) addSample(running int, ratio float64, slots int) {
	limit := l.learned(slots)
	if running < 2 && limit >= 2 || float64(running) < highLoadShare*limit {
		return
	}
	l.samples++
	l.ratios += ratio
	l.concurrent += float64(running)
	if l.samples < limitSamples {
		return
	}
	ratio, n := l.ratios/limitSamples, l.concurrent/limitSamples
	l.samples, l.ratios, l.concurrent = 0, 0, 0
	switch {
	case ratio > queuedRatio && n/ratio < limit:
		l.value = limit + limitWeight*(n/ratio-limit)
	case ratio <= queuedRatio && limit < float64(slots):
		l.value = limit + max(1, limitGrowth*limit)
	}
}

// addStatement adds a statement of requests that wait although slots are free.
func (l *limitEstimate) addStatement(s call.Load, slots int, now time.Time) {
	switch {
	case s.Waiting > 0 && s.Running > 0 && s.Running < slots:
		l.full, l.fullAt = float64(s.Running), now
	case s.Waiting == 0 || s.Running >= slots:
		l.full = 0
	}
}

// stated returns the limit with regard to the last statement, which counts for as long as
// a stated slowdown and is bounded like the learned limit.
func (l *limitEstimate) stated(now time.Time, learned float64) float64 {
	if l.full == 0 {
		return learned
	}
	share := 1.0
	if age := now.Sub(l.fullAt); age > statementValidity {
		share = math.Exp(-float64(age-statementValidity) / float64(statementDecayTime))
	}
	full := min(max(l.full, minLimitShare*learned), learned)
	return learned + share*(full-learned)
}

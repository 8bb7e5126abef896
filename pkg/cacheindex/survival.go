package cacheindex

import (
	"math"
	"time"
)

// survivalGain is the weight of one eviction in the moving average.
const survivalGain = 1.0 / 64

// gapProbability is the probability that an entry from before a gap is still
// valid: the lost events may have removed it.
const gapProbability = 0.5

// survival estimates the age at which an engine evicts blocks.
type survival struct {
	meanSeconds float64
	observed    bool
}

// observe adds the age of an evicted block to the moving average.
func (s *survival) observe(age time.Duration) {
	seconds := max(age.Seconds(), 0)
	if !s.observed {
		s.observed, s.meanSeconds = true, seconds
		return
	}
	s.meanSeconds += (seconds - s.meanSeconds) * survivalGain
}

func (s *survival) mean() time.Duration {
	return time.Duration(s.meanSeconds * float64(time.Second))
}

// probability returns the probability that a block last used age ago is still
// cached, given that it was cached sinceSync ago, when the index was last in sync
// with the engine.
func (s *survival) probability(age, sinceSync time.Duration) float64 {
	if !s.observed || sinceSync <= 0 {
		return 1
	}
	mean := max(s.meanSeconds, 0.05)
	syncedAge := max(age-sinceSync, 0).Seconds() / mean
	currentAge := max(age, sinceSync).Seconds() / mean
	return math.Exp(cumulativeHazard(syncedAge) - cumulativeHazard(currentAge))
}

// cumulativeHazard is the cumulative hazard of a Weibull distribution of shape
// 4 at the age v, in multiples of the mean survival time. Engines evict the least
// recently used block first, so recently used blocks are rarely evicted and the
// hazard rate rises steeply near the mean: at half the mean it is an eighth of
// that at the mean.
func cumulativeHazard(v float64) float64 {
	v *= v
	return v * v
}

// cachedProbability returns the probability that a block whose entry has the
// given tick is still cached on the engine.
func (st *engineState) cachedProbability(now time.Duration, tick uint32) float64 {
	age := now - time.Duration(tick)*tickLength
	p := st.survival.probability(age, min(age, now-st.syncedAt))
	if st.gap {
		p *= gapProbability
	}
	return p
}

package cacheindex

import (
	"math"
	"time"
)

// survivalGain is the weight of one eviction in the running mean.
const survivalGain = 1.0 / 64

// gapProbability is the probability that an entry seen before a gap is still right:
// the lost events may have removed it.
const gapProbability = 0.5

// survival learns the age at which an engine evicts blocks.
type survival struct {
	meanSeconds float64
	observed    bool
}

func (s *survival) observe(age time.Duration) {
	v := max(age.Seconds(), 0)
	if !s.observed {
		s.observed, s.meanSeconds = true, v
		return
	}
	s.meanSeconds += (v - s.meanSeconds) * survivalGain
}

func (s *survival) mean() time.Duration {
	return time.Duration(s.meanSeconds * float64(time.Second))
}

// probability returns the probability that a block last used age ago is still
// cached, given that no eviction was reported up to unseen ago.
func (s *survival) probability(age, unseen time.Duration) float64 {
	if !s.observed || unseen <= 0 {
		return 1
	}
	mean := max(s.meanSeconds, 0.05)
	at := max(age-unseen, 0).Seconds() / mean
	until := max(age, unseen).Seconds() / mean
	return math.Exp(cumulativeHazard(at) - cumulativeHazard(until))
}

// cumulativeHazard is the cumulative hazard of a Weibull distribution of shape 4. Engines
// evict the least recently used block first, so that young blocks are nearly
// safe and the risk rises steeply near the mean: at half the mean it is an
// eighth of that at the mean.
func cumulativeHazard(v float64) float64 {
	v *= v
	return v * v
}

// cachedProbability returns the probability for an entry of the engine.
func (st *engineState) cachedProbability(now time.Duration, tick uint32) float64 {
	age := now - time.Duration(tick)*tickLength
	p := st.survival.probability(age, min(age, now-st.syncedAt))
	if st.gap {
		p *= gapProbability
	}
	return p
}

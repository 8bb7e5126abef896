package cacheindex

import (
	"math"
	"time"
)

// survivalGain is the weight of one eviction in the running mean.
const survivalGain = 1.0 / 64

// gapTrust is the probability that an entry seen before a gap is still right:
// the lost events may have removed it.
const gapTrust = 0.5

// survival learns the age at which an engine evicts blocks.
type survival struct {
	seconds float64
	seen    bool
}

func (s *survival) observe(age time.Duration) {
	v := max(age.Seconds(), 0)
	if !s.seen {
		s.seen, s.seconds = true, v
		return
	}
	s.seconds += (v - s.seconds) * survivalGain
}

func (s *survival) mean() time.Duration {
	return time.Duration(s.seconds * float64(time.Second))
}

// alive returns the probability that a block last used age ago is still
// cached, given that no eviction was reported up to unseen ago.
func (s *survival) alive(age, unseen time.Duration) float64 {
	if !s.seen || unseen <= 0 {
		return 1
	}
	mean := max(s.seconds, 0.05)
	at := max(age-unseen, 0).Seconds() / mean
	until := max(age, unseen).Seconds() / mean
	return math.Exp(pow4(at) - pow4(until))
}

// pow4 is the cumulative hazard of a Weibull distribution of shape 4. Engines
// evict the least recently used block first, so that young blocks are nearly
// safe and the risk rises steeply near the mean: at half the mean it is an
// eighth of that at the mean.
func pow4(v float64) float64 {
	v *= v
	return v * v
}

// trust returns the probability for an entry of the engine.
func (st *engineState) trust(now time.Duration, tick uint32) float64 {
	age := now - time.Duration(tick)*tickLength
	p := st.survival.alive(age, min(age, now-st.synced))
	if st.gap {
		p *= gapTrust
	}
	return p
}

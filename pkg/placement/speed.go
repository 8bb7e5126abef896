package placement

import (
	"math"
	"time"
)

const (
	// minSampleTokens is the least number of computed tokens from which a speed is
	// learned, so that other times hardly count.
	minSampleTokens = 4096
	// minSpeed and maxSpeed bound it, in tokens per millisecond.
	minSpeed, maxSpeed = 2, 2000
	// meanSampleWeight is the weight of a new observation in the mean of all engines.
	meanSampleWeight = 0.1
	// fasterSampleWeight and slowerSampleWeight are its weights in the speed of one engine. A
	// prompt may have waited for work that is not known here, and is then slower
	// than the engine.
	fasterSampleWeight, slowerSampleWeight = 0.5, 0.2
	// speedDecayTime is how long the speed of an engine outlives its observation
	// before the mean counts more: an engine that was slow gets no work by which
	// it could show that it recovered.
	speedDecayTime = 10 * time.Second
)

// Speed is how fast an engine computes prompts, in tokens per millisecond; 0:
// not known.
type Speed float64

// timeFor returns the time for a number of tokens.
func (s Speed) timeFor(tokens float64) time.Duration {
	return time.Duration(tokens / float64(s) * float64(time.Millisecond))
}

// speedEstimate is the speed that an engine showed.
type speedEstimate struct {
	speed Speed
	at    time.Time
}

// addSample takes a new observation.
func (o *speedEstimate) addSample(sample Speed, now time.Time) {
	weight := Speed(fasterSampleWeight)
	switch {
	case o.speed == 0:
		weight = 1
	case sample < o.speed:
		weight = slowerSampleWeight
	}
	o.speed += weight * (sample - o.speed)
	o.at = now
}

// expected returns the speed that is expected now, given the mean of all engines.
func (o *speedEstimate) expected(mean Speed, now time.Time) Speed {
	if o.speed == 0 {
		return mean
	}
	share := math.Exp(-float64(now.Sub(o.at)) / float64(speedDecayTime))
	return mean + Speed(share)*(o.speed-mean)
}

// measuredSpeed returns the speed that an engine showed with a prompt that did not
// wait; 0: the attempt says nothing about it.
func (t *Attempt) measuredSpeed(now time.Time) Speed {
	took := float64(now.Sub(t.sentAt)) / float64(time.Millisecond)
	if !t.idleAtSend || t.work.PrefillTokens < minSampleTokens || took <= 0 {
		return 0
	}
	return Speed(float64(t.work.PrefillTokens) / took)
}

// recordSpeed records what an engine showed.
func (b *Balancer) recordSpeed(s *upstreamState, sample Speed, now time.Time) {
	if !(sample > 0) { // also what is not a number
		return
	}
	sample = min(max(sample, minSpeed), maxSpeed)
	b.meanSpeed += meanSampleWeight * (sample - b.meanSpeed)
	s.speed.addSample(sample, now)
}

// minBacklogShare is the share of the tokens without a first answer that is assumed
// to be left, however long ago they were sent.
const minBacklogShare = 0.5

// backlog estimates the prompt tokens that an engine has still to compute. What
// was sent is known, and when its first token came; between the two, the engine
// is assumed to work at its speed.
type backlog struct {
	tokens float64
	at     time.Time
}

// advance lets the engine work until now. Outstanding are the tokens of prompts
// without a first token.
func (l *backlog) advance(speed Speed, outstanding int, now time.Time) {
	done := float64(speed) * float64(now.Sub(l.at)) / float64(time.Millisecond)
	l.at = now
	l.tokens = min(max(l.tokens-done, minBacklogShare*float64(outstanding)), float64(outstanding))
}

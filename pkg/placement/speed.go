package placement

import (
	"math"
	"time"
)

const (
	// minSampleTokens is the minimum number of computed tokens for a measurement of the
	// prefill speed, so that other delays hardly affect it.
	minSampleTokens = 4096
	// minSpeed and maxSpeed bound the measured speeds, in tokens per millisecond.
	minSpeed, maxSpeed = 2, 2000
	// meanFasterWeight and meanSlowerWeight are the weights of a sample in the moving
	// average over all engines, by whether it is faster or slower than the average.
	meanFasterWeight, meanSlowerWeight = 0.1, 0.03
	// fasterSampleWeight and slowerSampleWeight are the weights of a sample in the speed
	// of one engine, by whether it is faster or slower than the current estimate. Slower
	// samples count less because the prompt may have waited for work that is unknown to
	// this instance.
	fasterSampleWeight, slowerSampleWeight = 0.5, 0.2
	// speedDecayTime is the time constant with which the estimate of an engine's speed
	// decays to the mean of all engines. Without it, an engine that was slow would get
	// no requests with which its recovery could be measured.
	speedDecayTime = 10 * time.Second
)

// Speed is the prefill speed of an engine in prompt tokens per millisecond; 0: unknown.
type Speed float64

// timeFor returns the time to compute the given number of prompt tokens.
func (s Speed) timeFor(tokens float64) time.Duration {
	return time.Duration(tokens / float64(s) * float64(time.Millisecond))
}

// speedEstimate is a moving average of the measured speed of one engine.
type speedEstimate struct {
	speed     Speed
	updatedAt time.Time
}

// addSample adds a measurement.
func (e *speedEstimate) addSample(sample Speed, now time.Time) {
	weight := Speed(fasterSampleWeight)
	switch {
	case e.speed == 0:
		weight = 1
	case sample < e.speed:
		weight = slowerSampleWeight
	}
	e.speed += weight * (sample - e.speed)
	e.updatedAt = now
}

// expected returns the expected current speed, given the mean speed of all engines.
func (e *speedEstimate) expected(mean Speed, now time.Time) Speed {
	if e.speed == 0 {
		return mean
	}
	share := math.Exp(-float64(now.Sub(e.updatedAt)) / float64(speedDecayTime))
	return mean + Speed(share)*(e.speed-mean)
}

// measuredSpeed returns the prefill speed of the engine in an attempt whose first token
// arrives now, or 0 if the prompt was too short or took time that is not known: other
// prompts were pending or came meanwhile, or the engine fetched KV cache.
func (b *Balancer) measuredSpeed(a *Attempt, s *upstreamState, now time.Time) Speed {
	elapsedMS := float64(now.Sub(a.sentAt)) / float64(time.Millisecond)
	fetched := a.CachedAfterFetch > a.CachedTokens
	if s == nil || !a.idleAtSend || fetched || a.work.PrefillTokens < minSampleTokens || elapsedMS <= 0 {
		return 0
	}
	if s.prefillBegins != a.prefillBegins {
		return 0
	}
	return Speed(float64(a.work.PrefillTokens) / elapsedMS)
}

// recordSpeed adds a measured speed to the estimates; 0 is ignored.
func (b *Balancer) recordSpeed(s *upstreamState, sample Speed, now time.Time) {
	if !(sample > 0) { // also ignores NaN
		return
	}
	sample = min(max(sample, minSpeed), maxSpeed)
	weight := Speed(meanFasterWeight)
	if sample < b.meanSpeed {
		weight = meanSlowerWeight
	}
	b.meanSpeed += weight * (sample - b.meanSpeed)
	s.speed.addSample(sample, now)
}

// minBacklogShare is the minimum share of the pending prompt tokens that is assumed to
// be left to compute, however long ago they were sent.
const minBacklogShare = 0.5

// backlog estimates the number of prompt tokens that an engine still has to compute. The
// times of sending a prompt and of its first token are known; in between, the engine is
// assumed to compute at its expected speed.
type backlog struct {
	tokens    float64
	updatedAt time.Time
}

// advance updates the estimate to the current time. pending is the number of prompt
// tokens of requests without a first token.
func (b *backlog) advance(speed Speed, pending int, now time.Time) {
	computed := float64(speed) * float64(now.Sub(b.updatedAt)) / float64(time.Millisecond)
	b.updatedAt = now
	b.tokens = min(max(b.tokens-computed, minBacklogShare*float64(pending)), float64(pending))
}

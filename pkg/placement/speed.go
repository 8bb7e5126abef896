package placement

import (
	"time"

	"github.com/fescuestep/fescuestep/pkg/concurrency"
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
)

// Speed is the prefill speed of an engine in prompt tokens per millisecond; 0: unknown.
type Speed float64

// timeFor returns the time to compute the given number of prompt tokens.
func (s Speed) timeFor(tokens float64) time.Duration {
	return time.Duration(tokens / float64(s) * float64(time.Millisecond))
}

// measuredSpeed returns the prefill speed of the engine in an attempt whose first token
// arrives now, or 0 if the prompt was too short or took time that is not known: other
// prompts were pending or came meanwhile, the engine fetched KV cache, or the slowdown
// that it states changed.
func (b *Balancer) measuredSpeed(a *Attempt, s *upstreamState, now time.Time) Speed {
	elapsedMS := float64(now.Sub(a.sentAt)) / float64(time.Millisecond)
	fetched := a.CachedAfterFetch > a.CachedTokens
	if s == nil || !a.idleAtSend || fetched || a.work.PrefillTokens < minSampleTokens || elapsedMS <= 0 {
		return 0
	}
	if s.prefillBegins != a.prefillBegins || concurrency.Differ(s.capacity.StatedFactor(now), a.statedAtSend) {
		return 0
	}
	return Speed(float64(a.work.PrefillTokens) / elapsedMS)
}

// recordMeasured adds a speed that this instance measured to the estimates; 0 is ignored.
// It returns the speed without the stated slowdown, which others may add to theirs.
func (b *Balancer) recordMeasured(s *upstreamState, sample Speed, now time.Time) Speed {
	if !(sample > 0) { // also ignores NaN
		return 0
	}
	unslowed := b.recordMeanSpeed(sample * Speed(s.capacity.StatedFactor(now)))
	s.capacity.RecordSample(now, b.speedSample(sample))
	return unslowed
}

// recordAnnounced adds a speed that another instance announced; 0 is ignored.
func (b *Balancer) recordAnnounced(s *upstreamState, unslowed Speed, now time.Time) {
	if !(unslowed > 0) {
		return
	}
	s.capacity.RecordUnslowed(now, b.speedSample(b.recordMeanSpeed(unslowed)))
}

// recordMeanSpeed adds a speed to the mean of all engines, and returns it within bounds.
func (b *Balancer) recordMeanSpeed(sample Speed) Speed {
	sample = min(max(sample, minSpeed), maxSpeed)
	weight := Speed(meanFasterWeight)
	if sample < b.meanSpeed {
		weight = meanSlowerWeight
	}
	b.meanSpeed += weight * (sample - b.meanSpeed)
	return sample
}

// speedSample returns a measured speed as the time of some work; only the ratio to the
// usual time counts.
func (b *Balancer) speedSample(sample Speed) concurrency.Sample {
	const usual = time.Second
	return concurrency.Sample{Took: time.Duration(float64(usual) * float64(b.meanSpeed/sample)), Usual: usual, Running: 1}
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

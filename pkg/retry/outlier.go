// Package retry decides whether and when a request is retried and which upstreams
// are ejected because they fail.
package retry

import (
	"math/rand/v2"
	"time"
)

// OutlierConfig configures the ejection of failing upstreams.
type OutlierConfig struct {
	ConsecutiveFailures int           // number that ejects an upstream
	BaseEjection        time.Duration // duration of the first ejection, doubled for each further one
	MaxEjection         time.Duration // upper bound of the doubled duration, without jitter
	SlowStartDuration   time.Duration // time until an upstream gets its full capacity after an ejection; 0: no slow start
}

// DefaultOutlierConfig ejects on the third consecutive failure; a refused connection
// ejects at once (see RecordUnreachable). BaseEjection is longer than the interval of
// load reports, so that a report confirms the upstream before the ejection ends.
var DefaultOutlierConfig = OutlierConfig{
	ConsecutiveFailures: 3,
	BaseEjection:        time.Second,
	MaxEjection:         30 * time.Second,
	SlowStartDuration:   2 * time.Second,
}

// OutlierState is the failure and ejection state of one upstream. The zero value is
// an upstream without failures.
type OutlierState struct {
	failures     int // consecutive
	ejections    int // since the last success
	ejectedUntil time.Time
	slowStartAt  time.Time // start of the slow start; zero: none
}

// RecordSuccess records a request that the upstream served. It resets the count of
// failures and the doubling of ejections.
func (o *OutlierState) RecordSuccess() {
	o.failures = 0
	o.ejections = 0
}

// RecordFailure records a failed request. The upstream is ejected when the number of
// consecutive failures reaches cfg.ConsecutiveFailures.
func (o *OutlierState) RecordFailure(now time.Time, cfg *OutlierConfig, rng *rand.Rand) {
	o.failures++
	if o.failures >= cfg.ConsecutiveFailures {
		o.eject(now, cfg, rng)
	}
}

// RecordUnreachable records a refused connection and ejects the upstream at once,
// because its process is gone or accepts no connections.
func (o *OutlierState) RecordUnreachable(now time.Time, cfg *OutlierConfig, rng *rand.Rand) {
	o.eject(now, cfg, rng)
}

func (o *OutlierState) eject(now time.Time, cfg *OutlierConfig, rng *rand.Rand) {
	if now.Before(o.ejectedUntil) {
		return // already ejected; the failed request was sent before
	}
	d := Backoff(o.ejections, cfg.BaseEjection, cfg.MaxEjection)
	// Up to 25 % of jitter, so that instances do not resume sending at the same time.
	d += time.Duration(rng.Int64N(int64(d)/4 + 1))
	o.ejections++
	o.failures = 0
	o.ejectedUntil = now.Add(d)
	o.slowStartAt = o.ejectedUntil
}

// EndEjection ends the current ejection early, when the upstream answered a poll, and
// begins a slow start.
func (o *OutlierState) EndEjection(now time.Time) {
	if now.Before(o.ejectedUntil) {
		o.ejectedUntil = now
		o.slowStartAt = now
	}
}

// BeginSlowStart begins a slow start, for an upstream that is new or lost its cache.
func (o *OutlierState) BeginSlowStart(now time.Time) { o.slowStartAt = now }

// Ejected reports whether the upstream is ejected now.
func (o *OutlierState) Ejected(now time.Time) bool { return now.Before(o.ejectedUntil) }

// EjectedUntil returns the end of the current or last ejection, or the zero time.
func (o *OutlierState) EjectedUntil() time.Time { return o.ejectedUntil }

// minSlowStartCapacity is the share of its slots that an upstream may use at the
// start of a slow start. Without any requests its cache would never become warm.
const minSlowStartCapacity = 0.2

// Capacity returns the share of its slots, in (0, 1], that the upstream may use. The
// share grows linearly during the slow start.
func (o *OutlierState) Capacity(now time.Time, cfg *OutlierConfig) float64 {
	if o.slowStartAt.IsZero() || cfg.SlowStartDuration <= 0 {
		return 1
	}
	elapsed := now.Sub(o.slowStartAt)
	if elapsed >= cfg.SlowStartDuration {
		return 1
	}
	return max(minSlowStartCapacity, float64(elapsed)/float64(cfg.SlowStartDuration))
}

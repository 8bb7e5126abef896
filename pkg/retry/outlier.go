// Package retry decides whether and when a request is tried again and which
// upstreams are ejected because they fail.
package retry

import (
	"math/rand/v2"
	"time"
)

// OutlierConfig sets the ejection of failing upstreams.
type OutlierConfig struct {
	ConsecutiveFailures int           // failures in a row that eject
	BaseEjection        time.Duration // first ejection
	MaxEjection         time.Duration // longest ejection
	SlowStartDuration   time.Duration // ramp of a returned upstream
}

// DefaultOutlierConfig ejects on the first refused connection (see Unreachable) and
// on the third failure in a row. Base is longer than the interval of load
// reports, so that a report confirms the upstream before it returns.
var DefaultOutlierConfig = OutlierConfig{
	ConsecutiveFailures: 3,
	BaseEjection:        time.Second,
	MaxEjection:         30 * time.Second,
	SlowStartDuration:   2 * time.Second,
}

// OutlierState is the failure state of one upstream.
type OutlierState struct {
	failures     int // in a row
	ejections    int // in a row without success between
	ejectedUntil time.Time
	slowStartAt  time.Time // start of the slow start, zero when not ramping
}

// RecordSuccess records a request that the upstream served.
func (o *OutlierState) RecordSuccess() {
	o.failures = 0
	o.ejections = 0
}

// RecordFailure records a failed request and ejects after several in a row.
func (o *OutlierState) RecordFailure(now time.Time, cfg *OutlierConfig, rng *rand.Rand) {
	o.failures++
	if o.failures >= cfg.ConsecutiveFailures {
		o.eject(now, cfg, rng)
	}
}

// RecordUnreachable records a refused connection, which ejects at once: the process
// is gone or takes no connections.
func (o *OutlierState) RecordUnreachable(now time.Time, cfg *OutlierConfig, rng *rand.Rand) {
	o.eject(now, cfg, rng)
}

func (o *OutlierState) eject(now time.Time, cfg *OutlierConfig, rng *rand.Rand) {
	if now.Before(o.ejectedUntil) {
		return // failures of requests sent before the ejection
	}
	d := Backoff(o.ejections, cfg.BaseEjection, cfg.MaxEjection)
	// Jitter of a quarter keeps instances from returning to it together.
	d += time.Duration(rng.Int64N(int64(d)/4 + 1))
	o.ejections++
	o.failures = 0
	o.ejectedUntil = now.Add(d)
	o.slowStartAt = o.ejectedUntil
}

// EndEjection ends an ejection early because the upstream answered a poll.
func (o *OutlierState) EndEjection(now time.Time) {
	if now.Before(o.ejectedUntil) {
		o.ejectedUntil = now
		o.slowStartAt = now
	}
}

// BeginSlowStart begins a slow start: the upstream is new or lost its cache.
func (o *OutlierState) BeginSlowStart(now time.Time) { o.slowStartAt = now }

// Ejected reports whether the upstream takes no work.
func (o *OutlierState) Ejected(now time.Time) bool { return now.Before(o.ejectedUntil) }

// EjectedUntil returns the end of the current or last ejection.
func (o *OutlierState) EjectedUntil() time.Time { return o.ejectedUntil }

// minSlowStartCapacity lets a returned upstream take some work at once; without any
// it would never become warm.
const minSlowStartCapacity = 0.2

// Capacity returns the share of its slots, in (0, 1], that the upstream may
// use. It grows linearly during the slow start.
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

// Package retry decides whether and when a request is tried again and which
// upstreams are ejected because they fail.
package retry

import (
	"math/rand/v2"
	"time"
)

// OutlierConfig sets the ejection of failing upstreams.
type OutlierConfig struct {
	Consecutive int           // failures in a row that eject
	Base        time.Duration // first ejection
	Max         time.Duration // longest ejection
	SlowStart   time.Duration // ramp of a returned upstream
}

// DefaultOutlier ejects on the first refused connection (see Unreachable) and
// on the third failure in a row. Base is longer than the interval of load
// reports, so that a report confirms the upstream before it returns.
var DefaultOutlier = OutlierConfig{
	Consecutive: 3,
	Base:        time.Second,
	Max:         30 * time.Second,
	SlowStart:   2 * time.Second,
}

// Outlier is the failure state of one upstream.
type Outlier struct {
	failures  int // in a row
	ejections int // in a row without success between
	until     time.Time
	returned  time.Time // start of the slow start, zero when not ramping
}

// Success records a request that the upstream served.
func (o *Outlier) Success() {
	o.failures = 0
	o.ejections = 0
}

// Failure records a failed request and ejects after several in a row.
func (o *Outlier) Failure(now time.Time, cfg *OutlierConfig, rng *rand.Rand) {
	o.failures++
	if o.failures >= cfg.Consecutive {
		o.eject(now, cfg, rng)
	}
}

// Unreachable records a refused connection, which ejects at once: the process
// is gone or takes no connections.
func (o *Outlier) Unreachable(now time.Time, cfg *OutlierConfig, rng *rand.Rand) {
	o.eject(now, cfg, rng)
}

func (o *Outlier) eject(now time.Time, cfg *OutlierConfig, rng *rand.Rand) {
	if now.Before(o.until) {
		return // failures of requests sent before the ejection
	}
	d := Backoff(o.ejections, cfg.Base, cfg.Max)
	// Jitter of a quarter keeps instances from returning to it together.
	d += time.Duration(rng.Int64N(int64(d)/4 + 1))
	o.ejections++
	o.failures = 0
	o.until = now.Add(d)
	o.returned = o.until
}

// Return ends an ejection early because the upstream answered a poll.
func (o *Outlier) Return(now time.Time) {
	if now.Before(o.until) {
		o.until = now
		o.returned = now
	}
}

// Restarted begins a slow start: the upstream is new or lost its cache.
func (o *Outlier) Restarted(now time.Time) { o.returned = now }

// Ejected reports whether the upstream takes no work.
func (o *Outlier) Ejected(now time.Time) bool { return now.Before(o.until) }

// Until returns the end of the current or last ejection.
func (o *Outlier) Until() time.Time { return o.until }

// slowStartFloor lets a returned upstream take some work at once; without any
// it would never become warm.
const slowStartFloor = 0.2

// Capacity returns the share of its slots, in (0, 1], that the upstream may
// use. It grows linearly during the slow start.
func (o *Outlier) Capacity(now time.Time, cfg *OutlierConfig) float64 {
	if o.returned.IsZero() || cfg.SlowStart <= 0 {
		return 1
	}
	elapsed := now.Sub(o.returned)
	if elapsed >= cfg.SlowStart {
		return 1
	}
	return max(slowStartFloor, float64(elapsed)/float64(cfg.SlowStart))
}

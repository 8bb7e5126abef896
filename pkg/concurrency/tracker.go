// Package concurrency estimates, for one upstream, how long work takes there now
// relative to the usual time and how many concurrent requests it runs before its latency
// rises. The package does no I/O, is not safe for concurrent use, and takes the current
// time as an argument.
package concurrency

import (
	"math"
	"time"

	"github.com/fescuestep/fescuestep/pkg/call"
)

const (
	// minRatio and maxRatio bound the ratio of a measured to the usual time, so that one
	// measurement does not dominate an estimate.
	minRatio, maxRatio = 1.0 / 32, 32
	// unknownSlots is assumed if an upstream's number of slots is not known.
	unknownSlots = 32
	// lowLoadShare is the share of the limit up to which a measurement shows the speed of
	// the upstream rather than queueing.
	lowLoadShare = 0.5
	// minRamp and rampTime describe the conservative start of a new process: its limit
	// grows from minRamp of the learned one to all of it within rampTime.
	minRamp  = 0.25
	rampTime = 2 * time.Second
)

// Config describes an upstream and how fast its estimate follows measurements.
type Config struct {
	Slots int // stated number of requests that run at once; 0: unknown
	// FasterWeight and SlowerWeight are the weights of a measurement in the moving average
	// of the speed, by whether it is faster or slower than the average.
	FasterWeight, SlowerWeight float64
	// DecayTime is the time constant with which a learned speed decays to the usual one.
	// Without it, an upstream that was slow would get no requests with which its recovery
	// could be measured.
	DecayTime time.Duration
}

// EngineConfig is the configuration for model servers. A slower measurement counts less,
// because the prompt may have waited for work of which this instance does not know.
func EngineConfig(slots int) Config { return Config{slots, 0.5, 0.2, 10 * time.Second} }

// PlainConfig is the configuration for other upstreams. Requests of one service differ in
// their work, so a single measurement counts little, and they are short, so another one
// costs little.
func PlainConfig(slots int) Config { return Config{slots, 0.2, 0.2, 5 * time.Second} }

// Sample is the measurement that the end of a request gives.
type Sample struct {
	Took    time.Duration // until the answer; 0: the request gives no measurement
	Usual   time.Duration // that the request takes at the usual speed if it does not queue
	Running int           // requests of all instances at the upstream when it was sent, itself included
}

// Tracker tracks one process of an upstream. Its estimates combine the speed learned from
// measurements, what other instances report, and the upstream's own statements.
type Tracker struct {
	cfg       Config
	startedAt time.Time // of the process; zero: unknown

	running  int // requests of this instance
	stated   statement
	trust    trust
	relative movingSpeed // learned speed, apart from the stated slowdown
	raw      movingSpeed // learned speed, whatever was stated
	told     movingSpeed // speed that other instances report
	limit    limitEstimate
}

// NewTracker returns a tracker for a process that started at startedAt (zero: unknown).
func NewTracker(cfg Config, startedAt time.Time) *Tracker {
	return &Tracker{cfg: cfg, startedAt: startedAt}
}

// SetSlots replaces the stated number of slots; 0: unknown.
func (t *Tracker) SetSlots(slots int) { t.cfg.Slots = slots }

// RecordStart records that this instance sends a request.
func (t *Tracker) RecordStart(time.Time) { t.running++ }

// RecordEnd records that a request of this instance has ended.
func (t *Tracker) RecordEnd(now time.Time, s Sample) {
	t.running = max(0, t.running-1)
	t.RecordSample(now, s)
}

// RecordSample adds a measurement without the end of a request: the first token of a
// stream, or a measurement that another instance announced.
func (t *Tracker) RecordSample(now time.Time, s Sample) {
	if s.Took <= 0 || s.Usual <= 0 {
		return
	}
	ratio := min(max(float64(s.Took)/float64(s.Usual), minRatio), maxRatio)
	t.limit.addSample(s.Running, ratio/t.SlowdownFactor(now), t.slots())
	if s.Running > 1 && float64(s.Running) > lowLoadShare*t.learnedLimit() {
		return // the latency may be that of a queue
	}
	stated := t.stated.factor(now)
	t.trust.compare(ratio, t.relative.slowdown(now)*stated, t.raw.slowdown(now))
	t.relative.add(stated/ratio, t.cfg, now)
	t.raw.add(1/ratio, t.cfg, now)
}

// RecordUnslowed adds a measurement of another instance, in which the stated slowdown is
// left out already.
func (t *Tracker) RecordUnslowed(now time.Time, s Sample) {
	if s.Took <= 0 || s.Usual <= 0 {
		return
	}
	ratio := min(max(float64(s.Took)/float64(s.Usual), minRatio), maxRatio)
	t.relative.add(1/ratio, t.cfg, now)
	t.raw.add(1/(ratio*t.stated.factor(now)), t.cfg, now)
}

// RecordStatement records the load that the upstream stated in a response to this
// instance.
func (t *Tracker) RecordStatement(now time.Time, l call.Load) {
	if l.WorkTimePercent > 0 {
		t.stated.set(float64(l.WorkTimePercent)/100, now, true)
	}
	t.limit.addStatement(l, t.slots(), now)
}

// SlowdownFactor returns how many times as long as usual work takes at the upstream, in
// [minRatio, maxRatio]. It is 1 if nothing is known.
func (t *Tracker) SlowdownFactor(now time.Time) float64 {
	return min(max(t.learned(now)*t.StatedFactor(now), minRatio), maxRatio)
}

// Stretch returns how long work of the usual duration d takes if it begins now. The stated
// slowdown applies for as long as it is expected to remain, the learned one to all of it.
func (t *Tracker) Stretch(now time.Time, d time.Duration) time.Duration {
	learned, stated := t.learned(now), t.StatedFactor(now)
	work := float64(d) * learned
	if slow := float64(expectedRemaining); work*stated > slow {
		return time.Duration(slow + work - slow/stated)
	}
	return time.Duration(work * stated)
}

// StatedFactor returns the part of SlowdownFactor that the upstream stated, or 1 if its
// statements were found to predict the measurements worse than their mean does.
func (t *Tracker) StatedFactor(now time.Time) float64 {
	if !t.trust.ok() {
		return 1
	}
	return t.stated.factor(now)
}

// maxToldWeight and maxOwnWeight bound the numbers of measurements with which the speeds
// that others report and that this instance measured count. Own measurements count more,
// so that an upstream that is slow for this instance only is slow in its own choice, and
// only there.
const (
	maxToldWeight = 3
	maxOwnWeight  = 10
)

// learned returns the learned slowdown, as the mean of own and reported logarithms.
func (t *Tracker) learned(now time.Time) float64 {
	own := &t.relative
	if !t.trust.ok() {
		own = &t.raw
	}
	if t.told.samples == 0 {
		return own.slowdown(now)
	}
	ownWeight := min(own.samples, maxOwnWeight) * own.share(now)
	toldWeight := min(t.told.samples, maxToldWeight) * t.told.share(now)
	if ownWeight+toldWeight == 0 {
		return 1
	}
	log := (ownWeight*math.Log(own.slowdown(now)) + toldWeight*math.Log(t.told.slowdown(now))) / (ownWeight + toldWeight)
	return math.Exp(log)
}

// Limit returns how many concurrent requests of all instances the upstream runs before its
// latency rises, at least 1.
func (t *Tracker) Limit(now time.Time) int {
	limit := t.limit.stated(now, t.learnedLimit())
	return max(1, int(math.Round(limit*t.ramp(now))))
}

func (t *Tracker) learnedLimit() float64 { return t.limit.learned(t.slots()) }

func (t *Tracker) slots() int {
	if t.cfg.Slots <= 0 {
		return unknownSlots
	}
	return t.cfg.Slots
}

// ramp returns the share of its limit that a process may use, by its age. A start in the
// future, by another machine's clock, counts as unknown.
func (t *Tracker) ramp(now time.Time) float64 {
	age := now.Sub(t.startedAt)
	if t.startedAt.IsZero() || age < 0 || age >= rampTime {
		return 1
	}
	return max(minRamp, float64(age)/float64(rampTime))
}

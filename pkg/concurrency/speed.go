package concurrency

import (
	"math"
	"time"
)

const (
	// statementValidity is how long a stated figure holds in full. Machines slow down for
	// about 600 ms at a time.
	statementValidity = 600 * time.Millisecond
	// statementDecayTime is the time constant of its decay afterwards.
	statementDecayTime = 300 * time.Millisecond
	// expectedRemaining is how long a machine that is slow now is expected to remain slow.
	expectedRemaining = 600 * time.Millisecond
	// constantFigureAge is how long a figure may stay the same and count in full. Real
	// ones change within about 600 ms; one that does not change is decayed with the time
	// constant constantFigureDecay, so that measurements decide.
	constantFigureAge   = 5 * time.Second
	constantFigureDecay = 3 * time.Second
	// noticeableChange is the relative change of a figure that counts as another figure.
	noticeableChange = 1.15
	// maxStated bounds a stated slowdown. Figures below the usual time count as the usual
	// time, since one low figure must not attract the requests of all instances.
	maxStated = 10
)

// movingSpeed is a moving average of measured speeds relative to the usual one.
type movingSpeed struct {
	speed   float64 // 0: nothing was measured
	samples float64
	decay   time.Duration
	at      time.Time
}

func (m *movingSpeed) add(sample float64, cfg Config, now time.Time) {
	weight := cfg.FasterWeight
	switch {
	case m.speed == 0:
		weight = 1
	case sample < m.speed:
		weight = cfg.SlowerWeight
	}
	m.speed += weight * (sample - m.speed)
	m.samples++
	m.decay = cfg.DecayTime
	m.at = now
}

// slowdown returns the inverse of the speed, decayed to 1 since the last measurement.
func (m *movingSpeed) slowdown(now time.Time) float64 {
	if m.speed == 0 {
		return 1
	}
	return 1 / (1 + m.share(now)*(m.speed-1))
}

// share returns the share of the last measurements that has not decayed.
func (m *movingSpeed) share(now time.Time) float64 {
	if m.samples == 0 {
		return 0
	}
	return math.Exp(-float64(max(0, now.Sub(m.at))) / float64(m.decay))
}

// statement is the slowdown that the upstream stated last.
type statement struct {
	value     float64 // 0: nothing was stated
	at        time.Time
	reference float64   // value that was stated at since
	since     time.Time // since when the values have not differed noticeably from reference
	direct    bool      // received by this instance, not reported by another
}

func (s *statement) set(value float64, at time.Time, direct bool) {
	value = min(max(value, 1), maxStated)
	if s.value == 0 || Differ(value, s.reference) || at.Sub(s.at) > constantFigureAge {
		s.reference, s.since = value, at
	}
	s.value, s.at, s.direct = value, at, direct
}

// Differ reports whether two slowdowns differ noticeably.
func Differ(a, b float64) bool { return a > b*noticeableChange || b > a*noticeableChange }

// factor returns the stated slowdown, decayed to 1 with its age.
func (s *statement) factor(now time.Time) float64 {
	if s.value <= 1 {
		return 1
	}
	share := 1.0
	if age := now.Sub(s.at); age > statementValidity {
		share *= math.Exp(-float64(age-statementValidity) / float64(statementDecayTime))
	}
	if age := s.at.Sub(s.since); age > constantFigureAge {
		share *= math.Exp(-float64(age-constantFigureAge) / float64(constantFigureDecay))
	}
	return 1 + share*(s.value-1)
}

const (
	// trustWeight is the weight of a measurement in the prediction errors.
	trustWeight = 0.1
	// trustMargin is by how much, as the logarithm of a ratio, predictions with the stated
	// figures may be worse than without before the figures are ignored.
	trustMargin = 0.1
	// minCompared is the number of measurements before which figures are trusted.
	minCompared = 8
)

// trust compares how well measurements are predicted with the stated figures and without.
type trust struct {
	compared           int
	withError, without float64 // moving averages of absolute logarithms
}

func (t *trust) compare(ratio, predictedWith, predictedWithout float64) {
	t.compared++
	t.withError += trustWeight * (math.Abs(math.Log(ratio/predictedWith)) - t.withError)
	t.without += trustWeight * (math.Abs(math.Log(ratio/predictedWithout)) - t.without)
}

func (t *trust) ok() bool { return t.compared < minCompared || t.withError <= t.without+trustMargin }

// Package movingrate measures how much of something occurs per second, as a moving average
// that forgets exponentially. It is not safe for concurrent use and takes the current time
// as an argument.
package movingrate

import (
	"math"
	"time"
)

// Decay is the time constant with which a Rate forgets.
const Decay = 2 * time.Second

// Rate is a moving average of an amount per second. The zero value is a rate of 0.
type Rate struct {
	perSecond float64
	updatedAt time.Time
}

// Add counts an amount that occurs now.
func (r *Rate) Add(amount float64, now time.Time) {
	r.perSecond = r.PerSecond(now) + amount/Decay.Seconds()
	r.updatedAt = now
}

// PerSecond returns the average at a time that is not before the last Add.
func (r *Rate) PerSecond(now time.Time) float64 {
	if r.updatedAt.IsZero() {
		return 0
	}
	return r.perSecond * math.Exp(-now.Sub(r.updatedAt).Seconds()/Decay.Seconds())
}

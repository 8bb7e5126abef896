package fleet

import "time"

// minOutage is how long the store must be away for entries of live upstreams to expire:
// they are written about every second, and removed after three such intervals of silence.
const minOutage = 2 * time.Second

// outage decides, from the times at which the store answered any instance, whether it is
// away and, once it is back, until when the lack of an entry may be a consequence. Failed
// calls don't count: they may be due to the connection of one instance.
type outage struct {
	lastAnswerAt time.Time // newest answer of the store to any instance
	graceUntil   time.Time
	leftToOthers bool // this instance makes no calls of its own
}

// answered records that the store answered this or another instance at a time. The first
// answer after an outage starts the grace period. It reports whether that is so.
func (o *outage) answered(at time.Time) (returned bool) {
	if !at.After(o.lastAnswerAt) {
		return false
	}
	returned = !o.lastAnswerAt.IsZero() && at.Sub(o.lastAnswerAt) >= minOutage
	if returned {
		o.graceUntil = at.Add(ReconnectGracePeriod)
	}
	o.lastAnswerAt = at
	return returned
}

// ongoing reports whether the store is away.
func (o *outage) ongoing(now time.Time) bool {
	return !o.leftToOthers && now.Sub(o.lastAnswerAt) >= minOutage
}

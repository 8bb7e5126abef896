package fleet

import "time"

// minOutage is how long the store must be away for entries of live upstreams to expire:
// they are written about every second, and removed after three such intervals of silence.
const minOutage = 2 * time.Second

// outage decides whether the store is away and, once it is back, until when the lack of an
// entry may be a consequence. The store is away while it answers no instance and calls of
// this one fail. Failed calls alone may be due to the connection of this instance, and the
// lack of answers to the silence of those that ask the store in its place.
type outage struct {
	lastAnswerAt time.Time // newest answer of the store to any instance
	failedAt     time.Time // when the last call of this instance began that failed
	graceUntil   time.Time
	leftToOthers bool // this instance makes no calls of its own
}

// answered records that the store answered this or another instance at a time. The first
// answer after an outage starts the grace period. It reports whether that is so.
func (o *outage) answered(at time.Time) (returned bool) {
	if !at.After(o.lastAnswerAt) {
		return false
	}
	returned = o.away(at)
	if returned {
		o.graceUntil = at.Add(ReconnectGracePeriod)
	}
	o.lastAnswerAt = at
	return returned
}

// failed records that a call of this instance failed that began at a time. One that began
// before the last answer says nothing of the time since.
func (o *outage) failed(began time.Time) {
	if began.After(o.failedAt) {
		o.failedAt = began
	}
}

// away reports whether the store has been away, for minOutage or longer, at a time.
func (o *outage) away(at time.Time) bool {
	return !o.lastAnswerAt.IsZero() && o.failedAt.After(o.lastAnswerAt) && at.Sub(o.lastAnswerAt) >= minOutage
}

// ongoing reports whether the store is away now and this instance waits for its return.
func (o *outage) ongoing(now time.Time) bool { return !o.leftToOthers && o.away(now) }

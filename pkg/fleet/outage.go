package fleet

import "time"

// minOutage is how long the store must be away for entries of live upstreams to expire:
// they are written about every second, and removed after three such intervals of silence.
const minOutage = 2 * time.Second

// Uptime is a period in which the store answered at least one instance every minOutage or
// more often. The zero value is a period that is not known.
type Uptime struct {
	Since time.Time // first answer
	Until time.Time // last known answer
}

// IsZero reports whether the period is not known.
func (u Uptime) IsZero() bool { return u.Since.IsZero() || u.Until.Before(u.Since) }

// precedes reports whether an outage lies between two periods.
func (u Uptime) precedes(later Uptime) bool { return later.Since.Sub(u.Until) >= minOutage }

// union returns the period that two make up between which no outage lies.
func (u Uptime) union(other Uptime) Uptime {
	if other.Since.Before(u.Since) {
		u.Since = other.Since
	}
	if other.Until.After(u.Until) {
		u.Until = other.Until
	}
	return u
}

// outage decides whether the store is away and, once it is back, until when the lack of an
// entry may be a consequence. The store is away while it answers no instance and calls of
// this one fail. Failed calls alone may be due to the connection of this instance, and the
// lack of answers to the silence of those that ask the store in its place.
type outage struct {
	uptime       Uptime    // newest period
	graceUntil   time.Time // of the outage before it
	before       Uptime    // the period before; zero: none is known
	graceBefore  time.Time // of the outage before that one
	failedAt     time.Time // when the last call of this instance began that failed
	leftToOthers bool      // this instance makes no calls of its own
}

// answered records a period in which the store answered this or another instance. The first
// answer after an outage starts the grace period. It reports whether that is so. What other
// instances tell may show later that there was no outage, which ends the grace period.
func (o *outage) answered(u Uptime) (returned bool) {
	switch {
	case u.IsZero():
		return false
	case o.uptime.IsZero():
		o.uptime = u
	case o.uptime.precedes(u):
		returned = o.failedAt.After(o.uptime.Until)
		o.begin(u, returned)
	case !u.precedes(o.uptime):
		o.uptime = o.uptime.union(u)
	}
	if !o.before.IsZero() && !o.before.precedes(o.uptime) {
		o.uptime, o.before = o.uptime.union(o.before), Uptime{}
		o.graceUntil = o.graceBefore
	}
	return returned
}

// begin records the first period after the newest one.
func (o *outage) begin(u Uptime, afterOutage bool) {
	o.before, o.graceBefore = o.uptime, o.graceUntil
	o.uptime = u
	if afterOutage {
		o.graceUntil = u.Since.Add(ReconnectGracePeriod)
	}
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
	return !o.uptime.IsZero() && o.failedAt.After(o.uptime.Until) && at.Sub(o.uptime.Until) >= minOutage
}

// ongoing reports whether the store is away now and this instance waits for its return.
func (o *outage) ongoing(now time.Time) bool { return !o.leftToOthers && o.away(now) }

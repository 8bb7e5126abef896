package fleet

import "time"

// outage decides from the calls of one instance whether the store is away and, once it
// is back, until when the lack of an entry may be a consequence.
type outage struct {
	ongoing      bool
	beganAt      time.Time // of the first call that failed
	lastAnswerAt time.Time
	graceUntil   time.Time
}

// callFailed records a call that began at a time and got no answer. One that began
// before the last answer says nothing of the time since.
func (o *outage) callFailed(began time.Time) {
	if !began.After(o.lastAnswerAt) {
		return
	}
	if !o.ongoing {
		o.beganAt = began
	}
	o.ongoing = true
}

// answered records an answer to a call for any table. The first one after an outage
// starts the grace period, unless the store answered others since it began: then only
// this instance was away from it.
func (o *outage) answered(now time.Time, othersServed func(since time.Time) bool) {
	if o.ongoing && !othersServed(o.beganAt) {
		o.graceUntil = now.Add(ReconnectGracePeriod)
	}
	o.ongoing = false
	o.lastAnswerAt = now
}

// leftToOthers records that other instances follow the store from now on.
func (o *outage) leftToOthers() { o.ongoing = false }

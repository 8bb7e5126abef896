package placement

import (
	"time"

	"github.com/fescuestep/fescuestep/pkg/fleet"
)

// throttle is the time until which an upstream wants no requests from this instance.
// It is kept apart from the state of the upstream, which ends when the upstream is not
// listed for a moment.
type throttle struct {
	startTimeMS int64 // of the process that asked, as in fleet.Upstream
	until       time.Time
}

// Throttle keeps new requests away from an upstream until the given time, or until a
// later one that was given before.
func (b *Balancer) Throttle(u *fleet.Upstream, until time.Time) {
	known, ok := b.throttles[u.ID]
	if ok && known.startTimeMS == u.StartTimeMS && known.until.After(until) {
		return
	}
	b.throttles[u.ID] = throttle{u.StartTimeMS, until}
}

// unavailableUntil returns the time from which an upstream takes requests again. It is
// not after now if the upstream takes them already.
func (b *Balancer) unavailableUntil(u *fleet.Upstream, now time.Time) time.Time {
	until := b.state(u).busyUntil
	t, ok := b.throttles[u.ID]
	switch {
	case !ok:
		return until
	case t.startTimeMS != u.StartTimeMS || !now.Before(t.until):
		delete(b.throttles, u.ID)
		return until
	case t.until.After(until):
		return t.until
	}
	return until
}

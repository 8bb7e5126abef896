package state

import (
	"context"
	"time"
)

// expireInterval is the maximum time between checks for upstreams whose grace period has
// passed.
const expireInterval = 250 * time.Millisecond

// expireUpstreams removes upstreams whose grace period has passed until ctx ends.
func (f *Follower) expireUpstreams(ctx context.Context) {
	for {
		sleep(ctx, f.untilExpiry())
		if ctx.Err() != nil {
			return
		}
		f.mu.Lock()
		f.expire()
		f.mu.Unlock()
	}
}

// untilExpiry returns the time until the next check for upstreams whose grace period has
// passed.
func (f *Follower) untilExpiry() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	left := f.upstreams.GraceUntil().Sub(f.now())
	if left <= 0 {
		return expireInterval
	}
	return min(left, expireInterval)
}

// expire removes upstreams whose grace period has passed. The caller holds mu.
func (f *Follower) expire() {
	if f.upstreams.Expire(f.now()) {
		f.sink.UpstreamsChanged(f.upstreams.View())
	}
}

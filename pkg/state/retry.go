package state

import (
	"context"
	"time"
)

// minRetryInterval and maxRetryInterval bound the exponential interval between the
// beginnings of calls for one table that fail. Calls for different tables are at least half
// of it apart, so that the return of the store is noticed after that time: removals are
// deferred from the first answer on, for fleet.ReconnectGracePeriod.
const (
	minRetryInterval = 200 * time.Millisecond
	maxRetryInterval = 800 * time.Millisecond
)

// retrySchedule spaces the calls after failed ones over all tables.
type retrySchedule struct {
	nextAt   time.Time     // beginning of the latest call that is planned
	returned chan struct{} // closed when the store answers again
}

func newRetrySchedule() retrySchedule { return retrySchedule{returned: make(chan struct{})} }

// plan returns the time until the next call for a table whose last one, that began at a
// time, failed.
func (s *retrySchedule) plan(began time.Time, interval time.Duration, now time.Time) time.Duration {
	at := began.Add(interval)
	if apart := s.nextAt.Add(interval / 2); apart.After(at) {
		at = apart
	}
	if now.After(at) {
		at = now
	}
	s.nextAt = at
	return at.Sub(now)
}

// storeReturned ends the waits for planned calls.
func (s *retrySchedule) storeReturned() {
	close(s.returned)
	s.returned = make(chan struct{})
}

// awaitRetry waits until the next call for a table whose last one, that began at a time,
// failed. It returns at once when the store answers for another table again.
func (f *Follower) awaitRetry(ctx context.Context, began time.Time, interval time.Duration) {
	f.mu.Lock()
	delay, returned := f.retries.plan(began, interval, f.now()), f.retries.returned
	f.mu.Unlock()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-returned:
	case <-timer.C:
	}
}

package dispatch

import (
	"sync"
	"time"

	"github.com/fescuestep/fescuestep/pkg/httpconn"
	"github.com/fescuestep/fescuestep/pkg/placement"
	"github.com/fescuestep/fescuestep/pkg/routing"
)

// startFirstByteTimer starts the timer that closes conn unless the first bytes of
// the response arrive in time: within firstByteTimeout if the request can be
// retried, and before attempt.BeginBy, after which the engine's weights may no
// longer be used.
func (x *exchange) startFirstByteTimer(attempt *placement.Attempt, conn *httpconn.Conn) *firstByteTimer {
	limit := time.Duration(0)
	if !attempt.BeginBy.IsZero() {
		limit = max(attempt.BeginBy.Sub(x.h.Now()), time.Nanosecond)
	}
	timeout := time.Duration(0)
	if x.edge.Attempts < x.edge.Route.MaxAttempts {
		timeout = firstByteTimeout(x.edge.Route, attempt.ExpectedTTFT)
	}
	return newFirstByteTimer(timeout, limit, conn, x.reserveRetry)
}

const (
	// firstByteTargetDivisor divides the target latency: half of it is spent waiting
	// for the first bytes, so that another upstream can still meet the target.
	firstByteTargetDivisor = 2
	// expectedTTFTFactor is the multiple of the expected time to first token within
	// which nearly all prompts begin to be answered. The next upstream would have to
	// compute a prompt that is given up again from its beginning.
	expectedTTFTFactor = 3
	// firstByteTargetFactor bounds the wait, in target latencies.
	firstByteTargetFactor = 2
)

// firstByteTimeout returns how long to wait for the first bytes of the response before
// retrying on another upstream; 0 if requests of the route must not be repeated. expected
// is the time to first token that the upstream is expected to need; 0: unknown.
func firstByteTimeout(route *routing.Route, expected time.Duration) time.Duration {
	if !route.Idempotent() || route.TargetLatency <= 0 {
		return 0
	}
	wait := max(route.TargetLatency/firstByteTargetDivisor, expectedTTFTFactor*expected)
	return min(wait, firstByteTargetFactor*route.TargetLatency)
}

// firstByteTimer closes the connection of an attempt unless it is stopped before
// one of its timers fires.
type firstByteTimer struct {
	retryTimer *time.Timer // closes the connection only if a retry is allowed
	limitTimer *time.Timer

	mu      sync.Mutex
	stopped bool
	fired   bool
}

// newFirstByteTimer returns a timer that closes c after timeout if allowed then
// returns true, and unconditionally after limit. A duration of 0 means none.
func newFirstByteTimer(timeout, limit time.Duration, c *httpconn.Conn, allowed func() bool) *firstByteTimer {
	t := &firstByteTimer{}
	closeIf := func(cond func() bool) func() {
		return func() { t.closeConn(c, cond) }
	}
	always := func() bool { return true }
	switch {
	case timeout > 0 && (limit <= 0 || timeout < limit):
		t.retryTimer = time.AfterFunc(timeout, closeIf(allowed))
		if limit > 0 {
			t.limitTimer = time.AfterFunc(limit, closeIf(always))
		}
	case limit > 0:
		t.limitTimer = time.AfterFunc(limit, closeIf(always))
	}
	return t
}

func (t *firstByteTimer) closeConn(c *httpconn.Conn, allowed func() bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped || t.fired || !allowed() {
		return
	}
	t.fired = true
	c.Close()
}

// stop stops the timer and reports whether it has not closed the connection.
func (t *firstByteTimer) stop() bool {
	for _, timer := range []*time.Timer{t.retryTimer, t.limitTimer} {
		if timer != nil {
			timer.Stop()
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	return !t.fired
}

package retry

import (
	"math/rand/v2"
	"time"

	"github.com/fescuestep/fescuestep/pkg/code"
)

// Backoff returns the exponential backoff base * 2^attempt, at most limit.
func Backoff(attempt int, base, limit time.Duration) time.Duration {
	d := base
	for ; attempt > 0 && d < limit; attempt-- {
		d *= 2
	}
	return min(d, limit)
}

// JitteredBackoff returns a random duration, uniform between half and all of Backoff.
func JitteredBackoff(attempt int, base, limit time.Duration, rng *rand.Rand) time.Duration {
	d := Backoff(attempt, base, limit)
	return d/2 + time.Duration(rng.Int64N(int64(d)/2+1))
}

// Budget is a token bucket that limits retries to a share of the requests plus a
// constant rate, so that retries cannot multiply the load of failing upstreams. It is
// not safe for concurrent use.
type Budget struct {
	Ratio     float64 // retries earned per request
	PerSecond float64 // retries earned per second, independent of requests
	Burst     float64 // maximum number of saved retries

	tokens     float64
	refilledAt time.Time
}

// NewBudget returns a full budget that earns one retry per ten requests and one per
// second, and holds at most ten.
func NewBudget() *Budget {
	return &Budget{Ratio: 0.1, PerSecond: 1, Burst: 10, tokens: 10}
}

// SetLimits sets Ratio, PerSecond and Burst. A budget without limits starts full.
func (b *Budget) SetLimits(ratio, perSecond, burst float64) {
	if b.Burst == 0 {
		b.tokens = burst
	}
	b.Ratio, b.PerSecond, b.Burst = ratio, perSecond, burst
	b.tokens = min(b.tokens, burst)
}

// RecordRequest adds Ratio retries to the budget for one request.
func (b *Budget) RecordRequest(now time.Time) {
	b.refill(now)
	b.tokens = min(b.Burst, b.tokens+b.Ratio)
}

// Available reports whether the budget has a whole retry left.
func (b *Budget) Available(now time.Time) bool {
	b.refill(now)
	return b.tokens >= 1
}

// Spend takes one retry from the budget. The caller checks Available first.
func (b *Budget) Spend() { b.tokens-- }

func (b *Budget) refill(now time.Time) {
	if !b.refilledAt.IsZero() && now.After(b.refilledAt) {
		b.tokens = min(b.Burst, b.tokens+now.Sub(b.refilledAt).Seconds()*b.PerSecond)
	}
	if b.refilledAt.IsZero() || now.After(b.refilledAt) {
		b.refilledAt = now
	}
}

// Backoff between attempts. The first is short because the retry goes to another
// upstream.
const (
	baseBackoff = 10 * time.Millisecond
	maxBackoff  = 500 * time.Millisecond
)

// maxBudgets bounds the number of budgets that are kept. Idle ones are full again
// after Burst seconds, so discarding them changes nothing.
const maxBudgets = 8192

// Policy decides on retries with one budget per customer and one per upstream. It is
// not safe for concurrent use.
type Policy struct {
	customers map[string]*Budget
	upstreams map[string]*Budget
}

// NewPolicy returns a policy whose budgets are full.
func NewPolicy() *Policy {
	return &Policy{customers: map[string]*Budget{}, upstreams: map[string]*Budget{}}
}

// RecordRequest adds the share that one request earns to the budgets of its customer
// and of the upstream of its first attempt.
func (p *Policy) RecordRequest(now time.Time, customer, upstream string) {
	budget(p.customers, customer).RecordRequest(now)
	budget(p.upstreams, upstream).RecordRequest(now)
}

// FailedAttempt describes an attempt that failed and may be retried.
type FailedAttempt struct {
	Customer        string
	Upstream        string // that the attempt was sent to
	Index           int    // 0 for the first attempt
	RunState        code.RunState
	Idempotent      bool
	ResponseStarted bool // bytes of the response reached the caller
	Deadline        time.Time
}

// Retry reports whether to retry the request and after which backoff; if so, it
// takes one retry from both budgets. It refuses when the response has started, when
// the request may have run and is not idempotent, when a budget is empty, or when the
// backoff would not end before the deadline.
func (p *Policy) Retry(now time.Time, a FailedAttempt, rng *rand.Rand) (backoff time.Duration, ok bool) {
	if a.ResponseStarted || (a.RunState != code.NotRun && !a.Idempotent) {
		return 0, false
	}
	backoff = JitteredBackoff(a.Index, baseBackoff, maxBackoff, rng)
	if !now.Add(backoff).Before(a.Deadline) {
		return 0, false
	}
	customer := budget(p.customers, a.Customer)
	upstream := budget(p.upstreams, a.Upstream)
	if !customer.Available(now) || !upstream.Available(now) {
		return 0, false
	}
	customer.Spend()
	upstream.Spend()
	return backoff, true
}

func budget(m map[string]*Budget, name string) *Budget {
	b := m[name]
	if b == nil {
		if len(m) >= maxBudgets {
			clear(m)
		}
		b = NewBudget()
		m[name] = b
	}
	return b
}

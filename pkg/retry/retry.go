package retry

import (
	"math/rand/v2"
	"time"

	"github.com/fescuestep/fescuestep/pkg/code"
)

// Backoff returns base doubled attempt times, at most limit.
func Backoff(attempt int, base, limit time.Duration) time.Duration {
	d := base
	for ; attempt > 0 && d < limit; attempt-- {
		d *= 2
	}
	return min(d, limit)
}

// JitteredBackoff returns a wait that is uniform between half of Backoff and all of it.
func JitteredBackoff(attempt int, base, limit time.Duration, rng *rand.Rand) time.Duration {
	d := Backoff(attempt, base, limit)
	return d/2 + time.Duration(rng.Int64N(int64(d)/2+1))
}

// Budget limits retries to a share of requests plus a small constant rate, so
// that retries cannot multiply the load of a failing fleet.
type Budget struct {
	Ratio     float64 // retries earned per request
	PerSecond float64 // retries earned per second without requests
	Burst     float64 // most that can be saved up

	tokens     float64
	refilledAt time.Time
}

// NewBudget returns a full budget of one retry per ten requests.
func NewBudget() *Budget {
	return &Budget{Ratio: 0.1, PerSecond: 1, Burst: 10, tokens: 10}
}

// SetLimits sets the figures of the budget; a budget that has none yet is full.
func (b *Budget) SetLimits(ratio, perSecond, burst float64) {
	if b.Burst == 0 {
		b.tokens = burst
	}
	b.Ratio, b.PerSecond, b.Burst = ratio, perSecond, burst
	b.tokens = min(b.tokens, burst)
}

// RecordRequest earns a share of a retry.
func (b *Budget) RecordRequest(now time.Time) {
	b.refill(now)
	b.tokens = min(b.Burst, b.tokens+b.Ratio)
}

// Available reports whether a retry may be spent.
func (b *Budget) Available(now time.Time) bool {
	b.refill(now)
	return b.tokens >= 1
}

// Spend takes one retry.
func (b *Budget) Spend() { b.tokens-- }

func (b *Budget) refill(now time.Time) {
	if !b.refilledAt.IsZero() && now.After(b.refilledAt) {
		b.tokens = min(b.Burst, b.tokens+now.Sub(b.refilledAt).Seconds()*b.PerSecond)
	}
	if b.refilledAt.IsZero() || now.After(b.refilledAt) {
		b.refilledAt = now
	}
}

// Waits between attempts. The first is short because another upstream is used.
const (
	baseBackoff = 10 * time.Millisecond
	maxBackoff  = 500 * time.Millisecond
)

// maxBudgets bounds remembered budgets; idle ones are full again after Burst
// seconds, so that forgetting them changes nothing.
const maxBudgets = 8192

// Policy decides on retries with one budget per customer and per upstream. It
// is not safe for concurrent use.
type Policy struct {
	customers map[string]*Budget
	upstreams map[string]*Budget
}

// NewPolicy returns a policy without history.
func NewPolicy() *Policy {
	return &Policy{customers: map[string]*Budget{}, upstreams: map[string]*Budget{}}
}

// RecordRequest records a first attempt.
func (p *Policy) RecordRequest(now time.Time, customer, upstream string) {
	budget(p.customers, customer).RecordRequest(now)
	budget(p.upstreams, upstream).RecordRequest(now)
}

// FailedAttempt describes a failed attempt.
type FailedAttempt struct {
	Customer        string
	Upstream        string // that failed
	Index           int    // 0 for the first
	RunState        code.RunState
	Idempotent      bool
	ResponseStarted bool // bytes of the answer reached the caller
	Deadline        time.Time
}

// Retry reports whether to try again and after which wait. It refuses when the
// request may have run and is not idempotent, when a budget is empty, or when
// the wait would end after the deadline.
func (p *Policy) Retry(now time.Time, a FailedAttempt, rng *rand.Rand) (wait time.Duration, ok bool) {
	if a.ResponseStarted || (a.RunState != code.NotRun && !a.Idempotent) {
		return 0, false
	}
	wait = JitteredBackoff(a.Index, baseBackoff, maxBackoff, rng)
	if !now.Add(wait).Before(a.Deadline) {
		return 0, false
	}
	customer := budget(p.customers, a.Customer)
	upstream := budget(p.upstreams, a.Upstream)
	if !customer.Available(now) || !upstream.Available(now) {
		return 0, false
	}
	customer.Spend()
	upstream.Spend()
	return wait, true
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

package edge

import (
	"context"
	"sync"
	"time"

	"github.com/fescuestep/fescuestep/pkg/code"
	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/filter/ratelimit"
	"github.com/fescuestep/fescuestep/pkg/fleetrate"
	"github.com/fescuestep/fescuestep/pkg/retry"
	"github.com/fescuestep/fescuestep/pkg/routing"
)

// limiter makes a fleetrate.Limiter safe for concurrent use and implements
// ratelimit.Limiter.
type limiter struct {
	now func() time.Time

	mu    sync.Mutex
	rates *fleetrate.Limiter
}

func newLimiter(self string, now func() time.Time) *limiter {
	return &limiter{now: now, rates: fleetrate.New(self)}
}

func (l *limiter) configure(s *routing.Snapshot) {
	rates := map[string]fleetrate.Rate{}
	for _, c := range s.Customers() {
		if c.Rate > 0 {
			rates[c.Name] = fleetrate.Rate{PerSecond: c.Rate, Burst: max(c.Burst, 1)}
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rates.Configure(rates, l.now())
}

// Take implements ratelimit.Limiter. It does not wait: a caller that is over
// its rate is told when to come back.
func (l *limiter) Take(_ context.Context, customer *config.Customer, tokens int) (ratelimit.Charge, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ok, retryAfter := l.rates.Take(customer.ID, float64(tokens), l.now())
	if !ok {
		return nil, code.New(code.RateExceeded, "the customer's rate and burst are used up").WithRetryAfter(retryAfter)
	}
	return &charge{limiter: l, customer: customer.ID, tokens: tokens}, nil
}

type charge struct {
	limiter  *limiter
	customer string
	tokens   int
}

// Settle implements ratelimit.Charge. A request counts whole once it ran,
// whatever it produced.
func (c *charge) Settle(used int) {
	if used > 0 {
		return
	}
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.limiter.rates.Refund(c.customer, float64(c.tokens))
}

// RetryBounds limit retries over all instances.
type RetryBounds struct {
	Ratio  float64       // retries per request to a service
	Window time.Duration // sliding
	Extra  int           // retries in a window beyond the ratio, over all instances
}

// retryBudgetFraction is the part of the bounds that is used, since requests and
// retries of one window may be counted in different ones.
const retryBudgetFraction = 0.8

// retries is the part of the fleet's retry budget of this instance.
type retries struct {
	bounds    RetryBounds
	instances func() int
	now       func() time.Time

	mu       sync.Mutex
	services map[string]*retry.Budget
}

func newRetries(bounds RetryBounds, instances func() int, now func() time.Time) *retries {
	return &retries{bounds: bounds, instances: instances, now: now, services: map[string]*retry.Budget{}}
}

// budget returns the budget of a service. Half of the extra retries may be
// saved up and half are earned over a window. The caller holds mu.
func (r *retries) budget(service string) *retry.Budget {
	share := float64(r.bounds.Extra) * retryBudgetFraction / float64(max(1, r.instances()))
	b := r.services[service]
	if b == nil {
		b = &retry.Budget{}
		r.services[service] = b
	}
	b.SetLimits(r.bounds.Ratio*retryBudgetFraction, share/2/r.bounds.Window.Seconds(), max(1, share/2))
	return b
}

// RecordRequest implements dispatch.RetryBudget.
func (r *retries) RecordRequest(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(service).RecordRequest(r.now())
}

// Spend implements dispatch.RetryBudget.
func (r *retries) Spend(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.budget(service)
	if !b.Available(r.now()) {
		return false
	}
	b.Spend()
	return true
}

func (l *limiter) expectInstance(instance string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rates.AddPeer(instance, l.now())
}

func (l *limiter) removeInstance(instance string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rates.RemovePeer(instance)
}

func (l *limiter) recordSpent(instance string, incarnation uint64, totals map[string]float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rates.UpdatePeer(instance, incarnation, totals, l.now())
}

func (l *limiter) spent() map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rates.Spent()
}

func (l *limiter) bucketLevel(customer string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rates.Level(customer)
}

func (l *limiter) adoptBucketLevel(customer string, level float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rates.SeedLevel(customer, level, l.now())
}

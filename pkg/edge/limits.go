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

// limiter wraps a fleetrate.Limiter for concurrent use. It implements
// ratelimit.Limiter.
type limiter struct {
	now func() time.Time

	mu    sync.Mutex
	rates *fleetrate.Limiter
}

func newLimiter(instance string, now func() time.Time) *limiter {
	return &limiter{now: now, rates: fleetrate.New(instance)}
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

// Take charges tokens to a customer. It does not wait: if the customer is over its
// rate, it returns a code.RateExceeded error with the time after which to retry.
func (l *limiter) Take(_ context.Context, customer *config.Customer, tokens int) (ratelimit.Charge, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ok, retryAfter := l.rates.Take(customer.ID, float64(tokens), l.now())
	if !ok {
		return nil, code.New(code.RateExceeded, "the customer's rate and burst are used up").WithRetryAfter(retryAfter)
	}
	return &charge{limiter: l, customer: customer.ID, tokens: tokens}, nil
}

// charge is the tokens taken for one request. It implements ratelimit.Charge.
type charge struct {
	limiter  *limiter
	customer string
	tokens   int
}

// Settle refunds the charge if no tokens were used. A request that ran is charged
// in full, however many tokens it used.
func (c *charge) Settle(used int) {
	if used > 0 {
		return
	}
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.limiter.rates.Refund(c.customer, float64(c.tokens))
}

// RetryBounds limits the retries of all instances together in any sliding window.
// The limits come from the platform.
type RetryBounds struct {
	Ratio  float64       // retries per request to a service
	Window time.Duration // length of the sliding window
	Extra  int           // retries in a window beyond the ratio, over all instances
}

// retryBudgetFraction is the fraction of the bounds that the instances use. The
// rest is a reserve, since a request and its retries may be counted in different
// windows.
const retryBudgetFraction = 0.8

// retryBudgets holds this instance's share of the fleet's retry budget for each
// service. It is safe for concurrent use.
type retryBudgets struct {
	bounds    RetryBounds
	instances func() int // number of instances in the fleet
	now       func() time.Time

	mu       sync.Mutex
	services map[string]*retry.Budget
}

func newRetryBudgets(bounds RetryBounds, instances func() int, now func() time.Time) *retryBudgets {
	return &retryBudgets{bounds: bounds, instances: instances, now: now, services: map[string]*retry.Budget{}}
}

// budget returns the budget of a service with its limits set for the present
// number of instances. Half of the extra retries can be saved up for a burst, the
// other half accrues over a window. The caller holds mu.
func (r *retryBudgets) budget(service string) *retry.Budget {
	share := float64(r.bounds.Extra) * retryBudgetFraction / float64(max(1, r.instances()))
	b := r.services[service]
	if b == nil {
		b = &retry.Budget{}
		r.services[service] = b
	}
	b.SetLimits(r.bounds.Ratio*retryBudgetFraction, share/2/r.bounds.Window.Seconds(), max(1, share/2))
	return b
}

// RecordRequest counts a request to a service, which earns a fraction of a retry.
func (r *retryBudgets) RecordRequest(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(service).RecordRequest(r.now())
}

// Spend takes one retry from the budget of a service. It returns false if none is
// available.
func (r *retryBudgets) Spend(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.budget(service)
	if !b.Available(r.now()) {
		return false
	}
	b.Spend()
	return true
}

// addPeer adds an instance. Until its first digest arrives, it is assumed to spend an
// equal share of every rate.
func (l *limiter) addPeer(instance string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rates.AddPeer(instance, l.now())
}

func (l *limiter) removePeer(instance string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rates.RemovePeer(instance, l.now())
}

// updatePeer records the tokens by customer that an instance has spent since the
// start of its process.
func (l *limiter) updatePeer(instance string, incarnation uint64, totals map[string]float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rates.UpdatePeer(instance, incarnation, totals, l.now())
}

// spent returns the tokens by customer that this instance has spent since its start. It
// brings the levels up to date that bucketLevel returns.
func (l *limiter) spent() map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rates.Refill(l.now())
	return l.rates.Spent()
}

// bucketLevel returns the tokens in a customer's bucket.
func (l *limiter) bucketLevel(customer string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rates.Level(customer)
}

// seedBucketLevel takes over the level of a customer's bucket from an instance that
// ran before this one started.
func (l *limiter) seedBucketLevel(customer string, level float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rates.SeedLevel(customer, level, l.now())
}

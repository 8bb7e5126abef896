// Package endpoint chooses an upstream and repeats failed attempts.
//
// For each attempt it acquires a slot, sets Request.Target and calls the relay.
// An attempt is repeated at another upstream only while nothing was written to
// the caller, the deadline has not passed, and either the request certainly was
// not sent or the call is idempotent. Model requests are idempotent. Between
// attempts it waits with jittered exponential backoff.
//
// Outcome.Sent stays set once any attempt may have reached an upstream, and the
// final error then never says "not run".
package endpoint

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuestep/fescuestep/pkg/block"
	"github.com/fescuestep/fescuestep/pkg/chain"
	"github.com/fescuestep/fescuestep/pkg/code"
	"github.com/fescuestep/fescuestep/pkg/config"
)

// Query describes the wanted slot. It has the fields of upstream.Query.
type Query struct {
	Pool       string
	Customer   string
	Weight     float64 // of the customer
	FromDomain string  // failure domain of this instance
	Priority   int
	Tokens     int          // prompt tokens
	MaxOutput  int          // tokens
	Blocks     []block.Hash // nil for services
	Deadline   time.Time
	Exclude    []string // upstream IDs already tried
}

// Result is how an attempt ended.
type Result int

// Results of an attempt.
const (
	OK          Result = iota
	Unreachable        // no byte was sent
	Failed
	Cancelled // by the caller or by the router
)

// Slot holds a chosen target until Done is called exactly once.
type Slot interface {
	Target() chain.Target
	FirstToken(cachedTokens int)
	Done(r Result)
}

// Pools chooses upstreams.
type Pools interface {
	// Acquire waits for a slot; it returns a *code.Error with run state not_run.
	Acquire(ctx context.Context, q Query) (Slot, error)
}

// Budget bounds repeats so that failing upstreams are not flooded.
type Budget interface {
	// Spend reports whether one more attempt is allowed.
	Spend(customer, upstream string) bool
	// Earn credits a successful attempt.
	Earn(customer, upstream string)
}

// Policy of repeats.
type Policy struct {
	Attempts    int // including the first
	BackoffBase time.Duration
	BackoffMax  time.Duration
}

// DefaultPolicy keeps all repeats within the 1.6 s target for the first token.
func DefaultPolicy() Policy {
	return Policy{Attempts: 3, BackoffBase: 20 * time.Millisecond, BackoffMax: 250 * time.Millisecond}
}

// Filter chooses upstreams.
type Filter struct {
	pools  Pools
	budget Budget
	policy Policy
	domain string
}

// New returns the filter for an instance of the failure domain. budget may be
// nil for no bound besides Policy.Attempts.
func New(pools Pools, budget Budget, policy Policy, domain string) *Filter {
	return &Filter{pools: pools, budget: budget, policy: policy, domain: domain}
}

// Name implements chain.Filter.
func (f *Filter) Name() string { return "endpoint" }

// Wrap implements chain.Filter.
func (f *Filter) Wrap(next chain.Handler) chain.Handler {
	return func(ctx context.Context, r *chain.Request) error {
		q := f.query(r)
		sent := false
		var last error
		for attempt := 1; ; attempt++ {
			err := f.attempt(ctx, r, q, next)
			sent = sent || r.Outcome.Sent
			if err == nil {
				r.Outcome.Sent = sent
				return nil
			}
			noSlot := errors.Is(err, errNoSlot)
			if !noSlot || last == nil || ctx.Err() != nil {
				last = err // otherwise the failed attempt says more
			}
			if noSlot || attempt >= f.policy.Attempts || !f.mayRepeat(ctx, r) {
				break
			}
			q.Exclude = append(q.Exclude, r.Target.ID)
			if !sleep(ctx, f.backoff(attempt)) {
				break
			}
		}
		r.Outcome.Sent = sent
		return truthful(last, sent)
	}
}

// errNoSlot marks errors of Acquire.
var errNoSlot = errors.New("no slot")

func (f *Filter) attempt(ctx context.Context, r *chain.Request, q Query, next chain.Handler) error {
	r.Outcome.Sent = false
	slot, err := f.pools.Acquire(ctx, q)
	if err != nil {
		return errors.Mark(refused(ctx, err), errNoSlot)
	}
	result := Failed
	defer func() { slot.Done(result) }()
	r.Target = slot.Target()
	r.OnFirstToken = slot.FirstToken
	err = next(ctx, r)
	result = resultOf(ctx, r, err)
	if err == nil && f.budget != nil {
		f.budget.Earn(q.Customer, r.Target.ID)
	}
	return err
}

// refused prefers the reason for which ctx was cancelled over the error of
// Acquire.
func refused(ctx context.Context, err error) error {
	var e *code.Error
	if errors.As(context.Cause(ctx), &e) {
		c := *e
		return c.WithRun(code.NotRun)
	}
	return err
}

func resultOf(ctx context.Context, r *chain.Request, err error) Result {
	switch {
	case err == nil:
		return OK
	case ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded):
		return Cancelled
	case !r.Outcome.Sent:
		return Unreachable
	default:
		return Failed
	}
}

func (f *Filter) query(r *chain.Request) Query {
	q := Query{
		Pool:       r.Pool.Name,
		Weight:     1,
		FromDomain: f.domain,
		Priority:   r.Application.Priority,
		Blocks:     r.Blocks,
		Deadline:   r.Deadline,
	}
	if r.Customer != nil {
		q.Customer = r.Customer.ID
		if r.Customer.Weight > 0 {
			q.Weight = r.Customer.Weight
		}
	}
	if r.Prompt != nil {
		q.Tokens = r.Prompt.Tokens()
		q.MaxOutput = r.Prompt.MaxTokens
	}
	return q
}

func (f *Filter) mayRepeat(ctx context.Context, r *chain.Request) bool {
	if ctx.Err() != nil || r.Outcome.Started {
		return false
	}
	if r.Outcome.Sent && !Idempotent(r.Application, r.Route) {
		return false
	}
	return f.budget == nil || f.budget.Spend(customerID(r), r.Target.ID)
}

// Idempotent reports whether a call may run more than once.
func Idempotent(a *config.Application, route *config.Route) bool {
	if a.Kind == config.Model {
		return true
	}
	return route != nil && route.Idempotent
}

func customerID(r *chain.Request) string {
	if r.Customer == nil {
		return ""
	}
	return r.Customer.ID
}

// backoff returns a random time up to the exponential bound.
func (f *Filter) backoff(attempt int) time.Duration {
	bound := min(f.policy.BackoffBase<<(attempt-1), f.policy.BackoffMax)
	return time.Duration(rand.Int64N(int64(bound) + 1))
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// truthful corrects the run state of an error after an earlier attempt was
// sent.
func truthful(err error, sent bool) error {
	var e *code.Error
	if !sent || !errors.As(err, &e) || e.Run != code.NotRun {
		return err
	}
	c := *e
	return c.WithRun(code.MayHaveRun)
}

// Package endpoint chooses an upstream and repeats failed attempts.
//
// For each attempt it acquires a slot, sets Request.Target and calls the relay.
// An attempt is repeated at another upstream only while nothing was written to
// the caller, the deadline has not passed, the retry budgets of customer and
// upstream allow it, and either the request certainly was not sent or the call
// is idempotent. Model requests are idempotent. Between attempts it waits with
// jittered exponential backoff.
//
// The caller's key is checked again when a slot is held: the request may have
// waited for longer than a revocation may take.
//
// Outcome.Sent stays set once any attempt may have reached an upstream, and the
// final error then never says "not run".
package endpoint

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuestep/fescuestep/pkg/chain"
	"github.com/fescuestep/fescuestep/pkg/code"
	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/filter/auth"
	"github.com/fescuestep/fescuestep/pkg/retry"
	"github.com/fescuestep/fescuestep/pkg/upstream"
)

// MaxAttempts bounds the attempts of one request, including the first. More
// would not fit into the 1.6 s target for the first token.
const MaxAttempts = 3

// Slot holds a chosen target until Done is called exactly once.
type Slot interface {
	Target() chain.Target
	FirstToken(cachedTokens int)
	Done(r upstream.Result)
}

// Pools chooses upstreams.
type Pools interface {
	// Acquire waits for a slot; it returns a *code.Error with run state not_run
	// or the error of ctx.
	Acquire(ctx context.Context, q upstream.Query) (Slot, error)
}

// Of adapts *upstream.Pools, whose Acquire returns a concrete slot.
func Of(p *upstream.Pools) Pools { return adapter{p} }

type adapter struct{ pools *upstream.Pools }

func (a adapter) Acquire(ctx context.Context, q upstream.Query) (Slot, error) {
	slot, err := a.pools.Acquire(ctx, q)
	if err != nil {
		return nil, err // a nil *upstream.Slot would be a Slot that is not nil
	}
	return slot, nil
}

// Filter chooses upstreams.
type Filter struct {
	pools  Pools
	domain string
	now    func() time.Time

	mu     sync.Mutex
	policy *retry.Policy
	rng    *rand.Rand
}

// New returns the filter for an instance of the failure domain. seed differs
// between instances, so that their repeats do not coincide.
func New(pools Pools, domain string, seed uint64, now func() time.Time) *Filter {
	return &Filter{
		pools:  pools,
		domain: domain,
		now:    now,
		policy: retry.NewPolicy(),
		rng:    rand.New(rand.NewPCG(seed, 0)),
	}
}

// Name implements chain.Filter.
func (f *Filter) Name() string { return "endpoint" }

// Wrap implements chain.Filter.
func (f *Filter) Wrap(next chain.Handler) chain.Handler {
	return func(ctx context.Context, r *chain.Request) error {
		q := f.query(r)
		sent := false
		var last error
		for number := range MaxAttempts {
			err := f.attempt(ctx, r, q, number, next)
			sent = sent || r.Outcome.Sent
			if err == nil {
				r.Outcome.Sent = sent
				return nil
			}
			noSlot := errors.Is(err, errNoSlot)
			if !noSlot || last == nil || ctx.Err() != nil {
				last = err // otherwise the failed attempt says more
			}
			if noSlot || !f.waitToRepeat(ctx, r, number) {
				break
			}
			q.Exclude = append(q.Exclude, r.Target.ID)
		}
		r.Outcome.Sent = sent
		return truthful(last, sent)
	}
}

// errNoSlot marks errors of Acquire.
var errNoSlot = errors.New("no slot")

func (f *Filter) attempt(ctx context.Context, r *chain.Request, q upstream.Query, number int, next chain.Handler) error {
	r.Outcome.Sent = false
	slot, err := f.pools.Acquire(ctx, q)
	if err != nil {
		return errors.Mark(refused(ctx, err), errNoSlot)
	}
	result := upstream.Failed
	defer func() { slot.Done(result) }()
	if e := auth.Confirm(ctx); e != nil {
		result = upstream.Cancelled
		return errors.Mark(e.WithRun(code.NotRun), errNoSlot)
	}
	r.Target = slot.Target()
	r.OnFirstToken = slot.FirstToken
	if number == 0 {
		f.countRequest(r)
	}
	err = next(ctx, r)
	result = resultOf(ctx, r, err)
	return err
}

// refused maps an error of Acquire; a cancelled context has its own reasons.
func refused(ctx context.Context, err error) error {
	cause := context.Cause(ctx)
	var e *code.Error
	switch {
	case errors.As(cause, &e):
		c := *e
		return c.WithRun(code.NotRun)
	case errors.As(err, &e):
		return err
	case errors.Is(cause, context.DeadlineExceeded):
		return code.New(code.DeadlineUnreachable, "no upstream was free before the deadline").
			WithRetryAfter(time.Second)
	case cause != nil:
		return code.New(code.BodyReadTimeout, "the caller broke off").WithCause(cause)
	}
	return code.New(code.NoUpstream, "no upstream takes work").WithCause(err)
}

func resultOf(ctx context.Context, r *chain.Request, err error) upstream.Result {
	switch {
	case err == nil:
		return upstream.OK
	case ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded):
		return upstream.Cancelled
	case !r.Outcome.Sent:
		return upstream.Unreachable
	default:
		return upstream.Failed
	}
}

func (f *Filter) query(r *chain.Request) upstream.Query {
	q := upstream.Query{
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

func (f *Filter) countRequest(r *chain.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.policy.Request(f.now(), customerID(r), r.Target.ID)
}

// waitToRepeat reports whether the attempt may be repeated, after the backoff.
func (f *Filter) waitToRepeat(ctx context.Context, r *chain.Request, number int) bool {
	if ctx.Err() != nil || number+1 >= MaxAttempts {
		return false
	}
	wait, ok := f.decide(r, number)
	return ok && sleep(ctx, wait)
}

func (f *Filter) decide(r *chain.Request, number int) (time.Duration, bool) {
	run := code.NotRun
	if r.Outcome.Sent {
		run = code.MayHaveRun
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.policy.Retry(f.now(), retry.Attempt{
		Customer:   customerID(r),
		Upstream:   r.Target.ID,
		Number:     number,
		Run:        run,
		Idempotent: Idempotent(r.Application, r.Route),
		Started:    r.Outcome.Started,
		Deadline:   r.Deadline,
	}, f.rng)
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

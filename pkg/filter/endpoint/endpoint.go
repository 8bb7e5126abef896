// Package endpoint chooses an upstream and retries failed attempts.
//
// For each attempt it acquires a slot, sets Request.Target and calls the relay.
// A request is retried on another upstream only while nothing was written to the
// caller, the deadline has not passed, the retry budgets of customer and upstream
// allow it, and either the request certainly was not sent or the call is
// idempotent. Model requests are idempotent. Between attempts it waits with
// jittered exponential backoff.
//
// The caller's key is checked again after a slot was acquired, because the wait
// for it may exceed the time within which a revocation must take effect.
//
// Outcome.Sent stays set once any attempt may have reached an upstream, and the
// final error then never says "not run".
package endpoint

import (
	"context"
	"math/rand/v2"
	"slices"
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

// MaxAttempts is the maximum number of attempts of one request, including the
// first. More would not fit into the 1.6 s target for the first token.
const MaxAttempts = 3

// Slot is a slot on a chosen upstream. Done must be called exactly once to
// release it.
type Slot interface {
	Target() chain.Target
	// FirstToken records that the prefill has ended and how many prompt tokens
	// the engine found in its cache.
	FirstToken(cachedTokens int)
	Done(r upstream.Result)
}

// Pools acquires slots on the upstreams of all pools.
type Pools interface {
	// Acquire waits for a slot; it returns a *code.Error with run state not_run
	// or the error of ctx.
	Acquire(ctx context.Context, q upstream.Query) (Slot, error)
}

// AdaptPools returns p as Pools; its Acquire returns a *upstream.Slot.
func AdaptPools(p *upstream.Pools) Pools { return poolsAdapter{p} }

type poolsAdapter struct{ pools *upstream.Pools }

func (a poolsAdapter) Acquire(ctx context.Context, q upstream.Query) (Slot, error) {
	slot, err := a.pools.Acquire(ctx, q)
	if err != nil {
		return nil, err // returning slot would yield a non-nil Slot that holds a nil pointer
	}
	return slot, nil
}

// Filter chooses the upstream of each attempt and retries failed attempts.
type Filter struct {
	pools  Pools
	domain string
	now    func() time.Time

	mu     sync.Mutex
	policy *retry.Policy
	rng    *rand.Rand
}

// New returns the filter for an instance in the failure domain. seed must differ
// between instances, so that their retries do not coincide.
func New(pools Pools, domain string, seed uint64, now func() time.Time) *Filter {
	return &Filter{
		pools:  pools,
		domain: domain,
		now:    now,
		policy: retry.NewPolicy(),
		rng:    rand.New(rand.NewPCG(seed, 0)),
	}
}

// Name returns the name of the filter.
func (f *Filter) Name() string { return "endpoint" }

// Wrap returns a handler that calls next once per attempt.
func (f *Filter) Wrap(next chain.Handler) chain.Handler {
	return func(ctx context.Context, r *chain.Request) error {
		q := f.query(r)
		sent := false
		var last error
		for index := range MaxAttempts {
			err := f.attemptWithMoves(ctx, r, &q, index, next, &sent)
			sent = sent || r.Outcome.Sent
			if err == nil {
				r.Outcome.Sent = sent
				return nil
			}
			noSlot := errors.Is(err, errNoSlot)
			if !noSlot || last == nil || ctx.Err() != nil {
				last = err // otherwise the error of the failed attempt is more specific
			}
			if noSlot || isBadRequest(err) || !f.waitToRetry(ctx, r, index) {
				break
			}
			q.Exclude = append(q.Exclude, r.Target.ID)
		}
		r.Outcome.Sent = sent
		return correctRunState(last, sent)
	}
}

// errNoSlot marks errors of attempts that were not made, because no slot was
// acquired or the caller's key is no longer valid.
var errNoSlot = errors.New("no slot")

// errMoved is the cause with which an attempt is cancelled if it is queued behind
// other work while another upstream is free. Nothing of its response was relayed.
var errMoved = errors.New("moved to another upstream")

// attemptWithMoves makes an attempt and, if it is moved, makes it again on another
// upstream. A move is not a failure: it has no backoff and takes nothing from the
// retry budgets. A move sets sent, because the moved attempt may have reached an
// upstream.
func (f *Filter) attemptWithMoves(ctx context.Context, r *chain.Request, q *upstream.Query, index int, next chain.Handler, sent *bool) error {
	for {
		err := f.attempt(ctx, r, *q, index, next)
		if !errors.Is(err, errMoved) {
			return err
		}
		*sent = true
		moveQuery := *q
		moveQuery.Moves++
		moveQuery.Exclude = append(slices.Clone(q.Exclude), r.Target.ID)
		q.Moves = moveQuery.Moves
		err = f.attempt(ctx, r, moveQuery, index, next)
		if !errors.Is(err, errNoSlot) && !errors.Is(err, errMoved) {
			return err
		}
		// The other upstream has no free slot any more, or the request was moved
		// again: no longer exclude the first upstream.
	}
}

// attempt acquires a slot and calls next. index is 0 for the first attempt. The
// error is marked with errNoSlot if next was not called, and is errMoved if the
// request was withdrawn in order to be moved.
func (f *Filter) attempt(ctx context.Context, r *chain.Request, q upstream.Query, index int, next chain.Handler) error {
	r.Outcome.Sent = false
	slot, err := f.pools.Acquire(ctx, q)
	if err != nil {
		return errors.Mark(acquireError(ctx, err), errNoSlot)
	}
	result := upstream.Failed
	defer func() { slot.Done(result) }()
	if e := auth.Recheck(ctx); e != nil {
		result = upstream.Cancelled
		return errors.Mark(e.WithRun(code.NotRun), errNoSlot)
	}
	r.Target = slot.Target()
	r.OnFirstToken = slot.FirstToken
	if index == 0 {
		f.countRequest(r)
	}
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if m, ok := slot.(movable); ok && Idempotent(r.Application, r.Route) {
		m.OnMove(func() { cancel(errMoved) })
	}
	err = next(attemptCtx, r)
	if err != nil && ctx.Err() == nil && !r.Outcome.ResponseStarted && errors.Is(context.Cause(attemptCtx), errMoved) {
		result = upstream.Cancelled
		return errMoved
	}
	result = attemptResult(ctx, r, err)
	return err
}

// movable is a slot that calls f when the request should be withdrawn and moved
// to another upstream, which happens only before the first token.
type movable interface{ OnMove(f func()) }

// acquireError maps an error of Acquire to the error for the caller. The cause of
// a cancelled context takes precedence.
func acquireError(ctx context.Context, err error) error {
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

// isBadRequest reports whether an upstream rejected the request as invalid, which
// every other upstream would do too.
func isBadRequest(err error) bool {
	var e *code.Error
	return errors.As(err, &e) && e.Code == code.BadRequest
}

// attemptResult returns the result of an attempt for outlier ejection. A refused
// connection ejects the upstream at once, unlike a response that the upstream
// takes no work now, which counts as cancelled.
func attemptResult(ctx context.Context, r *chain.Request, err error) upstream.Result {
	var e *code.Error
	switch {
	case err == nil, isBadRequest(err):
		return upstream.OK
	case r.Outcome.Sent && (ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded)):
		return upstream.Failed
	case ctx.Err() == nil && errors.As(err, &e) && e.Code == code.UpstreamUnreachable:
		return upstream.Unreachable
	}
	return upstream.Cancelled
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
		q.Tokens = r.Prompt.EstimatedTokens()
		q.MaxOutput = r.Prompt.MaxTokens
	}
	return q
}

func (f *Filter) countRequest(r *chain.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.policy.RecordRequest(f.now(), customerID(r), r.Target.ID)
}

// waitToRetry waits for the backoff and reports whether the request may then be
// retried.
func (f *Filter) waitToRetry(ctx context.Context, r *chain.Request, index int) bool {
	if ctx.Err() != nil || index+1 >= MaxAttempts {
		return false
	}
	wait, ok := f.retryDelay(r, index)
	return ok && sleep(ctx, wait)
}

// retryDelay returns the backoff before the next attempt and whether the retry
// policy allows one.
func (f *Filter) retryDelay(r *chain.Request, index int) (time.Duration, bool) {
	run := code.NotRun
	if r.Outcome.Sent {
		run = code.MayHaveRun
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.policy.Retry(f.now(), retry.FailedAttempt{
		Customer:        customerID(r),
		Upstream:        r.Target.ID,
		Index:           index,
		RunState:        run,
		Idempotent:      Idempotent(r.Application, r.Route),
		ResponseStarted: r.Outcome.ResponseStarted,
		Deadline:        r.Deadline,
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

// sleep waits for d and reports false if ctx ends first.
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

// correctRunState replaces the run state "not run" of an error if an earlier
// attempt was sent.
func correctRunState(err error, sent bool) error {
	var e *code.Error
	if !sent || !errors.As(err, &e) || e.Run != code.NotRun {
		return err
	}
	c := *e
	return c.WithRun(code.MayHaveRun)
}

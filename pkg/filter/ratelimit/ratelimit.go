// Package ratelimit limits the tokens that a customer's requests use.
//
// A model request is charged its prompt tokens plus its maximum output tokens
// before it runs. Afterwards the charge is settled with the usage that the engine
// reports. The whole charge is refunded if no upstream received the request or the
// engine refused it. If the request was sent and no usage is known, the whole
// charge counts as used, because the engine may have generated the maximum. Calls
// of plain services cost no tokens.
//
// On an edge instance every request of a customer is charged: one unit if the
// customer's limit counts requests, else the tokens that the caller states, else
// a fixed number of tokens configured for the customer.
package ratelimit

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/fescuestep/fescuestep/pkg/chain"
	"github.com/fescuestep/fescuestep/pkg/code"
	"github.com/fescuestep/fescuestep/pkg/config"
)

// Limiter takes tokens from customers' rate limits.
type Limiter interface {
	// Take takes tokens from the customer's rate limit. It may wait for them
	// until ctx ends or the limiter's maximum wait is over. Its error is a
	// *code.Error.
	Take(ctx context.Context, customer *config.Customer, tokens int) (Charge, error)
}

// Charge is a number of tokens taken from a customer's rate limit.
type Charge interface {
	// Settle refunds the tokens of the charge that were not used. It must be
	// called once.
	Settle(used int)
}

// Filter charges requests to their customer's rate limit.
type Filter struct {
	limiter Limiter
}

// New returns a filter that takes tokens from limiter.
func New(limiter Limiter) *Filter { return &Filter{limiter: limiter} }

// Name returns the name of the filter.
func (f *Filter) Name() string { return "ratelimit" }

// Wrap returns a handler that charges the request, calls next and settles the
// charge.
func (f *Filter) Wrap(next chain.Handler) chain.Handler {
	return func(ctx context.Context, r *chain.Request) error {
		charged, ok := cost(r)
		if !ok {
			return next(ctx, r)
		}
		charge, err := f.limiter.Take(ctx, r.Customer, charged)
		if err != nil {
			return limiterError(ctx, err)
		}
		defer func() { charge.Settle(usedTokens(r, charged)) }()
		return next(ctx, r)
	}
}

// cost returns the maximum number of tokens that the request may use, and whether
// it is charged at all.
func cost(r *chain.Request) (tokens int, ok bool) {
	switch {
	case r.Customer == nil:
		return 0, false
	case r.Edge != nil:
		return edgeCost(r.Edge), true
	case r.Prompt == nil:
		return 0, false
	}
	return r.Prompt.EstimatedTokens() + r.Prompt.MaxTokens, true
}

// edgeCost returns the cost of a request to an edge instance. A request without
// token counts costs the number of tokens configured in the customer's limit.
func edgeCost(e *chain.Edge) int {
	switch {
	case e.Customer.CountsRequests:
		return 1
	case e.Call.HasTokenCounts:
		return e.Call.PromptTokens + e.Call.MaxTokens
	}
	return e.Customer.DefaultRequestTokens
}

// limiterError returns the reason for which the request was cancelled, for example
// a revoked key, if there is one. The limiter's error would only state that the
// wait ended.
func limiterError(ctx context.Context, err error) error {
	var e *code.Error
	if !errors.As(context.Cause(ctx), &e) {
		return err
	}
	c := *e
	return c.WithRun(code.NotRun)
}

// usedTokens returns how many of the charged tokens the request has used. Services behind an
// edge instance state when they did not run a request; engines behind a router answer with
// 4xx what they cannot process.
func usedTokens(r *chain.Request, charged int) int {
	o := r.Outcome
	rejected := r.Edge == nil && o.Status >= http.StatusBadRequest && o.Status < http.StatusInternalServerError
	if !o.Sent || rejected {
		return 0
	}
	reported := o.PromptTokens + o.OutputTokens
	if !o.Complete || reported == 0 {
		return charged
	}
	return min(reported, charged)
}

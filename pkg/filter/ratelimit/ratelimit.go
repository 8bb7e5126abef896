// Package ratelimit charges a customer's tokens.
//
// A model request is charged its prompt tokens plus its maximum output before
// it runs. Afterwards the charge is settled with what the engine reports as
// used. The whole charge is returned when no upstream received the request or
// the engine refused it.
// When the request was sent and no usage is known, the whole charge counts as
// used: the engine may have generated the maximum. Calls of plain services
// cost no tokens.
package ratelimit

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/fescuestep/fescuestep/pkg/chain"
	"github.com/fescuestep/fescuestep/pkg/code"
	"github.com/fescuestep/fescuestep/pkg/config"
)

// Limiter charges tokens.
type Limiter interface {
	// Take waits for tokens until ctx or the wait bound ends; it returns a
	// *code.Error when refused.
	Take(ctx context.Context, customer *config.Customer, tokens int) (Charge, error)
}

// Charge is a number of tokens taken from a customer's rate.
type Charge interface {
	// Settle is called once and returns the unused rest.
	Settle(used int)
}

// Filter charges model requests.
type Filter struct {
	limiter Limiter
}

// New returns the filter.
func New(limiter Limiter) *Filter { return &Filter{limiter: limiter} }

// Name implements chain.Filter.
func (f *Filter) Name() string { return "ratelimit" }

// Wrap implements chain.Filter.
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
		defer func() { charge.Settle(usedTokens(r.Outcome, charged)) }()
		return next(ctx, r)
	}
}

// cost returns the tokens that the request may use, and whether it is charged.
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

// edgeCost charges requests that state no tokens what the customer's limit
// says of them.
func edgeCost(e *chain.Edge) int {
	switch {
	case e.Customer.CountsRequests:
		return 1
	case e.Call.HasTokenCounts:
		return e.Call.PromptTokens + e.Call.MaxTokens
	}
	return e.Customer.DefaultRequestTokens
}

// limiterError prefers the reason for which the request was cancelled, for example
// a revoked key, to the limiter's error about the wait that it ended.
func limiterError(ctx context.Context, err error) error {
	var e *code.Error
	if !errors.As(context.Cause(ctx), &e) {
		return err
	}
	c := *e
	return c.WithRun(code.NotRun)
}

func usedTokens(o chain.Outcome, charged int) int {
	refused := o.Status >= http.StatusBadRequest && o.Status < http.StatusInternalServerError
	if !o.Sent || refused {
		return 0
	}
	reported := o.PromptTokens + o.OutputTokens
	if !o.Complete || reported == 0 {
		return charged
	}
	return min(reported, charged)
}

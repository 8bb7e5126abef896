// Package accounting counts requests and tokens and measures times.
//
// One request yields one Requests count labelled with its result code, the
// token counts that the engine reported, and observations of the time to the
// first token and of the total time. Labels are bounded by the configuration:
// customer, class and application names, and result codes.
package accounting

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuestep/fescuestep/pkg/chain"
	"github.com/fescuestep/fescuestep/pkg/code"
)

// Counter names a counter.
type Counter string

// Counters of requests and tokens.
const (
	Requests     Counter = "requests"
	PromptTokens Counter = "prompt_tokens"
	CachedTokens Counter = "cached_tokens"
	OutputTokens Counter = "output_tokens"
)

// Histogram names a histogram of durations.
type Histogram string

// Histograms of times since arrival and, for TokenGap, since the token before.
const (
	FirstToken Histogram = "first_token"
	TokenGap   Histogram = "token_gap"
	Total      Histogram = "total"
)

// Labels of one request. Code is 0 for a success.
type Labels struct {
	Customer    string
	Class       string
	Application string
	Code        code.Code
}

// Metrics receives counts and observations. It must not block.
type Metrics interface {
	Count(c Counter, l Labels, n int64)
	Observe(h Histogram, l Labels, d time.Duration)
}

// Filter reports every request to Metrics.
type Filter struct {
	metrics Metrics
	now     func() time.Time
}

// New returns the filter. now is the clock that set Request.Arrived.
func New(metrics Metrics, now func() time.Time) *Filter {
	return &Filter{metrics: metrics, now: now}
}

// Name implements chain.Filter.
func (f *Filter) Name() string { return "accounting" }

// Wrap implements chain.Filter.
func (f *Filter) Wrap(next chain.Handler) chain.Handler {
	return func(ctx context.Context, r *chain.Request) error {
		r.OnTokenGap = func(gap time.Duration) { f.metrics.Observe(TokenGap, labels(r, nil), gap) }
		err := next(ctx, r)
		r.Outcome.Duration = f.now().Sub(r.ReceivedAt)
		f.report(r, err)
		return err
	}
}

func (f *Filter) report(r *chain.Request, err error) {
	l := labels(r, err)
	f.metrics.Count(Requests, l, 1)
	f.metrics.Observe(Total, l, r.Outcome.Duration)
	if r.Prompt == nil || !r.Outcome.Sent {
		return
	}
	f.metrics.Count(PromptTokens, l, int64(r.Outcome.PromptTokens))
	f.metrics.Count(CachedTokens, l, int64(r.Outcome.CachedTokens))
	f.metrics.Count(OutputTokens, l, int64(r.Outcome.OutputTokens))
	if r.Outcome.TimeToFirstToken > 0 {
		f.metrics.Observe(FirstToken, l, r.Outcome.TimeToFirstToken)
	}
}

func labels(r *chain.Request, err error) Labels {
	l := Labels{}
	if r.Customer != nil {
		l.Customer = r.Customer.ID
		l.Class = r.Customer.Class
	}
	if r.Application != nil {
		l.Application = r.Application.ID
	}
	var e *code.Error
	switch {
	case errors.As(err, &e):
		l.Code = e.Code
	case err != nil:
		l.Code = code.Internal
	}
	return l
}

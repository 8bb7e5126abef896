// Package accounting counts requests and tokens and measures latencies.
//
// Each request adds one to Requests, labelled with its result code, adds the
// token counts that the engine reported, and observes the time to first token,
// the gaps between tokens and the total duration. The number of label values is
// bounded by the configuration: they are customer, class and application names,
// and result codes.
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

// Histograms of times since the request was received and, for TokenGap, since the
// previous token.
const (
	FirstToken Histogram = "first_token"
	TokenGap   Histogram = "token_gap"
	Total      Histogram = "total"
)

// Labels are the metric labels of one request. Code is 0 for a success.
type Labels struct {
	Customer    string
	Class       string
	Application string
	Code        code.Code
}

// Metrics receives counts and observations. Its methods must not block.
type Metrics interface {
	Count(c Counter, l Labels, n int64)
	Observe(h Histogram, l Labels, d time.Duration)
}

// Filter reports every request to Metrics.
type Filter struct {
	metrics Metrics
	now     func() time.Time
}

// New returns the filter. now must be the clock that set Request.ReceivedAt.
func New(metrics Metrics, now func() time.Time) *Filter {
	return &Filter{metrics: metrics, now: now}
}

// Name returns the name of the filter.
func (f *Filter) Name() string { return "accounting" }

// Wrap returns a handler that calls next and reports the outcome of the request.
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

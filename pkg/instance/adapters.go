package instance

import (
	"context"
	"time"

	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/controller/quotasync"
	"github.com/fescuestep/fescuestep/pkg/filter/accounting"
	"github.com/fescuestep/fescuestep/pkg/filter/ratelimit"
	"github.com/fescuestep/fescuestep/pkg/metrics"
)

// limiter adapts the quota controller to the filter's interface.
type limiter struct{ limiter *quotasync.Limiter }

// Take implements ratelimit.Limiter.
func (l limiter) Take(ctx context.Context, customer *config.Customer, tokens int) (ratelimit.Charge, error) {
	return l.limiter.Take(ctx, customer, tokens)
}

// accountingMetrics records what the accounting filter reports.
type accountingMetrics struct{ metrics *metrics.Metrics }

func (a accountingMetrics) customer(l accounting.Labels) *metrics.Customer {
	if l.Customer == "" {
		return a.metrics.Customer(nil)
	}
	return a.metrics.Customer(&config.Customer{ID: l.Customer, Class: l.Class})
}

// Count implements accounting.Metrics. Requests are counted with their time by
// Observe.
func (a accountingMetrics) Count(c accounting.Counter, l accounting.Labels, n int64) {
	switch c {
	case accounting.PromptTokens:
		a.customer(l).Tokens(int(n), 0, 0)
	case accounting.CachedTokens:
		a.customer(l).Tokens(0, int(n), 0)
	case accounting.OutputTokens:
		a.customer(l).Tokens(0, 0, int(n))
	}
}

// Observe implements accounting.Metrics.
func (a accountingMetrics) Observe(h accounting.Histogram, l accounting.Labels, d time.Duration) {
	c := a.customer(l)
	switch {
	case h == accounting.FirstToken:
		c.FirstToken(d)
	case h == accounting.TokenGap:
		c.TokenGap(d)
	case h == accounting.Total && l.Code == 0:
		c.Done(d)
	case h == accounting.Total:
		c.Failed(d, l.Code)
	}
}

package collect

import (
	"time"

	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/filter/accounting"
	"github.com/fescuestep/fescuestep/pkg/metrics"
)

// Requests records what the accounting filter reports.
func Requests(m *metrics.Metrics) accounting.Metrics { return requests{m} }

// requests records what the accounting filter reports.
type requests struct{ metrics *metrics.Metrics }

func (a requests) customer(l accounting.Labels) *metrics.Customer {
	if l.Customer == "" {
		return a.metrics.Customer(nil)
	}
	return a.metrics.Customer(&config.Customer{ID: l.Customer, Class: l.Class})
}

// Count implements accounting.Metrics. Requests are counted with their time by
// Observe.
func (a requests) Count(c accounting.Counter, l accounting.Labels, n int64) {
	switch c {
	case accounting.PromptTokens:
		a.customer(l).Tokens(int(n), 0, 0)
	case accounting.CachedTokens:
		a.customer(l).Tokens(0, int(n), 0)
	case accounting.OutputTokens:
		a.customer(l).Tokens(0, 0, int(n))
	}
}

// Observe records a duration of a request.
func (a requests) Observe(h accounting.Histogram, l accounting.Labels, d time.Duration) {
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

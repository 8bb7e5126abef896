package instance

import (
	"context"

	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/controller/quotasync"
	"github.com/fescuestep/fescuestep/pkg/filter/ratelimit"
)

// limiter adapts the quota controller to the filter's interface.
type limiter struct{ limiter *quotasync.Limiter }

// Take implements ratelimit.Limiter.
func (l limiter) Take(ctx context.Context, customer *config.Customer, tokens int) (ratelimit.Charge, error) {
	return l.limiter.Take(ctx, customer, tokens)
}

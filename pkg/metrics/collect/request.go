package collect

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuestep/fescuestep/pkg/chain"
	"github.com/fescuestep/fescuestep/pkg/code"
	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/filter/endpoint"
	"github.com/fescuestep/fescuestep/pkg/filter/idempotency"
	"github.com/fescuestep/fescuestep/pkg/filter/ratelimit"
	"github.com/fescuestep/fescuestep/pkg/metrics"
	"github.com/fescuestep/fescuestep/pkg/order"
	"github.com/fescuestep/fescuestep/pkg/upstream"
)

type limiter struct {
	next ratelimit.Limiter
	m    *metrics.Metrics
}

// Limiter records how long requests wait for tokens.
func Limiter(next ratelimit.Limiter, m *metrics.Metrics) ratelimit.Limiter {
	return limiter{next, m}
}

// Take records how long a request waited for its charge.
func (l limiter) Take(ctx context.Context, customer *config.Customer, tokens int) (ratelimit.Charge, error) {
	start := time.Now()
	charge, err := l.next.Take(ctx, customer, tokens)
	l.m.QuotaWait(time.Since(start))
	return charge, err
}

// poolStats are the recorder of a pool and the number of requests that wait
// for one of its slots.
type poolStats struct {
	*metrics.Pool
	waiting atomic.Int64
}

type pools struct {
	next  endpoint.Pools
	m     *metrics.Metrics
	stats sync.Map // *poolStats by pool name
}

// Pools records waits for slots, the queue and the outcome of attempts.
func Pools(next endpoint.Pools, m *metrics.Metrics) endpoint.Pools {
	return &pools{next: next, m: m}
}

func (p *pools) of(name string) *poolStats {
	if found, ok := p.stats.Load(name); ok {
		return found.(*poolStats)
	}
	found, _ := p.stats.LoadOrStore(name, &poolStats{Pool: p.m.Pool(name)})
	return found.(*poolStats)
}

// Acquire records how long a request waited for a slot, and how many wait.
func (p *pools) Acquire(ctx context.Context, q upstream.Query) (endpoint.Slot, error) {
	stats := p.of(q.Pool)
	stats.Queued(int(stats.waiting.Add(1)))
	start := time.Now()
	s, err := p.next.Acquire(ctx, q)
	stats.QueueWait(time.Since(start))
	stats.Queued(int(stats.waiting.Add(-1)))
	if err != nil {
		return nil, err
	}
	stats.ExpectedHit(s.Target().HitTokens)
	return slot{s, stats}, nil
}

type slot struct {
	endpoint.Slot
	stats *poolStats
}

var attemptOutcomes = map[upstream.Result]metrics.Outcome{
	upstream.OK:          metrics.OK,
	upstream.Unreachable: metrics.Unreachable,
	upstream.Failed:      metrics.Failure,
	upstream.Cancelled:   metrics.Cancelled,
}

// Done counts the result of the attempt and frees the slot.
func (s slot) Done(r upstream.Result) {
	s.stats.Attempt(attemptOutcomes[r])
	s.Slot.Done(r)
}

type orders struct {
	next idempotency.Orders
	m    *metrics.Metrics
}

// Orders records the outcomes of orders.
func Orders(next idempotency.Orders, m *metrics.Metrics) idempotency.Orders {
	return orders{next, m}
}

// Do implements idempotency.Orders.
func (o orders) Do(ctx context.Context, q order.Request, send func(context.Context) order.Outcome) (*chain.Response, error) {
	var sent atomic.Bool
	resp, err := o.next.Do(ctx, q, func(ctx context.Context) order.Outcome {
		sent.Store(true)
		return send(ctx)
	})
	o.m.Order(orderOutcome(sent.Load(), err))
	return resp, err
}

func orderOutcome(sent bool, err error) metrics.Outcome {
	var e *code.Error
	switch {
	case err == nil && sent:
		return metrics.Finished
	case err == nil:
		return metrics.Replayed
	case !errors.As(err, &e):
		return metrics.Unknown
	case e.Code == code.OrderRunning:
		return metrics.Running
	case e.Code == code.OrderKeyReused:
		return metrics.Reused
	case e.Run == code.NotRun && sent:
		return metrics.Released
	case e.Run == code.NotRun:
		return metrics.Refused
	}
	return metrics.Unknown
}

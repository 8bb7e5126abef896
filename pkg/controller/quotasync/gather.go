package quotasync

import (
	"context"
	"slices"
	"time"

	"github.com/fescuestep/fescuestep/pkg/code"
	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/quota"
)

// gather collects tokens for one request.
type gather struct {
	limiter  *Limiter
	customer *config.Customer
	tokens   int
	stock    *quota.GrantPool // granted for this request
	deadline time.Duration
	inFlight int  // asks not answered yet
	lacking  int  // tokens missing at the last look, while in the entry's queue
	done     bool // grants that arrive later go back to their holders
	news     chan struct{}
}

// run returns the charge or a *code.Error.
func (g *gather) run(ctx context.Context) (*charge, error) {
	for {
		c, wait, err := g.step()
		if c != nil || err != nil {
			return c, err
		}
		timer := time.NewTimer(wait)
		select {
		case <-g.news:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			g.abandon()
			return nil, code.New(code.DeadlineUnreachable, "The request ended while it waited for quota.").WithCause(ctx.Err())
		}
		timer.Stop()
	}
}

// step charges the request if there are enough tokens; otherwise it asks for
// the missing ones and returns how long to wait.
func (g *gather) step() (*charge, time.Duration, error) {
	l := g.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	e := l.entryOf(g.customer)
	e.used = now
	if c := g.charge(now, e); c != nil {
		g.finish(now, e)
		return c, 0, nil
	}
	missing := l.missing(now, g, e)
	if now >= g.deadline {
		return nil, 0, g.refuse(now, e, missing)
	}
	if g.inFlight > 0 {
		return nil, g.deadline - now, nil
	}
	wait, ok := quota.EstimateWait(now, e.views, missing, e.before(g))
	if !ok || now+wait > g.deadline {
		return nil, 0, g.refuse(now, e, missing)
	}
	// Asking before there is enough for the requests ahead and this one would
	// collect a few tokens at a time.
	if wait == 0 && g.ask(now, e, missing) {
		return nil, g.deadline - now, nil
	}
	e.enqueue(g, missing)
	return nil, max(wait, minWait), nil
}

// enqueue puts a request that has to wait behind the others, so that its wait
// is estimated with what they lack.
func (e *entry) enqueue(g *gather, missing int) {
	g.lacking = missing
	if !slices.Contains(e.queue, g) {
		e.queue = append(e.queue, g)
	}
}

// before returns what the requests ahead in the queue lack.
func (e *entry) before(g *gather) int {
	sum := 0
	for _, other := range e.queue {
		if other == g {
			break
		}
		sum += other.lacking
	}
	return sum
}

// finish takes the request out of the queue and gives back what it does not
// need. l.mu must be held.
func (g *gather) finish(now time.Duration, e *entry) {
	g.done = true
	e.queue = slices.DeleteFunc(e.queue, func(other *gather) bool { return other == g })
	g.giveBack(now)
}

// charge takes the tokens from the grants collected, the stock and the own
// share; nil when they do not suffice.
func (g *gather) charge(now time.Duration, e *entry) *charge {
	l := g.limiter
	if l.missing(now, g, e) > 0 {
		return nil
	}
	c := &charge{limiter: l, customer: g.customer.ID, tokens: g.tokens, ownAt: now}
	rest := g.tokens
	var parts []quota.GrantPart
	for _, s := range []*quota.GrantPool{g.stock, e.stock} {
		n := min(rest, s.Total(now))
		parts, _ = s.Take(now, n, parts)
		rest -= n
	}
	c.add(parts)
	e.taken += g.tokens - rest
	if rest > 0 {
		c.own = l.holder.Charge(now, g.customer.ID, rest)
		// Freshness is checked after the tokens are taken: a pause in between
		// could let another instance use the share.
		if c.own < rest || !l.o.State.Fresh() {
			l.holder.Refund(now, g.customer.ID, c.own, now)
			l.giveBack(c.customer, c.parts)
			return nil
		}
	}
	if len(c.parts) > 0 {
		l.pending = append(l.pending, c)
	}
	return c
}

// missing returns how many tokens the request lacks. It counts the own share,
// so the own view is left with level 0 and the rate. l.mu must be held.
func (l *Limiter) missing(now time.Duration, g *gather, e *entry) int {
	have := g.stock.Total(now) + e.stock.Total(now)
	own, share := l.holder.Level(now, g.customer.ID)
	fresh := l.o.State.Fresh()
	if fresh {
		have += own
	}
	if v := e.view(l.o.Self.ID); v != nil {
		*v = quota.HolderView{Holder: v.Holder, Share: share, UpdatedAt: now, Reported: true, Unavailable: !fresh}
	}
	return max(0, g.tokens-have)
}

// ask sends asks for the missing tokens and reports whether there were any.
func (g *gather) ask(now time.Duration, e *entry, missing int) bool {
	asks := quota.PlanRequests(now, e.views, missing)
	sent := false
	for _, a := range asks {
		h, ok := e.holder(a.Holder)
		if !ok || h.ID == g.limiter.o.Self.ID {
			continue
		}
		g.inFlight++
		sent = true
		g.limiter.ask(h, wish{customer: g.customer.ID, tokens: a.Tokens, gather: g})
	}
	return sent
}

// refuse returns the error for the caller and gives back what was collected.
func (g *gather) refuse(now time.Duration, e *entry, missing int) error {
	wait, ok := quota.EstimateWait(now, e.views, missing, e.before(g))
	g.finish(now, e)
	if !ok {
		return code.New(code.QuotaUnavailable, "Too few share holders answered.").WithRetryAfter(retryDown)
	}
	return code.New(code.RateExceeded, "The rate of %.0f tokens per second and the burst of %.0f are used up.",
		g.customer.RatePerSecond, g.customer.Burst).WithRetryAfter(max(wait, minWait))
}

// abandon gives back what was collected when the caller has gone.
func (g *gather) abandon() {
	l := g.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	g.finish(l.now(), l.entryOf(g.customer))
}

func (g *gather) giveBack(now time.Duration) {
	for _, p := range g.stock.Release(now, 0, 0, nil) {
		g.limiter.queue(p.GrantID, quota.Settlement{Customer: g.customer.ID, Unused: p.Tokens})
	}
}

// answered records the answer to one ask. l.mu must be held.
func (g *gather) answered() {
	g.inFlight--
	select {
	case g.news <- struct{}{}:
	default:
	}
}

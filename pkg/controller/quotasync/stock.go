package quotasync

import (
	"time"

	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/quota"
)

// Sizing of the stock. It covers the demand of a few ticks; more would keep
// tokens from other instances.
const (
	stockTicks  = 2
	smoothing   = 0.3 // weight of the newest tick
	minDemand   = 1.0 // tokens per tick; below, the customer is not active
	maxShare    = 8   // at most this part of a holder's burst is prefetched
	returnEarly = 300 * time.Millisecond
)

// tendStocks fills the stocks of active customers and returns what is not
// needed or about to expire. l.mu must be held.
func (l *Limiter) tendStocks(now time.Duration) {
	for id, e := range l.entries {
		e.demand += smoothing * (float64(e.taken) - e.demand)
		e.taken = 0
		want := 0
		if e.demand >= minDemand {
			want = int(stockTicks * e.demand)
		}
		for _, p := range e.stock.Release(now, now+returnEarly, 2*want, nil) {
			l.queue(p.GrantID, quota.Settlement{Customer: id, Unused: p.Tokens})
		}
		if want > 0 && !e.asking && e.stock.Total(now) < want {
			l.prefetch(now, id, e, want)
		}
		if want == 0 && len(e.queue) == 0 && now-e.used > entryIdle {
			delete(l.entries, id)
		}
	}
}

// prefetch asks the holder with the most tokens for the stock. l.mu must be
// held.
func (l *Limiter) prefetch(now time.Duration, customer string, e *entry, want int) {
	var best *quota.HolderView
	var from config.Member
	for _, v := range e.views {
		h, ok := e.holder(v.Holder)
		if !ok || h.ID == l.o.Self.ID {
			continue
		}
		if best == nil || v.Estimate(now) > best.Estimate(now) {
			best, from = v, h
		}
	}
	if best == nil {
		return
	}
	n := min(want, int(best.Share.Burst/maxShare), int(best.Estimate(now)/2))
	if n <= 0 {
		return
	}
	e.asking = true
	l.ask(from, wish{customer: customer, tokens: n})
}

package quotasync

import (
	"context"
	"time"

	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/quota"
	rpc "github.com/fescuestep/fescuestep/rpc/peer"
)

// askDelay collects the asks for one holder into one message. The first ask
// after a pause is sent at once.
const askDelay = 2 * time.Millisecond

// wish is an ask together with the request that it is for; gather is nil for
// the stock.
type wish struct {
	customer string
	tokens   int
	gather   *gather
}

// asker collects wishes for one holder.
type asker struct {
	member  config.Member
	wishes  []wish
	waiting bool          // a message is scheduled
	last    time.Duration // when the last message was sent
}

// ask adds a wish to the next message to a holder. l.mu must be held.
func (l *Limiter) ask(h config.Member, w wish) {
	a, ok := l.askers[h.ID]
	if !ok {
		a = &asker{last: -askDelay}
		l.askers[h.ID] = a
	}
	a.member = h
	a.wishes = append(a.wishes, w)
	if a.waiting {
		return
	}
	a.waiting = true
	delay := a.last + askDelay - l.now()
	if delay <= 0 {
		// A timer that is due at once crashes the race detector of Go 1.26 in
		// virtual time.
		go l.send(a)
		return
	}
	time.AfterFunc(delay, func() { l.send(a) })
}

// send sends the collected wishes and distributes the grants.
func (l *Limiter) send(a *asker) {
	l.mu.Lock()
	wishes, to := a.wishes, a.member
	sent := l.now() // leases count from before the request
	a.wishes, a.waiting, a.last = nil, false, sent
	l.mu.Unlock()
	req := &rpc.AcquireRequest{Id: l.o.Self.ID, Incarnation: l.o.Self.Incarnation}
	for _, w := range wishes {
		req.Asks = append(req.Asks, &rpc.Ask{Customer: w.customer, Tokens: int64(w.tokens)})
	}
	ctx, cancel := context.WithTimeout(context.Background(), acquireTimeout)
	defer cancel()
	resp, err := l.o.Peers.Peer(to.PeerAddr).Acquire(ctx, req)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil || !resp.Fresh || len(resp.Grants) != len(wishes) {
		l.o.Log.Debug("holder granted nothing", "holder", to.ID, "error", err)
		l.unanswered(to.ID, wishes)
		return
	}
	for i, w := range wishes {
		l.granted(to.ID, resp.Incarnation, sent, w, resp.Grants[i])
	}
}

// unanswered marks a holder as down for the customers that asked it.
func (l *Limiter) unanswered(holder string, wishes []wish) {
	now := l.now()
	for _, w := range wishes {
		if e, ok := l.entries[w.customer]; ok {
			if v := e.view(holder); v != nil {
				v.Unavailable, v.UpdatedAt = true, now
			}
			e.asking = e.asking && w.gather != nil
		}
		if w.gather != nil {
			w.gather.answered()
		}
	}
}

// granted puts a grant where it belongs. l.mu must be held.
func (l *Limiter) granted(holder, incarnation string, sent time.Duration, w wish, g *rpc.Grant) {
	now := l.now()
	e, ok := l.entries[w.customer]
	if ok {
		e.report(now, holder, g)
		e.asking = e.asking && w.gather != nil
	}
	part := quota.GrantPart{
		GrantID: quota.GrantID{Holder: holder, Incarnation: incarnation, Number: g.Number, GrantedAt: time.Duration(g.GrantedAt)},
		Tokens:  int(g.Tokens),
	}
	switch {
	case w.gather != nil && !w.gather.done:
		w.gather.stock.Add(now, sent, part)
	case w.gather == nil && ok:
		e.stock.Add(now, sent, part)
	case part.Tokens > 0:
		l.queue(part.GrantID, quota.Settlement{Customer: w.customer, Unused: part.Tokens})
	}
	if w.gather != nil {
		w.gather.answered()
	}
}

// report updates what is known of a holder's bucket.
func (e *entry) report(now time.Duration, holder string, g *rpc.Grant) {
	v := e.view(holder)
	if v == nil {
		return
	}
	*v = quota.HolderView{
		Holder: holder, Reported: true, UpdatedAt: now, Level: float64(g.Level),
		Share: quota.Share{Rate: g.Rate, Burst: g.Burst},
	}
}

// Acquire grants tokens of the own shares to another instance.
func (l *Limiter) Acquire(_ context.Context, req *rpc.AcquireRequest) (*rpc.AcquireResponse, error) {
	resp := &rpc.AcquireResponse{Incarnation: l.o.Self.Incarnation}
	if !l.o.State.Fresh() {
		return resp, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	resp.Fresh = true
	for _, a := range req.Asks {
		g := l.holder.IssueGrant(now, a.Customer, int(a.Tokens))
		resp.Grants = append(resp.Grants, &rpc.Grant{
			Customer: a.Customer, Tokens: int64(g.Tokens), Number: g.Number, GrantedAt: int64(g.GrantedAt),
			Level: int64(g.Level), Rate: g.Share.Rate, Burst: g.Share.Burst,
		})
	}
	return resp, nil
}

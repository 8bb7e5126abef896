package quotasync

import (
	"context"
	"time"

	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/quota"
	rpc "github.com/fescuestep/fescuestep/rpc/peer"
)

// charge is tokens taken for one request. Its fields are guarded by the
// limiter's mutex.
type charge struct {
	limiter  *Limiter
	customer string
	tokens   int
	own      int           // from the own share
	ownAt    time.Duration // when they were taken
	parts    []part        // from other holders
	settled  bool
}

type part struct {
	quota.GrantPart
	reported bool
	since    time.Duration // holder's clock when it was told that the part is spent
}

func (c *charge) add(parts []quota.GrantPart) {
	for _, p := range parts {
		c.parts = append(c.parts, part{GrantPart: p})
	}
}

// Settle returns the unused rest to the holders.
func (c *charge) Settle(used int) {
	if c.tokens == 0 {
		return
	}
	l := c.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.settled {
		return
	}
	c.settled = true
	unused := max(0, c.tokens-max(0, used))
	own := min(unused, c.own)
	l.holder.Refund(l.now(), c.customer, own, c.ownAt)
	unused -= own
	for i := range c.parts {
		n := min(unused, c.parts[i].Tokens)
		unused -= n
		l.settlePart(c.customer, &c.parts[i], n)
	}
}

func (l *Limiter) settlePart(customer string, p *part, unused int) {
	s := quota.Settlement{Customer: customer, Unused: unused}
	if p.reported {
		s.SpentSince = p.since
	} else {
		s.Spent = p.Tokens - unused
	}
	if s.Unused > 0 || s.Spent > 0 {
		l.queue(p.GrantID, s)
	}
}

// giveBack returns parts that were not charged after all.
func (l *Limiter) giveBack(customer string, parts []part) {
	for _, p := range parts {
		l.queue(p.GrantID, quota.Settlement{Customer: customer, Unused: p.Tokens})
	}
}

// outbox collects settlements for one holder incarnation.
type outbox struct {
	incarnation string
	sequence    uint64
	waiting     []quota.Settlement
	reporting   []*part // reported as spent by the waiting settlements
}

// queue adds a settlement to the next message to the grant's holder. l.mu must
// be held.
func (l *Limiter) queue(from quota.GrantID, s quota.Settlement) {
	s.GrantNumber, s.GrantedAt = from.Number, from.GrantedAt
	o := l.outboxOf(from)
	o.waiting = append(o.waiting, s)
}

func (l *Limiter) outboxOf(from quota.GrantID) *outbox {
	o, ok := l.outbox[from.Holder]
	if !ok || o.incarnation != from.Incarnation {
		// A new incarnation knows nothing of older grants.
		o = &outbox{incarnation: from.Incarnation, sequence: l.sequence}
		l.outbox[from.Holder] = o
	}
	return o
}

// reportSpent tells the holders which parts of running requests are spent, so
// that these no longer count as outstanding. Until the answer arrives, a refund
// is limited by the headroom since the grant. l.mu must be held.
func (l *Limiter) reportSpent() {
	for _, c := range l.pending {
		if c.settled {
			continue
		}
		for i := range c.parts {
			p := &c.parts[i]
			p.reported, p.since = true, p.SpentSince(0, quota.LeaseDuration)
			l.queue(p.GrantID, quota.Settlement{Customer: c.customer, Spent: p.Tokens})
			o := l.outboxOf(p.GrantID)
			o.reporting = append(o.reporting, p)
		}
	}
	l.pending = nil
}

// returns is one message of settlements.
type returns struct {
	to        config.Member
	request   *rpc.ReturnRequest
	reporting []*part
}

// collectReturns empties the outboxes. Settlements for holders that are no
// longer members are dropped. l.mu must be held.
func (l *Limiter) collectReturns() []returns {
	var out []returns
	for _, m := range l.o.State.Snapshot().Members.Members {
		o, ok := l.outbox[m.ID]
		if !ok || len(o.waiting) == 0 {
			continue
		}
		o.sequence++
		l.sequence = max(l.sequence, o.sequence)
		req := &rpc.ReturnRequest{
			Id: l.o.Self.ID, Incarnation: l.o.Self.Incarnation,
			HolderIncarnation: o.incarnation, Sequence: o.sequence,
		}
		for _, s := range o.waiting {
			req.Settlements = append(req.Settlements, &rpc.Settlement{
				Customer: s.Customer, Number: s.GrantNumber, GrantedAt: int64(s.GrantedAt),
				Unused: int64(s.Unused), Spent: int64(s.Spent), Since: int64(s.SpentSince),
			})
		}
		out = append(out, returns{m, req, o.reporting})
		o.waiting, o.reporting = nil, nil
	}
	for id, o := range l.outbox {
		if len(o.waiting) > 0 {
			delete(l.outbox, id)
		}
	}
	return out
}

// sendReturn sends one message. It is not repeated: lost tokens are wasted.
func (l *Limiter) sendReturn(ctx context.Context, m returns) {
	ctx, cancel := context.WithTimeout(ctx, returnTimeout)
	defer cancel()
	resp, err := l.o.Peers.Peer(m.to.PeerAddr).Return(ctx, m.request)
	if err != nil {
		l.o.Log.Debug("settlements lost", "holder", m.to.ID, "error", err)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range m.reporting {
		p.since = p.SpentSince(time.Duration(resp.At), quota.LeaseDuration)
	}
}

// Return processes settlements of another instance.
func (l *Limiter) Return(_ context.Context, req *rpc.ReturnRequest) (*rpc.ReturnResponse, error) {
	if req.HolderIncarnation != l.o.Self.Incarnation {
		return &rpc.ReturnResponse{}, nil
	}
	settlements := make([]quota.Settlement, len(req.Settlements))
	for i, s := range req.Settlements {
		settlements[i] = quota.Settlement{
			Customer: s.Customer, GrantNumber: s.Number, GrantedAt: time.Duration(s.GrantedAt),
			Unused: int(s.Unused), Spent: int(s.Spent), SpentSince: time.Duration(s.Since),
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if !l.holder.HandleSettlements(now, req.Id, req.Incarnation, req.Sequence, settlements) {
		return &rpc.ReturnResponse{}, nil
	}
	return &rpc.ReturnResponse{At: int64(now)}, nil
}

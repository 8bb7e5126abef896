package edge

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fescuestep/fescuestep/pkg/dissemination"
	"github.com/fescuestep/fescuestep/pkg/history"
	rpc "github.com/fescuestep/fescuestep/rpc/edge"
)

const (
	// maxCallsPerCheck bounds the State calls for a table before the next pause.
	maxCallsPerCheck = 4
	// emptyRetryDelay is how long an instance is not asked again that had nothing newer,
	// although it or another one told so.
	emptyRetryDelay = 100 * time.Millisecond
)

// tableSync fetches one table from other instances while this one does not follow the store
// or cannot reach it.
type tableSync struct {
	name     string
	news     chan struct{} // signals that another instance may have a newer table
	attempts int           // calls to seeds

	sources *dissemination.Sources // guarded by mu of peers
}

func newTableSync(name string) *tableSync {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &tableSync{name: name, news: make(chan struct{}, 1), sources: dissemination.NewSources(random)}
}

// signal makes the instance check at once whether another one has a newer table.
func (t *tableSync) signal() {
	select {
	case t.news <- struct{}{}:
	default:
	}
}

// syncTable keeps a table up to date until ctx ends.
func (p *peers) syncTable(ctx context.Context, t *tableSync) {
	timer := time.NewTimer(stateSyncInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-t.news:
		}
		timer.Reset(p.fetchTable(ctx, t))
	}
}

// fetchTable fetches what this instance lacks of a table. It returns the time until the
// next check.
func (p *peers) fetchTable(ctx context.Context, t *tableSync) time.Duration {
	if p.follower.FollowsStore() || p.introducer() != "" { // an introducer tells both tables
		return stateSyncInterval
	}
	for range maxCallsPerCheck {
		addr, wait := p.nextSource(t)
		if addr == "" || ctx.Err() != nil {
			return min(wait, stateSyncInterval)
		}
		p.fetchTableFrom(ctx, t, addr)
	}
	return emptyRetryDelay
}

// nextSource returns the control address of the instance to ask for a table, or "" and the
// time until the next check. If this instance has no table yet and no other one offers one,
// it returns a seed.
func (p *peers) nextSource(t *tableSync) (addr string, wait time.Duration) {
	held := p.follower.Positions()
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	addr, wait = t.sources.Next(now, held[t.name], p.tableSources(t.name, now))
	if wait == 0 {
		wait = stateSyncInterval // a digest that tells of a newer table ends it
	}
	if addr != "" || wait < stateSyncInterval || hasAnyTable(held) || len(p.seeds) == 0 {
		return addr, wait
	}
	t.attempts++
	if seed := p.seeds[t.attempts%len(p.seeds)]; seed != p.self.Control {
		return seed, 0
	}
	return "", stateSyncInterval
}

// tableSources returns the instances that were heard lately, with the position of their
// table. The caller holds mu.
func (p *peers) tableSources(table string, now time.Time) []dissemination.Source {
	out := make([]dissemination.Source, 0, len(p.byName))
	for _, other := range p.byName {
		if other.controlAddr == "" || now.Sub(other.heardAt) > relayTimeout {
			continue
		}
		out = append(out, dissemination.Source{
			Addr: other.controlAddr, SameDomain: other.addr.Domain == p.self.Domain, At: tablePosition(other.lastDigest, table),
		})
	}
	return out
}

// fetchTableFrom fetches a table from the instance at a control address.
func (p *peers) fetchTableFrom(ctx context.Context, t *tableSync, addr string) {
	before := p.follower.Positions()[t.name]
	resp, err := p.callState(ctx, addr, &rpc.StateRequest{Only: []string{t.name}})
	newer := before.Before(p.follower.Positions()[t.name])
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	switch {
	case err != nil:
		t.sources.Failed(now, addr)
	case resp.Busy != nil:
		t.sources.Refused(now, addr, retryAfter(resp.Busy), resp.Busy.Holders, busyPosition(resp.Busy, t.name))
	case !newer:
		t.sources.Refused(now, addr, emptyRetryDelay, nil, history.Position{})
	}
}

// retryAfter returns after how long an instance that is busy may be asked again.
func retryAfter(b *rpc.Busy) time.Duration { return time.Duration(b.RetryAfterMs) * time.Millisecond }

// busyPosition returns the position of a table up to which the holders got it that a
// refusal names.
func busyPosition(b *rpc.Busy, table string) history.Position {
	if i := slices.IndexFunc(b.Tables, func(t *rpc.Table) bool { return t.Name == table }); i >= 0 {
		return position(b.Tables[i])
	}
	return history.Position{}
}

// announceCopy tells the other instances that this one can send on a large copy that it got.
func (p *peers) announceCopy(bytes int64) {
	if bytes > dissemination.SmallBytes {
		p.requestSend()
	}
}

package edge

import (
	"context"
	"sync"
	"time"

	"github.com/fescuestep/fescuestep/pkg/history"
	rpc "github.com/fescuestep/fescuestep/rpc/edge"
)

// syncState keeps the state of this instance up to date until ctx ends: each table by
// calls of its own, so that a small change does not wait behind a large one.
func (p *peers) syncState(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { p.chooseRelays(ctx) })
	for _, t := range p.syncs {
		wg.Go(func() { p.syncTable(ctx, t) })
	}
	wg.Wait()
}

// chooseRelays decides, until ctx ends, whether this instance follows the store itself. It
// fetches what the store may not tell.
func (p *peers) chooseRelays(ctx context.Context) {
	ticker := time.NewTicker(stateSyncInterval)
	defer ticker.Stop()
	lacking := 0 // number of ticks in a row in which another instance knew newer contents
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-p.firstContact:
		}
		hasRelay := p.hasRelay()
		p.isRelay.Store(!hasRelay)
		p.follower.SetIdle(hasRelay)
		if addr := p.introducer(); addr != "" {
			p.fetchRetained(ctx, addr)
			continue
		}
		lacking = p.fetchLackingContents(ctx, lacking)
	}
}

const (
	// elderMinAge is how long before this instance another one must have started to
	// know more. One that started at about the same time knows no better.
	elderMinAge = 3 * time.Second
	// contentSourceChecks is the number of checks for which another instance may know
	// newer contents before they are fetched from it. The store usually tells them
	// meanwhile.
	contentSourceChecks = 3
)

// introducer returns the control address of the instance that tells this one, once
// after its start, what the store may not: which upstreams have stated that they leave,
// and what a copy of the store lacks. It is "" if none is known yet, and after the
// introduction. One that has run for longer than this instance is preferred.
func (p *peers) introducer() string {
	if p.introduced.Load() {
		return ""
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	best, bestOlder := "", false
	for _, other := range p.byName {
		if other.controlAddr == "" || other.lastDigest == nil || now.Before(other.backoffUntil) {
			continue
		}
		older := p.startedBefore(other.lastDigest)
		if best == "" || (older && !bestOlder) {
			best, bestOlder = other.controlAddr, older // the order of the map is random
		}
	}
	return best
}

// startedBefore reports whether the sender of a digest has run for longer than this
// instance by elderMinAge. Incarnations are start times in Unix nanoseconds.
func (p *peers) startedBefore(d *rpc.Digest) bool {
	return d.GetIncarnation()+uint64(elderMinAge) <= p.incarnation
}

// fetchLackingContents fetches state from an instance that has known newer contents
// of the operator's rows for several checks, although this instance lacks no rows of the
// store, which has come back from an older copy. It returns the number of checks so far.
func (p *peers) fetchLackingContents(ctx context.Context, checks int) int {
	addr := p.contentSource()
	switch {
	case addr == "" || p.awaitsOperatorRows():
		return 0
	case checks < contentSourceChecks:
		return checks + 1
	}
	p.fetchRetained(ctx, addr)
	if p.contentSource() == addr {
		p.backOffSource(addr, stateSourceBackoff) // its contents could not be adopted
	}
	return 0
}

// awaitsOperatorRows reports whether this instance fetches rows of the operator's table from
// others, which may bring the newer contents.
func (p *peers) awaitsOperatorRows() bool {
	if p.follower.FollowsStore() {
		return false
	}
	operator, _ := p.follower.TableNames()
	held := p.follower.Positions()[operator]
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, source := range p.tableSources(operator, p.now()) {
		if held.Before(source.At) {
			return true
		}
	}
	return false
}

// contentSource returns the control address of an instance that knows newer contents
// of the operator's rows than this one, or "".
func (p *peers) contentSource() string {
	known := p.follower.OperatorNumbers()
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for _, other := range p.byName {
		if other.controlAddr == "" || now.Before(other.backoffUntil) || now.Sub(other.heardAt) > relayTimeout {
			continue
		}
		for _, c := range other.contents {
			if c.Number > known[c.Key] {
				return other.controlAddr
			}
		}
	}
	return ""
}

// fetchRetained fetches what the instance at a control address knows beyond the rows of the
// store, and the rows that this instance lacks.
func (p *peers) fetchRetained(ctx context.Context, addr string) {
	resp, err := p.callState(ctx, addr, &rpc.StateRequest{Retained: true, Contents: encodeContents(p.follower.OperatorNumbers())})
	switch {
	case err != nil:
		p.backOffSource(addr, stateSourceBackoff)
	case resp.Busy != nil:
		p.backOffSource(addr, retryAfter(resp.Busy))
	default:
		p.introduced.Store(true)
	}
}

// backOffSource excludes the instance at a control address for a time from those that are
// asked for what the store may not tell.
func (p *peers) backOffSource(controlAddr string, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, other := range p.byName {
		if other.controlAddr == controlAddr {
			other.backoffUntil = p.now().Add(d)
		}
	}
}

// position returns the position of the store up to which a table is known.
func position(t *rpc.Table) history.Position {
	return history.Position{Era: t.GetEra(), Version: t.GetVersion()}
}

// hasAnyTable reports whether any table has been synchronized.
func hasAnyTable(held map[string]history.Position) bool {
	for _, at := range held {
		if at.Version > 0 {
			return true
		}
	}
	return false
}

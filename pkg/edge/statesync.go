package edge

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/history"
	"github.com/fescuestep/fescuestep/pkg/member"
	"github.com/fescuestep/fescuestep/pkg/state"
	rpc "github.com/fescuestep/fescuestep/rpc/edge"
)

// syncState decides, until ctx ends, whether this instance follows the store itself,
// and fetches state that it lacks from other instances while it does not follow or
// cannot reach the store.
func (p *peers) syncState(ctx context.Context) {
	ticker := time.NewTicker(stateSyncInterval)
	defer ticker.Stop()
	lacking := 0 // number of ticks in a row in which another instance knew newer contents
	for attempt := 0; ; attempt++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-p.fetchNow:
		}
		hasRelay := p.hasRelay()
		p.isRelay.Store(!hasRelay)
		p.follower.SetIdle(hasRelay)
		addr := p.introducer()
		if addr == "" && !p.follower.FollowsStore() {
			addr = p.stateSource(attempt)
		}
		if addr != "" {
			p.fetchState(ctx, addr, !p.introduced.Load())
			continue
		}
		lacking = p.fetchLackingContents(ctx, lacking)
	}
}

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
// of the operator's rows for several checks, although this instance follows the store:
// the store has come back from an older copy. It returns the number of checks so far.
func (p *peers) fetchLackingContents(ctx context.Context, checks int) int {
	addr := p.contentSource()
	switch {
	case addr == "":
		return 0
	case checks < contentSourceChecks:
		return checks + 1
	}
	p.fetchState(ctx, addr, true)
	if p.contentSource() == addr {
		p.backOffStateSource(addr) // its contents could not be adopted
	}
	return 0
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

// hasRelay reports whether a relay follows the store on behalf of this instance: it
// is not itself one of the relays of its failure domain, and a digest arrived
// recently from one of them that follows the store.
func (p *peers) hasRelay() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, silence := p.now(), p.relaySilence()
	members := config.Membership{Members: []config.Member{{ID: p.self.Name, Domain: p.self.Domain}}}
	for name, other := range p.byName {
		if now.Sub(other.heardAt) < silence {
			members.Members = append(members.Members, config.Member{ID: name, Domain: other.addr.Domain, Leaving: other.lastDigest.GetLeaving()})
		}
	}
	relayFollows := false
	for _, relay := range member.Relays(members, p.self.Domain) {
		if relay.ID == p.self.Name {
			return false
		}
		relayFollows = relayFollows || p.byName[relay.ID].lastDigest.GetFollows()
	}
	return relayFollows
}

// stateSource returns the control address of an instance that has a newer version of
// a table, or "" if there is none. It prefers instances that follow the store, then
// those of the same failure domain. If this instance has no table yet and no other
// instance offers one, it returns a seed; attempt selects which.
func (p *peers) stateSource(attempt int) string {
	held := p.follower.Positions()
	p.mu.Lock()
	defer p.mu.Unlock()
	best, bestRank := "", 0
	for _, other := range p.byName {
		if other.controlAddr == "" || !hasNewerTable(other.lastDigest, held) || p.now().Sub(other.heardAt) > relayTimeout {
			continue
		}
		if p.now().Before(other.backoffUntil) {
			continue
		}
		rank := 1
		if other.lastDigest.Follows {
			rank += 2
		}
		if other.addr.Domain == p.self.Domain {
			rank++
		}
		if rank > bestRank {
			best, bestRank = other.controlAddr, rank
		}
	}
	if best != "" || hasAnyTable(held) || len(p.seeds) == 0 {
		return best
	}
	seed := p.seeds[attempt%len(p.seeds)]
	if seed == p.self.Control {
		return ""
	}
	return seed
}

// backOffStateSource excludes the instance at a control address from the sources of
// state for stateSourceBackoff.
func (p *peers) backOffStateSource(controlAddr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, other := range p.byName {
		if other.controlAddr == controlAddr {
			other.backoffUntil = p.now().Add(stateSourceBackoff)
		}
	}
}

// hasNewerTable reports whether the sender of a digest has a newer version of any
// table.
func hasNewerTable(d *rpc.Digest, held map[string]history.Position) bool {
	for _, t := range d.GetTables() {
		if held[t.Name].Before(position(t)) {
			return true
		}
	}
	return false
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

// fetchState fetches the state that this instance lacks from the instance at a
// control address. retained asks for what that one knows beyond the rows of the store,
// which is much more than the usual changes.
func (p *peers) fetchState(ctx context.Context, addr string, retained bool) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	ctx, body := countReceived(ctx)
	held, asked := p.follower.Positions(), p.now()
	resp, err := rpc.NewEdgeProtobufClient("http://"+addr, p.client).State(ctx, &rpc.StateRequest{Held: encodePositions(held), Retained: retained})
	took := p.now().Sub(asked)
	p.metrics.StateTransferred(string(StateReceived), body.bytes.Load())
	if err != nil {
		p.log.Info("cannot fetch state from an instance", "addr", addr, "bytes", body.bytes.Load(), "ms", took.Milliseconds(), "error", err)
		p.backOffStateSource(addr)
		return
	}
	p.follower.Merge(decodeUpdates(resp.Tables, held, addr, asked))
	p.follower.MergeRetained(decodeRetained(resp, addr))
	now := p.now()
	for _, c := range resp.Crashes {
		p.crashes.record(decodeCrash(c, now))
	}
	p.crashes.adopt(decodeQuarantines(resp.Quarantines, now))
	if told := time.Duration(resp.IncompleteMs) * time.Millisecond; retained && told < p.crashes.incomplete() {
		p.crashes.setIncomplete(told)
	}
	p.applyRateLimits(resp.Sender, resp.RateLimits)
	p.streams.learn(resp.Streams)
	for _, t := range resp.Tables {
		p.log.Info("state fetched from an instance", "addr", addr, "table", t.Name, "era", t.Era, "version", t.Version, "whole", t.Whole, "rows", len(t.Rows),
			"bytes", body.bytes.Load(), "ms", took.Milliseconds())
	}
	for _, instance := range resp.Instances {
		p.addListed(instance)
	}
	if retained {
		p.introduced.Store(true)
	}
}

// State returns the rows that the calling instance lacks and, if it asks for that, what
// this instance knows beyond the rows of the store. A caller that has no table yet also gets the addresses
// of all known instances.
func (p *peers) State(ctx context.Context, req *rpc.StateRequest) (*rpc.StateResponse, error) {
	held := map[string]history.Position{}
	for _, t := range req.Held {
		held[t.Name] = position(t)
	}
	out := &rpc.StateResponse{Instances: []*rpc.Address{p.self}}
	if req.Retained {
		addRetained(out, p.follower.Retained())
		crashes, quarantines := p.crashes.retained()
		now := p.now()
		for _, c := range crashes {
			out.Crashes = append(out.Crashes, encodeCrash(c, now))
		}
		out.Quarantines = encodeQuarantines(quarantines, now)
		out.IncompleteMs = uint32(p.crashes.incomplete().Milliseconds())
		out.Streams = encodeStreams(p.streams.retained(), now)
		out.Sender, out.RateLimits = p.self.Name, encodeRateLimits(p.placer.rateLimits(), now)
	}
	for _, update := range p.follower.ChangesSince(held) {
		out.Tables = append(out.Tables, encodeUpdate(update, p.now()))
	}
	noteSent(ctx, out)
	p.mu.Lock()
	defer p.mu.Unlock()
	if !hasAnyTable(held) {
		for _, other := range p.byName {
			out.Instances = append(out.Instances, other.addr)
		}
	}
	return out, nil
}

// InstanceRegistry is the table of the store in which instances are listed.
type InstanceRegistry interface {
	// Rows reads all rows of the table.
	Rows(ctx context.Context, table string) (state.Page, error)
	// PutRow writes a row, replacing one with the same key.
	PutRow(ctx context.Context, table, key string, value []byte) error
}

// keepRegistered registers this instance at its start and again whenever the store has
// come back from an older copy, which may lack its row, until ctx ends.
func (p *peers) keepRegistered(ctx context.Context, registry InstanceRegistry, table string) {
	for ctx.Err() == nil {
		p.register(ctx, registry, table)
		select {
		case <-ctx.Done():
			return
		case <-p.registerAgain:
		}
		// The delay keeps the writes of a large fleet within the store's rate.
		sleep(ctx, rand.N(maxRegisterDelay))
	}
}

// register writes this instance's address to the store and then reads the addresses
// of the others once. Instances that start later are discovered by their digests.
func (p *peers) register(ctx context.Context, registry InstanceRegistry, table string) {
	value, err := json.Marshal(p.self)
	if err != nil {
		p.log.Error("cannot encode the address of this instance", "error", err)
		return
	}
	registered := false
	for ctx.Err() == nil {
		if !registered {
			err := registry.PutRow(ctx, table, p.self.Name, value)
			registered = err == nil
		}
		if registered {
			page, err := registry.Rows(ctx, table)
			if err == nil {
				p.addListedRows(page.Rows)
				return
			}
		}
		sleep(ctx, registerRetryDelay)
	}
}

const (
	// elderMinAge is how long before this instance another one must have started to
	// know more. One that started at about the same time knows no better.
	elderMinAge = 3 * time.Second
	// registerRetryDelay is the pause between attempts to register in the store.
	registerRetryDelay = 500 * time.Millisecond
	// maxRegisterDelay is the longest delay before an instance registers again.
	maxRegisterDelay = 2 * time.Second
	// contentSourceChecks is the number of checks for which another instance may know
	// newer contents before they are fetched from it. The store usually tells them
	// meanwhile.
	contentSourceChecks = 3
)

// addListedRows records the instances that rows of the store list. Those that are new
// get an introduction.
func (p *peers) addListedRows(rows []state.Row) {
	for _, row := range rows {
		addr := &rpc.Address{}
		if err := json.Unmarshal(row.Value, addr); err != nil {
			p.log.Warn("cannot decode the address of a listed instance", "key", row.Key, "error", err)
			continue
		}
		p.addListed(addr)
	}
}

// sleep waits for the duration d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

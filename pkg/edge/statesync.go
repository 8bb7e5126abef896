package edge

import (
	"context"
	"encoding/json"
	"time"

	"github.com/fescuestep/fescuestep/pkg/config"
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
		if p.follower.FollowsStore() {
			continue
		}
		if addr := p.stateSource(attempt); addr != "" {
			p.fetchState(ctx, addr)
		}
	}
}

// hasRelay reports whether a relay follows the store on behalf of this instance: it
// is not itself one of the relays of its failure domain, and a digest arrived
// recently from one of them that follows the store.
func (p *peers) hasRelay() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	members := config.Membership{Members: []config.Member{{ID: p.self.Name, Domain: p.self.Domain}}}
	for name, other := range p.byName {
		if now.Sub(other.heardAt) < relayTimeout {
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
	versions := p.follower.Versions()
	p.mu.Lock()
	defer p.mu.Unlock()
	best, bestRank := "", 0
	for _, other := range p.byName {
		if other.controlAddr == "" || !hasNewerTable(other.lastDigest, versions) || p.now().Sub(other.heardAt) > relayTimeout {
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
	if best != "" || hasAnyTable(versions) || len(p.seeds) == 0 {
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
func hasNewerTable(d *rpc.Digest, versions map[string]uint64) bool {
	for _, t := range d.GetTables() {
		if t.Version > versions[t.Name] {
			return true
		}
	}
	return false
}

// hasAnyTable reports whether any table has been synchronized.
func hasAnyTable(versions map[string]uint64) bool {
	for _, version := range versions {
		if version > 0 {
			return true
		}
	}
	return false
}

// fetchState fetches the state that this instance lacks from the instance at a
// control address.
func (p *peers) fetchState(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	req := &rpc.StateRequest{}
	for name, version := range p.follower.Versions() {
		req.Held = append(req.Held, &rpc.Table{Name: name, Version: version})
	}
	resp, err := rpc.NewEdgeProtobufClient("http://"+addr, p.client).State(ctx, req)
	if err != nil {
		p.log.Info("cannot fetch state from an instance", "addr", addr, "error", err)
		p.backOffStateSource(addr)
		return
	}
	changes := make([]state.TableUpdate, 0, len(resp.Tables))
	for _, t := range resp.Tables {
		change := state.TableUpdate{Name: t.Name, Version: t.Version, Full: t.Whole}
		for _, r := range t.Rows {
			change.Rows = append(change.Rows, state.Row{Table: t.Name, Key: r.Key, Value: r.Value, Version: r.Version, Deleted: r.Deleted})
		}
		changes = append(changes, change)
		p.log.Info("state fetched from an instance", "addr", addr, "table", t.Name, "version", t.Version, "whole", t.Whole, "rows", len(t.Rows))
	}
	p.follower.Merge(changes)
	for _, instance := range resp.Instances {
		p.addListed(instance)
	}
}

// State returns the rows that the calling instance lacks. A caller that has no table
// yet also gets the addresses of all known instances.
func (p *peers) State(_ context.Context, req *rpc.StateRequest) (*rpc.StateResponse, error) {
	heldVersions := map[string]uint64{}
	for _, t := range req.Held {
		heldVersions[t.Name] = t.Version
	}
	out := &rpc.StateResponse{Instances: []*rpc.Address{p.self}}
	for _, change := range p.follower.ChangesSince(heldVersions) {
		t := &rpc.Table{Name: change.Name, Version: change.Version, Whole: change.Full}
		for _, r := range change.Rows {
			t.Rows = append(t.Rows, &rpc.Row{Key: r.Key, Value: r.Value, Version: r.Version, Deleted: r.Deleted})
		}
		out.Tables = append(out.Tables, t)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !hasAnyTable(heldVersions) {
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

// registerRetryDelay is the pause between attempts to register in the store.
const registerRetryDelay = 500 * time.Millisecond

// addListedRows records the instances that rows of the store list and announces this
// one to them.
func (p *peers) addListedRows(rows []state.Row) {
	for _, row := range rows {
		addr := &rpc.Address{}
		if err := json.Unmarshal(row.Value, addr); err != nil {
			p.log.Warn("cannot decode the address of a listed instance", "key", row.Key, "error", err)
			continue
		}
		p.addListed(addr)
	}
	p.requestSend()
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

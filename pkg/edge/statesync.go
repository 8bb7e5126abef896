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

// syncState decides whether this instance follows the store itself, and takes
// what it lacks from instances that do.
func (p *peers) syncState(ctx context.Context) {
	ticker := time.NewTicker(stateSyncInterval)
	defer ticker.Stop()
	for turn := 0; ; turn++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-p.fetchNow:
		}
		relayed := p.hasRelay()
		p.isRelay.Store(!relayed)
		p.follower.SetIdle(relayed)
		if p.follower.FollowsStore() {
			continue
		}
		if addr := p.stateSource(turn); addr != "" {
			p.fetchState(ctx, addr)
		}
	}
}

// hasRelay reports whether relays follow the store for this instance: it is not
// one of the relays of its failure domain, and one of them was heard lately.
func (p *peers) hasRelay() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	members := config.Membership{Members: []config.Member{{ID: p.self.Name, Domain: p.self.Domain}}}
	for name, other := range p.known {
		if now.Sub(other.heardAt) < relayTimeout {
			members.Members = append(members.Members, config.Member{ID: name, Domain: other.addr.Domain, Leaving: other.lastDigest.GetLeaving()})
		}
	}
	heard := false
	for _, relay := range member.Relays(members, p.self.Domain) {
		if relay.ID == p.self.Name {
			return false
		}
		heard = heard || p.known[relay.ID].lastDigest.GetFollows()
	}
	return heard
}

// stateSource returns the address of an instance that knows more, or of a seed if
// this instance knows nothing and nobody. Instances that follow the store and
// those of the same failure domain come first.
func (p *peers) stateSource(turn int) string {
	versions := p.follower.Versions()
	p.mu.Lock()
	defer p.mu.Unlock()
	best, rank := "", 0
	for _, other := range p.known {
		if other.controlAddr == "" || !hasNewerTable(other.lastDigest, versions) || p.now().Sub(other.heardAt) > relayTimeout {
			continue
		}
		if p.now().Before(other.backoffUntil) {
			continue
		}
		r := 1
		if other.lastDigest.Follows {
			r += 2
		}
		if other.addr.Domain == p.self.Domain {
			r++
		}
		if r > rank {
			best, rank = other.controlAddr, r
		}
	}
	if best != "" || hasAnyTable(versions) || len(p.seeds) == 0 {
		return best
	}
	seed := p.seeds[turn%len(p.seeds)]
	if seed == p.self.Control {
		return ""
	}
	return seed
}

// backOffStateSource keeps an instance that did not answer from being asked at once again.
func (p *peers) backOffStateSource(control string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, other := range p.known {
		if other.controlAddr == control {
			other.backoffUntil = p.now().Add(stateSourceBackoff)
		}
	}
}

func hasNewerTable(d *rpc.Digest, versions map[string]uint64) bool {
	for _, t := range d.GetTables() {
		if t.Version > versions[t.Name] {
			return true
		}
	}
	return false
}

func hasAnyTable(versions map[string]uint64) bool {
	for _, version := range versions {
		if version > 0 {
			return true
		}
	}
	return false
}

func (p *peers) fetchState(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	req := &rpc.StateRequest{}
	for name, version := range p.follower.Versions() {
		req.Held = append(req.Held, &rpc.Table{Name: name, Version: version})
	}
	resp, err := rpc.NewEdgeProtobufClient("http://"+addr, p.client).State(ctx, req)
	if err != nil {
		p.log.Info("instance gives no state", "addr", addr, "error", err)
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
		p.log.Info("state taken from an instance", "addr", addr, "table", t.Name, "version", t.Version, "whole", t.Whole, "rows", len(t.Rows))
	}
	p.follower.Merge(changes)
	for _, instance := range resp.Instances {
		p.addListed(instance)
	}
}

// State implements rpc.Edge.
func (p *peers) State(_ context.Context, req *rpc.StateRequest) (*rpc.StateResponse, error) {
	held := map[string]uint64{}
	for _, t := range req.Held {
		held[t.Name] = t.Version
	}
	out := &rpc.StateResponse{Instances: []*rpc.Address{p.self}}
	for _, change := range p.follower.ChangesSince(held) {
		t := &rpc.Table{Name: change.Name, Version: change.Version, Whole: change.Full}
		for _, r := range change.Rows {
			t.Rows = append(t.Rows, &rpc.Row{Key: r.Key, Value: r.Value, Version: r.Version, Deleted: r.Deleted})
		}
		out.Tables = append(out.Tables, t)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !hasAnyTable(held) {
		for _, other := range p.known {
			out.Instances = append(out.Instances, other.addr)
		}
	}
	return out, nil
}

// InstanceRegistry lists the instances in the store.
type InstanceRegistry interface {
	Rows(ctx context.Context, table string) (state.Page, error)
	PutRow(ctx context.Context, table, key string, value []byte) error
}

// register writes this instance's address into the store and reads the others'
// once. Later ones make themselves known by their digests.
func (p *peers) register(ctx context.Context, registry InstanceRegistry, table string) {
	value, err := json.Marshal(p.self)
	if err != nil {
		p.log.Error("cannot encode the address", "error", err)
		return
	}
	written := false
	for ctx.Err() == nil {
		if !written {
			err := registry.PutRow(ctx, table, p.self.Name, value)
			written = err == nil
		}
		if written {
			page, err := registry.Rows(ctx, table)
			if err == nil {
				p.addListedRows(page.Rows)
				return
			}
		}
		sleep(ctx, registerRetryDelay)
	}
}

// registerRetryDelay is between attempts to reach the store at the start.
const registerRetryDelay = 500 * time.Millisecond

func (p *peers) addListedRows(rows []state.Row) {
	for _, row := range rows {
		addr := &rpc.Address{}
		if err := json.Unmarshal(row.Value, addr); err != nil {
			p.log.Warn("listed instance is not valid", "key", row.Key, "error", err)
			continue
		}
		p.addListed(addr)
	}
	p.requestSend()
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

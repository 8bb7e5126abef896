package shard

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fescuestep/fescuestep/pkg/block"
	"github.com/fescuestep/fescuestep/pkg/cacheindex"
	rpc "github.com/fescuestep/fescuestep/rpc/peer"
)

// MaxHolders is the number of engines in an answer. The choice considers as
// many holders of the longest prefixes.
const MaxHolders = 8

// Spares are engines of little load, for prompts whose holders are busy: the
// least loaded of a random sample, so that instances do not all get the same.
const (
	maxSpares    = 3
	spareSamples = 8
)

// Lookup answers which engines hold the longest prefixes of the prompts, and
// names a few others of the pool that have little load.
func (o *Owner) Lookup(now time.Duration, req *rpc.LookupRequest, rng *rand.Rand) *rpc.LookupResponse {
	resp := &rpc.LookupResponse{Prompts: make([]*rpc.Holders, len(req.Prompts))}
	for i, p := range req.Prompts {
		resp.Prompts[i] = o.lookup(now, hashes(p.Blocks), p.Pool, rng)
	}
	return resp
}

func (o *Owner) lookup(now time.Duration, blocks []block.Hash, pool string, rng *rand.Rand) *rpc.Holders {
	if len(blocks) == 0 || !o.assigned.Owns(o.self, PartitionOf(blocks[0])) {
		return &rpc.Holders{}
	}
	out := &rpc.Holders{Owned: true}
	o.scratch = o.index.Lookup(o.scratch[:0], now, blocks, MaxHolders, rng)
	for _, m := range o.scratch {
		if e := o.handles[m.Engine]; e != nil && e.pool == pool {
			out.Holders = append(out.Holders, e.holder(now, m))
		}
	}
	o.addSpares(now, out, pool, rng)
	return out
}

// Spares names engines of the pool that have little load, without a prefix.
func (o *Owner) Spares(now time.Duration, pool string, rng *rand.Rand) []*rpc.Holder {
	out := &rpc.Holders{}
	o.addSpares(now, out, pool, rng)
	return out.Holders
}

func (e *owned) holder(now time.Duration, m cacheindex.Match) *rpc.Holder {
	return &rpc.Holder{
		Engine:      e.id,
		Incarnation: e.incarnation,
		Weights:     e.weights,
		Levels:      uint32(m.HeldBlocks),
		Expect:      float32(m.ExpectedBlocks),
		AgeMs:       milliseconds(now - e.heard),
		Load:        aged(e.load, now-e.heard),
		Since:       e.since,
		Source:      e.source,
	}
}

func (o *Owner) addSpares(now time.Duration, out *rpc.Holders, pool string, rng *rand.Rand) {
	all := o.pools[pool]
	if len(all) == 0 {
		return
	}
	var spares []*owned
	for range spareSamples {
		e := all[rng.IntN(len(all))]
		if e.load == nil || e.load.Leaving || slices.Contains(spares, e) || named(out.Holders, e.id) {
			continue
		}
		spares = append(spares, e)
	}
	slices.SortStableFunc(spares, func(a, b *owned) int { return compareLoad(a.load, b.load) })
	for _, e := range spares[:min(maxSpares, len(spares))] {
		out.Holders = append(out.Holders, e.holder(now, cacheindex.Match{}))
	}
}

func named(holders []*rpc.Holder, id string) bool {
	return slices.ContainsFunc(holders, func(h *rpc.Holder) bool { return h.Engine == id })
}

func compareLoad(a, b *rpc.EngineLoad) int {
	if c := cmp.Compare(a.QueuedTokens, b.QueuedTokens); c != 0 {
		return c
	}
	return cmp.Compare(a.Running+a.Waiting, b.Running+b.Waiting)
}

// aged returns a load report whose age includes the time at the owner.
func aged(l *rpc.EngineLoad, since time.Duration) *rpc.EngineLoad {
	if l == nil {
		return nil
	}
	return &rpc.EngineLoad{
		AgeMs:        l.AgeMs + milliseconds(since),
		Running:      l.Running,
		Waiting:      l.Waiting,
		QueuedTokens: l.QueuedTokens,
		Leaving:      l.Leaving,
	}
}

package shard

import (
	"math/rand/v2"
	"time"

	"github.com/fescuestep/fescuestep/pkg/block"
	rpc "github.com/fescuestep/fescuestep/rpc/peer"
)

// MaxHolders is the number of engines in an answer. The choice considers as
// many holders of the longest prefixes.
const MaxHolders = 8

// Lookup answers which engines hold the longest prefixes of the prompts.
func (o *Owner) Lookup(now time.Duration, req *rpc.LookupRequest, rng *rand.Rand) *rpc.LookupResponse {
	resp := &rpc.LookupResponse{Prompts: make([]*rpc.Holders, len(req.Prompts))}
	for i, p := range req.Prompts {
		resp.Prompts[i] = o.lookup(now, hashes(p.Blocks), rng)
	}
	return resp
}

func (o *Owner) lookup(now time.Duration, blocks []block.Hash, rng *rand.Rand) *rpc.Holders {
	if len(blocks) == 0 || !o.assigned.Owns(o.self, PartitionOf(blocks[0])) {
		return &rpc.Holders{}
	}
	out := &rpc.Holders{Owned: true}
	o.scratch = o.index.Lookup(o.scratch[:0], now, blocks, MaxHolders, rng)
	for _, m := range o.scratch {
		e := o.handles[m.Engine]
		if e == nil {
			continue
		}
		out.Holders = append(out.Holders, &rpc.Holder{
			Engine:      e.id,
			Incarnation: e.incarnation,
			Weights:     e.weights,
			Levels:      uint32(m.Levels),
			Expect:      float32(m.Expect),
			AgeMs:       milliseconds(now - e.heard),
			Load:        aged(e.load, now-e.heard),
		})
	}
	return out
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

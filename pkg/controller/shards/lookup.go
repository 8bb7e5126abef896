package shards

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/fescuestep/fescuestep/pkg/block"
	"github.com/fescuestep/fescuestep/pkg/pick"
	"github.com/fescuestep/fescuestep/pkg/shard"
	rpc "github.com/fescuestep/fescuestep/rpc/peer"
)

// Forward answers a follower. It implements peer.Sharder.
func (c *Controller) Forward(_ context.Context, req *rpc.ForwardRequest) (*rpc.ForwardResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.assigned == nil {
		return nil, twirp.NewError(twirp.Unavailable, "membership not known yet")
	}
	return c.owner.Forward(c.now(), req), nil
}

// Lookup answers an instance that has a request. It implements peer.Sharder.
func (c *Controller) Lookup(_ context.Context, req *rpc.LookupRequest) (*rpc.LookupResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.assigned == nil {
		return nil, twirp.NewError(twirp.Unavailable, "membership not known yet")
	}
	return c.owner.Lookup(c.now(), req, c.rng), nil
}

// Active reports whether the fleet's index is divided.
func (c *Controller) Active() bool { return c.active.Load() }

// Holders asks the owner of a prompt's root which engines of the pool hold the
// longest prefixes and which others have little load. When the owner does not
// answer within the bound, or the prompt has no whole block, the answer holds
// only engines of little load that this instance knows as an owner itself.
func (c *Controller) Holders(ctx context.Context, pool string, blocks []block.Hash) []pick.Holder {
	if found, ok := c.ask(ctx, pool, blocks); ok {
		return found
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return holders(c.owner.Spares(c.now(), pool, c.rng))
}

func (c *Controller) ask(ctx context.Context, pool string, blocks []block.Hash) ([]pick.Holder, bool) {
	if len(blocks) == 0 {
		return nil, false
	}
	c.mu.Lock()
	to, ok := c.assigned.Owner(shard.PartitionOf(blocks[0]))
	c.mu.Unlock()
	if !ok {
		return nil, false
	}
	p := &rpc.Prompt{Pool: pool, Blocks: make([]uint64, len(blocks))}
	for i, h := range blocks {
		p.Blocks[i] = uint64(h)
	}
	ctx, cancel := context.WithTimeout(ctx, lookupBound)
	defer cancel()
	ask := c.Lookup
	if to.ID != c.o.Self.ID {
		ask = c.o.Peers.Peer(to.PeerAddr).Lookup
	}
	resp, err := ask(ctx, &rpc.LookupRequest{Prompts: []*rpc.Prompt{p}})
	if err != nil || len(resp.Prompts) != 1 || !resp.Prompts[0].Owned {
		return nil, false
	}
	return holders(resp.Prompts[0].Holders), true
}

func holders(in []*rpc.Holder) []pick.Holder {
	out := make([]pick.Holder, len(in))
	for i, h := range in {
		out[i] = pick.Holder{
			ID:             h.Engine,
			Incarnation:    h.Incarnation,
			WeightsVersion: h.Weights,
			Epoch:          pick.Epoch{Revision: h.Since, IncarnationNumber: h.Source},
			HeldBlocks:     int(h.Levels),
			ExpectedBlocks: float64(h.Expect),
		}
		if l := h.Load; l != nil {
			out[i].Load = &pick.HolderLoad{
				Age:          time.Duration(l.AgeMs) * time.Millisecond,
				Running:      int(l.Running),
				Waiting:      int(l.Waiting),
				QueuedTokens: int(l.QueuedTokens),
				Leaving:      l.Leaving,
			}
		}
	}
	return out
}

package shards

import (
	"context"

	"github.com/twitchtv/twirp"

	"github.com/fescuestep/fescuestep/pkg/block"
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

// Holders asks the owner of a prompt's root which engines hold the longest
// prefixes. It returns false when the owner does not answer within the bound
// or does not own the root; the request then goes on without cache knowledge.
func (c *Controller) Holders(ctx context.Context, blocks []block.Hash) ([]*rpc.Holder, bool) {
	if len(blocks) == 0 {
		return nil, false
	}
	c.mu.Lock()
	to, ok := c.assigned.Owner(shard.PartitionOf(blocks[0]))
	c.mu.Unlock()
	if !ok {
		return nil, false
	}
	p := &rpc.Prompt{Blocks: make([]uint64, len(blocks))}
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
	return resp.Prompts[0].Holders, true
}

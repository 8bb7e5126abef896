package instance

import (
	"context"

	"github.com/fescuestep/fescuestep/pkg/controller/shards"
	"github.com/fescuestep/fescuestep/pkg/external"
	"github.com/fescuestep/fescuestep/pkg/peer"
	"github.com/fescuestep/fescuestep/pkg/shard"
)

func (i *Instance) newShards(peers shards.Peers, needed func(engines int) bool, seed uint64) *shards.Controller {
	return shards.New(shards.Options{
		Self:     i.self,
		Snapshot: i.sync.Snapshot,
		Listed:   func() []external.Instance { return i.upstreams.Listed() },
		Peers:    peers,
		Client:   i.engines,
		Pace:     shard.DefaultPace,
		Needed:   needed,
		Seed:     seed,
		Log:      i.log.Named("shards"),
	})
}

// divided reports whether the fleet's cache index is divided.
func (i *Instance) divided() bool { return i.shards != nil && i.shards.Active() }

func (i *Instance) runShards(ctx context.Context) error {
	if i.shards == nil {
		return nil
	}
	return i.shards.Run(ctx)
}

// sharder answers the peer service's messages about the divided index.
func (i *Instance) sharder() peer.Sharder {
	if i.shards == nil {
		return peer.Unsharded{}
	}
	return i.shards
}

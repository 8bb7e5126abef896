package standin

import (
	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/external"
	"github.com/fescuestep/fescuestep/pkg/standin/engine"
	"github.com/fescuestep/fescuestep/pkg/standin/kv"
	"github.com/fescuestep/fescuestep/pkg/standin/orders"
)

// Instances returns the upstreams in order of their start.
func (f *Fleet) Instances() []external.Instance {
	out := make([]external.Instance, 0, len(f.order))
	for _, id := range f.order {
		out = append(out, f.instances[id])
	}
	return out
}

// Engine returns an engine by instance ID, or nil.
func (f *Fleet) Engine(id string) *engine.Server { return f.engines[id] }

// Service returns an order server by instance ID, or nil.
func (f *Fleet) Service(id string) *orders.Server { return f.services[id] }

// KV returns a KV store by instance ID, or nil.
func (f *Fleet) KV(id string) *kv.Server { return f.stores[id] }

// Ledger returns what the order servers of a pool ran, or nil.
func (f *Fleet) Ledger(pool string) *orders.Ledger { return f.ledgers[pool] }

// Engines returns the engines of a pool in order; an empty name means all.
func (f *Fleet) Engines(pool string) []*engine.Server {
	return members(f, pool, f.engines)
}

// Services returns the order servers of a pool in order; an empty name means
// all.
func (f *Fleet) Services(pool string) []*orders.Server {
	return members(f, pool, f.services)
}

func members[T any](f *Fleet, pool string, all map[string]T) []T {
	var out []T
	for _, id := range f.order {
		if server, ok := all[id]; ok && (pool == "" || f.instances[id].Pool == pool) {
			out = append(out, server)
		}
	}
	return out
}

// Leave marks an upstream as leaving in the list and in its load reports. It
// goes on serving.
func (f *Fleet) Leave(id string) {
	if server, ok := f.engines[id]; ok {
		server.Leave()
	}
	if server, ok := f.services[id]; ok {
		server.Leave()
	}
	instance := f.instances[id]
	instance.State = external.Leaving
	f.instances[id] = instance
	f.list(instance)
}

// Stop ends an upstream for good and removes it from the list.
func (f *Fleet) Stop(id string) {
	f.stop(id)
	if f.Platform.List != nil {
		f.Platform.List.Store.Remove(id)
	}
}

// UCAB returns the member print shops' deployment: a greeting-model pool, an
// order service and a KV store.
func UCAB() Config {
	return Config{
		Name:    "ucab",
		Domains: []string{"rennes", "brest", "vannes", "quimper"},
		Pools: []Pool{
			{Name: "plume", Kind: config.Model, Count: 12, KVPool: "memoire", Engine: engine.Options{ChecksFencing: true}},
			{Name: "atelier", Kind: config.Service, Count: 4},
			{Name: "memoire", Kind: config.KV, Count: 1},
		},
	}
}

// Skovgaard returns the cast works' deployment: a desk-model pool whose
// engines ignore fencing tokens, an order service and a KV store.
func Skovgaard() Config {
	return Config{
		Name:    "skovgaard",
		Domains: []string{"ribe", "aalborg", "hirtshals", "vejle"},
		Pools: []Pool{
			{Name: "lm-desk", Kind: config.Model, Count: 12, KVPool: "prompt-keep"},
			{Name: "ordre-app", Kind: config.Service, Count: 4},
			{Name: "prompt-keep", Kind: config.KV, Count: 1},
		},
	}
}

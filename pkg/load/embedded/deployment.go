// Package embedded starts whole router instances and stand-ins of the external
// systems in one process, one set per policy, for the load generator.
package embedded

import (
	"net/http"
	"time"

	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/keys"
	"github.com/fescuestep/fescuestep/pkg/load"
	"github.com/fescuestep/fescuestep/pkg/standin/engine"
)

// orderApplication is the plain service that takes orders.
const orderApplication = "orders"

// slots is the batch size of the engine stand-in.
const slots = engine.DefaultMaxRunning

// deployment returns the configuration of a profile.
func deployment(p *load.Profile, quotas []load.Quota) *config.Deployment {
	d := &config.Deployment{
		Name:        p.Name,
		Domains:     p.Domains,
		OneWayDelay: p.OneWayDelay,
		Priority:    p.Priority,
		Applications: []config.Application{
			{ID: p.Pool, Kind: config.Model, Pool: p.Pool, Model: p.Model, Timeout: 30 * time.Second},
			{ID: orderApplication, Kind: config.Service, Pool: p.OrderPool, Timeout: 10 * time.Second, Routes: []config.Route{
				{Method: http.MethodPost, Path: "/orders", OrderSpace: "orders"},
			}},
		},
		Pools: []config.Pool{
			{
				Name: p.Pool, Kind: config.Model, Weights: "1", MaxInFlight: slots, BlockTokens: load.BlockTokens,
				PrefillPerSec: engine.DefaultPrefillPerSec, KVPool: p.KVPool, KVImportPerSec: engine.DefaultKVImportPerSec,
			},
			{Name: p.OrderPool, Kind: config.Service, MaxInFlight: slots},
			{Name: p.KVPool, Kind: config.KV},
		},
	}
	for i, c := range p.Customers {
		d.Customers = append(d.Customers, config.Customer{
			ID: c.ID, Name: c.ID, Weight: c.Weight, CacheScope: c.ID, WhenUnconfirmed: config.Refuse,
			RatePerSecond: quotas[i].Rate, Burst: quotas[i].Burst, Applications: []string{p.Pool, orderApplication},
		})
	}
	return d
}

// callers are the keys of the customers; the spare one is used after the first
// has been revoked.
type callers struct {
	secrets []string
	spares  []string
	keys    []config.Key
	changes []config.Change
}

func newCallers(p *load.Profile, now time.Time) *callers {
	c := &callers{}
	for _, customer := range p.Customers {
		secret, key := keys.Create(customer.ID, "", now)
		spare, spareKey := keys.Create(customer.ID, "", now)
		c.secrets = append(c.secrets, secret)
		c.spares = append(c.spares, spare)
		c.keys = append(c.keys, key)
		c.changes = append(c.changes, config.Change{Key: &key}, config.Change{Key: &spareKey})
	}
	return c
}

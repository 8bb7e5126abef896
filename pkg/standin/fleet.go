// Package standin starts stand-ins for the external systems of one deployment
// in one process on loopback addresses: model engines, order servers, KV
// stores and the platform's services.
package standin

import (
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/external"
	"github.com/fescuestep/fescuestep/pkg/standin/engine"
	"github.com/fescuestep/fescuestep/pkg/standin/host"
	"github.com/fescuestep/fescuestep/pkg/standin/kv"
	"github.com/fescuestep/fescuestep/pkg/standin/list"
	"github.com/fescuestep/fescuestep/pkg/standin/objects"
	"github.com/fescuestep/fescuestep/pkg/standin/orders"
	"github.com/fescuestep/fescuestep/pkg/standin/table"
	"github.com/fescuestep/fescuestep/pkg/standin/weights"
)

// Config describes a fleet.
type Config struct {
	Name    string
	Domains []string // failure domains, assigned in turn
	Pools   []Pool
	Scale   host.Scale // of all times; 0 means 1
	// Platform is shared by several fleets; nil starts an own one, which the
	// fleet closes.
	Platform        *Platform
	PlatformOptions PlatformOptions // of an own platform
}

// Pool describes the upstreams of one pool.
type Pool struct {
	Name   string
	Kind   config.Kind
	Count  int
	KVPool string         // name of the KV pool that engines use
	Engine engine.Options // template of model pools
	Orders orders.Options // template of service pools
	KV     kv.Options     // template of KV pools
}

// PlatformOptions configure the platform's services. An empty address means a
// free loopback port.
type PlatformOptions struct {
	Skip                                          []string // services not to start: table, objects, list, weights
	TableAddr, ObjectsAddr, ListAddr, WeightsAddr string
	Table                                         table.Options
	Objects                                       objects.Options
	List                                          list.Options
	Weights                                       weights.Options
}

// DefaultListLag is the lag of the instance list when none is given; a
// negative lag means none.
const DefaultListLag = 500 * time.Millisecond

// Platform is a running set of platform services; skipped ones are nil.
type Platform struct {
	Table   *table.Server
	Objects *objects.Server
	List    *list.Server
	Weights *weights.Server
	closers []func()
}

// StartPlatform starts the platform's services.
func StartPlatform(o PlatformOptions, scale host.Scale) (*Platform, error) {
	o.Table.Scale, o.Objects.Scale, o.List.Scale, o.Weights.Scale = scale, scale, scale, scale
	if o.List.Lag == 0 {
		o.List.Lag = DefaultListLag
	}
	p := &Platform{}
	steps := map[string]func() error{
		"table": func() (err error) { p.Table, err = table.Start(o.TableAddr, o.Table); return p.started(p.Table, err) },
		"objects": func() (err error) {
			p.Objects, err = objects.Start(o.ObjectsAddr, o.Objects)
			return p.started(p.Objects, err)
		},
		"list": func() (err error) { p.List, err = list.Start(o.ListAddr, o.List); return p.started(p.List, err) },
		"weights": func() (err error) {
			p.Weights, err = weights.Start(o.WeightsAddr, o.Weights)
			return p.started(p.Weights, err)
		},
	}
	for _, name := range []string{"table", "objects", "list", "weights"} {
		if slices.Contains(o.Skip, name) {
			continue
		}
		if err := steps[name](); err != nil {
			p.Close()
			return nil, errors.Wrapf(err, "start %s", name)
		}
	}
	return p, nil
}

type closer interface{ Close() }

func (p *Platform) started(c closer, err error) error {
	if err == nil {
		p.closers = append(p.closers, c.Close)
	}
	return err
}

// Close stops all services.
func (p *Platform) Close() {
	for _, stop := range p.closers {
		stop()
	}
}

// Fleet is a running deployment.
type Fleet struct {
	Name     string
	Platform *Platform

	ownPlatform bool
	order       []string // instance IDs in order of their start
	instances   map[string]external.Instance
	engines     map[string]*engine.Server
	services    map[string]*orders.Server
	stores      map[string]*kv.Server
	ledgers     map[string]*orders.Ledger // by pool
}

// Start starts a fleet and enters its upstreams in the list.
func Start(c Config) (*Fleet, error) {
	f := &Fleet{
		Name: c.Name, Platform: c.Platform,
		instances: map[string]external.Instance{}, engines: map[string]*engine.Server{},
		services: map[string]*orders.Server{}, stores: map[string]*kv.Server{}, ledgers: map[string]*orders.Ledger{},
	}
	if f.Platform == nil {
		p, err := StartPlatform(c.PlatformOptions, c.Scale)
		if err != nil {
			return nil, err
		}
		f.Platform, f.ownPlatform = p, true
	}
	if err := f.startPools(c); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// startPools starts KV pools first, because engines need their addresses.
func (f *Fleet) startPools(c Config) error {
	pools := slices.Clone(c.Pools)
	slices.SortStableFunc(pools, func(a, b Pool) int { return rank(a) - rank(b) })
	for _, pool := range pools {
		for i := range pool.Count {
			if err := f.startOne(c, pool, i); err != nil {
				return errors.Wrapf(err, "start pool %s", pool.Name)
			}
		}
	}
	return nil
}

func rank(p Pool) int {
	if p.Kind == config.KV {
		return 0
	}
	return 1
}

func (f *Fleet) startOne(c Config, pool Pool, i int) error {
	id := fmt.Sprintf("%s-%d", pool.Name, i+1)
	instance := external.Instance{ID: id, Pool: pool.Name, State: external.Live}
	if len(c.Domains) > 0 {
		instance.Domain = c.Domains[i%len(c.Domains)]
	}
	var err error
	switch pool.Kind {
	case config.Model:
		instance.Addr, err = f.startEngine(c, pool, id)
	case config.Service:
		instance.Addr, err = f.startService(c, pool, id)
	case config.KV:
		instance.Addr, err = f.startStore(c, pool, id)
	default:
		err = errors.Newf("unknown kind %q", pool.Kind)
	}
	if err != nil {
		return err
	}
	f.order = append(f.order, id)
	f.instances[id] = instance
	f.list(instance)
	return nil
}

func (f *Fleet) list(instance external.Instance) {
	if f.Platform.List != nil {
		f.Platform.List.Store.Put(instance)
	}
}

func (f *Fleet) startEngine(c Config, pool Pool, id string) (string, error) {
	o := pool.Engine
	o.ID, o.Scale = id, c.Scale
	if f.Platform.Weights != nil {
		o.WeightsAddr = f.Platform.Weights.Addr()
	}
	if store, ok := f.stores[pool.KVPool+"-1"]; ok {
		o.KVAddr = store.Addr()
	}
	server, err := engine.Start("", o)
	if err != nil {
		return "", err
	}
	f.engines[id] = server
	return server.Addr(), nil
}

func (f *Fleet) startService(c Config, pool Pool, id string) (string, error) {
	o := pool.Orders
	o.ID, o.Scale = id, c.Scale
	if f.ledgers[pool.Name] == nil {
		f.ledgers[pool.Name] = orders.NewLedger()
	}
	o.Ledger = f.ledgers[pool.Name]
	server, err := orders.Start("", o)
	if err != nil {
		return "", err
	}
	f.services[id] = server
	return server.Addr(), nil
}

func (f *Fleet) startStore(c Config, pool Pool, id string) (string, error) {
	o := pool.KV
	o.Scale = c.Scale
	server, err := kv.Start("", o)
	if err != nil {
		return "", err
	}
	f.stores[id] = server
	return server.Addr(), nil
}

// Close stops everything that the fleet started.
func (f *Fleet) Close() {
	for _, id := range f.order {
		f.stop(id)
	}
	if f.ownPlatform {
		f.Platform.Close()
	}
}

func (f *Fleet) stop(id string) {
	if server, ok := f.engines[id]; ok {
		server.Close()
	}
	if server, ok := f.services[id]; ok {
		server.Close()
	}
	if server, ok := f.stores[id]; ok {
		server.Close()
	}
}

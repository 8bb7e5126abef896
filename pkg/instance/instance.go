// Package instance builds one router instance from its settings: it binds the
// listeners, connects the controllers with the filter chain and runs them.
package instance

import (
	"context"
	"crypto/tls"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/netip"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/fescuestep/fescuestep/pkg/callerguard"
	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/controller/configsync"
	"github.com/fescuestep/fescuestep/pkg/controller/members"
	"github.com/fescuestep/fescuestep/pkg/controller/orders"
	"github.com/fescuestep/fescuestep/pkg/controller/quotasync"
	"github.com/fescuestep/fescuestep/pkg/controller/rollout"
	"github.com/fescuestep/fescuestep/pkg/controller/upstreams"
	"github.com/fescuestep/fescuestep/pkg/engine"
	"github.com/fescuestep/fescuestep/pkg/external"
	"github.com/fescuestep/fescuestep/pkg/filter/endpoint"
	"github.com/fescuestep/fescuestep/pkg/filter/requestid"
	"github.com/fescuestep/fescuestep/pkg/metrics"
	"github.com/fescuestep/fescuestep/pkg/metrics/collect"
	"github.com/fescuestep/fescuestep/pkg/peer"
	"github.com/fescuestep/fescuestep/pkg/router"
	"github.com/fescuestep/fescuestep/pkg/router/listener"
	"github.com/fescuestep/fescuestep/pkg/settings"
	"github.com/fescuestep/fescuestep/pkg/upstream"
)

// Options select what is not a setting of the command.
type Options struct {
	Policy string // of endpoint choice; empty for the product's
	Log    hclog.Logger
}

// Instance is one router instance.
type Instance struct {
	settings  *settings.Serve
	log       hclog.Logger
	self      config.Member
	listeners listeners
	guard     *callerguard.Guard // of the connections at all listeners
	tls       tlsConfigs
	record    *recording // nil unless inputs are recorded

	table   *external.TableClient
	objects *external.ObjectClient
	list    *external.ListClient
	engines *engine.Client
	peers   *peer.Client

	metrics   *metrics.Metrics
	sync      *configsync.Controller
	members   *members.Controller
	limiter   *quotasync.Limiter
	pools     *upstream.Pools
	upstreams *upstreams.Controller
	feed      *collect.Feed // to pools
	orders    *orders.Service
	rollout   *rollout.Controller
	router    *router.Router
}

// New binds the listeners and builds an instance. Run must be called to
// release them.
func New(s *settings.Serve, o Options) (*Instance, error) {
	i := &Instance{settings: s, log: o.Log, metrics: metrics.New()}
	i.guard = newGuard(s, i.metrics, o.Log.Named("guard"))
	var err error
	if i.tls, err = loadTLS(s, o.Log); err != nil {
		return nil, err
	}
	if i.record, err = openRecording(s.RecordFile); err != nil {
		return nil, err
	}
	if i.listeners, err = bind(s, i.tls, i.guard); err != nil {
		return nil, errors.CombineErrors(err, i.record.close())
	}
	i.self = config.Member{
		ID:          s.InstanceID,
		Incarnation: requestid.New(),
		PeerAddr:    i.advertised(),
		Domain:      s.Domain,
	}
	i.connect()
	i.build(o)
	return i, nil
}

// advertised returns the peer address of the membership record. A listener on
// port 0 is reached under the port that it got.
func (i *Instance) advertised() string {
	addr, err := netip.ParseAddrPort(i.settings.Advertise)
	if err != nil || addr.Port() == 0 {
		return i.listeners.peers.Addr().String()
	}
	return i.settings.Advertise
}

func (i *Instance) connect() {
	s := i.settings
	i.table = external.NewTableClient(s.Table, s.PlatformTimeout)
	i.objects = external.NewObjectClient(s.Objects, s.PlatformTimeout)
	i.list = external.NewListClient(s.List, s.PlatformTimeout)
	i.engines = engine.NewClient(engine.Options{})
	i.peers = peer.NewClient(string(s.PeerCredential), i.tls.peerClient, nil)
}

func (i *Instance) build(o Options) {
	seed := seedOf(i.self)
	table := collect.Table(i.table, i.metrics)
	objects := collect.Objects(i.objects, i.metrics)
	list := collect.List(i.list, i.metrics)
	peers := collect.PeerCalls(i.peers, i.metrics)
	i.sync = configsync.New(configsync.Options{
		Self:  i.self,
		Table: table,
		Peers: peers,
		List:  list,
		Log:   i.log.Named("config"),
		Rand:  rand.New(rand.NewPCG(seed, 1)),
	})
	i.members = members.New(members.Options{
		Self:  i.self,
		Sync:  i.sync,
		Peers: peers,
		List:  list,
		Log:   i.log.Named("members"),
	})
	i.limiter = quotasync.New(quotasync.Options{
		Self:  i.self,
		State: i.sync,
		Peers: peers,
		Log:   i.log.Named("quota"),
	})
	pools := upstream.Options{Seed: seed, Policy: o.Policy, KV: i.engines, Load: i.engines}
	if i.record != nil {
		pools.Record = i.record.recorder
	}
	i.pools = upstream.NewPools(pools)
	i.feed = collect.NewFeed(i.pools, i.metrics)
	i.upstreams = upstreams.New(upstreams.Options{
		List:     list,
		Pools:    i.feed,
		Client:   i.engines,
		Snapshot: i.sync.Snapshot,
		Seed:     seed,
		Log:      i.log.Named("upstreams"),
	})
	i.orders = orders.New(table, objects, orders.DefaultOptions(i.self.ID), i.log.Named("orders"))
	i.rollout = rollout.New(rollout.Options{
		Self:  i.self.ID,
		Name:  i.self.ID + "/" + i.self.Incarnation,
		Table: table,
		List:  list,
		State: i.sync,
		Calls: collect.Commands(i.engines, i.metrics),
		Rand:  rand.New(rand.NewPCG(seed, 2)),
		Log:   i.log.Named("rollout"),
	})
	i.sync.Subscribe(func(snapshot *config.Snapshot, _ bool) {
		i.pools.OnSnapshot(snapshot)
		i.metrics.OnSnapshot(snapshot)
		i.orders.SetInstances(len(snapshot.Members.Members))
	})
	i.router = router.New(i.parts(seed), i.routerOptions(seed))
}

func (i *Instance) parts(seed uint64) router.Parts {
	return router.Parts{
		State:   i.sync,
		Limiter: collect.Limiter(limiter{i.limiter}, i.metrics),
		Pools:   collect.Pools(endpoint.AdaptPools(i.pools), i.metrics),
		Orders:  collect.Orders(i.orders, i.metrics),
		Client:  i.engines,
		Metrics: collect.Requests(i.metrics),
		Log:     i.log,
		Background: []router.Background{
			i.sync,
			i.members,
			i.limiter,
			i.upstreams,
			i.rollout,
			background(i.servePeers),
			background(i.serveAdmin),
			background(i.serveMetrics),
			background(i.observe),
			background(i.sweepOrders),
		},
		OnStopped: i.onStopped,
	}
}

func (i *Instance) routerOptions(seed uint64) router.Options {
	s := i.settings
	o := router.DefaultOptions(s.Domain)
	o.Seed = seed
	o.Body.MaxBody = int64(s.BodyLimit)
	o.Body.ReadTimeout = s.BodyTimeout
	o.StopTimeout = s.DrainDelay + s.ShutdownTimeout
	o.Listener = listener.DefaultOptions()
	o.Listener.DrainDelay = s.DrainDelay
	o.Listener.HeaderTimeout = s.HeaderTimeout
	o.Listener.IdleTimeout = s.IdleTimeout
	return o
}

// Run serves until ctx ends and then stops gracefully.
func (i *Instance) Run(ctx context.Context) error {
	defer i.close()
	i.log.Info("instance started", "id", i.self.ID, "incarnation", i.self.Incarnation,
		"failure_domain", i.self.Domain, "callers", i.listeners.callers.Addr().String())
	err := i.router.Serve(ctx, i.listeners.callers)
	i.log.Info("instance stopped", "id", i.self.ID, "error", err)
	return err
}

// onStopped runs after the last request: it finishes the records of orders and
// leaves the membership, so that nothing is left for others to clean up.
func (i *Instance) onStopped(ctx context.Context) {
	i.orders.Close(ctx)
	if err := i.members.Leave(ctx); err != nil {
		i.log.Warn("membership not left, the others remove this instance later", "error", err)
	}
}

func (i *Instance) close() {
	i.listeners.close()
	i.pools.Close()
	i.engines.Close()
	i.peers.Close()
	i.table.Close()
	i.objects.Close()
	i.list.Close()
	if err := i.metrics.Close(); err != nil {
		i.log.Debug("metrics not closed", "error", err)
	}
	if err := i.record.close(); err != nil {
		i.log.Error("recording is incomplete", "error", err)
	}
}

// Fresh reports whether keyed requests are served.
func (i *Instance) Fresh() bool { return i.sync.Fresh() }

// Member returns the instance's entry of the membership record.
func (i *Instance) Member() config.Member { return i.self }

// Addrs returns the addresses that the instance listens on.
func (i *Instance) Addrs() Addrs { return i.listeners.addrs() }

// seedOf derives the seed of random choices. Instances differ, so that they do
// not prefer the same upstreams.
func seedOf(m config.Member) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s/%s", m.ID, m.Incarnation)
	return h.Sum64()
}

// background adapts a function to router.Background.
type background func(ctx context.Context) error

// Run implements router.Background.
func (b background) Run(ctx context.Context) error { return b(ctx) }

// listeners are the bound listeners; admin and metrics may be nil.
type listeners struct {
	callers, peers, admin, metrics net.Listener
}

// Addrs are the addresses (IP:port) of the listeners, empty where not started.
type Addrs struct {
	Callers, Peers, Admin, Metrics string
}

// bind opens all listeners or none and reports every one that failed.
func bind(s *settings.Serve, t tlsConfigs, g *callerguard.Guard) (l listeners, err error) {
	open := func(name, addr string, config *tls.Config) net.Listener {
		if addr == "" {
			return nil
		}
		ln, listenErr := net.Listen("tcp", addr)
		if listenErr != nil {
			err = errors.CombineErrors(err, errors.Wrapf(listenErr, "-listen-%s", name))
			return nil
		}
		ln = g.Listen(ln, callerguard.ListenerOptions{
			Name: name, Fields: headerFields(s), Opaque: config != nil || name == "peers" && t.peers != nil, HTTP2: name == "peers",
		})
		if config != nil {
			ln = tls.NewListener(ln, config)
		}
		return ln
	}
	l.callers = open("callers", s.Callers.Addr, t.callers)
	l.peers = open("peers", s.Peers.Addr, nil) // peer.Serve adds TLS
	l.admin = open("admin", s.Admin.Addr, t.admin)
	l.metrics = open("metrics", s.Metrics.Addr, t.metrics)
	if err != nil {
		l.close()
	}
	return l, err
}

func (l listeners) close() {
	for _, ln := range []net.Listener{l.callers, l.peers, l.admin, l.metrics} {
		if ln != nil {
			_ = ln.Close()
		}
	}
}

func (l listeners) addrs() Addrs {
	addr := func(ln net.Listener) string {
		if ln == nil {
			return ""
		}
		return ln.Addr().String()
	}
	return Addrs{Callers: addr(l.callers), Peers: addr(l.peers), Admin: addr(l.admin), Metrics: addr(l.metrics)}
}

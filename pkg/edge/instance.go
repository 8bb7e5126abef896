// Package edge runs an instance between callers that state their requests in
// headers and upstreams that a platform lists. Configuration, upstreams and
// named weights come from the platform's store; nothing is kept on the machine.
package edge

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/labstack/echo/v4"

	"github.com/fescuestep/fescuestep/pkg/chain"
	"github.com/fescuestep/fescuestep/pkg/control"
	"github.com/fescuestep/fescuestep/pkg/filter/accounting"
	"github.com/fescuestep/fescuestep/pkg/filter/body"
	"github.com/fescuestep/fescuestep/pkg/filter/customerkey"
	"github.com/fescuestep/fescuestep/pkg/filter/dispatch"
	"github.com/fescuestep/fescuestep/pkg/filter/hostroute"
	"github.com/fescuestep/fescuestep/pkg/filter/ratelimit"
	"github.com/fescuestep/fescuestep/pkg/fleet"
	"github.com/fescuestep/fescuestep/pkg/httpconn"
	"github.com/fescuestep/fescuestep/pkg/netopt"
	"github.com/fescuestep/fescuestep/pkg/placement"
	"github.com/fescuestep/fescuestep/pkg/routing"
	"github.com/fescuestep/fescuestep/pkg/state"
	rpc "github.com/fescuestep/fescuestep/rpc/edge"
)

// Dialect translates between headers and the product's types.
type Dialect interface {
	dispatch.Dialect
	hostroute.Decoder
	RefusalEncoder
}

// Store is the platform's store.
type Store interface {
	state.Store
	LeaseStore
	InstanceRegistry
}

// Options of an instance.
type Options struct {
	Name                string
	Domain              string // failure domain
	CallerAddr          netip.AddrPort
	ReadinessAddr       netip.AddrPort
	ReadinessPath       string
	ControlAddr         netip.AddrPort // for other instances; zero: not started
	PeerAddr            netip.AddrPort // for datagrams of other instances
	Seeds               []string       // Control addresses of other instances
	MemoryBytes         int64
	ShutdownGrace       time.Duration // from the stop signal to the end of the process
	WeightsDeadline     time.Duration // until requests begin on named weights only
	StartupGrace        time.Duration // after a start, until bounds on time apply
	LeaderOrderGap      time.Duration // least time between orders of two leaders
	EnginesCheckFencing bool          // engines reject orders with a stale fencing token
	Retries             RetryBounds
	InstanceTable       string // table in which instances are listed
}

// Dependencies are what an instance is built from.
type Dependencies struct {
	Dialect        Dialect
	Store          Store
	Decoder        state.Decoder
	Engines        EngineClient
	RequestMetrics accounting.Metrics
	ServiceMetrics ServiceMetrics
	MetricsHandler http.Handler // serves metrics at /metrics next to readiness
	Log            hclog.Logger
}

// Instance is one edge instance.
type Instance struct {
	options  Options
	deps     Dependencies
	now      func() time.Time
	snapshot atomic.Pointer[routing.Snapshot]
	placer   *placer
	limiter  *limiter
	conns    *httpconn.ConnPool
	listener *listener
	follower *state.Follower
	peers    *peers
	rollouts *rolloutController
	draining atomic.Bool
}

const (
	// maxIdlePerUpstream bounds unused connections to one upstream.
	maxIdlePerUpstream = 16
	// bodyMemoryDivisor is the part of the memory that bodies may fill.
	bodyMemoryDivisor = 4
	// dialTimeout bounds connections to the store, engines and instances.
	dialTimeout = time.Second
)

// New assembles an instance; Run starts it.
func New(o Options, p Dependencies) (*Instance, error) {
	now := time.Now
	seed := rand.Uint64()
	i := &Instance{options: o, deps: p, now: now}
	book := placement.NewBalancer(placement.Config{
		Domain: o.Domain, PrefillTokensPerMS: placement.DefaultPrefillTokensPerMS, OldWeightsPeriod: o.WeightsDeadline,
	}, rand.New(rand.NewPCG(seed, 1)))
	i.placer = newPlacer(book, now)
	i.limiter = newLimiter(o.Name, now)
	i.follower = state.New(p.Store, p.Decoder, i, p.Log.Named("state"), now)
	if err := i.newPeers(); err != nil {
		return nil, err
	}
	i.conns = httpconn.NewConnPool(netopt.Dialer(dialTimeout).DialContext, maxIdlePerUpstream, now)
	i.rollouts = &rolloutController{
		instance: o.Name, enginesCheckFencing: o.EnginesCheckFencing, leaderOrderGap: o.LeaderOrderGap,
		leaseStore: p.Store, engineClient: p.Engines, placer: i.placer, peers: i.peers,
		log: p.Log.Named("rollout"), now: now, start: now(),
		rng:   rand.New(rand.NewPCG(seed, 2)),
		lease: control.NewLease(leaseConfig(o), o.Name+"-"+strconv.FormatUint(seed, 16)),
	}
	i.listener = newListener(i.chain(), p.Dialect, p.Log.Named("callers"), now)
	return i, nil
}

// leaseConfig keeps orders of two leaders apart. Engines that check fencing
// tokens reject those of an earlier leader, so that a takeover can be quick.
func leaseConfig(o Options) control.LeaseConfig {
	c := control.DefaultLeaseConfig()
	c.CommandTimeout = 600 * time.Millisecond
	c.ReadEvery = 250 * time.Millisecond
	if o.EnginesCheckFencing {
		c.TTL = 1200 * time.Millisecond
		c.RenewEvery = 400 * time.Millisecond
		return c
	}
	c.TTL = max(c.TTL, o.LeaderOrderGap)
	return c
}

func (i *Instance) newPeers() error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(i.options.PeerAddr))
	if err != nil {
		return errors.Wrap(err, "cannot listen for other instances")
	}
	self := &rpc.Address{Name: i.options.Name, Domain: i.options.Domain, Digests: i.options.PeerAddr.String()}
	if i.options.ControlAddr.IsValid() {
		self.Control = i.options.ControlAddr.String()
	}
	client := &http.Client{Transport: &http.Transport{
		DialContext:         netopt.Dialer(dialTimeout).DialContext,
		MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Second,
	}}
	incarnation := uint64(i.now().UnixNano())
	i.peers = newPeers(self, incarnation, conn, client, i.placer, i.limiter, i.follower, i.deps.Log.Named("peers"), i.now)
	i.peers.setSeeds(i.options.Seeds)
	i.placer.onLongPrompt = i.peers.announcePlacement
	return nil
}

// chain returns the filters that every request passes, in this order.
func (i *Instance) chain() chain.Handler {
	p := i.deps
	retries := newRetries(i.options.Retries, i.peers.instances, i.now)
	last := dispatch.New(p.Dialect, i.placer, retries, i.conns, i.options.Domain, p.Log.Named("dispatch"), i.now)
	return chain.Build(last.Handle,
		accessLog{log: p.Log.Named("access"), metrics: p.ServiceMetrics, now: i.now},
		accounting.New(p.RequestMetrics, i.now),
		hostroute.New(p.Dialect, i.snapshot.Load),
		customerkey.Filter{},
		body.New(i.options.MemoryBytes/bodyMemoryDivisor),
		ratelimit.New(i.limiter),
	)
}

// ConfigChanged implements state.Sink.
func (i *Instance) ConfigChanged(s *routing.Snapshot) {
	defer i.peers.announceState()
	i.limiter.configure(s)
	for _, c := range s.Customers() {
		i.deps.Log.Debug("customer limit", "config", s.Version, "customer", c.Name, "rate", c.Rate, "burst", c.Burst)
	}
	i.listener.setLimits(s.Limits)
	i.snapshot.Store(s)
}

// WeightsTargetChanged implements state.Sink.
func (i *Instance) WeightsTargetChanged(w state.WeightsTarget) {
	since := i.now()
	if !w.Recent {
		// It may have been named at any time. An instance that has just started
		// is given the time in which it settles.
		since = since.Add(i.options.StartupGrace - i.options.WeightsDeadline)
	}
	i.placer.setWantedVersion(w.Model, w.Version, since)
	i.peers.announceState()
}

// UpstreamsChanged implements state.Sink.
func (i *Instance) UpstreamsChanged(v *fleet.View) {
	i.placer.setView(v)
	i.peers.announceState()
	i.deps.Log.Info("upstreams changed", "count", v.Len())
}

// SetSeeds replaces the addresses of other instances to ask for state.
func (i *Instance) SetSeeds(seeds []string) { i.peers.setSeeds(seeds) }

// Run serves until ctx ends and then stops gracefully.
func (i *Instance) Run(ctx context.Context) error {
	callers, err := netopt.Listen(ctx, i.options.CallerAddr.String())
	if err != nil {
		return errors.Wrap(err, "cannot listen for callers")
	}
	servers, err := i.controlServers(ctx)
	if err != nil {
		return err
	}
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { i.follower.Run(background) })
	wg.Go(func() { i.peers.run(background) })
	wg.Go(func() { i.peers.register(background, i.deps.Store, i.options.InstanceTable) })
	wg.Go(func() { i.rollouts.run(background, ctx.Done()) })
	wg.Go(func() { i.conns.Run(background) })
	accepted := make(chan error, 1)
	go func() { accepted <- i.listener.accept(callers) }()
	i.deps.Log.Info("started", "instance", i.options.Name, "domain", i.options.Domain, "callers", i.options.CallerAddr.String())
	select {
	case <-ctx.Done():
	case err = <-accepted:
		i.deps.Log.Error("listener for callers ended", "error", err)
	}
	failure := i.shutdown(callers)
	stop()
	for _, server := range servers {
		_ = server.Close()
	}
	wg.Wait()
	return errors.CombineErrors(err, failure)
}

const (
	// drainDuration is how long an instance takes requests after it reports not
	// ready: the platform asks once a second and looks twice.
	drainDuration = 2300 * time.Millisecond
	// shutdownReserve is left before the process is killed.
	shutdownReserve = 500 * time.Millisecond
)

// shutdown serves until the platform has taken the instance out of rotation
// and then lets running requests end. What comes later on a kept connection is
// refused as not run, since it might not end in time.
func (i *Instance) shutdown(callers net.Listener) error {
	began := i.now()
	i.deps.Log.Info("stopping", "running", i.listener.running.Load(), "grace", i.options.ShutdownGrace.String())
	i.draining.Store(true)
	i.listener.startDrain()
	i.peers.setLeaving()
	time.Sleep(min(drainDuration, i.options.ShutdownGrace/3))
	i.listener.refuseNew()
	_ = callers.Close()
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(i.options.ShutdownGrace-shutdownReserve))
	defer cancel()
	err := i.listener.shutdown(ctx)
	i.deps.Log.Info("stopped", "after", i.now().Sub(began).String(), "error", err)
	return errors.Wrap(err, "requests were cut at the shutdown")
}

// ready reports whether the platform should send connections: the configuration
// and the upstreams are known and the instance does not stop.
func (i *Instance) ready() bool {
	return !i.draining.Load() && i.snapshot.Load() != nil && i.follower.HasSynced()
}

// controlServers starts the servers for the platform and other instances.
func (i *Instance) controlServers(ctx context.Context) ([]*http.Server, error) {
	e := echo.New()
	e.GET(i.options.ReadinessPath, func(c echo.Context) error {
		if !i.ready() {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		return c.NoContent(http.StatusOK)
	})
	e.GET("/metrics", echo.WrapHandler(i.deps.MetricsHandler))
	handlers := map[netip.AddrPort]http.Handler{i.options.ReadinessAddr: e}
	if i.options.ControlAddr.IsValid() {
		handlers[i.options.ControlAddr] = rpc.NewEdgeServer(i.peers)
	}
	var servers []*http.Server
	for addr, handler := range handlers {
		ln, err := netopt.Listen(ctx, addr.String())
		if err != nil {
			return nil, errors.Wrapf(err, "cannot listen on %s", addr)
		}
		server := &http.Server{Handler: handler, ReadHeaderTimeout: dialTimeout, IdleTimeout: time.Minute}
		servers = append(servers, server)
		go func() {
			if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
				i.deps.Log.Error("control server ended", "addr", addr.String(), "error", err)
			}
		}()
	}
	return servers, nil
}

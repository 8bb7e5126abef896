package embedded

import (
	"context"
	"flag"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/controller/configsync"
	"github.com/fescuestep/fescuestep/pkg/external"
	"github.com/fescuestep/fescuestep/pkg/instance"
	"github.com/fescuestep/fescuestep/pkg/load"
	"github.com/fescuestep/fescuestep/pkg/settings"
	"github.com/fescuestep/fescuestep/pkg/standin"
	"github.com/fescuestep/fescuestep/pkg/standin/table"
)

// startTimeout bounds the time until all instances serve keyed requests.
const startTimeout = 30 * time.Second

// System is one policy's instances and stand-ins.
type System struct {
	load.HTTPSender
	profile *load.Profile
	policy  string
	fleet   *standin.Fleet
	callers *callers
	revoked []atomic.Bool // by customer: the spare key is in use
	// fillTime is how long quota buckets take from empty to full.
	fillTime time.Duration
	stop     context.CancelFunc
	ctx      context.Context
	work     sync.WaitGroup
	nodes    []*node
}

// node is one instance and the function that stops its process.
type node struct {
	mu      sync.Mutex
	url     string
	current *instance.Instance
	cancel  context.CancelFunc
	ended   chan struct{}
	leaving bool // it reports not ready, and the load balancer has seen that
}

// quotaLease is the time for which quota holders that start grant nothing.
const quotaLease = time.Second

// Start is a load.Starter. It returns when the quota buckets, which begin
// empty, are full.
func Start(ctx context.Context, o load.Options, policy string, arrivals []load.Arrival) (load.System, error) {
	s := &System{profile: o.Profile, policy: policy, callers: newCallers(o.Profile, time.Now())}
	s.ctx, s.stop = context.WithCancel(context.WithoutCancel(ctx))
	s.revoked = make([]atomic.Bool, len(o.Profile.Customers))
	quotas := load.Quotas(o.Profile, arrivals, o.Duration)
	for _, q := range quotas {
		fill := time.Duration(q.Burst / max(q.Rate, 1) * float64(time.Second))
		s.fillTime = max(s.fillTime, quotaLease+fill)
	}
	if err := s.start(ctx, quotas); err != nil {
		s.Close()
		return nil, err
	}
	s.HTTPSender = load.HTTPSender{Model: o.Profile.Model, Client: load.NewHTTPClient(), Key: s.key}
	for _, n := range s.nodes {
		s.URLs = append(s.URLs, n.url)
	}
	s.work.Go(s.sendOrders)
	return s, nil
}

func (s *System) start(ctx context.Context, quotas []load.Quota) error {
	var err error
	s.fleet, err = standin.Start(s.fleetConfig())
	if err != nil {
		return err
	}
	changes := append([]config.Change{{Deployment: deployment(s.profile, quotas)}}, s.callers.changes...)
	if err := configsync.Bootstrap(ctx, s.fleet.Platform.Table.Store, changes); err != nil {
		return err
	}
	for i := range s.profile.Instances {
		n := &node{}
		s.nodes = append(s.nodes, n)
		if err := s.startNode(i, n); err != nil {
			return err
		}
	}
	return s.awaitFresh(ctx)
}

// fleetConfig uses the deployment's preset with the profile's size.
func (s *System) fleetConfig() standin.Config {
	c := standin.UCAB()
	if s.profile.Name == "skovgaard" {
		c = standin.Skovgaard()
	}
	for i := range c.Pools {
		if c.Pools[i].Kind == config.Model {
			c.Pools[i].Count = s.profile.Engines
		}
	}
	return c
}

// startNode starts an instance; after a restart it listens where it did before.
func (s *System) startNode(number int, n *node) error {
	callers := "127.0.0.1:0"
	if n.url != "" {
		callers = n.url[len("http://"):]
	}
	i, err := instance.New(s.settings(number, callers), instance.Options{Policy: s.policy, Log: hclog.NewNullLogger()})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(s.ctx)
	n.mu.Lock()
	n.url = "http://" + i.Addrs().Callers
	n.current, n.cancel, n.ended, n.leaving = i, cancel, make(chan struct{}), false
	ended := n.ended
	n.mu.Unlock()
	s.fleet.Platform.List.Store.Put(external.Instance{
		ID: i.Member().ID, Addr: i.Member().PeerAddr, Pool: external.RouterPool,
		Domain: i.Member().Domain, State: external.Live,
	})
	s.work.Go(func() {
		defer close(ended)
		_ = i.Run(ctx)
	})
	return nil
}

func (s *System) settings(number int, callers string) *settings.Serve {
	o := &settings.Serve{}
	o.Register(flag.NewFlagSet("serve", flag.ContinueOnError)) // sets the defaults
	o.InstanceID = fmt.Sprintf("router-%d", number)
	o.Domain = s.profile.Domains[number%len(s.profile.Domains)]
	o.Callers.Addr, o.Peers.Addr, o.Advertise = callers, "127.0.0.1:0", "127.0.0.1:0"
	o.Admin.Addr, o.Metrics.Addr = "", ""
	o.Table = "http://" + s.fleet.Platform.Table.Addr()
	o.Objects = "http://" + s.fleet.Platform.Objects.Addr()
	o.List = "http://" + s.fleet.Platform.List.Addr()
	o.PeerCredential = "embedded"
	o.DrainDelay = 200 * time.Millisecond // the generator reads no list
	o.ShutdownTimeout = 5 * time.Second
	return o
}

func (s *System) awaitFresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, n := range s.nodes {
		for !n.fresh() {
			select {
			case <-ctx.Done():
				return errors.New("instances did not become ready")
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(s.fillTime):
		return nil
	}
}

func (n *node) fresh() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.current.Fresh()
}

func (s *System) key(a *load.Arrival) string {
	if s.revoked[a.Customer].Load() {
		return s.callers.spares[a.Customer]
	}
	return s.callers.secrets[a.Customer]
}

// Counters implements load.System.
func (s *System) Counters() load.Counters {
	c := load.Counters{}
	for _, e := range s.fleet.Engines(s.profile.Pool) {
		c.PrefilledTokens += e.Stats().PrefilledTokens
	}
	if l := s.fleet.Ledger(s.profile.OrderPool); l != nil {
		c.DuplicateOrders = l.Duplicates()
	}
	return c
}

// Close implements load.System.
func (s *System) Close() {
	s.stop()
	s.work.Wait()
	if s.Client != nil {
		s.Client.CloseIdleConnections()
	}
	if s.fleet != nil {
		s.fleet.Close()
	}
}

// Inject implements load.System.
func (s *System) Inject(ctx context.Context, f load.Fault) {
	switch f.Kind {
	case load.EngineCrash:
		servers := s.fleet.Engines(s.profile.Pool)
		e := servers[f.Target%len(servers)]
		e.Crash()
		time.AfterFunc(f.For, func() { _ = e.Restart() }) // its port is free on loopback
	case load.EventGap:
		servers := s.fleet.Engines(s.profile.Pool)
		e := servers[f.Target%len(servers)]
		faults := e.Faults.Get()
		faults.DropEvents = f.Count
		e.Faults.Set(faults)
	case load.TableOutage:
		store := s.fleet.Platform.Table.Store
		store.Faults.Set(table.Faults{Down: true})
		time.AfterFunc(f.For, func() { store.Faults.Set(table.Faults{}) })
	case load.InstanceRestart:
		s.restart(f.Target%len(s.nodes), f.For)
	case load.KeyRevocation:
		s.revoke(ctx, f.Target%len(s.profile.Customers))
	}
}

// restart stops an instance gracefully and starts it again without state.
func (s *System) restart(number int, pause time.Duration) {
	n := s.nodes[number]
	n.mu.Lock()
	cancel, ended := n.cancel, n.ended
	n.leaving = true
	n.mu.Unlock()
	cancel()
	<-ended
	time.Sleep(pause)
	if s.ctx.Err() == nil {
		_ = s.startNode(number, n) // its callers see refused connections otherwise
	}
}

// Send implements load.Sender. Like the platform's load balancer it passes over
// instances that take no connections.
func (s *System) Send(ctx context.Context, number int, c *load.Call) load.Timings {
	for range s.nodes {
		if s.nodes[number%len(s.nodes)].ready() {
			break
		}
		number++
	}
	return s.HTTPSender.Send(ctx, number, c)
}

// ready asks for the state that a load balancer polls.
func (n *node) ready() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.leaving && n.current.Fresh()
}

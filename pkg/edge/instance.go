// Package edge assembles and runs an instance that forwards requests from
// callers, which describe them in HTTP headers, to upstreams that a platform
// lists. The configuration, the upstreams and the target versions of weights are
// read from the platform's store; an instance writes nothing to disk.
package edge

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/fescuestep/fescuestep/pkg/callerguard"
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
	"github.com/fescuestep/fescuestep/pkg/release"
	"github.com/fescuestep/fescuestep/pkg/routing"
	"github.com/fescuestep/fescuestep/pkg/state"
	rpc "github.com/fescuestep/fescuestep/rpc/edge"
)

// Dialect translates between the platform's headers and this module's types.
type Dialect interface {
	dispatch.Dialect
	hostroute.Decoder
	RefusalEncoder
}

// Store is a client of the platform's table store.
type Store interface {
	state.Store
	LeaseStore
	ReleaseStore
	InstanceRegistry
	QuarantineTable
}

// Options configures an Instance. All fields come from the settings of the
// process.
type Options struct {
	Name                string         // unique in the fleet
	Domain              string         // failure domain of this instance
	CallerAddr          netip.AddrPort // listen address for callers
	ReadinessAddr       netip.AddrPort // listen address for readiness checks and metrics
	ReadinessPath       string         // URL path of the readiness check
	Profiles            bool           // serves profiles of the process on ReadinessAddr
	ControlAddr         netip.AddrPort // listen address for RPCs from other instances; zero: not started
	PeerAddr            netip.AddrPort // UDP listen address for digests from other instances
	Seeds               []string       // control addresses (IP:port) of other instances
	MemoryBytes         int64          // memory limit of the process; a quarter of it may hold request bodies
	LinkMbps            float64        // rate of the instance's link in Mbit/s; 0: unknown
	Callers             CallerOptions
	ShutdownGrace       time.Duration // from the stop signal until the process is killed
	WeightsDeadline     time.Duration // after a new target version, until requests may start on that version only
	StartupGrace        time.Duration // after a start, until the platform's time limits apply
	LeaderOrderGap      time.Duration // minimum time between load commands of two successive leaders
	EnginesCheckFencing bool          // engines reject load commands with a stale fencing token
	Retries             RetryBounds
	Releases            release.Bounds // of rollouts of services' software
	InstanceTable       string         // store table in which instances are listed
	QuarantineTable     string         // store table that keeps quarantined parts of prompts
	VersionTable        string         // store table that keeps which versions of services' software have served
	Admission           AdmissionMode  // empty: AdmissionAuto
	ReplicatePrefixes   bool           // copy prefixes in demand to further engines, for services with admission
}

// Dependencies holds the collaborators of an Instance.
type Dependencies struct {
	Dialect        Dialect
	Store          Store
	Decoder        state.Decoder
	Engines        EngineClient
	DialUpstream   httpconn.DialFunc                        // opens connections for requests to upstreams; nil: by TCP
	DialInstance   httpconn.DialFunc                        // opens connections for State calls to other instances; nil: by TCP
	ListenDigests  func(netip.AddrPort) (DigestConn, error) // opens the socket for digests; nil: by UDP
	RequestMetrics accounting.Metrics
	ServiceMetrics ServiceMetrics
	CountEnded     func(callerguard.Reason) // counts connections that are refused or ended; may be nil
	MetricsHandler http.Handler             // serves /metrics on the readiness address
	Log            hclog.Logger
}

// DigestConn is the socket for digests.
type DigestConn interface {
	ReadFromUDPAddrPort(b []byte) (n int, from netip.AddrPort, err error)
	WriteToUDPAddrPort(b []byte, to netip.AddrPort) (n int, err error)
	Close() error
}

func listenUDP(addr netip.AddrPort) (DigestConn, error) {
	return net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
}

// Instance is one running process of the router. New creates it.
type Instance struct {
	options  Options
	deps     Dependencies
	now      func() time.Time
	snapshot atomic.Pointer[routing.Snapshot]
	placer   *placer
	limiter  *limiter
	conns    *httpconn.ConnPool // to upstreams
	crashes  *crashes
	streams  *streams
	reach    *reachability
	admitter *admitter
	pauses   *pauses
	listener *listener
	guard    *callerguard.Guard // of the connections that others open
	follower *state.Follower
	peers    *peers
	releases *releases
	rollouts *rolloutController

	instanceConns *httpconn.ConnPool // to other instances, for requests that this one forwards
	forwards      *listener          // serves requests that other instances forward

	crashRows   *crashRows
	versionRows *versionRows
	draining    atomic.Bool
	endsAt      atomic.Pointer[time.Time] // when all requests are ended; nil: new ones are still taken
	eraSeen     atomic.Bool               // an era of the store was seen

	configuredAt atomic.Pointer[time.Time] // when the first configuration was adopted
}

const (
	// maxIdlePerUpstream limits the idle connections to one upstream.
	maxIdlePerUpstream = 16
	// maxIdlePerInstance limits the idle connections to another instance.
	maxIdlePerInstance = 16
	// bodyMemoryDivisor limits buffered request bodies to this fraction (1/4) of
	// Options.MemoryBytes.
	bodyMemoryDivisor = 4
	// responseMemoryDivisor limits buffered responses to this fraction (1/8) of
	// Options.MemoryBytes.
	responseMemoryDivisor = 8
	// bytesPerMbit converts Mbit/s to bytes per second.
	bytesPerMbit = 125_000
	// dialTimeout limits connection setup to upstreams and other instances, and
	// the time to read the headers of a request to a control server.
	dialTimeout = time.Second
)

// New creates an instance and opens its UDP socket for digests. Run starts it.
// It returns an error if the socket cannot be opened.
func New(o Options, deps Dependencies) (*Instance, error) {
	now := time.Now
	seed := rand.Uint64()
	if deps.DialUpstream == nil {
		deps.DialUpstream = netopt.Dialer(dialTimeout).DialContext
	}
	i := &Instance{options: o, deps: deps, now: now, pauses: newPauses(now)}
	balancer := placement.NewBalancer(placement.Config{
		Instance: o.Name, Domain: o.Domain, PrefillTokensPerMS: placement.DefaultPrefillTokensPerMS, OldWeightsPeriod: o.WeightsDeadline,
	}, rand.New(rand.NewPCG(seed, 1)))
	i.placer = newPlacer(balancer, deps.Log.Named("placement"), now)
	i.limiter = newLimiter(o.Name, now)
	i.crashes = newCrashes(deps.Log.Named("crashes"), now)
	i.crashes.setIncomplete(incompleteTime)
	i.crashRows = newCrashRows(deps.Store, o.QuarantineTable, i.crashes, deps.Log.Named("crashes"))
	i.streams = newStreams(deps.Log.Named("streams"), now)
	i.versionRows = newVersionRows(deps.Store, o.VersionTable, i.streams, deps.Log.Named("streams"))
	i.releases = newReleases(o.Releases, deps.Store, deps.ServiceMetrics, deps.Log.Named("releases"), now)
	i.releases.arrivedSince = i.pauses.earliest
	i.follower = state.New(deps.Store, deps.Decoder, i, deps.Log.Named("state"), now)
	if err := i.newPeers(); err != nil {
		return nil, err
	}
	i.conns = httpconn.NewConnPool(deps.DialUpstream, maxIdlePerUpstream, now)
	i.instanceConns = httpconn.NewConnPool(instanceDialer(o.PeerAddr.Addr()).DialContext, maxIdlePerInstance, now)
	i.admitter = newAdmitter(o.Admission, o.Name, i.placer.Room, deps.ServiceMetrics, deps.Log.Named("admission"), now)
	i.placer.onWorkTime = i.admitter.recordWorkTime
	if o.ReplicatePrefixes {
		i.admitter.onInUse = i.placer.replicatePrefixes
	}
	i.peers.shared = append(i.peers.shared, usageState{i.admitter}, demandState{i.placer})
	i.reach = newReachability(i.conns, i.placer.currentView, deps.Log.Named("reach"), now)
	i.reach.helpers, i.reach.helpersNamed = i.peers.helpers, i.peers.helpersNamed
	i.reach.onChange = i.peers.requestSend
	i.peers.cutOff = i.reach.cutOffServices
	i.rollouts = &rolloutController{
		instanceName: o.Name, enginesCheckFencing: o.EnginesCheckFencing, leaderOrderGap: o.LeaderOrderGap,
		leaseStore: deps.Store, engineClient: deps.Engines, placer: i.placer, peers: i.peers, releases: i.releases, cutOff: i.reach.CutOff,
		log: deps.Log.Named("rollout"), now: now, start: now(), wake: make(chan struct{}, 1),
		rng:   rand.New(rand.NewPCG(seed, 2)),
		lease: control.NewLease(leaseConfig(o), o.Name+"-"+strconv.FormatUint(seed, 16)),
	}
	i.guard = newGuard(o, deps.Log.Named("guard"), deps.CountEnded)
	handler := i.chain()
	i.listener = newListener(handler, deps.Dialect, i.guard, "callers", deps.Log.Named("callers"), now)
	i.forwards = newListener(handler, deps.Dialect, i.guard, "forwards", deps.Log.Named("forwards"), now)
	i.listener.limitFields(o.Callers.Fields)
	i.forwards.limitFields(o.Callers.Fields)
	i.forwards.isInstance = i.peers.isInstance
	return i, nil
}

// instanceDialer returns a dialer to other instances. They know this one by the address
// of its digests.
func instanceDialer(self netip.Addr) *net.Dialer {
	dialer := netopt.Dialer(dialTimeout)
	if !self.IsUnspecified() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(self, 0))
	}
	return dialer
}

// leaseConfig returns timings that keep load commands of two successive leaders
// apart. Engines that check fencing tokens reject commands of the previous leader,
// so the lease can be short and a takeover quick. For other engines the lease
// lasts at least LeaderOrderGap.
func leaseConfig(o Options) control.LeaseConfig {
	c := control.DefaultLeaseConfig()
	c.CommandTimeout = 600 * time.Millisecond
	c.ReadInterval = 250 * time.Millisecond
	if o.EnginesCheckFencing {
		c.TTL = 1200 * time.Millisecond
		c.RenewInterval = 400 * time.Millisecond
		return c
	}
	c.TTL = max(c.TTL, o.LeaderOrderGap)
	return c
}

// newPeers opens the UDP socket for digests and sets up the exchange with other
// instances.
func (i *Instance) newPeers() error {
	listen := i.deps.ListenDigests
	if listen == nil {
		listen = listenUDP
	}
	conn, err := listen(i.options.PeerAddr)
	if err != nil {
		return errors.Wrap(err, "cannot open the UDP socket for digests")
	}
	self := &rpc.Address{Name: i.options.Name, Domain: i.options.Domain, Digests: i.options.PeerAddr.String(), LinkMbps: uint32(min(max(i.options.LinkMbps, 0), math.MaxUint32))}
	if i.options.ControlAddr.IsValid() {
		self.Control = i.options.ControlAddr.String()
	}
	maxStateBytes := max(minStateBytes, i.options.MemoryBytes/stateMemoryDivisor)
	client := newStateClient(i.deps.DialInstance, maxStateBytes)
	incarnation := uint64(i.now().UnixNano())
	i.peers = newPeers(self, incarnation, conn, client, i.deps.ServiceMetrics, i.placer, i.limiter, i.follower, i.crashes, i.streams, i.deps.Log.Named("peers"), i.now)
	i.peers.maxStateBytes, i.peers.copies = maxStateBytes, newCopies(i.options.LinkMbps*bytesPerMbit)
	i.peers.setSeeds(i.options.Seeds)
	i.peers.shared = append(i.peers.shared, capacities{i.placer}, i.releases)
	i.releases.others, i.releases.onNews, i.releases.onLeader = i.peers.others, i.peers.requestSend, i.peers.noteLeader
	i.placer.onLimit = i.peers.rateLimitChanged
	i.placer.onRefusal = i.peers.announceRefusal
	i.placer.onLongPrompt = i.peers.announcePlacement
	i.placer.onLeaving = i.upstreamLeaves
	i.crashes.onCrash = i.peers.announceCrash
	i.crashes.onAnswer = i.peers.announceAnswer
	i.crashes.tries = i.peers.tries
	check := &servedCheck{
		rows: i.versionRows, refresh: i.follower.RefreshUpstreams,
		agree: i.peers.noneKnowsMore, now: i.now, log: i.deps.Log.Named("streams"),
	}
	i.streams.lately = check.lately
	i.streams.onUntold = i.peers.requestSend
	i.versionRows.owns = i.peers.ownsRow
	i.crashRows.owns = i.peers.ownsRow
	return nil
}

// chain returns the request handler: the filters, in the order in which a request
// passes through them, and the dispatcher as the last handler.
func (i *Instance) chain() chain.Handler {
	deps := i.deps
	refresher := &configRefresher{read: i.follower.RefreshOperator, log: deps.Log}
	retries := newRetryBudgets(i.options.Retries, i.peers.instanceCount, i.now)
	dispatcher := dispatch.New(dispatch.Dependencies{
		Dialect: deps.Dialect, Placer: i.placer, Retries: retries, Conns: i.conns, InstanceConns: i.instanceConns,
		Crashes: i.crashes, Streams: i.streams, Reach: i.reach, Releases: i.releases, Admission: i.admitter, Metrics: deps.ServiceMetrics, Log: deps.Log.Named("dispatch"), Now: i.now, EndsAt: i.requestsEndAt,
	}, dispatch.Options{Domain: i.options.Domain, ResponseBytes: i.options.MemoryBytes / responseMemoryDivisor, EvictReaders: i.guard.EvictReaders})
	return chain.Build(dispatcher.Handle,
		accessLog{log: deps.Log.Named("access"), metrics: deps.ServiceMetrics, tableAges: i.tableAges, now: i.now},
		onlyFromCallers{accounting.New(deps.RequestMetrics, i.now)},
		hostroute.New(deps.Dialect, i.snapshot.Load, refresher.refresh),
		customerkey.Filter{},
		onlyFromCallers{ratelimit.New(i.limiter)}, // before the body is read; a charge for a request that does not run is given back
		body.New(i.options.MemoryBytes/bodyMemoryDivisor),
	)
}

// onlyFromCallers is a filter that requests skip that another instance has forwarded,
// which has passed them through the same filter.
type onlyFromCallers struct{ chain.Filter }

// Wrap returns a handler that passes forwarded requests to next at once.
func (f onlyFromCallers) Wrap(next chain.Handler) chain.Handler {
	filtered := f.Filter.Wrap(next)
	return func(ctx context.Context, r *chain.Request) error {
		if r.Forwarded {
			return next(ctx, r)
		}
		return filtered(ctx, r)
	}
}

// upstreamLeaves records that an upstream stated in a response that it leaves, and
// tells the other instances.
func (i *Instance) upstreamLeaves(u *fleet.Upstream) {
	d := fleet.Departure{ID: u.ID, StartTimeMS: u.StartTimeMS, Stated: true}
	i.deps.Log.Info("upstream leaves", "upstream", u.ID, "service", u.Service)
	i.follower.Leave(d)
	i.peers.announceDeparture(d)
}

// SetSeeds replaces the control addresses (IP:port) of the instances from which
// this one fetches its first state if no other instance is known to have any.
func (i *Instance) SetSeeds(seeds []string) { i.peers.setSeeds(seeds) }

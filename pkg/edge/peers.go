package edge

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/fescuestep/fescuestep/pkg/placement"
	"github.com/fescuestep/fescuestep/pkg/state"
	rpc "github.com/fescuestep/fescuestep/rpc/edge"
)

const (
	// digestInterval is the least time between two digests to an instance, and
	// digestPerPeer what each instance adds to it, so that the number of
	// datagrams a second stays bounded.
	digestInterval        = 200 * time.Millisecond
	digestIntervalPerPeer = 10 * time.Millisecond
	// updateDelay and newsPerPeer are the least time between two digests that are
	// sent between the regular ones: they collect what happens at the same time,
	// and keep the traffic of large fleets within small links.
	updateDelay        = 4 * time.Millisecond
	updateDelayPerPeer = time.Millisecond
	// workMaxIntervals is how long the work in a digest counts, in digest intervals.
	workMaxIntervals = 5
	// maxDigestBytes bounds a datagram; larger ones would be split on the way.
	maxDigestBytes = 1400
	// peerExpiry is how long an unheard instance is still written to.
	peerExpiry = 60 * time.Second
	// leavingPeerExpiry is the silence after which an instance that said it is leaving
	// has stopped.
	leavingPeerExpiry = time.Second
	// stateTimeout bounds a request for the state of another instance.
	stateTimeout = 700 * time.Millisecond
	// stateSourceBackoff is how long an instance that did not answer is not asked for state:
	// one that has just died is still taken for the best source.
	stateSourceBackoff = 3 * time.Second
	// stateSyncInterval is between looks at who follows the store.
	stateSyncInterval = 300 * time.Millisecond
	// relayTimeout is how long a relay may be unheard before others follow the
	// store in its place; a configuration must be in force within seconds.
	relayTimeout = 1800 * time.Millisecond
	// maxUpdates bounds the pieces of news of one kind in a digest; each takes up to
	// 35 bytes.
	maxUpdates = 12
	// loadingHold is for how long others are told to keep work from an engine
	// that loads, and loadingRenew is left of it when they are told again.
	loadingHold        = 1500 * time.Millisecond
	loadingRenewBefore = 300 * time.Millisecond
)

// peer is another instance.
type peer struct {
	addr         *rpc.Address
	udpAddr      netip.AddrPort
	controlAddr  string
	heardAt      time.Time // zero: only listed
	listedAt     time.Time
	lastDigest   *rpc.Digest // last one
	backoffUntil time.Time   // until when it is not asked for state, since it did not answer

	placedIncarnation uint64 // incarnation whose placements were heard
	placedSerial      uint64 // of the last placement that was heard
}

// peers exchanges digests with the other instances.
type peers struct {
	self        *rpc.Address
	incarnation uint64
	conn        *net.UDPConn
	client      *http.Client
	placer      *placer
	limiter     *limiter
	follower    *state.Follower
	log         hclog.Logger
	now         func() time.Time
	sendNow     chan struct{} // sends a digest at once
	fetchNow    chan struct{} // another instance knows more
	isRelay     atomic.Bool   // this instance follows the store, for others too

	mu           sync.Mutex
	known        map[string]*peer
	seeds        []string
	sequence     uint64
	leaving      bool
	placedSerial uint64 // of the last placement that was told

	loadingUntil map[string]time.Time // engines that load, until when that was told
	updates      pendingUpdates
	leader       string    // the instance that last gave orders
	leaderSeenAt time.Time // when it last said that engines load

	lastSentWork map[string]placement.Work // as last told; only used by the goroutine that sends
}

func newPeers(self *rpc.Address, incarnation uint64, conn *net.UDPConn, client *http.Client, p *placer, l *limiter, f *state.Follower, log hclog.Logger, now func() time.Time) *peers {
	return &peers{
		self: self, incarnation: incarnation, conn: conn, client: client, placer: p, limiter: l, follower: f,
		log: log, now: now, sendNow: make(chan struct{}, 1), fetchNow: make(chan struct{}, 1),
		known: map[string]*peer{}, loadingUntil: map[string]time.Time{}, lastSentWork: map[string]placement.Work{},
	}
}

// run exchanges digests until ctx ends.
func (p *peers) run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { p.receive(ctx) })
	wg.Go(func() { p.syncState(ctx) })
	// Instances that start together tell at different times.
	timer := time.NewTimer(time.Duration(p.incarnation % uint64(digestInterval)))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			_ = p.conn.Close()
			wg.Wait()
			return
		case <-timer.C:
			p.send(false)
			timer.Reset(p.fullDigestInterval())
		case <-p.sendNow:
			sleep(ctx, max(updateDelay, updateDelayPerPeer*time.Duration(p.count())))
			p.send(true)
		}
		p.sumPeerWork()
	}
}

func (p *peers) fullDigestInterval() time.Duration {
	return max(digestInterval, digestIntervalPerPeer*time.Duration(p.count()))
}

// count returns the number of other instances that are expected to run.
func (p *peers) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.known)
}

// instances returns the number of instances, this one included.
func (p *peers) instances() int { return p.count() + 1 }

// live returns the names of the instances that were heard lately.
func (p *peers) live() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	limit := workMaxIntervals * max(digestInterval, digestIntervalPerPeer*time.Duration(len(p.known)))
	var out []string
	for name, other := range p.known {
		if now.Sub(other.heardAt) < limit && !other.lastDigest.GetLeaving() {
			out = append(out, name)
		}
	}
	return out
}

// add records the address of an instance.
func (p *peers) add(addr *rpc.Address) *peer {
	if addr.GetName() == "" || addr.GetName() == p.self.Name {
		return nil
	}
	udp, err := netip.ParseAddrPort(addr.GetDigests())
	if err != nil {
		p.log.Warn("instance with an address that is not valid", "instance", addr.GetName(), "addr", addr.GetDigests())
		return nil
	}
	other := p.known[addr.Name]
	if other == nil {
		other = &peer{listedAt: p.now()}
		p.known[addr.Name] = other
		p.limiter.expectInstance(addr.Name)
		p.log.Info("instance found", "instance", addr.Name, "addr", addr.Digests)
	}
	other.addr, other.udpAddr, other.controlAddr = addr, udp, addr.GetControl()
	return other
}

// addListed records an instance that the store or another instance lists.
func (p *peers) addListed(addr *rpc.Address) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.known[addr.GetName()] == nil {
		p.add(addr)
	}
}

// setSeeds sets addresses of instances to ask for state.
func (p *peers) setSeeds(seeds []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seeds = seeds
}

// setLeaving makes the digests say that this instance stops.
func (p *peers) setLeaving() {
	p.mu.Lock()
	p.leaving = true
	p.mu.Unlock()
	p.requestSend()
}

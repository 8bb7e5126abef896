package edge

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/zeebo/xxh3"

	"github.com/fescuestep/fescuestep/pkg/history"
	"github.com/fescuestep/fescuestep/pkg/placement"
	"github.com/fescuestep/fescuestep/pkg/quarantine"
	"github.com/fescuestep/fescuestep/pkg/state"
	rpc "github.com/fescuestep/fescuestep/rpc/edge"
)

const (
	// digestInterval is the minimum time between two full digests.
	// digestIntervalPerPeer is the minimum per known instance, so that the number
	// of datagrams per second stays bounded; the larger of the two applies.
	digestInterval        = 200 * time.Millisecond
	digestIntervalPerPeer = 10 * time.Millisecond
	// updateDelay is the minimum delay before a partial digest, which is sent
	// between full ones when there is an update. updateDelayPerPeer is the minimum
	// per known instance; the larger of the two applies. The delay batches updates
	// that occur together and keeps the traffic of a large fleet within the
	// capacity of slow links.
	updateDelay        = 4 * time.Millisecond
	updateDelayPerPeer = time.Millisecond
	// sumInterval is the minimum time between two changes of the sums of the work of the
	// other instances, and sumIntervalPerPeer the minimum per known instance; the larger
	// of the two applies.
	sumInterval        = 25 * time.Millisecond
	sumIntervalPerPeer = 250 * time.Microsecond
	// workMaxIntervals is how long after its arrival the work in a digest counts,
	// in full digest intervals.
	workMaxIntervals = 5
	// maxDigestBytes limits the size of a datagram; larger ones would be fragmented.
	maxDigestBytes = 1400
	// peerExpiry is the silence after which an instance is removed.
	peerExpiry = 60 * time.Second
	// leavingPeerExpiry is the silence after which an instance that announced its
	// shutdown is taken to have stopped.
	leavingPeerExpiry = time.Second
	// stateSilence is the time without a byte after which a State call to another instance
	// has failed, and maxStateCall limits the whole call.
	stateSilence = 700 * time.Millisecond
	maxStateCall = 10 * time.Second
	// stateSourceBackoff is how long no state is requested from an instance after a
	// failed State call. An instance that has just died can still look like the
	// best source by its last digest.
	stateSourceBackoff = 3 * time.Second
	// stateSyncInterval is the time between checks of which instances follow the
	// store and whether one of them has newer state.
	stateSyncInterval = 300 * time.Millisecond
	// relayTimeout is the age up to which the last digest of an instance tells how things
	// are there.
	relayTimeout = 1800 * time.Millisecond
	// minRelaySilence is the shortest silence after which a relay is replaced by other
	// instances that follow the store. Changes must be in force within seconds.
	minRelaySilence = time.Second
	// maxUpdates limits the updates of one kind in a digest; each takes up to 35
	// bytes.
	maxUpdates = 12
	// maxCrashParts limits the parts of requests in the crashes of a digest; each takes 8
	// bytes.
	maxCrashParts = 72
	// maxCrashPieceParts limits the parts of a crash that is told whole, and those of a piece
	// of one with more.
	maxCrashPieceParts = 64
	// maxPendingCrashes and maxPendingCrashPieces limit what is still to be told of crashes.
	// Many prompts begin at an engine that ends.
	maxPendingCrashes     = 48
	maxPendingCrashPieces = 128
	// loadingHold is how long other instances are told to send no requests to an
	// engine that loads weights. The announcement is renewed when no more than
	// loadingRenewBefore of that time is left.
	loadingHold        = 1500 * time.Millisecond
	loadingRenewBefore = 300 * time.Millisecond
)

// peers exchanges digests with the other instances by UDP and fetches state from
// them by RPC.
type peers struct {
	self        *rpc.Address
	incarnation uint64
	startedAt   time.Time
	conn        DigestConn
	client      *http.Client
	metrics     ServiceMetrics
	placer      *placer
	limiter     *limiter
	follower    *state.Follower
	crashes     *crashes
	streams     *streams
	cutOff      func() []string // services whose upstreams this instance does not reach
	shared      []sharedState   // set before run
	log         hclog.Logger
	now         func() time.Time
	sendNow     chan struct{} // requests a partial digest
	introduce   chan struct{} // requests introductions
	packer      *rowPacker
	copies      *copies      // that this instance sends
	syncs       []*tableSync // one per table
	isRelay     atomic.Bool  // this instance follows the store and others may fetch state from it

	maxStateBytes int64         // of a response to a State call, and of its rows when decompressed
	firstContact  chan struct{} // signals that an instance was heard for the first time
	introduced    atomic.Bool   // another instance has told what it knows beyond the rows of the store
	registerAgain chan struct{} // requests to write the row of this instance again

	mu               sync.Mutex
	byName           map[string]*peer
	work             peerWork
	seeds            []string
	lastSequence     uint64
	leaving          bool
	lastPlacedSerial uint64 // serial number of the last placement announced

	loadingUntil   map[string]time.Time // end of the announced hold by engine that loads weights
	updates        pendingUpdates
	leader         string    // name of the instance that last sent load commands
	nextRateLimit  int       // position in the limits in force from which the next digest tells; used only by the sending goroutine
	leaderActiveAt time.Time // arrival of its last digest with loading engines; zero: it is shutting down

	lastSentWork      map[string]placement.Work   // by upstream, as last announced; used only by the sending goroutine
	lastSentPositions map[string]history.Position // by table, as last announced
}

func newPeers(self *rpc.Address, incarnation uint64, conn DigestConn, client *http.Client, m ServiceMetrics, p *placer, l *limiter, f *state.Follower, c *crashes, s *streams, log hclog.Logger, now func() time.Time) *peers {
	operator, upstreams := f.TableNames()
	return &peers{
		packer: newRowPacker(), copies: newCopies(0), syncs: []*tableSync{newTableSync(operator), newTableSync(upstreams)},
		maxStateBytes: minStateBytes, firstContact: make(chan struct{}, 1),
		self: self, incarnation: incarnation, startedAt: now(), conn: conn, client: client, metrics: m, placer: p, limiter: l, follower: f, crashes: c, streams: s,
		log: log, now: now, sendNow: make(chan struct{}, 1), introduce: make(chan struct{}, 1), registerAgain: make(chan struct{}, 1),
		cutOff: func() []string { return nil },
		byName: map[string]*peer{}, work: newPeerWork(now()), loadingUntil: map[string]time.Time{}, lastSentWork: map[string]placement.Work{},
	}
}

// run exchanges digests and synchronizes state until ctx ends. It closes the
// socket.
func (p *peers) run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { p.receive(ctx) })
	wg.Go(func() { p.syncState(ctx) })
	wg.Go(func() { p.keepPeerWork(ctx) })
	// The offset spreads the digests of instances that start together.
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
			p.expireWork()
			timer.Reset(p.fullDigestInterval())
		case <-p.sendNow:
			sleep(ctx, p.partialDigestDelay())
			p.send(true)
		case <-p.introduce:
			sleep(ctx, introductionDelay)
			p.sendIntroductions()
		}
	}
}

// fullDigestInterval returns the time between two full digests.
func (p *peers) fullDigestInterval() time.Duration {
	return max(digestInterval, digestIntervalPerPeer*time.Duration(p.peerCount()))
}

// relaySilence returns the silence after which a relay is replaced: two whole digests are
// missing, or more in a small fleet. The caller holds mu.
func (p *peers) relaySilence() time.Duration {
	missing := 2 * digestIntervalPerPeer * time.Duration(len(p.byName))
	return min(max(minRelaySilence, missing+digestInterval), relayTimeout)
}

// partialDigestDelay returns the delay before a partial digest.
func (p *peers) partialDigestDelay() time.Duration {
	return max(updateDelay, updateDelayPerPeer*time.Duration(p.peerCount()))
}

// peerCount returns the number of other known instances.
func (p *peers) peerCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.byName)
}

// instanceCount returns the number of known instances, including this one.
func (p *peers) instanceCount() int { return p.peerCount() + 1 }

// liveNames returns the names of the instances whose digests arrived recently and
// that are not leaving.
func (p *peers) liveNames() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	maxAge := workMaxIntervals * max(digestInterval, digestIntervalPerPeer*time.Duration(len(p.byName)))
	var out []string
	for name, other := range p.byName {
		if now.Sub(other.heardAt) < maxAge && !other.lastDigest.GetLeaving() {
			out = append(out, name)
		}
	}
	return out
}

// noneKnowsMore reports whether no instance can know of upstreams that this one does not:
// all were heard lately, none reaches the store, and none has a newer list. The platform
// lists upstreams in its store only.
func (p *peers) noneKnowsMore() bool {
	_, table := p.follower.TableNames()
	held := p.follower.Positions()[table]
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for _, other := range p.byName {
		if now.Sub(other.heardAt) > relayTimeout || other.lastDigestFollows() || held.Before(tablePosition(other.lastDigest, table)) {
			return false
		}
	}
	return true
}

// tablePosition returns the position up to which the sender of a digest knows a table.
func tablePosition(d *rpc.Digest, name string) history.Position {
	for _, t := range d.GetTables() {
		if t.Name == name {
			return position(t)
		}
	}
	return history.Position{}
}

// helpers returns, in random order, the addresses at which other instances take requests
// that this one forwards: those heard lately that reach the upstreams of a service.
func (p *peers) helpers(service string) []string {
	names := p.liveNames()
	rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return p.helperAddrs(service, names)
}

// helpersNamed returns the addresses of helpers among some instances, in their order.
func (p *peers) helpersNamed(service string, names []string) []string {
	live := p.liveNames()
	return p.helperAddrs(service, slices.DeleteFunc(slices.Clone(names), func(name string) bool { return !slices.Contains(live, name) }))
}

// helperAddrs returns the addresses of those instances that reach a service.
func (p *peers) helperAddrs(service string, names []string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for _, name := range names {
		if other := p.byName[name]; other != nil && !slices.Contains(other.lastDigest.GetCutOff(), service) {
			out = append(out, other.udpAddr.String())
		}
	}
	return out
}

// isInstance reports whether an address (IP:port) is that of another known instance. What
// others send to the port for forwarded requests is handled like a caller's request.
func (p *peers) isInstance(addr string) bool {
	from, err := netip.ParseAddrPort(addr)
	if err != nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, other := range p.byName {
		if other.udpAddr.Addr() == from.Addr() {
			return true
		}
	}
	return false
}

// tries reports whether this instance is the one that tries prompts with a quarantined
// part.
func (p *peers) tries(part quarantine.Part) bool { return p.owns(uint64(part)) }

// owns reports whether a task is this instance's, by rendezvous hashing among the live
// instances.
func (p *peers) owns(task uint64) bool { return p.wins(task, p.liveNames()) }

// ownsRow reports whether this instance writes a row of the store, by rendezvous hashing
// among the live instances that follow the store: others may not reach it.
func (p *peers) ownsRow(row uint64) bool {
	if !p.follower.FollowsStore() {
		return false
	}
	names := p.liveNames()
	p.mu.Lock()
	defer p.mu.Unlock()
	names = slices.DeleteFunc(names, func(name string) bool { return !p.byName[name].lastDigestFollows() })
	return p.wins(row, names)
}

// wins reports whether this instance has the highest weight for a task among others.
func (p *peers) wins(task uint64, others []string) bool {
	own := xxh3.HashStringSeed(p.self.Name, task)
	for _, name := range others {
		if xxh3.HashStringSeed(name, task) > own {
			return false
		}
	}
	return true
}

// add records the address of another instance and returns its entry, or nil if the
// address is invalid or this instance's own. The caller holds mu.
func (p *peers) add(addr *rpc.Address) *peer {
	if addr.GetName() == "" || addr.GetName() == p.self.Name {
		return nil
	}
	udpAddr, err := netip.ParseAddrPort(addr.GetDigests())
	if err != nil {
		p.log.Warn("instance has an invalid digest address", "instance", addr.GetName(), "addr", addr.GetDigests())
		return nil
	}
	other := p.byName[addr.Name]
	if other == nil {
		other = &peer{listedAt: p.now(), work: map[string]placement.Work{}}
		p.byName[addr.Name] = other
		p.limiter.addPeer(addr.Name)
		p.placer.addInstance(addr.Name)
		p.log.Info("instance discovered", "instance", addr.Name, "addr", addr.Digests)
		p.requestIntroductions()
	}
	other.addr, other.udpAddr, other.controlAddr = addr, udpAddr, addr.GetControl()
	return other
}

// addListed records an instance that the store or another instance lists. The
// address of one that is already known is kept.
func (p *peers) addListed(addr *rpc.Address) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byName[addr.GetName()] == nil {
		p.add(addr)
	}
}

// setSeeds replaces the control addresses of the instances from which the first
// state is fetched if no other instance is known to have any.
func (p *peers) setSeeds(seeds []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seeds = seeds
}

// storeRestored makes this instance register again, since the store came back from an
// older copy.
func (p *peers) storeRestored() {
	select {
	case p.registerAgain <- struct{}{}:
	default:
	}
}

// setLeaving announces the shutdown of this instance in all further digests.
func (p *peers) setLeaving() {
	p.mu.Lock()
	p.leaving = true
	p.mu.Unlock()
	p.requestSend()
}

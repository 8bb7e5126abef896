package edge

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/proto"

	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/member"
	"github.com/fescuestep/fescuestep/pkg/placement"
	"github.com/fescuestep/fescuestep/pkg/state"
	rpc "github.com/fescuestep/fescuestep/rpc/edge"
)

const (
	// digestInterval is the least time between two digests to an instance, and
	// digestPerPeer what each instance adds to it, so that the number of
	// datagrams a second stays bounded.
	digestInterval = 200 * time.Millisecond
	digestPerPeer  = 10 * time.Millisecond
	// newsPause and newsPerPeer are the least time between two digests that are
	// sent between the regular ones: they collect what happens at the same time,
	// and keep the traffic of large fleets within small links.
	newsPause   = 4 * time.Millisecond
	newsPerPeer = time.Millisecond
	// workMaxAge is how long the work in a digest counts, in digest intervals.
	workMaxAge = 5
	// maxDigest bounds a datagram; larger ones would be split on the way.
	maxDigest = 1400
	// peerForgotten is how long an unheard instance is still written to.
	peerForgotten = 60 * time.Second
	// stoppedAfter is the silence after which an instance that said it is leaving
	// has stopped.
	stoppedAfter = time.Second
	// stateTimeout bounds a request for the state of another instance.
	stateTimeout = 700 * time.Millisecond
	// stateInterval is between looks at who follows the store.
	stateInterval = 300 * time.Millisecond
	// relaySilence is how long a relay may be unheard before others follow the
	// store in its place; a configuration must be in force within seconds.
	relaySilence = 1800 * time.Millisecond
	// maxNews bounds the pieces of news of one kind in a digest; each takes up to
	// 35 bytes.
	maxNews = 12
	// loadingTold is for how long others are told to keep work from an engine
	// that loads, and loadingRenew is left of it when they are told again.
	loadingTold  = 1500 * time.Millisecond
	loadingRenew = 300 * time.Millisecond
)

// peer is another instance.
type peer struct {
	addr    *rpc.Address
	udp     netip.AddrPort
	control string
	heard   time.Time // zero: only listed
	listed  time.Time
	digest  *rpc.Digest // last one
}

// repeats is the number of digests that a piece of news is in, so that one lost
// datagram does no harm. Later, the platform's list says the same.
const repeats = 2

// news is what the next digests say besides totals and states.
type news struct {
	loads   []told[*rpc.Load]
	weights []told[*rpc.Weights]
	placed  []told[*rpc.Placed]
}

// told is a piece of news and the number of digests that it still goes into.
type told[T any] struct {
	what T
	left int
}

// next returns the pieces for one digest and drops those that were told often
// enough.
func next[T any](list *[]told[T]) []T {
	out := make([]T, 0, min(len(*list), maxNews))
	kept := (*list)[:0]
	for _, t := range *list {
		if len(out) < maxNews {
			out = append(out, t.what)
			t.left--
		}
		if t.left > 0 {
			kept = append(kept, t)
		}
	}
	*list = kept
	return out
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
	wake        chan struct{} // sends a digest at once
	more        chan struct{} // another instance knows more
	relay       atomic.Bool   // this instance follows the store, for others too

	mu       sync.Mutex
	known    map[string]*peer
	seeds    []string
	sequence uint64
	leaving  bool
	loads    map[string]time.Time // engines that load, until when that was told
	news     news
	leader   string    // the instance that last gave orders
	loadSeen time.Time // when it last said that engines load

	sentWork map[string]placement.Work // as last told; only used by the goroutine that sends
}

func newPeers(self *rpc.Address, incarnation uint64, conn *net.UDPConn, client *http.Client, p *placer, l *limiter, f *state.Follower, log hclog.Logger, now func() time.Time) *peers {
	return &peers{
		self: self, incarnation: incarnation, conn: conn, client: client, placer: p, limiter: l, follower: f,
		log: log, now: now, wake: make(chan struct{}, 1), more: make(chan struct{}, 1),
		known: map[string]*peer{}, loads: map[string]time.Time{}, sentWork: map[string]placement.Work{},
	}
}

// run exchanges digests until ctx ends.
func (p *peers) run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { p.receive(ctx) })
	wg.Go(func() { p.followState(ctx) })
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
			timer.Reset(p.interval())
		case <-p.wake:
			sleep(ctx, max(newsPause, newsPerPeer*time.Duration(p.count())))
			p.send(true)
		}
		p.mergeWork()
	}
}

func (p *peers) interval() time.Duration {
	return max(digestInterval, digestPerPeer*time.Duration(p.count()))
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
	limit := workMaxAge * max(digestInterval, digestPerPeer*time.Duration(len(p.known)))
	var out []string
	for name, other := range p.known {
		if now.Sub(other.heard) < limit && !other.digest.GetLeaving() {
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
		other = &peer{listed: p.now()}
		p.known[addr.Name] = other
		p.limiter.expect(addr.Name)
		p.log.Info("instance found", "instance", addr.Name, "addr", addr.Digests)
	}
	other.addr, other.udp, other.control = addr, udp, addr.GetControl()
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
	p.hurry()
}

// followLeader notes that the sender gives orders, until it says that it stops.
// The caller holds mu.
func (p *peers) followLeader(d *rpc.Digest, now time.Time) {
	for _, l := range d.Loads {
		if l.Ms > 0 && !d.Leaving {
			p.leader, p.loadSeen = d.Sender.Name, now
		}
	}
	if d.Leaving && d.Sender.Name == p.leader {
		p.loadSeen = time.Time{}
	}
}

// leaderSeen returns when another instance last gave orders; zero if it has
// stopped since.
func (p *peers) leaderSeen() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.loadSeen
}

// hurry sends what is new without waiting for the next regular digest.
func (p *peers) hurry() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// tellState says that this instance knows more, if others rely on it.
func (p *peers) tellState() {
	if p.relay.Load() {
		p.hurry()
	}
}

// tellLoading says that an engine takes no work for now.
func (p *peers) tellLoading(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	if now.Add(loadingRenew).Before(p.loads[id]) {
		return // told already
	}
	p.loads[id] = now.Add(loadingTold)
	load := &rpc.Load{Upstream: id, Ms: uint32(loadingTold.Milliseconds())}
	p.news.loads = append(p.news.loads, told[*rpc.Load]{load, repeats})
	p.hurry()
}

// tellWeights says which version an engine has, and that it takes work again.
func (p *peers) tellWeights(id, model string, version int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.loads, id)
	p.news.loads = slices.DeleteFunc(p.news.loads, func(t told[*rpc.Load]) bool { return t.what.Upstream == id })
	p.news.loads = append(p.news.loads, told[*rpc.Load]{&rpc.Load{Upstream: id}, repeats})
	weights := &rpc.Weights{Upstream: id, Model: model, Version: uint32(version)}
	p.news.weights = append(p.news.weights, told[*rpc.Weights]{weights, repeats})
	p.hurry()
}

// tellPlaced says where the shared parts of a long prompt are kept, or will be
// after a time.
func (p *peers) tellPlaced(t *placement.Ticket, ready time.Duration, saved bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	placed := &rpc.Placed{Upstream: t.Upstream.ID, Keys: t.SharedKeys(), Saved: saved, ReadyMs: uint32(ready.Milliseconds())}
	p.news.placed = append(p.news.placed, told[*rpc.Placed]{placed, repeats})
	p.hurry()
}

// send sends one digest to every instance.
func (p *peers) send(partial bool) {
	raw, targets := p.digest(partial)
	for _, target := range targets {
		// A lost digest is made up for by the next one.
		_, _ = p.conn.WriteToUDPAddrPort(raw, target)
	}
}

func (p *peers) digest(partial bool) ([]byte, []netip.AddrPort) {
	work := p.placer.own()
	var spent map[string]float64
	if partial {
		work = p.changedWork(work)
	} else {
		spent = p.limiter.spent()
		p.sentWork = work
	}
	versions := p.follower.Versions()
	follows := p.follower.Follows()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sequence++
	now := p.now()
	d := &rpc.Digest{
		Sender: p.self, Incarnation: p.incarnation, Sequence: p.sequence, Leaving: p.leaving, Follows: follows, Partial: partial,
	}
	for name, version := range versions {
		d.Tables = append(d.Tables, &rpc.Table{Name: name, Version: version})
	}
	for customer, tokens := range spent {
		d.Spent = append(d.Spent, &rpc.Spending{Customer: customer, Tokens: tokens, Level: p.limiter.level(customer)})
	}
	d.Loads = next(&p.news.loads)
	d.Weights = next(&p.news.weights)
	d.Placed = next(&p.news.placed)
	for id, w := range work {
		d.Work = append(d.Work, &rpc.Work{
			Upstream: id, Requests: uint32(max(0, w.Requests)), Prefill: uint32(max(0, w.Prefill)), Memory: uint32(max(0, w.Memory)),
		})
	}
	return p.encode(d), p.targets(now)
}

// changedWork returns the work that differs from what the last digest said, and
// remembers it as said.
func (p *peers) changedWork(work map[string]placement.Work) map[string]placement.Work {
	changed := map[string]placement.Work{}
	for id, w := range work {
		if p.sentWork[id] != w {
			changed[id] = w
			p.sentWork[id] = w
		}
	}
	return changed
}

// encode drops work entries until the digest fits into a datagram.
func (p *peers) encode(d *rpc.Digest) []byte {
	for {
		raw, err := proto.Marshal(d)
		if err != nil {
			p.log.Error("cannot encode a digest", "error", err)
			return nil
		}
		if len(raw) <= maxDigest || len(d.Work) == 0 {
			return raw
		}
		d.Work = d.Work[:len(d.Work)/2]
	}
}

func (p *peers) targets(now time.Time) []netip.AddrPort {
	var out []netip.AddrPort
	for name, other := range p.known {
		last := other.heard
		if last.Before(other.listed) {
			last = other.listed
		}
		unheard := now.Sub(last)
		stopped := other.digest.GetLeaving() && unheard > stoppedAfter
		if stopped || unheard > peerForgotten {
			delete(p.known, name)
			p.limiter.leave(name)
			p.log.Info("instance forgotten", "instance", name)
			continue
		}
		out = append(out, other.udp)
	}
	return out
}

func (p *peers) receive(ctx context.Context) {
	buffer := make([]byte, 4<<10)
	for ctx.Err() == nil {
		n, _, err := p.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() == nil && !errors.Is(err, net.ErrClosed) {
				p.log.Warn("cannot receive digests", "error", err)
				time.Sleep(acceptPause)
			}
			continue
		}
		d := &rpc.Digest{}
		if err := proto.Unmarshal(buffer[:n], d); err != nil {
			p.log.Warn("datagram is no digest", "error", err)
			continue
		}
		p.take(d)
	}
}

// take applies a digest; older ones than the last are ignored.
func (p *peers) take(d *rpc.Digest) {
	p.mu.Lock()
	other := p.add(d.GetSender())
	if other == nil {
		p.mu.Unlock()
		return
	}
	last := other.digest
	if last != nil && (d.Incarnation < last.Incarnation || (d.Incarnation == last.Incarnation && d.Sequence <= last.Sequence)) {
		p.mu.Unlock()
		return
	}
	now := p.now()
	fresh := other.heard.IsZero()
	if d.Partial && last != nil && last.Incarnation == d.Incarnation {
		d.Work = mergedWork(last.Work, d.Work)
	}
	other.heard, other.digest = now, d
	name := d.Sender.Name
	if d.Leaving {
		other.digest.Work = nil
	}
	p.followLeader(d, now)
	p.mu.Unlock()
	if fresh {
		p.hurry() // the sender may not know this instance yet
	}
	if !d.Partial {
		p.limiter.heard(name, d.Incarnation, spentTotals(d))
		p.adoptLevels(d)
	}
	for _, l := range d.Loads {
		p.placer.SetBusy(l.Upstream, time.Duration(l.Ms)*time.Millisecond)
	}
	for _, w := range d.Weights {
		p.placer.SawWeights(w.Upstream, w.Model, int(w.Version))
	}
	for _, placed := range d.Placed {
		p.placer.sawPlaced(placed.Upstream, placed.Keys, time.Duration(placed.ReadyMs)*time.Millisecond, placed.Saved)
	}
	if !p.follower.Follows() && knowsMore(d, p.follower.Versions()) {
		select {
		case p.more <- struct{}{}:
		default:
		}
	}
}

// levelsKnown is how long an instance must have run before another one started
// for its levels to be better than none.
const levelsKnown = 3 * time.Second

// adoptLevels takes the levels of buckets from an instance that has run for
// longer; incarnations are start times in Unix nanoseconds.
func (p *peers) adoptLevels(d *rpc.Digest) {
	if d.Incarnation+uint64(levelsKnown) > p.incarnation {
		return
	}
	for _, s := range d.Spent {
		p.limiter.adoptLevel(s.Customer, s.Level)
	}
}

func spentTotals(d *rpc.Digest) map[string]float64 {
	totals := make(map[string]float64, len(d.Spent))
	for _, s := range d.Spent {
		totals[s.Customer] = s.Tokens
	}
	return totals
}

// mergedWork returns work with changes applied.
func mergedWork(work, changes []*rpc.Work) []*rpc.Work {
	out := changes
	for _, w := range work {
		if !slices.ContainsFunc(changes, func(c *rpc.Work) bool { return c.Upstream == w.Upstream }) {
			out = append(out, w)
		}
	}
	return out
}

// mergeWork sums the work of the instances that were heard lately.
func (p *peers) mergeWork() {
	p.mu.Lock()
	now := p.now()
	limit := workMaxAge * max(digestInterval, digestPerPeer*time.Duration(len(p.known)))
	total := map[string]placement.Work{}
	for _, other := range p.known {
		if other.digest == nil || now.Sub(other.heard) > limit {
			continue
		}
		for _, w := range other.digest.Work {
			sum := total[w.Upstream]
			sum.Requests += int(w.Requests)
			sum.Prefill += int(w.Prefill)
			sum.Memory += int(w.Memory)
			total[w.Upstream] = sum
		}
	}
	p.mu.Unlock()
	p.placer.setPeers(total)
}

// followState decides whether this instance follows the store itself, and takes
// what it lacks from instances that do.
func (p *peers) followState(ctx context.Context) {
	ticker := time.NewTicker(stateInterval)
	defer ticker.Stop()
	for turn := 0; ; turn++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-p.more:
		}
		relayed := p.relayed()
		p.relay.Store(!relayed)
		p.follower.SetIdle(relayed)
		if p.follower.Follows() {
			continue
		}
		if addr := p.source(turn); addr != "" {
			p.fetchState(ctx, addr)
		}
	}
}

// relayed reports whether relays follow the store for this instance: it is not
// one of the relays of its failure domain, and one of them was heard lately.
func (p *peers) relayed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	members := config.Membership{Members: []config.Member{{ID: p.self.Name, Domain: p.self.Domain}}}
	for name, other := range p.known {
		if now.Sub(other.heard) < relaySilence {
			members.Members = append(members.Members, config.Member{ID: name, Domain: other.addr.Domain, Leaving: other.digest.GetLeaving()})
		}
	}
	heard := false
	for _, relay := range member.Relays(members, p.self.Domain) {
		if relay.ID == p.self.Name {
			return false
		}
		heard = heard || p.known[relay.ID].digest.GetFollows()
	}
	return heard
}

// source returns the address of an instance that knows more, or of a seed if
// this instance knows nothing and nobody. Instances that follow the store and
// those of the same failure domain come first.
func (p *peers) source(turn int) string {
	versions := p.follower.Versions()
	p.mu.Lock()
	defer p.mu.Unlock()
	best, rank := "", 0
	for _, other := range p.known {
		if other.control == "" || !knowsMore(other.digest, versions) || p.now().Sub(other.heard) > relaySilence {
			continue
		}
		r := 1
		if other.digest.Follows {
			r += 2
		}
		if other.addr.Domain == p.self.Domain {
			r++
		}
		if r > rank {
			best, rank = other.control, r
		}
	}
	if best != "" || knowsAny(versions) || len(p.seeds) == 0 {
		return best
	}
	seed := p.seeds[turn%len(p.seeds)]
	if seed == p.self.Control {
		return ""
	}
	return seed
}

func knowsMore(d *rpc.Digest, versions map[string]uint64) bool {
	for _, t := range d.GetTables() {
		if t.Version > versions[t.Name] {
			return true
		}
	}
	return false
}

func knowsAny(versions map[string]uint64) bool {
	for _, version := range versions {
		if version > 0 {
			return true
		}
	}
	return false
}

func (p *peers) fetchState(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	req := &rpc.StateRequest{}
	for name, version := range p.follower.Versions() {
		req.Held = append(req.Held, &rpc.Table{Name: name, Version: version})
	}
	resp, err := rpc.NewEdgeProtobufClient("http://"+addr, p.client).State(ctx, req)
	if err != nil {
		p.log.Info("instance gives no state", "addr", addr, "error", err)
		return
	}
	changes := make([]state.Table, 0, len(resp.Tables))
	for _, t := range resp.Tables {
		change := state.Table{Name: t.Name, Version: t.Version, Whole: t.Whole}
		for _, r := range t.Rows {
			change.Rows = append(change.Rows, state.Row{Table: t.Name, Key: r.Key, Value: r.Value, Version: r.Version, Deleted: r.Deleted})
		}
		changes = append(changes, change)
		p.log.Info("state taken from an instance", "addr", addr, "table", t.Name, "version", t.Version, "whole", t.Whole, "rows", len(t.Rows))
	}
	p.follower.Adopt(changes)
	for _, instance := range resp.Instances {
		p.addListed(instance)
	}
}

// State implements rpc.Edge.
func (p *peers) State(_ context.Context, req *rpc.StateRequest) (*rpc.StateResponse, error) {
	held := map[string]uint64{}
	for _, t := range req.Held {
		held[t.Name] = t.Version
	}
	out := &rpc.StateResponse{Instances: []*rpc.Address{p.self}}
	for _, change := range p.follower.Changes(held) {
		t := &rpc.Table{Name: change.Name, Version: change.Version, Whole: change.Whole}
		for _, r := range change.Rows {
			t.Rows = append(t.Rows, &rpc.Row{Key: r.Key, Value: r.Value, Version: r.Version, Deleted: r.Deleted})
		}
		out.Tables = append(out.Tables, t)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !knowsAny(held) {
		for _, other := range p.known {
			out.Instances = append(out.Instances, other.addr)
		}
	}
	return out, nil
}

// Registry lists the instances in the store.
type Registry interface {
	Rows(ctx context.Context, table string) (state.Page, error)
	PutRow(ctx context.Context, table, key string, value []byte) error
}

// register writes this instance's address into the store and reads the others'
// once. Later ones make themselves known by their digests.
func (p *peers) register(ctx context.Context, registry Registry, table string) {
	value, err := json.Marshal(p.self)
	if err != nil {
		p.log.Error("cannot encode the address", "error", err)
		return
	}
	written := false
	for ctx.Err() == nil {
		if !written {
			err := registry.PutRow(ctx, table, p.self.Name, value)
			written = err == nil
		}
		if written {
			page, err := registry.Rows(ctx, table)
			if err == nil {
				p.takeListed(page.Rows)
				return
			}
		}
		sleep(ctx, registerRetry)
	}
}

// registerRetry is between attempts to reach the store at the start.
const registerRetry = 500 * time.Millisecond

func (p *peers) takeListed(rows []state.Row) {
	for _, row := range rows {
		addr := &rpc.Address{}
		if err := json.Unmarshal(row.Value, addr); err != nil {
			p.log.Warn("listed instance is not valid", "key", row.Key, "error", err)
			continue
		}
		p.addListed(addr)
	}
	p.hurry()
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

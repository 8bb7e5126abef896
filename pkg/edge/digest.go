package edge

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/fescuestep/fescuestep/pkg/placement"
	rpc "github.com/fescuestep/fescuestep/rpc/edge"
)

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
func (p *peers) tellPlaced(placed placement.Placed) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.placedSerial++
	piece := &rpc.Placed{
		Serial: p.placedSerial, Upstream: placed.Upstream, Keys: placed.Keys, Saves: uint32(max(0, placed.Saves)),
		ReadyMs: uint32(placed.Ready.Milliseconds()), Speed: float32(placed.Speed),
		Brings: uint32(max(0, placed.Brings)),
	}
	p.news.placed = append(p.news.placed, told[*rpc.Placed]{piece, repeats})
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
	follows := p.follower.FollowsStore()
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
	unheard := other.unheard(d)
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
		p.placer.RecordWeights(w.Upstream, w.Model, int(w.Version))
	}
	for _, placed := range unheard {
		p.placer.sawPlaced(placement.Placed{
			Upstream: placed.Upstream, Keys: placed.Keys, Saves: int(placed.Saves),
			Ready: time.Duration(placed.ReadyMs) * time.Millisecond, Speed: placement.Speed(placed.Speed),
			Brings: int(placed.Brings),
		})
	}
	if !p.follower.FollowsStore() && knowsMore(d, p.follower.Versions()) {
		select {
		case p.more <- struct{}{}:
		default:
		}
	}
}

// unheard returns the placements that no earlier digest of the sender's process
// told.
func (p *peer) unheard(d *rpc.Digest) []*rpc.Placed {
	if p.placedOf != d.Incarnation {
		p.placedOf, p.placedSerial = d.Incarnation, 0
	}
	var out []*rpc.Placed
	for _, placed := range d.Placed {
		if placed.Serial > p.placedSerial {
			p.placedSerial = placed.Serial
			out = append(out, placed)
		}
	}
	return out
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
	p.placer.setInstances(p.instances())
}

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

// updateRepeats is the number of digests that a piece of news is in, so that one lost
// datagram does no harm. Later, the platform's list says the same.
const updateRepeats = 2

// pendingUpdates is what the next digests say besides totals and states.
type pendingUpdates struct {
	loads   []pendingUpdate[*rpc.Load]
	weights []pendingUpdate[*rpc.Weights]
	placed  []pendingUpdate[*rpc.Placed]
}

// pendingUpdate is a piece of news and the number of digests that it still goes into.
type pendingUpdate[T any] struct {
	message   T
	remaining int
}

// nextUpdates returns the pieces for one digest and drops those that were told often
// enough.
func nextUpdates[T any](list *[]pendingUpdate[T]) []T {
	out := make([]T, 0, min(len(*list), maxUpdates))
	kept := (*list)[:0]
	for _, t := range *list {
		if len(out) < maxUpdates {
			out = append(out, t.message)
			t.remaining--
		}
		if t.remaining > 0 {
			kept = append(kept, t)
		}
	}
	*list = kept
	return out
}

// trackLeader notes that the sender gives orders, until it says that it stops.
// The caller holds mu.
func (p *peers) trackLeader(d *rpc.Digest, now time.Time) {
	for _, l := range d.Loads {
		if l.Ms > 0 && !d.Leaving {
			p.leader, p.leaderSeenAt = d.Sender.Name, now
		}
	}
	if d.Leaving && d.Sender.Name == p.leader {
		p.leaderSeenAt = time.Time{}
	}
}

// leaderSeen returns when another instance last gave orders; zero if it has
// stopped since.
func (p *peers) leaderSeen() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leaderSeenAt
}

// requestSend sends what is new without waiting for the next regular digest.
func (p *peers) requestSend() {
	select {
	case p.sendNow <- struct{}{}:
	default:
	}
}

// announceState says that this instance knows more, if others rely on it.
func (p *peers) announceState() {
	if p.isRelay.Load() {
		p.requestSend()
	}
}

// announceLoading says that an engine takes no work for now.
func (p *peers) announceLoading(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	if now.Add(loadingRenewBefore).Before(p.loadingUntil[id]) {
		return // told already
	}
	p.loadingUntil[id] = now.Add(loadingHold)
	load := &rpc.Load{Upstream: id, Ms: uint32(loadingHold.Milliseconds())}
	p.updates.loads = append(p.updates.loads, pendingUpdate[*rpc.Load]{load, updateRepeats})
	p.requestSend()
}

// announceWeights says which version an engine has, and that it takes work again.
func (p *peers) announceWeights(id, model string, version int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.loadingUntil, id)
	p.updates.loads = slices.DeleteFunc(p.updates.loads, func(t pendingUpdate[*rpc.Load]) bool { return t.message.Upstream == id })
	p.updates.loads = append(p.updates.loads, pendingUpdate[*rpc.Load]{&rpc.Load{Upstream: id}, updateRepeats})
	weights := &rpc.Weights{Upstream: id, Model: model, Version: uint32(version)}
	p.updates.weights = append(p.updates.weights, pendingUpdate[*rpc.Weights]{weights, updateRepeats})
	p.requestSend()
}

// announcePlacement says where the shared parts of a long prompt are kept, or will be
// after a time.
func (p *peers) announcePlacement(placed placement.Announcement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.placedSerial++
	piece := &rpc.Placed{
		Serial: p.placedSerial, Upstream: placed.Upstream, Keys: placed.Keys, Saves: uint32(max(0, placed.NewStoreTokens)),
		ReadyMs: uint32(placed.ReadyIn.Milliseconds()), Speed: float32(placed.Speed),
		Brings: uint32(max(0, placed.NewTokens)),
	}
	p.updates.placed = append(p.updates.placed, pendingUpdate[*rpc.Placed]{piece, updateRepeats})
	p.requestSend()
}

// send sends one digest to every instance.
func (p *peers) send(partial bool) {
	raw, targets := p.nextDigest(partial)
	for _, target := range targets {
		// A lost digest is made up for by the next one.
		_, _ = p.conn.WriteToUDPAddrPort(raw, target)
	}
}

func (p *peers) nextDigest(partial bool) ([]byte, []netip.AddrPort) {
	work := p.placer.ownWork()
	var spent map[string]float64
	if partial {
		work = p.changedWork(work)
	} else {
		spent = p.limiter.spent()
		p.lastSentWork = work
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
		d.Spent = append(d.Spent, &rpc.Spending{Customer: customer, Tokens: tokens, Level: p.limiter.bucketLevel(customer)})
	}
	d.Loads = nextUpdates(&p.updates.loads)
	d.Weights = nextUpdates(&p.updates.weights)
	d.Placed = nextUpdates(&p.updates.placed)
	for id, w := range work {
		d.Work = append(d.Work, &rpc.Work{
			Upstream: id, Requests: uint32(max(0, w.Requests)), Prefill: uint32(max(0, w.PrefillTokens)), Memory: uint32(max(0, w.KVTokens)),
		})
	}
	return p.encodeDigest(d), p.expirePeers(now)
}

// changedWork returns the work that differs from what the last digest said, and
// remembers it as said.
func (p *peers) changedWork(work map[string]placement.Work) map[string]placement.Work {
	changed := map[string]placement.Work{}
	for id, w := range work {
		if p.lastSentWork[id] != w {
			changed[id] = w
			p.lastSentWork[id] = w
		}
	}
	return changed
}

// encodeDigest drops work entries until the digest fits into a datagram.
func (p *peers) encodeDigest(d *rpc.Digest) []byte {
	for {
		raw, err := proto.Marshal(d)
		if err != nil {
			p.log.Error("cannot encode a digest", "error", err)
			return nil
		}
		if len(raw) <= maxDigestBytes || len(d.Work) == 0 {
			return raw
		}
		d.Work = d.Work[:len(d.Work)/2]
	}
}

func (p *peers) expirePeers(now time.Time) []netip.AddrPort {
	var out []netip.AddrPort
	for name, other := range p.known {
		last := other.heardAt
		if last.Before(other.listedAt) {
			last = other.listedAt
		}
		unheard := now.Sub(last)
		stopped := other.lastDigest.GetLeaving() && unheard > leavingPeerExpiry
		if stopped || unheard > peerExpiry {
			delete(p.known, name)
			p.limiter.removeInstance(name)
			p.log.Info("instance forgotten", "instance", name)
			continue
		}
		out = append(out, other.udpAddr)
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
				time.Sleep(socketRetryDelay)
			}
			continue
		}
		d := &rpc.Digest{}
		if err := proto.Unmarshal(buffer[:n], d); err != nil {
			p.log.Warn("datagram is no digest", "error", err)
			continue
		}
		p.applyDigest(d)
	}
}

// applyDigest applies a digest; older ones than the last are ignored.
func (p *peers) applyDigest(d *rpc.Digest) {
	p.mu.Lock()
	other := p.add(d.GetSender())
	if other == nil {
		p.mu.Unlock()
		return
	}
	last := other.lastDigest
	if last != nil && (d.Incarnation < last.Incarnation || (d.Incarnation == last.Incarnation && d.Sequence <= last.Sequence)) {
		p.mu.Unlock()
		return
	}
	now := p.now()
	fresh := other.heardAt.IsZero()
	if d.Partial && last != nil && last.Incarnation == d.Incarnation {
		d.Work = applyWorkChanges(last.Work, d.Work)
	}
	other.heardAt, other.lastDigest = now, d
	name := d.Sender.Name
	if d.Leaving {
		other.lastDigest.Work = nil
	}
	p.trackLeader(d, now)
	unheard := other.newPlacements(d)
	p.mu.Unlock()
	if fresh {
		p.requestSend() // the sender may not know this instance yet
	}
	if !d.Partial {
		p.limiter.recordSpent(name, d.Incarnation, spentByCustomer(d))
		p.adoptBucketLevels(d)
	}
	for _, l := range d.Loads {
		p.placer.SetBusy(l.Upstream, time.Duration(l.Ms)*time.Millisecond)
	}
	for _, w := range d.Weights {
		p.placer.RecordWeights(w.Upstream, w.Model, int(w.Version))
	}
	for _, placed := range unheard {
		p.placer.recordPlacement(placement.Announcement{
			Upstream: placed.Upstream, Keys: placed.Keys, NewStoreTokens: int(placed.Saves),
			ReadyIn: time.Duration(placed.ReadyMs) * time.Millisecond, Speed: placement.Speed(placed.Speed),
			NewTokens: int(placed.Brings),
		})
	}
	if !p.follower.FollowsStore() && hasNewerTable(d, p.follower.Versions()) {
		select {
		case p.fetchNow <- struct{}{}:
		default:
		}
	}
}

// newPlacements returns the placements that no earlier digest of the sender's process
// told.
func (p *peer) newPlacements(d *rpc.Digest) []*rpc.Placed {
	if p.placedIncarnation != d.Incarnation {
		p.placedIncarnation, p.placedSerial = d.Incarnation, 0
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

// levelSourceMinAge is how long an instance must have run before another one started
// for its levels to be better than none.
const levelSourceMinAge = 3 * time.Second

// adoptBucketLevels takes the levels of buckets from an instance that has run for
// longer; incarnations are start times in Unix nanoseconds.
func (p *peers) adoptBucketLevels(d *rpc.Digest) {
	if d.Incarnation+uint64(levelSourceMinAge) > p.incarnation {
		return
	}
	for _, s := range d.Spent {
		p.limiter.adoptBucketLevel(s.Customer, s.Level)
	}
}

func spentByCustomer(d *rpc.Digest) map[string]float64 {
	totals := make(map[string]float64, len(d.Spent))
	for _, s := range d.Spent {
		totals[s.Customer] = s.Tokens
	}
	return totals
}

// applyWorkChanges returns work with changes applied.
func applyWorkChanges(work, changes []*rpc.Work) []*rpc.Work {
	out := changes
	for _, w := range work {
		if !slices.ContainsFunc(changes, func(c *rpc.Work) bool { return c.Upstream == w.Upstream }) {
			out = append(out, w)
		}
	}
	return out
}

// sumPeerWork sums the work of the instances that were heard lately.
func (p *peers) sumPeerWork() {
	p.mu.Lock()
	now := p.now()
	limit := workMaxIntervals * max(digestInterval, digestIntervalPerPeer*time.Duration(len(p.known)))
	total := map[string]placement.Work{}
	for _, other := range p.known {
		if other.lastDigest == nil || now.Sub(other.heardAt) > limit {
			continue
		}
		for _, w := range other.lastDigest.Work {
			sum := total[w.Upstream]
			sum.Requests += int(w.Requests)
			sum.PrefillTokens += int(w.Prefill)
			sum.KVTokens += int(w.Memory)
			total[w.Upstream] = sum
		}
	}
	p.mu.Unlock()
	p.placer.setPeerWork(total)
	p.placer.setInstances(p.instances())
}

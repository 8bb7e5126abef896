package edge

import (
	"context"
	"maps"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/fescuestep/fescuestep/pkg/fleet"
	"github.com/fescuestep/fescuestep/pkg/placement"
	"github.com/fescuestep/fescuestep/pkg/quarantine"
	rpc "github.com/fescuestep/fescuestep/rpc/edge"
)

// updateRepeats is the number of digests that carry an update, so that it survives
// the loss of one datagram. If all are lost, the platform's listing of upstreams
// shows the same later.
const updateRepeats = 2

// pendingUpdates holds the events that the next digests announce, as opposed to the
// totals and versions that every full digest repeats.
type pendingUpdates struct {
	loads   []pendingUpdate[*rpc.Load]
	weights []pendingUpdate[*rpc.Weights]
	placed  []pendingUpdate[*rpc.Placed]

	departures []pendingUpdate[*rpc.Departure]

	crashes  []pendingUpdate[*rpc.Crash]
	answered []pendingUpdate[uint64] // parts of prompts
}

// pendingUpdate is an update that is still to be sent.
type pendingUpdate[T any] struct {
	message   T
	remaining int // number of digests that it is still to be sent in
}

// nextUpdates returns the updates for one digest, at most maxUpdates, and removes
// those that have been sent updateRepeats times from the list.
func nextUpdates[T any](list *[]pendingUpdate[T]) []T {
	out := make([]T, 0, min(len(*list), maxUpdates))
	pending := (*list)[:0]
	for _, update := range *list {
		if len(out) < maxUpdates {
			out = append(out, update.message)
			update.remaining--
		}
		if update.remaining > 0 {
			pending = append(pending, update)
		}
	}
	*list = pending
	return out
}

// trackLeader records that the sender of a digest sends load commands to engines,
// until it announces its shutdown. The caller holds mu.
func (p *peers) trackLeader(d *rpc.Digest, now time.Time) {
	for _, l := range d.Loads {
		if l.Ms > 0 && !d.Leaving {
			p.leader, p.leaderActiveAt = d.Sender.Name, now
		}
	}
	if d.Leaving && d.Sender.Name == p.leader {
		p.leaderActiveAt = time.Time{}
	}
}

// lastLeaderActivity returns when another instance last announced engines that it
// had ordered to load weights. It is zero if that instance is shutting down.
func (p *peers) lastLeaderActivity() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leaderActiveAt
}

// requestIntroduction makes the sending goroutine send a full digest, which states the
// address of this instance, to instances that may not know it.
func (p *peers) requestIntroduction() {
	p.sendFull.Store(true)
	p.requestSend()
}

// requestSend makes the sending goroutine send a partial digest without waiting for
// the next full one.
func (p *peers) requestSend() {
	select {
	case p.sendNow <- struct{}{}:
	default:
	}
}

// requestFetch makes the instance check at once whether another one has newer state.
func (p *peers) requestFetch() {
	select {
	case p.fetchNow <- struct{}{}:
	default:
	}
}

// announceState sends the new versions of the tables to the other instances if
// they may fetch state from this one.
func (p *peers) announceState() {
	if p.isRelay.Load() {
		p.requestSend()
	}
}

// announceLoading tells the other instances to send no requests to an engine that
// loads weights, for loadingHold.
func (p *peers) announceLoading(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	if now.Add(loadingRenewBefore).Before(p.loadingUntil[id]) {
		return // announced already
	}
	p.loadingUntil[id] = now.Add(loadingHold)
	load := &rpc.Load{Upstream: id, Ms: uint32(loadingHold.Milliseconds())}
	p.updates.loads = append(p.updates.loads, pendingUpdate[*rpc.Load]{load, updateRepeats})
	p.requestSend()
}

// announceWeights tells the other instances which version of a model's weights an
// engine has loaded, and that it accepts requests again.
func (p *peers) announceWeights(id, model string, version int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.loadingUntil, id)
	p.updates.loads = slices.DeleteFunc(p.updates.loads, func(update pendingUpdate[*rpc.Load]) bool { return update.message.Upstream == id })
	p.updates.loads = append(p.updates.loads, pendingUpdate[*rpc.Load]{&rpc.Load{Upstream: id}, updateRepeats})
	weights := &rpc.Weights{Upstream: id, Model: model, Version: uint32(version)}
	p.updates.weights = append(p.updates.weights, pendingUpdate[*rpc.Weights]{weights, updateRepeats})
	p.requestSend()
}

// announcePlacement tells the other instances which upstream has the shared parts of
// a long prompt cached, or will have computed them soon.
func (p *peers) announcePlacement(announcement placement.Announcement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastPlacedSerial++
	message := &rpc.Placed{
		Serial: p.lastPlacedSerial, Upstream: announcement.Upstream, Keys: announcement.Keys, Saves: uint32(max(0, announcement.NewStoreTokens)),
		ReadyMs: uint32(announcement.ReadyIn.Milliseconds()), Speed: float32(announcement.Speed),
		Brings: uint32(max(0, announcement.NewTokens)),
	}
	p.updates.placed = append(p.updates.placed, pendingUpdate[*rpc.Placed]{message, updateRepeats})
	p.requestSend()
}

// announceDeparture tells the other instances that an upstream has stated that it
// leaves.
func (p *peers) announceDeparture(d fleet.Departure) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.updates.departures = append(p.updates.departures, pendingUpdate[*rpc.Departure]{encodeDeparture(d), updateRepeats})
	p.requestSend()
}

// announceCrash tells the other instances that an upstream ended while it began to
// answer a prompt.
func (p *peers) announceCrash(c quarantine.Crash) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.updates.crashes) >= maxPendingCrashes {
		return // the others learn enough from those that are pending
	}
	p.updates.crashes = append(p.updates.crashes, pendingUpdate[*rpc.Crash]{encodeCrash(c, p.now()), updateRepeats})
	p.requestSend()
}

// announceAnswered tells the other instances that prompts with parts were answered.
func (p *peers) announceAnswered(parts []quarantine.Part) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, part := range encodeParts(parts) {
		p.updates.answered = append(p.updates.answered, pendingUpdate[uint64]{part, updateRepeats})
	}
	p.requestSend()
}

// send sends one digest to every known instance. A partial digest has no spent
// tokens and only the work that has changed.
func (p *peers) send(partial bool) {
	datagrams, targets := p.nextDigest(partial)
	for _, raw := range datagrams {
		for _, target := range targets {
			// An error is ignored: the next digest makes up for a lost one.
			_, _ = p.conn.WriteToUDPAddrPort(raw, target)
		}
	}
}

// nextDigest returns the next digest, encoded as one datagram or more, and the
// addresses to send it to.
func (p *peers) nextDigest(partial bool) ([][]byte, []netip.AddrPort) {
	work := p.placer.ownWork()
	var spent map[string]float64
	if partial {
		work = p.changedWork(work)
	} else {
		spent = p.limiter.spent()
		p.lastSentWork = work
	}
	held := p.follower.Positions()
	follows := p.follower.FollowsStore()
	contents := p.follower.OperatorNumbers()
	quarantines := p.crashes.quarantines()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastSequence++
	now := p.now()
	d := &rpc.Digest{
		Sender: p.self, Incarnation: p.incarnation, Sequence: p.lastSequence, Leaving: p.leaving, Follows: follows, Partial: partial,
	}
	if partial {
		d.Sender = &rpc.Address{Name: p.self.Name}
	} else {
		d.Contents = encodeContents(contents)
		d.Quarantines = encodeQuarantines(quarantines)
	}
	if !partial || !maps.Equal(held, p.lastSentPositions) {
		d.Tables = encodePositions(held)
		p.lastSentPositions = held
	}
	for customer, tokens := range spent {
		d.Spent = append(d.Spent, &rpc.Spending{Customer: customer, Tokens: tokens, Level: p.limiter.bucketLevel(customer)})
	}
	d.Loads = nextUpdates(&p.updates.loads)
	d.Weights = nextUpdates(&p.updates.weights)
	d.Placed = nextUpdates(&p.updates.placed)
	d.Departures = nextUpdates(&p.updates.departures)
	d.Crashes = nextUpdates(&p.updates.crashes)
	d.Answered = nextUpdates(&p.updates.answered)
	for id, w := range work {
		d.Work = append(d.Work, &rpc.Work{
			Upstream: id, Requests: uint32(max(0, w.Requests)), Prefill: uint32(max(0, w.PrefillTokens)), Memory: uint32(max(0, w.KVTokens)),
		})
	}
	return p.encodeDigest(d), p.expirePeers(now)
}

// changedWork returns the work that differs from what was last sent, and records it
// as sent. Work that has ended is listed as none.
func (p *peers) changedWork(work map[string]placement.Work) map[string]placement.Work {
	changed := map[string]placement.Work{}
	for id, w := range work {
		if p.lastSentWork[id] != w {
			changed[id] = w
			p.lastSentWork[id] = w
		}
	}
	for id := range p.lastSentWork {
		if _, ok := work[id]; !ok {
			changed[id] = placement.Work{}
			delete(p.lastSentWork, id)
		}
	}
	return changed
}

// encodeDigest encodes a digest. Work that does not fit into its datagram follows in
// partial digests. The caller holds mu.
func (p *peers) encodeDigest(d *rpc.Digest) [][]byte {
	var out [][]byte
	for {
		work := d.Work
		raw := p.encodeDatagram(d)
		out = append(out, raw)
		work = work[len(d.Work):]
		if len(work) == 0 || raw == nil {
			return out
		}
		p.lastSequence++
		d = &rpc.Digest{
			Sender: &rpc.Address{Name: p.self.Name}, Incarnation: d.Incarnation, Sequence: p.lastSequence,
			Leaving: d.Leaving, Follows: d.Follows, Partial: true, Work: work,
		}
	}
}

// encodeDatagram encodes a digest. It drops work entries until the digest fits into a
// datagram.
func (p *peers) encodeDatagram(d *rpc.Digest) []byte {
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

// expirePeers removes instances that have stopped and returns the digest addresses
// of the others. The caller holds mu.
func (p *peers) expirePeers(now time.Time) []netip.AddrPort {
	var addrs []netip.AddrPort
	for name, other := range p.byName {
		last := other.heardAt
		if last.Before(other.listedAt) {
			last = other.listedAt
		}
		silence := now.Sub(last)
		stopped := other.lastDigest.GetLeaving() && silence > leavingPeerExpiry
		if stopped || silence > peerExpiry {
			delete(p.byName, name)
			p.limiter.removePeer(name)
			p.log.Info("instance removed after silence", "instance", name)
			continue
		}
		addrs = append(addrs, other.udpAddr)
	}
	return addrs
}

// receive applies digests that arrive until ctx ends.
func (p *peers) receive(ctx context.Context) {
	buffer := make([]byte, 4<<10)
	for ctx.Err() == nil {
		n, _, err := p.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() == nil && !errors.Is(err, net.ErrClosed) {
				p.log.Warn("cannot receive a digest", "error", err)
				time.Sleep(socketRetryDelay)
			}
			continue
		}
		d := &rpc.Digest{}
		if err := proto.Unmarshal(buffer[:n], d); err != nil {
			p.log.Warn("cannot decode a digest", "error", err)
			continue
		}
		p.applyDigest(d)
	}
}

// applyDigest applies a digest from another instance. It ignores one that is not
// newer than the last from its sender.
func (p *peers) applyDigest(d *rpc.Digest) {
	p.mu.Lock()
	other := p.senderOf(d)
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
	firstContact := other.heardAt.IsZero()
	if d.Partial && last != nil && last.Incarnation == d.Incarnation {
		d.Work = applyWorkChanges(last.Work, d.Work)
		if len(d.Tables) == 0 {
			d.Tables = last.Tables
		}
	}
	other.heardAt, other.lastDigest = now, d
	name := d.Sender.Name
	if d.Leaving {
		other.lastDigest.Work = nil
	}
	if !d.Partial {
		other.contents = d.Contents
	}
	p.trackLeader(d, now)
	placements := other.newPlacements(d)
	p.mu.Unlock()
	if firstContact {
		p.requestIntroduction()
		if !p.introduced.Load() {
			p.requestFetch()
		}
	}
	if !d.Partial {
		p.limiter.updatePeer(name, d.Incarnation, spentByCustomer(d))
		p.seedBucketLevels(d)
	}
	for _, l := range d.Loads {
		p.placer.SetBusy(l.Upstream, time.Duration(l.Ms)*time.Millisecond)
	}
	for _, w := range d.Weights {
		p.placer.RecordWeights(w.Upstream, w.Model, int(w.Version))
	}
	for _, placed := range placements {
		p.placer.applyAnnouncement(placement.Announcement{
			Upstream: placed.Upstream, Keys: placed.Keys, NewStoreTokens: int(placed.Saves),
			ReadyIn: time.Duration(placed.ReadyMs) * time.Millisecond, Speed: placement.Speed(placed.Speed),
			NewTokens: int(placed.Brings),
		})
	}
	if len(d.Departures) > 0 {
		p.follower.Leave(decodeDepartures(d.Departures)...)
	}
	p.applyCrashes(d)
	if !p.follower.FollowsStore() && hasNewerTable(d, p.follower.Positions()) {
		p.requestFetch()
	}
}

// applyCrashes applies what a digest tells of parts of prompts at which upstreams end.
// Answers come last: what they clear may be in the same digest.
func (p *peers) applyCrashes(d *rpc.Digest) {
	for _, c := range d.Crashes {
		p.crashes.record(decodeCrash(c, p.now()))
	}
	p.crashes.adopt(decodeQuarantines(d.Quarantines))
	if len(d.Answered) > 0 {
		p.crashes.clear(decodeParts(d.Answered))
	}
}

// senderOf returns the entry of a digest's sender, or nil if it is not known. Partial
// digests name it only. The caller holds mu.
func (p *peers) senderOf(d *rpc.Digest) *peer {
	if d.Partial && d.GetSender().GetDigests() == "" {
		return p.byName[d.GetSender().GetName()]
	}
	return p.add(d.GetSender())
}

// newPlacements returns the placements in a digest that no earlier digest of the
// sender's process contained.
func (p *peer) newPlacements(d *rpc.Digest) []*rpc.Placed {
	if p.placedIncarnation != d.Incarnation {
		p.placedIncarnation, p.lastPlacedSerial = d.Incarnation, 0
	}
	var out []*rpc.Placed
	for _, placed := range d.Placed {
		if placed.Serial > p.lastPlacedSerial {
			p.lastPlacedSerial = placed.Serial
			out = append(out, placed)
		}
	}
	return out
}

// seedBucketLevels takes over the bucket levels of customers from an instance that
// has run for longer.
func (p *peers) seedBucketLevels(d *rpc.Digest) {
	if !p.startedBefore(d) {
		return
	}
	for _, s := range d.Spent {
		p.limiter.seedBucketLevel(s.Customer, s.Level)
	}
}

// spentByCustomer returns the tokens spent since the start of the sender.
func spentByCustomer(d *rpc.Digest) map[string]float64 {
	totals := make(map[string]float64, len(d.Spent))
	for _, s := range d.Spent {
		totals[s.Customer] = s.Tokens
	}
	return totals
}

// applyWorkChanges returns work with the entries in changes added, replaced or, if
// they state none, removed.
func applyWorkChanges(work, changes []*rpc.Work) []*rpc.Work {
	out := slices.DeleteFunc(slices.Clone(changes), func(w *rpc.Work) bool {
		return w.Requests == 0 && w.Prefill == 0 && w.Memory == 0
	})
	for _, w := range work {
		if !slices.ContainsFunc(changes, func(c *rpc.Work) bool { return c.Upstream == w.Upstream }) {
			out = append(out, w)
		}
	}
	return out
}

// sumPeerWork passes the total work of the instances whose digests arrived recently
// to the placer.
func (p *peers) sumPeerWork() {
	p.mu.Lock()
	now := p.now()
	maxAge := workMaxIntervals * max(digestInterval, digestIntervalPerPeer*time.Duration(len(p.byName)))
	total := map[string]placement.Work{}
	var ages, live time.Duration
	for _, other := range p.byName {
		if other.lastDigest == nil || now.Sub(other.heardAt) > maxAge {
			continue
		}
		ages += now.Sub(other.heardAt)
		live++
		for _, w := range other.lastDigest.Work {
			sum := total[w.Upstream]
			sum.Requests += int(w.Requests)
			sum.PrefillTokens += int(w.Prefill)
			sum.KVTokens += int(w.Memory)
			total[w.Upstream] = sum
		}
	}
	p.mu.Unlock()
	p.placer.setPeerWork(total, placement.KnowledgeAge{Announced: p.partialDigestDelay(), Others: ages / max(1, live)})
	p.placer.setInstanceCount(p.instanceCount())
}

package edge

import (
	"maps"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fescuestep/fescuestep/pkg/placement"
	rpc "github.com/fescuestep/fescuestep/rpc/edge"
)

// lastLeaderActivity returns when another instance last announced engines that it
// had ordered to load weights. It is zero if that instance is shutting down.
func (p *peers) lastLeaderActivity() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leaderActiveAt
}

// requestSend makes the sending goroutine send a partial digest without waiting for
// the next full one.
func (p *peers) requestSend() {
	select {
	case p.sendNow <- struct{}{}:
	default:
	}
}

// requestIntroducer makes the instance check at once whether another one can tell what the
// store may not.
func (p *peers) requestIntroducer() {
	select {
	case p.firstContact <- struct{}{}:
	default:
	}
}

// requestFetch makes the instance check at once whether to fetch the tables of which the
// sender of a digest knows more.
func (p *peers) requestFetch(d *rpc.Digest) {
	if p.follower.FollowsStore() {
		return
	}
	held := p.follower.Positions()
	for _, t := range p.syncs {
		if held[t.name].Before(tablePosition(d, t.name)) {
			t.signal()
		}
	}
}

// send sends one digest to every known instance. A partial digest has no spent
// tokens and only the work that has changed.
func (p *peers) send(partial bool) {
	p.write(p.nextDigest(partial))
}

// write sends datagrams to instances.
func (p *peers) write(datagrams [][]byte, targets []netip.AddrPort) {
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
	d := p.newDigest()
	work := p.placer.ownWork()
	tables := p.follower.Tables()
	held := positions(tables)
	var limits []rateLimit
	if partial {
		work = p.changedWork(work)
		d.Partial, d.Sender = true, &rpc.Address{Name: p.self.Name}
	} else {
		p.lastSentWork = work
		p.addTotals(d)
		limits = p.nextRateLimits()
	}
	for _, s := range p.shared {
		s.encode(d, partial)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.number(d)
	if !partial || !maps.Equal(held, p.lastSentPositions) {
		d.Tables = encodeTables(tables, now)
		p.lastSentPositions = held
	}
	d.Loads = append(nextUpdates(&p.updates.loads), d.Loads...)
	d.Weights = nextUpdates(&p.updates.weights)
	d.Placed = nextUpdates(&p.updates.placed)
	d.Departures = nextUpdates(&p.updates.departures)
	d.Crashes = p.nextCrashes()
	d.CrashPieces = p.nextCrashPieces(d.Crashes)
	d.Answers = nextUpdates(&p.updates.answers)
	d.RateLimits = encodeRateLimits(append(nextUpdates(&p.updates.rateLimits), limits...), now)
	d.Streams = encodeStreams(p.nextStreams(), now)
	d.Work = encodeWork(work)
	targets := p.expirePeers(now)
	if !partial {
		for _, other := range p.byName {
			other.introducedTo = true
		}
	}
	return p.encodeDigest(d), targets
}

// newDigest returns a digest with what every digest tells of its sender, without a
// sequence number.
func (p *peers) newDigest() *rpc.Digest {
	return &rpc.Digest{Sender: p.self, Incarnation: p.incarnation, Follows: p.follower.FollowsStore(), CutOff: p.cutOff()}
}

// number gives a digest the next sequence number. The caller holds mu.
func (p *peers) number(d *rpc.Digest) {
	p.lastSequence++
	d.Sequence, d.Leaving, d.SentMs = p.lastSequence, p.leaving, p.sentMS()
}

// sentMS returns the time since the start of this instance in ms, at least 1.
func (p *peers) sentMS() uint64 { return uint64(max(p.now().Sub(p.startedAt).Milliseconds(), 1)) }

// addTotals adds the totals and states to a digest that partial digests leave out.
func (p *peers) addTotals(d *rpc.Digest) {
	now := p.now()
	d.Contents = encodeContents(p.follower.OperatorNumbers())
	d.StoreUptime = encodeUptime(p.follower.StoreUptime(), now)
	d.Quarantines = encodeQuarantines(p.crashes.quarantines(), now)
	d.Loads = encodeBrittle(p.placer.brittleStatements(), now)
	for customer, tokens := range p.limiter.spent() {
		d.Spent = append(d.Spent, &rpc.Spending{Customer: customer, Tokens: tokens, Level: p.limiter.bucketLevel(customer)})
	}
}

func encodeWork(work map[string]placement.Work) []*rpc.Work {
	out := make([]*rpc.Work, 0, len(work))
	for id, w := range work {
		out = append(out, &rpc.Work{
			Upstream: id, Requests: uint32(max(0, w.Requests)), Prefill: uint32(max(0, w.PrefillTokens)), Memory: uint32(max(0, w.KVTokens)),
		})
	}
	return out
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
			Leaving: d.Leaving, Follows: d.Follows, Partial: true, CutOff: d.CutOff, Work: work, SentMs: d.SentMs,
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
		silence := now.Sub(other.lastSign())
		stopped := other.lastDigest.GetLeaving() && silence > leavingPeerExpiry
		if stopped || silence > peerExpiry {
			delete(p.byName, name)
			p.work.discount(other)
			p.forget(name)
			p.log.Info("instance removed after silence", "instance", name)
			continue
		}
		addrs = append(addrs, other.udpAddr)
	}
	return addrs
}

// forget drops what an instance told that was removed. The caller holds mu.
func (p *peers) forget(name string) {
	p.limiter.removePeer(name)
	p.placer.removeInstance(name)
	for _, s := range p.shared {
		s.forget(name)
	}
}

// forgetIfRemoved drops what an instance told if it was removed while its digest was
// applied: the process may have stood still between the two.
func (p *peers) forgetIfRemoved(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byName[name] == nil {
		p.forget(name)
	}
}

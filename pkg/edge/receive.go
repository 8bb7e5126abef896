package edge

import (
	"context"
	"math"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/fescuestep/fescuestep/pkg/placement"
	"github.com/fescuestep/fescuestep/pkg/quarantine"
	rpc "github.com/fescuestep/fescuestep/rpc/edge"
)

// maxDatagramBytes is the size of the largest UDP datagram. Whole digests of an instance with
// many customers are larger than maxDigestBytes.
const maxDatagramBytes = 64 << 10

// receive applies digests that arrive until ctx ends.
func (p *peers) receive(ctx context.Context) {
	buffer := make([]byte, maxDatagramBytes)
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
	confirmations := d.Tables
	accepted, ok := p.acceptDigest(d)
	if !ok {
		return
	}
	name := d.Sender.Name
	if accepted.firstContact && !p.introduced.Load() {
		p.requestIntroducer()
	}
	p.follower.NoteStoreUptime(decodeUptime(d.StoreUptime, accepted.sentAt))
	for _, t := range confirmations {
		p.follower.Confirm(t.Name, position(t), decodeConfirmation(t, accepted.sentAt))
	}
	if !d.Partial {
		p.limiter.updatePeer(name, d.Incarnation, spentByCustomer(d))
		p.seedBucketLevels(d)
	}
	p.applyUpstreamState(d, accepted.placements)
	for _, s := range p.shared {
		s.apply(name, d.Incarnation, d)
	}
	p.applyCrashes(d)
	p.applyRateLimits(name, d.RateLimits)
	p.streams.learn(d.Streams)
	p.forgetIfRemoved(name)
	p.requestFetch(d)
}

// acceptedDigest is what the entry of its sender says of a digest.
type acceptedDigest struct {
	firstContact bool          // no digest of the sender arrived before
	sentAt       time.Time     // as far as its delay shows
	placements   []*rpc.Placed // that no earlier digest contained
}

// acceptDigest records a digest in the entry of its sender. ok is false if the sender is
// not known or the digest is not newer than the last one.
func (p *peers) acceptDigest(d *rpc.Digest) (accepted acceptedDigest, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	other := p.senderOf(d)
	if other == nil {
		return acceptedDigest{}, false
	}
	last, now := other.lastDigest, p.now()
	if !other.isNewer(d, now) {
		return acceptedDigest{}, false
	}
	accepted.firstContact = other.heardAt.IsZero()
	if last != nil && d.Incarnation != last.Incarnation {
		other.introducedTo = false // the new process knows nothing of this instance
		p.requestIntroductions()
	}
	accepted.sentAt = other.sentAt(d, last, now)
	continues := d.Partial && last != nil && last.Incarnation == d.Incarnation
	if continues && len(d.Tables) == 0 {
		d.Tables = last.Tables
	}
	p.applyWork(other, d, continues, now)
	other.heardAt, other.lastDigest = now, d
	if !d.Partial {
		other.contents = d.Contents
	}
	p.trackLeader(d, now)
	accepted.placements = other.newPlacements(d)
	return accepted, true
}

// applyUpstreamState applies what a digest tells of upstreams.
func (p *peers) applyUpstreamState(d *rpc.Digest, placements []*rpc.Placed) {
	for _, l := range d.Loads {
		hold := time.Duration(l.Ms) * time.Millisecond
		if l.Brittle > 0 || l.BrittleEnded {
			at := before(l.AgoMs, p.now())
			p.placer.adoptBrittle(placement.BrittleStatement{Upstream: l.Upstream, MaxRefusals: int(min(l.Brittle, math.MaxInt32)), At: at})
		}
		if l.Refused {
			p.placer.applyRefusal(placement.Refusal{Upstream: l.Upstream, Room: int(min(l.Room, math.MaxInt32)), Hold: hold})
			continue
		}
		p.placer.SetBusy(l.Upstream, hold)
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
}

// applyCrashes applies what a digest tells of parts of prompts at which upstreams end.
func (p *peers) applyCrashes(d *rpc.Digest) {
	now := p.now()
	for _, c := range d.Crashes {
		p.crashes.record(decodeCrash(c, now))
	}
	for _, piece := range d.CrashPieces {
		p.crashes.recordPiece(decodeCrashPiece(piece, now))
	}
	for _, a := range d.Answers {
		p.crashes.recordAnswer(quarantine.Part(a.Part), before(a.AgoMs, now))
	}
	p.crashes.adopt(decodeQuarantines(d.Quarantines, now))
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

// trackLeader records that the sender of a digest sends load commands to engines,
// until it announces its shutdown. The caller holds mu.
func (p *peers) trackLeader(d *rpc.Digest, now time.Time) {
	for _, l := range d.Loads {
		if l.Ms > 0 && !l.Refused && !d.Leaving {
			p.leader, p.leaderActiveAt = d.Sender.Name, now
		}
	}
	if d.Leaving && d.Sender.Name == p.leader {
		p.leaderActiveAt = time.Time{}
	}
}

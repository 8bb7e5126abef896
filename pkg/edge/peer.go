package edge

import (
	"net/netip"
	"time"

	"github.com/fescuestep/fescuestep/pkg/dissemination"
	"github.com/fescuestep/fescuestep/pkg/placement"
	rpc "github.com/fescuestep/fescuestep/rpc/edge"
)

// peer is what is known about another instance.
type peer struct {
	addr         *rpc.Address
	udpAddr      netip.AddrPort // destination of digests
	controlAddr  string         // IP:port for State calls; empty: takes none
	heardAt      time.Time      // arrival of the last digest; zero: none has arrived
	listedAt     time.Time      // when the address was first known
	lastDigest   *rpc.Digest    // nil: none has arrived
	transit      dissemination.Transit
	backoffUntil time.Time      // no state is requested before, since a State call failed
	contents     []*rpc.Content // of the operator's rows, from the last full digest
	introducedTo bool           // it was sent a full digest or an introduction since its process is known

	work        map[string]placement.Work // by upstream, from the last digests
	workCounted bool                      // the work counts, since a digest arrived recently
	workHeardAt time.Time                 // arrival of the last digest, as counted

	placedIncarnation uint64 // incarnation that lastPlacedSerial belongs to
	lastPlacedSerial  uint64 // serial number of the last placement received
}

// lastDigestFollows reports whether an instance told last that it follows the store. It is
// false for nil, an instance that was removed meanwhile.
func (p *peer) lastDigestFollows() bool { return p != nil && p.lastDigest.GetFollows() }

// lateDigestTime is how long the datagrams of a process may arrive after those of the next
// one. Incarnations are start times, so that one that is lower is usually late; after a
// silence of that time the clock was ahead at the start before.
const lateDigestTime = relayTimeout

// isNewer reports whether a digest is newer than the last one.
func (p *peer) isNewer(d *rpc.Digest, now time.Time) bool {
	last := p.lastDigest
	switch {
	case last == nil || d.Incarnation > last.Incarnation:
		return true
	case d.Incarnation < last.Incarnation:
		return now.Sub(p.heardAt) > lateDigestTime
	}
	return d.Sequence > last.Sequence
}

// lastSign returns when the instance was last heard or, if that is later, listed.
func (p *peer) lastSign() time.Time {
	if p.heardAt.After(p.listedAt) {
		return p.heardAt
	}
	return p.listedAt
}

// sentAt returns when a digest that has just arrived from the instance was sent, as far as
// its delay shows. last is the one before it, or nil.
func (p *peer) sentAt(d, last *rpc.Digest, now time.Time) time.Time {
	if last.GetIncarnation() != d.Incarnation {
		p.transit = dissemination.Transit{}
	}
	if d.SentMs == 0 {
		return now
	}
	return now.Add(-p.transit.Delay(time.Duration(d.SentMs)*time.Millisecond, now))
}

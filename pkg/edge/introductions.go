package edge

import (
	"net/netip"
	"time"
)

// introductionDelay batches introductions. Many are due at once when all instances
// start, and a starting instance waits up to introductionTimeout for those of others.
const introductionDelay = 20 * time.Millisecond

// requestIntroductions makes the sending goroutine send an introduction to each instance
// that has had none and no full digest either: those that became known, by a list or by
// their digest, and those whose process has restarted. A lost introduction is not
// repeated: the next full digest tells the same.
func (p *peers) requestIntroductions() {
	select {
	case p.introduce <- struct{}{}:
	default:
	}
}

func (p *peers) sendIntroductions() { p.write(p.nextIntroductions()) }

// nextIntroductions returns an introduction, encoded as one datagram or more, and the
// addresses that it is due to. It states the address of this instance and its totals, and
// leaves out what is told to all instances in turn (updates, rate limits and shared
// state). The work is that which the others were told last, since partial digests tell
// changes from there.
func (p *peers) nextIntroductions() ([][]byte, []netip.AddrPort) {
	p.mu.Lock()
	var targets []netip.AddrPort
	for _, other := range p.byName {
		if !other.introducedTo {
			other.introducedTo = true
			targets = append(targets, other.udpAddr)
		}
	}
	p.mu.Unlock()
	if len(targets) == 0 {
		return nil, nil
	}
	d := p.newDigest()
	p.addTotals(d)
	d.Tables = encodeTables(p.follower.Tables(), p.now())
	d.Work = encodeWork(p.lastSentWork)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.number(d)
	return p.encodeDigest(d), targets
}

package fleetrate

import "time"

// peer is what is known of another instance. It is silent before its first report and
// from peerTimeout after its last one; an equal share of every rate counts as spent then.
type peer struct {
	incarnation uint64             // 0: no report yet
	updatedAt   time.Time          // last report; zero if there was none
	reported    map[string]float64 // by customer: total spent, from the last report
	spendRate   map[string]float64 // by customer: tokens per second between the last two reports
	silent      bool
	shareAt     map[string]float64 // by customer: the bucket's shareTotal when the peer became silent
}

func (p *peer) forget(customer string) {
	delete(p.spendRate, customer)
	delete(p.shareAt, customer)
}

// silentAt returns when a peer that is not silent becomes so.
func (p *peer) silentAt() time.Time { return p.updatedAt.Add(peerTimeout) }

// AddPeer adds an instance that may spend tokens before its first report. It does
// nothing if the peer is known.
func (l *Limiter) AddPeer(instance string, now time.Time) {
	if l.peers[instance] != nil {
		return
	}
	l.Refill(now)
	p := &peer{reported: map[string]float64{}, spendRate: map[string]float64{}}
	l.peers[instance] = p
	l.silence(p)
}

// RemovePeer removes an instance that has stopped. It does nothing if the peer is not
// known.
func (l *Limiter) RemovePeer(instance string, now time.Time) {
	p := l.peers[instance]
	if p == nil {
		return
	}
	l.Refill(now)
	if p.silent {
		l.silent--
	} else {
		l.addRates(p, -1)
	}
	delete(l.peers, instance)
}

// silence makes a peer silent. All buckets must be up to date.
func (l *Limiter) silence(p *peer) {
	p.silent, p.shareAt = true, make(map[string]float64, len(l.buckets))
	l.silent++
	for customer, b := range l.buckets {
		p.shareAt[customer] = b.shareTotal
	}
}

// addRates adds the peer's rates, times sign, to those of the buckets.
func (l *Limiter) addRates(p *peer, sign float64) {
	for customer, rate := range p.spendRate {
		if b := l.buckets[customer]; b != nil {
			b.peerRate += sign * rate
		}
	}
}

func (l *Limiter) checkAt(at time.Time) {
	if l.nextCheck.IsZero() || at.Before(l.nextCheck) {
		l.nextCheck = at
	}
}

// checkPeers makes peers silent whose reports have timed out, in the order in which that
// was due, with all buckets brought up to that time.
func (l *Limiter) checkPeers(now time.Time) {
	for !l.nextCheck.IsZero() && now.After(l.nextCheck) {
		due := l.nextCheck
		l.nextCheck = time.Time{}
		refilled := false
		for _, p := range l.peers {
			if p.silent {
				continue
			}
			if at := p.silentAt(); at.After(due) {
				l.checkAt(at)
				continue
			}
			if !refilled {
				for _, b := range l.buckets {
					l.advance(b, due)
				}
				refilled = true
			}
			l.addRates(p, -1)
			l.silence(p)
		}
	}
}

// UpdatePeer applies a peer's report: the tokens by customer that it has spent
// since its start. The incarnation is different after each start of the peer and
// never 0. The report of an instance that is no peer is ignored: it may arrive after
// RemovePeer.
func (l *Limiter) UpdatePeer(instance string, incarnation uint64, totals map[string]float64, now time.Time) {
	l.checkPeers(now)
	p := l.peers[instance]
	if p == nil {
		return
	}
	first := p.incarnation == 0
	if p.incarnation != incarnation {
		p.incarnation = incarnation
		if !first {
			p.reported = nil
		}
	}
	if p.silent {
		l.endSilence(p, first, totals, now)
	} else {
		l.applyReport(p, totals, now)
	}
	p.reported, p.updatedAt = totals, now
	l.checkAt(p.silentAt())
}

// applyReport corrects the estimate of what a peer has spent since its last report and
// measures its rates anew.
func (l *Limiter) applyReport(p *peer, totals map[string]float64, now time.Time) {
	elapsed := max(0, now.Sub(p.updatedAt).Seconds())
	for customer, total := range totals {
		b := l.buckets[customer]
		spent, rate := total-p.reported[customer], p.spendRate[customer]
		if b == nil || (spent == 0 && rate == 0) {
			continue
		}
		l.advance(b, now)
		b.level = min(b.rate.Burst, b.level-spent+rate*elapsed)
		if elapsed > 0 {
			p.spendRate[customer] = max(0, spent/elapsed)
			b.peerRate += p.spendRate[customer] - rate
		}
	}
}

// endSilence does the same for a peer that was silent. How much of the totals of its
// first report was spent since AddPeer is unknown, so the estimate stays subtracted from
// the levels then.
func (l *Limiter) endSilence(p *peer, first bool, totals map[string]float64, now time.Time) {
	for _, b := range l.buckets {
		l.advance(b, now)
	}
	elapsed := max(peerTimeout, now.Sub(p.updatedAt)).Seconds()
	for customer, b := range l.buckets {
		total, told := totals[customer]
		switch {
		case first:
			p.spendRate[customer] = b.rate.PerSecond / float64(len(l.peers)+1)
		case told:
			spent := total - p.reported[customer]
			estimated := p.spendRate[customer]*peerTimeout.Seconds() + b.shareTotal - p.shareAt[customer]
			p.spendRate[customer] = max(0, spent/elapsed)
			b.level = min(b.rate.Burst, b.level-spent+estimated)
		}
	}
	p.silent, p.shareAt = false, nil
	l.silent--
	l.addRates(p, 1)
}

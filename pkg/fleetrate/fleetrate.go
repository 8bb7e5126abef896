// Package fleetrate limits customers to a rate over all instances. Every
// instance keeps the bucket of the whole fleet: it takes off what it admits
// itself and what the others report as spent. Of an instance that is not heard
// it assumes that it spends an equal share, and corrects this once it is heard
// again, so that instances that cannot talk still keep to the rate together.
// It does no I/O and is not safe for concurrent use.
package fleetrate

import (
	"time"

	"github.com/zeebo/xxh3"
)

const (
	// peerTimeout is how long an instance may be unheard before its spending is
	// assumed.
	peerTimeout = 1500 * time.Millisecond
	// peerExpiry ends the assumption: an instance that is unheard for so long
	// has been removed.
	peerExpiry = 60 * time.Second
)

// Rate is a customer's limit.
type Rate struct {
	PerSecond float64
	Burst     float64
}

type bucket struct {
	rate       Rate
	level      float64 // of the fleet; may be negative: a request is admitted while it is positive
	refilledAt time.Time
	spent      float64 // by this instance since its start

	seeded bool // the level was taken from an instance that ran before

	scarce     bool    // the level is low, so that each instance keeps to a share
	shareLevel float64 // of this instance while tokens are scarce; may be negative
}

type peer struct {
	incarnation uint64
	addedAt     time.Time
	updatedAt   time.Time          // zero: not yet
	reported    map[string]float64 // spent, as last reported
	spendRate   map[string]float64 // tokens per second between the last two reports
	estimated   map[string]float64 // taken off since the last report
}

func newPeer(now time.Time) *peer {
	return &peer{addedAt: now, reported: map[string]float64{}, spendRate: map[string]float64{}, estimated: map[string]float64{}}
}

const (
	// scarceBelow and plentyAbove are parts of a burst: below the first, each
	// instance admits from an equal share of the rate, so that not all of them
	// admit a request at the moment at which the bucket has tokens again.
	scarceBelow = 0.3
	plentyAbove = 0.6
)

// Limiter holds the buckets of all customers.
type Limiter struct {
	startOffset float64 // of this instance's first admission among all, in [0, 1)
	buckets     map[string]*bucket
	peers       map[string]*peer
}

// New returns the limiter of the instance self, without customers.
func New(self string) *Limiter {
	const steps = 1 << 16
	offset := float64(xxh3.HashString(self)%steps) / steps
	return &Limiter{startOffset: offset, buckets: map[string]*bucket{}, peers: map[string]*peer{}}
}

// Configure replaces the rates. Buckets of customers that stay keep their
// level.
func (l *Limiter) Configure(rates map[string]Rate, now time.Time) {
	for name := range l.buckets {
		if _, ok := rates[name]; !ok {
			delete(l.buckets, name)
		}
	}
	for name, rate := range rates {
		b := l.buckets[name]
		if b == nil {
			// Empty: a started instance does not know what was spent before.
			l.buckets[name] = &bucket{rate: rate, refilledAt: now}
			continue
		}
		l.refill(name, b, now)
		b.rate = rate
		b.level = min(b.level, rate.Burst)
	}
}

// AddPeer names an instance that may spend though it was not heard yet.
func (l *Limiter) AddPeer(name string, now time.Time) {
	if l.peers[name] == nil {
		l.peers[name] = newPeer(now)
	}
}

// RemovePeer forgets an instance that has stopped.
func (l *Limiter) RemovePeer(name string) { delete(l.peers, name) }

// SeedLevel takes the level of a customer's bucket from an instance that ran
// before this one started, once: a started instance does not know what was spent.
func (l *Limiter) SeedLevel(name string, level float64, now time.Time) {
	b := l.buckets[name]
	if b == nil || b.seeded {
		return
	}
	l.refill(name, b, now)
	b.seeded = true
	b.level = min(b.rate.Burst, level)
}

// UpdatePeer records what an instance has spent since its start.
func (l *Limiter) UpdatePeer(name string, incarnation uint64, totals map[string]float64, now time.Time) {
	l.AddPeer(name, now)
	p := l.peers[name]
	for customer, b := range l.buckets {
		l.refill(customer, b, now)
	}
	if p.incarnation == 0 {
		// What it spent before is not known; what was assumed stays taken off.
		p.incarnation, p.reported = incarnation, totals
		clear(p.estimated)
		for customer, b := range l.buckets {
			p.spendRate[customer] = b.rate.PerSecond / float64(len(l.peers)+1)
		}
		p.updatedAt = now
		return
	}
	if p.incarnation != incarnation {
		p.incarnation, p.reported = incarnation, map[string]float64{}
	}
	elapsed := now.Sub(p.updatedAt).Seconds()
	for customer, total := range totals {
		b := l.buckets[customer]
		if b == nil {
			continue
		}
		spent := total - p.reported[customer]
		if elapsed > 0 {
			p.spendRate[customer] = max(0, spent/elapsed)
		}
		b.level = min(b.rate.Burst, b.level-spent+p.estimated[customer])
	}
	p.reported = totals
	p.updatedAt = now
	clear(p.estimated)
}

// refill adds what the time since the last call brought and takes off what the
// others are assumed to have spent meanwhile: as much as before, or an equal
// share if they are silent.
func (l *Limiter) refill(name string, b *bucket, now time.Time) {
	elapsed := now.Sub(b.refilledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	b.refilledAt = now
	earned := b.rate.PerSecond * elapsed
	share := earned / float64(len(l.peers)+1)
	taken := 0.0
	for id, p := range l.peers {
		unheard := now.Sub(p.updatedAt)
		if min(unheard, now.Sub(p.addedAt)) > peerExpiry {
			delete(l.peers, id)
			continue
		}
		spent := p.spendRate[name] * elapsed
		if unheard > peerTimeout {
			spent = share
		}
		p.estimated[name] += spent
		taken += spent
	}
	b.level = min(b.rate.Burst, b.level+earned-taken)
	b.shareLevel = min(b.rate.Burst/float64(len(l.peers)+1), b.shareLevel+share)
}

// admits reports whether a request of that many tokens may run. While tokens are
// scarce the instances begin one after the other: each waits for its offset's
// part of the request.
func (l *Limiter) admits(b *bucket, tokens float64) bool {
	switch {
	case b.level > plentyAbove*b.rate.Burst || len(l.peers) == 0:
		b.scarce = false
	case !b.scarce && b.level < scarceBelow*b.rate.Burst:
		b.scarce = true
		b.shareLevel = -l.startOffset * tokens
	}
	return b.level > 0 && (!b.scarce || b.shareLevel > 0 || !l.exceedsBurst(b, tokens))
}

// exceedsBurst reports whether one such request at each instance would be more than a
// burst.
func (l *Limiter) exceedsBurst(b *bucket, tokens float64) bool {
	return tokens*float64(len(l.peers)+1) > b.rate.Burst
}

// retryDelay returns when a refused request may be admitted.
func (l *Limiter) retryDelay(b *bucket) time.Duration {
	seconds := max(0, 1-b.level) / b.rate.PerSecond
	if b.scarce {
		perInstance := b.rate.PerSecond / float64(len(l.peers)+1)
		seconds = max(seconds, max(0, 1-b.shareLevel)/perInstance)
	}
	return time.Duration(seconds * float64(time.Second))
}

// Take admits tokens of a customer. If it refuses, it returns the time after
// which the bucket is positive again. Customers without a rate are admitted.
func (l *Limiter) Take(name string, tokens float64, now time.Time) (ok bool, retryAfter time.Duration) {
	b := l.buckets[name]
	if b == nil || b.rate.PerSecond <= 0 {
		return true, 0
	}
	l.refill(name, b, now)
	if !l.admits(b, tokens) {
		return false, l.retryDelay(b)
	}
	b.level -= tokens
	b.shareLevel -= tokens
	b.spent += tokens
	return true, 0
}

// Refund gives back tokens of a request that did not run.
func (l *Limiter) Refund(name string, tokens float64) {
	b := l.buckets[name]
	if b == nil || b.rate.PerSecond <= 0 {
		return
	}
	b.level = min(b.rate.Burst, b.level+tokens)
	b.shareLevel += tokens
	b.spent -= tokens
}

// Spent returns what this instance has spent since its start by customer.
func (l *Limiter) Spent() map[string]float64 {
	out := make(map[string]float64, len(l.buckets))
	for name, b := range l.buckets {
		out[name] = b.spent
	}
	return out
}

// Level returns the tokens in a customer's bucket, for metrics.
func (l *Limiter) Level(name string) float64 {
	if b := l.buckets[name]; b != nil {
		return b.level
	}
	return 0
}

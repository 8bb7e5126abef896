// Package fleetrate implements a distributed token bucket that limits customers
// to a rate over all instances. Every instance keeps a copy of each customer's
// fleet-wide bucket and subtracts what it admits itself and what its peers report
// as spent. Between reports, a peer's spending is estimated; a peer whose reports
// time out is assumed to spend an equal share. The next report corrects the
// estimate. Partitioned instances thus still keep to the rate together.
//
// The caller decides which instances are peers, with AddPeer and RemovePeer. However long
// a peer is silent, it counts until it is removed.
//
// The package does no I/O and is not safe for concurrent use.
package fleetrate

import (
	"time"

	"github.com/zeebo/xxh3"
)

// peerTimeout is how long after its last report a peer is assumed to spend an equal share
// instead of its last measured rate.
const peerTimeout = 1500 * time.Millisecond

// Rate is a customer's limit over all instances.
type Rate struct {
	PerSecond float64 // tokens per second; a value of 0 or less means no limit
	Burst     float64 // capacity of the bucket in tokens
}

type bucket struct {
	rate       Rate
	level      float64 // tokens left over all instances; negative after a request larger than the level
	refilledAt time.Time
	spent      float64 // tokens admitted by this instance since its start

	seeded bool // SeedLevel was applied

	scarce     bool    // the level is low: each instance is limited to its share of the rate
	shareLevel float64 // tokens left of this instance's share; may be negative

	peerRate   float64 // tokens per second of all peers that are not silent, by their last reports
	shareTotal float64 // tokens of one equal share since the bucket was added
}

const (
	// scarceBelow and plentyAbove are fractions of the burst. Below scarceBelow,
	// each instance is limited to an equal share of the rate, so that not all
	// instances admit a request at the moment when the bucket becomes positive
	// again. Above plentyAbove, the limit per instance is lifted.
	scarceBelow = 0.3
	plentyAbove = 0.6
)

// Limiter holds the buckets of all customers. A bucket is brought up to date only when
// it is used or when the rate changes at which it empties, so that a report costs nothing
// for customers without requests, however many peers there are.
type Limiter struct {
	startOffset float64            // delays the first admission from the share, as a fraction of the request, in [0, 1)
	buckets     map[string]*bucket // by customer
	peers       map[string]*peer   // by instance
	silent      int                // number of peers that are silent
	nextCheck   time.Time          // no peer becomes silent before; zero: none will
}

// New returns a limiter without customers for the instance named self.
func New(self string) *Limiter {
	const steps = 1 << 16
	offset := float64(xxh3.HashString(self)%steps) / steps
	return &Limiter{startOffset: offset, buckets: map[string]*bucket{}, peers: map[string]*peer{}}
}

// Configure replaces the rates by customer. The buckets of customers that remain
// keep their level, up to the new burst.
func (l *Limiter) Configure(rates map[string]Rate, now time.Time) {
	l.Refill(now)
	for customer := range l.buckets {
		if _, ok := rates[customer]; !ok {
			delete(l.buckets, customer)
			for _, p := range l.peers {
				p.forget(customer)
			}
		}
	}
	for customer, rate := range rates {
		b := l.buckets[customer]
		if b == nil {
			// The bucket starts empty because a newly started instance does not
			// know what the fleet has spent before.
			l.buckets[customer] = &bucket{rate: rate, refilledAt: now}
			continue
		}
		b.rate = rate
		b.level = min(b.level, rate.Burst)
	}
}

// SeedLevel sets the level of a customer's bucket to that of an instance that ran
// before this one started, because a newly started instance does not know what
// was spent. Only the first call for a bucket has an effect.
func (l *Limiter) SeedLevel(customer string, level float64, now time.Time) {
	b := l.buckets[customer]
	if b == nil || b.seeded {
		return
	}
	l.refill(b, now)
	b.seeded = true
	b.level = min(b.rate.Burst, level)
}

// Refill brings all buckets up to date.
func (l *Limiter) Refill(now time.Time) {
	l.checkPeers(now)
	for _, b := range l.buckets {
		l.advance(b, now)
	}
}

// refill brings one bucket up to date.
func (l *Limiter) refill(b *bucket, now time.Time) {
	l.checkPeers(now)
	l.advance(b, now)
}

// advance adds the tokens earned since the last call and subtracts the estimated
// spending of the peers: their last measured rate, or an equal share for silent ones.
// Silent peers and their number must not have changed since.
func (l *Limiter) advance(b *bucket, now time.Time) {
	elapsed := now.Sub(b.refilledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	b.refilledAt = now
	earned := b.rate.PerSecond * elapsed
	share := earned / float64(len(l.peers)+1)
	b.level = min(b.rate.Burst, b.level+earned-b.peerRate*elapsed-share*float64(l.silent))
	b.shareLevel = min(b.rate.Burst/float64(len(l.peers)+1), b.shareLevel+share)
	b.shareTotal += share
}

// admits reports whether a request of that many tokens may run. When tokens
// become scarce, each instance's share starts at a different deficit, its
// startOffset times the request, so that the instances admit one after another.
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

// exceedsBurst reports whether one request of that many tokens on each instance
// would exceed the burst.
func (l *Limiter) exceedsBurst(b *bucket, tokens float64) bool {
	return tokens*float64(len(l.peers)+1) > b.rate.Burst
}

// retryDelay returns the time after which a refused request may be admitted.
func (l *Limiter) retryDelay(b *bucket) time.Duration {
	seconds := max(0, 1-b.level) / b.rate.PerSecond
	if b.scarce {
		perInstance := b.rate.PerSecond / float64(len(l.peers)+1)
		seconds = max(seconds, max(0, 1-b.shareLevel)/perInstance)
	}
	return time.Duration(seconds * float64(time.Second))
}

// Take takes tokens from a customer's bucket for a request. If the request is
// refused, it returns the time after which it may be admitted. Requests of
// customers without a rate are always admitted.
func (l *Limiter) Take(customer string, tokens float64, now time.Time) (ok bool, retryAfter time.Duration) {
	b := l.buckets[customer]
	if b == nil || b.rate.PerSecond <= 0 {
		return true, 0
	}
	l.refill(b, now)
	if !l.admits(b, tokens) {
		return false, l.retryDelay(b)
	}
	b.level -= tokens
	b.shareLevel -= tokens
	b.spent += tokens
	return true, 0
}

// Refund puts back the tokens of a request that did not run.
func (l *Limiter) Refund(customer string, tokens float64) {
	b := l.buckets[customer]
	if b == nil || b.rate.PerSecond <= 0 {
		return
	}
	b.level = min(b.rate.Burst, b.level+tokens)
	b.shareLevel += tokens
	b.spent -= tokens
}

// Spent returns the tokens by customer that this instance has spent since its
// start, as reported to the peers.
func (l *Limiter) Spent() map[string]float64 {
	out := make(map[string]float64, len(l.buckets))
	for customer, b := range l.buckets {
		out[customer] = b.spent
	}
	return out
}

// Level returns the tokens in a customer's bucket as of its last refill. It is 0
// for customers without a bucket.
func (l *Limiter) Level(customer string) float64 {
	if b := l.buckets[customer]; b != nil {
		return b.level
	}
	return 0
}

// Package quota divides each customer's rate and burst among share holders and
// charges requests against grants. docs/decisions-state.md explains why the sum
// of what is admitted never exceeds rate times time plus burst.
package quota

import (
	"slices"
	"time"
)

// LeaseDuration is how long a grant may be spent, on the clock of the instance that
// asked for it from before it asked, and on the holder's clock from the grant.
const LeaseDuration = time.Second

// Share is one holder's part of a customer's quota.
type Share struct {
	Rate  float64 // tokens per second
	Burst float64 // tokens
}

// bucket is one holder's token bucket for one customer. It maintains
// level + outstanding <= burst, where outstanding are granted tokens that may
// not have been spent yet.
type bucket struct {
	share       Share
	level       float64
	outstanding float64
	refilledAt  time.Duration // level is as of this time
	grants      []grant       // outstanding, oldest first
	history     headroomHistory
}

type grant struct {
	number      uint64
	outstanding float64 // tokens that may be unspent
	expiresAt   time.Duration
}

// advance refills the bucket up to now and ends the leases that expired. The
// headroom before whatever happens at a time is recorded just before it: the
// minimum since a charge must not include the moment before the charge.
func (b *bucket) advance(now time.Duration) {
	for len(b.grants) > 0 && b.grants[0].expiresAt <= now {
		end := b.grants[0].expiresAt
		b.refill(end)
		b.history.record(end-1, b.headroom())
		b.expireGrants(end)
		b.history.record(end, b.headroom())
	}
	b.refill(now)
	b.history.record(now-1, b.headroom())
}

func (b *bucket) expireGrants(end time.Duration) {
	n := 0
	for n < len(b.grants) && b.grants[n].expiresAt <= end {
		b.outstanding -= b.grants[n].outstanding
		n++
	}
	b.grants = slices.Delete(b.grants, 0, n)
	if len(b.grants) == 0 {
		b.outstanding = 0 // drops rounding errors
	}
}

func (b *bucket) refill(now time.Duration) {
	if now <= b.refilledAt {
		return
	}
	b.level += b.share.Rate * (now - b.refilledAt).Seconds()
	b.refilledAt = now
	b.clamp()
}

func (b *bucket) clamp() {
	b.level = max(0, min(b.level, b.share.Burst-b.outstanding))
}

func (b *bucket) headroom() float64 { return b.share.Burst - b.level - b.outstanding }

// setShare changes the share from now on.
func (b *bucket) setShare(now time.Duration, s Share) {
	if s == b.share {
		return
	}
	b.advance(now)
	b.share = s
	b.clamp()
	b.history.record(now, b.headroom())
}

// deduct deducts up to want tokens, whole tokens only.
func (b *bucket) deduct(now time.Duration, want int) int {
	b.advance(now)
	got := min(want, int(b.level))
	if got <= 0 {
		return 0
	}
	b.level -= float64(got)
	return got
}

// issueGrant deducts up to want tokens and tracks them as outstanding.
func (b *bucket) issueGrant(now time.Duration, want int, number uint64, lease time.Duration) int {
	got := b.deduct(now, want)
	if got > 0 {
		b.outstanding += float64(got)
		b.grants = append(b.grants, grant{number, float64(got), now + lease})
	}
	return got
}

// settle ends the outstanding state of a part of a grant: unused tokens go back
// to the level, spent ones do not. It reports the unused tokens that were not
// outstanding any more.
func (b *bucket) settle(now time.Duration, number uint64, unused, spent float64) (rest float64) {
	b.advance(now)
	i, ok := slices.BinarySearchFunc(b.grants, number, func(g grant, n uint64) int {
		if g.number < n {
			return -1
		}
		return int(min(g.number-n, 1))
	})
	if !ok {
		return unused
	}
	g := &b.grants[i]
	back := min(unused, g.outstanding)
	gone := min(spent, g.outstanding-back)
	g.outstanding -= back + gone
	b.outstanding -= back + gone
	b.level += back
	b.clamp()
	b.history.record(now, b.headroom())
	return unused - back
}

// credit gives back tokens that stopped being outstanding at since. More than
// the smallest headroom since then would have overflowed the bucket, had they
// been there all the time.
func (b *bucket) credit(now, since time.Duration, tokens float64) {
	if since > now {
		return
	}
	b.advance(now)
	back := min(tokens, b.history.minSince(since, b.headroom()))
	b.history.consume(since, back)
	b.level += back
	b.clamp()
	b.history.record(now, b.headroom())
}

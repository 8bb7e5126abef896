// Package quota divides each customer's rate and burst among share holders and
// charges requests against the holders' own shares and against grants from other
// holders. docs/decisions-state.md explains why the total admitted over any time
// never exceeds rate times time plus burst.
package quota

import (
	"slices"
	"time"
)

// LeaseDuration is how long a grant may be spent. The holder counts it from the
// grant on its own clock; the instance that asked counts it on its own clock from
// the time before it sent the request, which is earlier.
const LeaseDuration = time.Second

// Share is one holder's part of a customer's quota.
type Share struct {
	Rate  float64 // tokens per second
	Burst float64 // tokens
}

// bucket is one holder's token bucket for one customer. It maintains
// level + outstanding <= share.Burst, where outstanding counts granted tokens that
// may not have been spent yet.
type bucket struct {
	share       Share
	level       float64
	outstanding float64
	refilledAt  time.Duration // time at which level was computed
	grants      []grant       // unexpired, oldest first
	history     headroomHistory
}

// grant is a grant to another instance whose lease has not ended.
type grant struct {
	number      uint64
	outstanding float64 // tokens that may not have been spent yet
	expiresAt   time.Duration
}

// advance refills the bucket up to now and removes the grants whose leases have
// expired. It records the headroom before an event with a time 1 ns earlier than
// the event, because the minimum since a charge must not include the headroom
// before that charge.
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

// expireGrants removes the grants whose leases expire at or before end.
func (b *bucket) expireGrants(end time.Duration) {
	n := 0
	for n < len(b.grants) && b.grants[n].expiresAt <= end {
		b.outstanding -= b.grants[n].outstanding
		n++
	}
	b.grants = slices.Delete(b.grants, 0, n)
	if len(b.grants) == 0 {
		b.outstanding = 0 // discards accumulated rounding errors
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

// clamp limits level to what the burst leaves beside the outstanding tokens.
func (b *bucket) clamp() {
	b.level = max(0, min(b.level, b.share.Burst-b.outstanding))
}

// headroom returns how many tokens the bucket could take before it overflows.
func (b *bucket) headroom() float64 { return b.share.Burst - b.level - b.outstanding }

// setShare replaces the share as of now.
func (b *bucket) setShare(now time.Duration, s Share) {
	if s == b.share {
		return
	}
	b.advance(now)
	b.share = s
	b.clamp()
	b.history.record(now, b.headroom())
}

// deduct removes up to want whole tokens and returns how many it removed.
func (b *bucket) deduct(now time.Duration, want int) int {
	b.advance(now)
	got := min(want, int(b.level))
	if got <= 0 {
		return 0
	}
	b.level -= float64(got)
	return got
}

// issueGrant deducts up to want tokens, tracks them as outstanding until the lease
// expires, and returns how many there are.
func (b *bucket) issueGrant(now time.Duration, want int, number uint64, lease time.Duration) int {
	got := b.deduct(now, want)
	if got > 0 {
		b.outstanding += float64(got)
		b.grants = append(b.grants, grant{number, float64(got), now + lease})
	}
	return got
}

// settle stops counting a part of a grant as outstanding: unused tokens are added
// to the level, spent ones are not. It returns the number of unused tokens that
// were no longer outstanding.
func (b *bucket) settle(now time.Duration, number uint64, unused, spent float64) (late float64) {
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
	returned := min(unused, g.outstanding)
	charged := min(spent, g.outstanding-returned)
	g.outstanding -= returned + charged
	b.outstanding -= returned + charged
	b.level += returned
	b.clamp()
	b.history.record(now, b.headroom())
	return unused - returned
}

// credit adds tokens that stopped being outstanding at since. It adds at most the
// smallest headroom since then: any more would have overflowed the bucket if the
// tokens had been in it all that time.
func (b *bucket) credit(now, since time.Duration, tokens float64) {
	if since > now {
		return
	}
	b.advance(now)
	credited := min(tokens, b.history.minSince(since, b.headroom()))
	b.history.consume(since, credited)
	b.level += credited
	b.clamp()
	b.history.record(now, b.headroom())
}

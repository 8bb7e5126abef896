package quota

import (
	"slices"
	"time"
)

// LeaseMargin is how long before the end of a lease an entry instance stops using
// the grant, to allow for drift between its clock and the holder's.
const LeaseMargin = 25 * time.Millisecond

// GrantID identifies a grant.
type GrantID struct {
	Holder      string // member ID
	Incarnation string // holder's
	Number      uint64
	GrantedAt   time.Duration // holder's clock
}

// SpentSince returns the earliest time at which spent tokens of the grant may have
// stopped being outstanding at the holder, on the holder's clock. processed is the
// time at which the holder processed the report that they are spent, 0 if unknown.
func (id GrantID) SpentSince(processed, lease time.Duration) time.Duration {
	if processed <= 0 {
		return id.GrantedAt
	}
	return min(processed, id.GrantedAt+lease)
}

// GrantPart is some or all of the tokens of one grant.
type GrantPart struct {
	GrantID
	Tokens int
}

type pooledGrant struct {
	GrantPart
	expiresAt time.Duration // on the clock of the entry instance
}

// seenGrant records a grant until its lease ends, even if it has been spent, so that
// a repeated answer does not add it again.
type seenGrant struct {
	id        GrantID
	expiresAt time.Duration
}

// GrantPool holds the granted, unspent tokens of one customer at an entry instance
// (the instance that received the requests). It is not safe for concurrent use.
type GrantPool struct {
	lease  time.Duration
	grants []pooledGrant // in the order in which they expire
	seen   []seenGrant
}

// NewGrantPool returns an empty pool for grants with the given lease.
func NewGrantPool(lease time.Duration) *GrantPool { return &GrantPool{lease: lease} }

// Add adds a grant that was requested at sent. It returns false, without adding it,
// for a grant that is empty, expired or a repetition.
func (g *GrantPool) Add(now, sent time.Duration, p GrantPart) bool {
	expiresAt := sent + g.lease - LeaseMargin
	if now >= expiresAt || p.Tokens <= 0 {
		return false
	}
	g.seen = slices.DeleteFunc(g.seen, func(a seenGrant) bool { return a.expiresAt <= now })
	if slices.ContainsFunc(g.seen, func(a seenGrant) bool { return a.id == p.GrantID }) {
		return false
	}
	g.seen = append(g.seen, seenGrant{p.GrantID, expiresAt})
	at := slices.IndexFunc(g.grants, func(x pooledGrant) bool { return x.expiresAt > expiresAt })
	if at < 0 {
		at = len(g.grants)
	}
	g.grants = slices.Insert(g.grants, at, pooledGrant{p, expiresAt})
	return true
}

// Total returns the number of tokens that may be spent.
func (g *GrantPool) Total(now time.Duration) int {
	g.dropExpired(now)
	total := 0
	for _, p := range g.grants {
		total += p.Tokens
	}
	return total
}

// Take removes n tokens, from the grants that expire first, and appends the parts it
// took to dst. If the pool has fewer tokens it takes none and returns false.
func (g *GrantPool) Take(now time.Duration, n int, dst []GrantPart) ([]GrantPart, bool) {
	if g.Total(now) < n {
		return dst, false
	}
	emptied := 0
	for i := range g.grants {
		p := &g.grants[i]
		part := p.GrantPart
		part.Tokens = min(n, p.Tokens)
		dst = append(dst, part)
		p.Tokens -= part.Tokens
		n -= part.Tokens
		if p.Tokens == 0 {
			emptied++
		}
		if n == 0 {
			break
		}
	}
	g.grants = slices.Delete(g.grants, 0, emptied)
	return dst, true
}

// Release removes the tokens in excess of keep and those whose lease ends before a
// time, and appends them to dst. The caller returns them to their holders while they
// are still outstanding there.
func (g *GrantPool) Release(now, before time.Duration, keep int, dst []GrantPart) []GrantPart {
	total := g.Total(now)
	kept := g.grants[:0]
	for _, p := range g.grants {
		released := p.Tokens
		if p.expiresAt >= before {
			released = min(p.Tokens, max(0, total-keep))
		}
		if released > 0 {
			part := p.GrantPart
			part.Tokens = released
			dst = append(dst, part)
			p.Tokens -= released
			total -= released
		}
		if p.Tokens > 0 {
			kept = append(kept, p)
		}
	}
	g.grants = kept
	return dst
}

// dropExpired discards expired grants: their holders may have granted the tokens
// again.
func (g *GrantPool) dropExpired(now time.Duration) {
	n := 0
	for n < len(g.grants) && g.grants[n].expiresAt <= now {
		n++
	}
	if n > 0 {
		g.grants = slices.Delete(g.grants, 0, n)
	}
}

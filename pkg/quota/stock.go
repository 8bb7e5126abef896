package quota

import (
	"slices"
	"time"
)

// LeaseMargin is what an entry instance stops short of the end of a lease, for
// the drift between its clock and the holder's.
const LeaseMargin = 25 * time.Millisecond

// GrantID names a grant at its holder.
type GrantID struct {
	Holder      string // member ID
	Incarnation string
	Number      uint64
	GrantedAt   time.Duration // holder's clock
}

// SpentSince returns since when tokens of the grant have not been outstanding at
// the holder. processed is the holder's clock when it processed the report that
// they are spent, 0 if that is not known.
func (s GrantID) SpentSince(processed, lease time.Duration) time.Duration {
	if processed <= 0 {
		return s.GrantedAt
	}
	return min(processed, s.GrantedAt+lease)
}

// GrantPart is tokens from one grant.
type GrantPart struct {
	GrantID
	Tokens int
}

type pooledGrant struct {
	GrantPart
	expiresAt time.Duration // own clock
}

// seenGrant remembers a grant until its lease ends, even if it has been spent, so
// that a repeated answer does not add it again.
type seenGrant struct {
	id        GrantID
	expiresAt time.Duration
}

// GrantPool is the granted, unspent tokens of one customer at an entry instance.
// It is not safe for concurrent use.
type GrantPool struct {
	lease  time.Duration
	grants []pooledGrant // in the order in which they expire
	seen   []seenGrant
}

// NewGrantPool returns an empty stock of grants with the lease.
func NewGrantPool(lease time.Duration) *GrantPool { return &GrantPool{lease: lease} }

// Add adds a grant that was asked for at sent. It reports false for a grant
// whose lease has ended and for one that was added before.
func (s *GrantPool) Add(now, sent time.Duration, p GrantPart) bool {
	expires := sent + s.lease - LeaseMargin
	if now >= expires || p.Tokens <= 0 {
		return false
	}
	s.seen = slices.DeleteFunc(s.seen, func(a seenGrant) bool { return a.expiresAt <= now })
	if slices.ContainsFunc(s.seen, func(a seenGrant) bool { return a.id == p.GrantID }) {
		return false
	}
	s.seen = append(s.seen, seenGrant{p.GrantID, expires})
	at := slices.IndexFunc(s.grants, func(x pooledGrant) bool { return x.expiresAt > expires })
	if at < 0 {
		at = len(s.grants)
	}
	s.grants = slices.Insert(s.grants, at, pooledGrant{p, expires})
	return true
}

// Total returns the tokens that may be spent.
func (s *GrantPool) Total(now time.Duration) int {
	s.dropExpired(now)
	total := 0
	for _, p := range s.grants {
		total += p.Tokens
	}
	return total
}

// Take spends n tokens, oldest grants first, and appends their sources to dst.
// It takes nothing when there are fewer.
func (s *GrantPool) Take(now time.Duration, n int, dst []GrantPart) ([]GrantPart, bool) {
	if s.Total(now) < n {
		return dst, false
	}
	used := 0
	for i := range s.grants {
		p := &s.grants[i]
		part := p.GrantPart
		part.Tokens = min(n, p.Tokens)
		dst = append(dst, part)
		p.Tokens -= part.Tokens
		n -= part.Tokens
		if p.Tokens == 0 {
			used++
		}
		if n == 0 {
			break
		}
	}
	s.grants = slices.Delete(s.grants, 0, used)
	return dst, true
}

// Release removes tokens above keep and those whose lease ends before a time, so
// that they can be returned to their holders while they are outstanding there.
func (s *GrantPool) Release(now, before time.Duration, keep int, dst []GrantPart) []GrantPart {
	total := s.Total(now)
	kept := s.grants[:0]
	for _, p := range s.grants {
		back := p.Tokens
		if p.expiresAt >= before {
			back = min(p.Tokens, max(0, total-keep))
		}
		if back > 0 {
			part := p.GrantPart
			part.Tokens = back
			dst = append(dst, part)
			p.Tokens -= back
			total -= back
		}
		if p.Tokens > 0 {
			kept = append(kept, p)
		}
	}
	s.grants = kept
	return dst
}

// dropExpired discards expired pieces: their holders may have given the tokens away.
func (s *GrantPool) dropExpired(now time.Duration) {
	n := 0
	for n < len(s.grants) && s.grants[n].expiresAt <= now {
		n++
	}
	if n > 0 {
		s.grants = slices.Delete(s.grants, 0, n)
	}
}

package quota

import (
	"slices"
	"time"
)

// LeaseMargin is what an entry instance stops short of the end of a lease, for
// the drift between its clock and the holder's.
const LeaseMargin = 25 * time.Millisecond

// Source names a grant at its holder.
type Source struct {
	Holder      string // member ID
	Incarnation string
	Number      uint64
	GrantedAt   time.Duration // holder's clock
}

// SpentSince returns since when tokens of the grant have not been outstanding at
// the holder. processed is the holder's clock when it processed the report that
// they are spent, 0 if that is not known.
func (s Source) SpentSince(processed, lease time.Duration) time.Duration {
	if processed <= 0 {
		return s.GrantedAt
	}
	return min(processed, s.GrantedAt+lease)
}

// Part is tokens from one grant.
type Part struct {
	Source
	Tokens int
}

type piece struct {
	Part
	expires time.Duration // own clock
}

// arrival remembers a grant until its lease ends, even if it has been spent, so
// that a repeated answer does not add it again.
type arrival struct {
	source  Source
	expires time.Duration
}

// Stock is the granted, unspent tokens of one customer at an entry instance.
// It is not safe for concurrent use.
type Stock struct {
	lease  time.Duration
	pieces []piece // in the order in which they expire
	seen   []arrival
}

// NewStock returns an empty stock of grants with the lease.
func NewStock(lease time.Duration) *Stock { return &Stock{lease: lease} }

// Add adds a grant that was asked for at sent. It reports false for a grant
// whose lease has ended and for one that was added before.
func (s *Stock) Add(now, sent time.Duration, p Part) bool {
	expires := sent + s.lease - LeaseMargin
	if now >= expires || p.Tokens <= 0 {
		return false
	}
	s.seen = slices.DeleteFunc(s.seen, func(a arrival) bool { return a.expires <= now })
	if slices.ContainsFunc(s.seen, func(a arrival) bool { return a.source == p.Source }) {
		return false
	}
	s.seen = append(s.seen, arrival{p.Source, expires})
	at := slices.IndexFunc(s.pieces, func(x piece) bool { return x.expires > expires })
	if at < 0 {
		at = len(s.pieces)
	}
	s.pieces = slices.Insert(s.pieces, at, piece{p, expires})
	return true
}

// Total returns the tokens that may be spent.
func (s *Stock) Total(now time.Duration) int {
	s.drop(now)
	total := 0
	for _, p := range s.pieces {
		total += p.Tokens
	}
	return total
}

// Take spends n tokens, oldest grants first, and appends their sources to dst.
// It takes nothing when there are fewer.
func (s *Stock) Take(now time.Duration, n int, dst []Part) ([]Part, bool) {
	if s.Total(now) < n {
		return dst, false
	}
	used := 0
	for i := range s.pieces {
		p := &s.pieces[i]
		part := p.Part
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
	s.pieces = slices.Delete(s.pieces, 0, used)
	return dst, true
}

// GiveUp removes tokens above keep and those whose lease ends before a time, so
// that they can be returned to their holders while they are outstanding there.
func (s *Stock) GiveUp(now, before time.Duration, keep int, dst []Part) []Part {
	total := s.Total(now)
	kept := s.pieces[:0]
	for _, p := range s.pieces {
		back := p.Tokens
		if p.expires >= before {
			back = min(p.Tokens, max(0, total-keep))
		}
		if back > 0 {
			part := p.Part
			part.Tokens = back
			dst = append(dst, part)
			p.Tokens -= back
			total -= back
		}
		if p.Tokens > 0 {
			kept = append(kept, p)
		}
	}
	s.pieces = kept
	return dst
}

// drop discards expired pieces: their holders may have given the tokens away.
func (s *Stock) drop(now time.Duration) {
	n := 0
	for n < len(s.pieces) && s.pieces[n].expires <= now {
		n++
	}
	if n > 0 {
		s.pieces = slices.Delete(s.pieces, 0, n)
	}
}

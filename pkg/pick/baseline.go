package pick

import (
	"math/rand/v2"
	"time"

	"github.com/fescuestep/fescuestep/pkg/block"
)

// RoundRobin chooses the upstreams in turn.
type RoundRobin struct{ last int }

func (*RoundRobin) Name() string { return NameRoundRobin }

// Pick chooses the next upstream in turn that has a free slot.
func (p *RoundRobin) Pick(now time.Time, r *Request, s *Store, _ *rand.Rand) (Choice, Verdict) {
	verdict := NoUpstream
	for range s.list {
		p.last = (p.last + 1) % len(s.list)
		u := s.list[p.last]
		if !s.Selectable(now, u, r) {
			continue
		}
		verdict = Busy
		if s.Admits(now, u, r) {
			return uncachedChoice(u, r), Chosen
		}
	}
	return Choice{}, verdict
}

// LeastInFlight chooses the upstream with the fewest requests in flight, estimated
// from the last load report and this instance's own requests since. Ties are
// broken at random.
type LeastInFlight struct{}

func (*LeastInFlight) Name() string { return NameLeastInFlight }

// Pick chooses the upstream with the fewest requests in flight.
func (*LeastInFlight) Pick(now time.Time, r *Request, s *Store, rng *rand.Rand) (Choice, Verdict) {
	var best *Upstream
	fewest, ties, verdict := 0, 0, NoUpstream
	for _, u := range s.list {
		if !s.Selectable(now, u, r) {
			continue
		}
		if verdict == NoUpstream {
			verdict = Busy
		}
		if !s.Admits(now, u, r) {
			continue
		}
		n := u.TotalInFlight()
		switch {
		case best == nil || n < fewest:
			best, fewest, ties = u, n, 1
		case n == fewest:
			if ties++; rng.IntN(ties) == 0 {
				best = u
			}
		}
	}
	if best == nil {
		return Choice{}, verdict
	}
	return uncachedChoice(best, r), Chosen
}

// loadBoundFactor is the maximum load of an upstream under PrefixHash as a multiple
// of the mean load. The value is the usual one for consistent hashing with bounded
// loads.
const loadBoundFactor = 1.25

// PrefixHash orders the upstreams by a rendezvous hash of the prompt's first block
// and chooses the first one whose load is below a bound.
type PrefixHash struct{}

func (*PrefixHash) Name() string { return NamePrefixHash }

// Pick chooses the first upstream in hash order whose load is below the bound. For
// a prompt without blocks, or if there is none, it falls back to LeastInFlight.
func (p *PrefixHash) Pick(now time.Time, r *Request, s *Store, rng *rand.Rand) (Choice, Verdict) {
	if len(r.Blocks) == 0 {
		return (&LeastInFlight{}).Pick(now, r, s, rng)
	}
	verdict, total, count := NoUpstream, 0, 0
	for _, u := range s.list {
		if s.Selectable(now, u, r) {
			verdict = Busy
			total += u.TotalInFlight()
			count++
		}
	}
	var best *Upstream
	var bestHash uint64
	for _, u := range s.list {
		if !s.Selectable(now, u, r) || !s.Admits(now, u, r) {
			continue
		}
		if float64(u.TotalInFlight()) >= loadBoundFactor*float64(total+1)/float64(count) {
			continue
		}
		if v := rendezvous(r.Blocks[0], u); best == nil || v > bestHash {
			best, bestHash = u, v
		}
	}
	if best == nil {
		if verdict == Busy {
			return (&LeastInFlight{}).Pick(now, r, s, rng)
		}
		return Choice{}, verdict
	}
	return uncachedChoice(best, r), Chosen
}

// rendezvous returns the rank of an upstream for a block. It is equal on all
// instances; the highest rank wins.
func rendezvous(h block.Hash, u *Upstream) uint64 {
	return mix64(uint64(h) ^ u.hash())
}

// mix64 is the finalizer of splitmix64.
func mix64(v uint64) uint64 {
	v ^= v >> 30
	v *= 0xbf58476d1ce4e5b9
	v ^= v >> 27
	v *= 0x94d049bb133111eb
	return v ^ v>>31
}

// uncachedChoice returns the choice of u with no prompt tokens expected to be
// cached.
func uncachedChoice(u *Upstream, r *Request) Choice {
	return Choice{Upstream: u, UncachedTokens: r.Tokens}
}

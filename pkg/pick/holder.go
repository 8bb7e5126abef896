package pick

import "time"

// Holder is an engine that holds a prefix of a prompt, as the owner of the
// prompt's root knows it. With Levels 0 it is one of little load.
type Holder struct {
	ID             string      `json:"id"`
	Incarnation    string      `json:"incarnation"`
	WeightsVersion string      `json:"weights"`
	Epoch          Epoch       `json:"epoch"`
	HeldBlocks     int         `json:"levels"`
	ExpectedBlocks float64     `json:"expect"` // expected number of those blocks still cached
	Load           *HolderLoad `json:"load,omitempty"`
}

// Epoch orders what owners say about the incarnations of one engine: owners
// learn of a restart at different times, and an incarnation has no order.
type Epoch struct {
	Revision          uint64 `json:"since"`  // membership revision at which its follower took over
	IncarnationNumber uint32 `json:"source"` // number that the follower gave the incarnation
}

// Before reports whether e is older than o.
func (e Epoch) Before(o Epoch) bool {
	return e.Revision < o.Revision || e.Revision == o.Revision && e.IncarnationNumber < o.IncarnationNumber
}

// HolderLoad is the load of a holder, Age ago.
type HolderLoad struct {
	Age          time.Duration `json:"age"` // ns
	Running      int           `json:"running"`
	Waiting      int           `json:"waiting"`
	QueuedTokens int           `json:"queued_tokens"`
	Leaving      bool          `json:"leaving,omitempty"`
}

// cachedPrefix returns the leading blocks that an upstream holds and the expected
// number of those still cachedPrefix. A holder in another incarnation than the one
// that is known to run counts for nothing.
func (s *Store) cachedPrefix(now time.Time, r *Request, u *Upstream) (levels int, expect float64) {
	if !r.Sharded {
		return s.Index.CachedPrefix(u.IndexHandle, s.IndexTime(now), r.Blocks)
	}
	for i := range r.Holders {
		if h := &r.Holders[i]; h.ID == u.ID && h.Incarnation == u.Incarnation {
			return h.HeldBlocks, h.ExpectedBlocks
		}
	}
	return 0, 0
}

// LongestPrefix returns how many leading blocks of the request any engine holds.
func (s *Store) LongestPrefix(r *Request) int {
	if !r.Sharded {
		return s.Index.LongestPrefix(r.Blocks)
	}
	levels := 0
	for i := range r.Holders {
		levels = max(levels, r.Holders[i].HeldBlocks)
	}
	return levels
}

// addHolders makes the named upstreams candidates and returns the most
// levels that one of them holds.
func (p *LeastTTFT) addHolders(now time.Time, r *Request, s *Store) int {
	for i := range r.Holders {
		p.addCandidate(now, r, s, s.Get(r.Holders[i].ID))
	}
	return s.LongestPrefix(r)
}

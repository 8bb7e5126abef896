package pick

import "time"

// Holder is an engine that holds a prefix of a prompt, according to the instance
// that owns the part of the sharded index with the prompt's first block. An engine
// with HeldBlocks 0 is listed because of its low load.
type Holder struct {
	ID             string      `json:"id"`
	Incarnation    string      `json:"incarnation"`
	WeightsVersion string      `json:"weights"`
	Epoch          Epoch       `json:"epoch"`
	HeldBlocks     int         `json:"levels"` // leading blocks of the prompt
	ExpectedBlocks float64     `json:"expect"` // expected number of those blocks still cached
	Load           *HolderLoad `json:"load,omitempty"`
}

// Epoch orders the reports of different owners about one engine. Owners learn of a
// restart at different times, and incarnation IDs have no order of their own.
type Epoch struct {
	Revision          uint64 `json:"since"`  // membership revision at which the instance that polls the engine took over
	IncarnationNumber uint32 `json:"source"` // number that this instance assigned to the incarnation
}

// Before reports whether e is older than o.
func (e Epoch) Before(o Epoch) bool {
	return e.Revision < o.Revision || e.Revision == o.Revision && e.IncarnationNumber < o.IncarnationNumber
}

// HolderLoad is the load that a holder reported Age ago.
type HolderLoad struct {
	Age          time.Duration `json:"age"` // ns
	Running      int           `json:"running"`
	Waiting      int           `json:"waiting"`
	QueuedTokens int           `json:"queued_tokens"`
	Leaving      bool          `json:"leaving,omitempty"`
}

// cachedPrefix returns the number of leading blocks of the request that an upstream
// holds and the expected number of those still cached. A holder is ignored unless
// its incarnation is the current one of the upstream.
func (s *Store) cachedPrefix(now time.Time, r *Request, u *Upstream) (held int, expected float64) {
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

// LongestPrefix returns the number of leading blocks of the request that are held
// by any engine.
func (s *Store) LongestPrefix(r *Request) int {
	if !r.Sharded {
		return s.Index.LongestPrefix(r.Blocks)
	}
	longest := 0
	for i := range r.Holders {
		longest = max(longest, r.Holders[i].HeldBlocks)
	}
	return longest
}

// addHolders adds the upstreams in r.Holders as candidates and returns the length of
// the longest prefix in blocks.
func (p *LeastTTFT) addHolders(now time.Time, r *Request, s *Store) int {
	for i := range r.Holders {
		p.addCandidate(now, r, s, s.Get(r.Holders[i].ID))
	}
	return s.LongestPrefix(r)
}

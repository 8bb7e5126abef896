package pick

import "time"

// Holder is an engine that holds a prefix of a prompt, as the owner of the
// prompt's root knows it. With Levels 0 it is one of little load.
type Holder struct {
	ID          string      `json:"id"`
	Incarnation string      `json:"incarnation"`
	Weights     string      `json:"weights"`
	Epoch       Epoch       `json:"epoch"`
	Levels      int         `json:"levels"`
	Expect      float64     `json:"expect"` // expected number of those blocks still cached
	Load        *HolderLoad `json:"load,omitempty"`
}

// Epoch orders what owners say about the incarnations of one engine: owners
// learn of a restart at different times, and an incarnation has no order.
type Epoch struct {
	Since  uint64 `json:"since"`  // membership revision at which its follower took over
	Source uint32 `json:"source"` // number that the follower gave the incarnation
}

// Before reports whether e is older than o.
func (e Epoch) Before(o Epoch) bool {
	return e.Since < o.Since || e.Since == o.Since && e.Source < o.Source
}

// HolderLoad is the load of a holder, Age ago.
type HolderLoad struct {
	Age          time.Duration `json:"age"` // ns
	Running      int           `json:"running"`
	Waiting      int           `json:"waiting"`
	QueuedTokens int           `json:"queued_tokens"`
	Leaving      bool          `json:"leaving,omitempty"`
}

// cached returns the leading blocks that an upstream holds and the expected
// number of those still cached. A holder in another incarnation than the one
// that is known to run counts for nothing.
func (s *Store) cached(now time.Time, r *Request, u *Upstream) (levels int, expect float64) {
	if !r.Sharded {
		return s.Index.Expect(u.Engine, s.IndexTime(now), r.Blocks)
	}
	for i := range r.Holders {
		if h := &r.Holders[i]; h.ID == u.ID && h.Incarnation == u.Incarnation {
			return h.Levels, h.Expect
		}
	}
	return 0, 0
}

// Known returns how many leading blocks of the request any engine holds.
func (s *Store) Known(r *Request) int {
	if !r.Sharded {
		return s.Index.Known(r.Blocks)
	}
	levels := 0
	for i := range r.Holders {
		levels = max(levels, r.Holders[i].Levels)
	}
	return levels
}

// considerHolders makes the named upstreams candidates and returns the most
// levels that one of them holds.
func (p *Estimate) considerHolders(now time.Time, r *Request, s *Store) int {
	for i := range r.Holders {
		p.consider(now, r, s, s.Get(r.Holders[i].ID))
	}
	return s.Known(r)
}

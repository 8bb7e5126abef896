package pick

import (
	"math/rand/v2"
	"time"

	"github.com/fescuestep/fescuestep/pkg/cacheindex"
)

// Sizes of the candidate set. They do not depend on the pool, so that the cost
// of a choice does not grow with it.
const (
	maxHolders = 8  // engines that hold the longest prefixes
	samples    = 8  // random others, of which the least loaded win
	smallPool  = 16 // below this every upstream is a candidate
	maxNear    = 8  // near-equal estimates compared
)

// nearFloor makes estimates that differ by less than the noise of a load
// report count as equal.
const nearFloor = 500 * time.Microsecond

// Estimate is the product's policy: the least estimated time to first token.
type Estimate struct {
	params     Params
	matches    []cacheindex.Match
	candidates []candidate
}

// candidate is one upstream under consideration.
type candidate struct {
	upstream *Upstream
	blocks   float64 // expected cached blocks
	imports  int     // blocks imported from the KV store
	meeting  bool    // where other instances send the same cold block
	admitted bool
	estimate time.Duration // time to first token
	score    time.Duration // weighted estimate
}

// NewEstimate returns the policy with the parameters of one pool.
func NewEstimate(params Params) *Estimate { return &Estimate{params: params} }

// SetParams changes the parameters.
func (p *Estimate) SetParams(params Params) { p.params = params }

// Name implements Policy.
func (*Estimate) Name() string { return NameFescuestep }

// Pick implements Policy.
func (p *Estimate) Pick(now time.Time, r *Request, s *Store, rng *rand.Rand) (Choice, Verdict) {
	p.collect(now, r, s, rng)
	if len(p.candidates) == 0 {
		return p.fallback(now, r, s, rng)
	}
	best, admitted := -1, -1
	for i := range p.candidates {
		c := &p.candidates[i]
		p.score(now, r, s, c)
		if best < 0 || c.score < p.candidates[best].score {
			best = i
		}
		if c.admitted && (admitted < 0 || c.score < p.candidates[admitted].score) {
			admitted = i
		}
	}
	if admitted < 0 {
		return p.fallback(now, r, s, rng)
	}
	if p.worthWaiting(best, admitted) {
		return Choice{}, Busy
	}
	return p.choice(r, &p.candidates[p.amongNear(r, admitted, rng)]), Chosen
}

// worthWaiting reports whether the best upstream has no slot now but is still
// expected to answer clearly sooner than the best one that has.
func (p *Estimate) worthWaiting(best, admitted int) bool {
	a, b := &p.candidates[admitted], &p.candidates[best]
	return !b.admitted && b.score+b.score/4 < a.score
}

// fallback scans the whole pool in random order when no candidate has a slot.
func (p *Estimate) fallback(now time.Time, r *Request, s *Store, rng *rand.Rand) (Choice, Verdict) {
	n := len(s.list)
	if n == 0 {
		return Choice{}, None
	}
	verdict := None
	start := rng.IntN(n)
	for i := range n {
		u := s.list[(start+i)%n]
		if !s.Selectable(now, u, r) {
			continue
		}
		verdict = Busy
		if s.Admits(now, u) {
			c := p.candidate(now, r, s, u)
			p.score(now, r, s, &c)
			return p.choice(r, &c), Chosen
		}
	}
	return Choice{}, verdict
}

// collect fills the candidates: holders of the longest prefixes, the upstream
// that other instances prefer for the same cold block, and a random sample.
func (p *Estimate) collect(now time.Time, r *Request, s *Store, rng *rand.Rand) {
	p.candidates = p.candidates[:0]
	if len(s.list) <= smallPool {
		for _, u := range s.list {
			p.consider(now, r, s, u)
		}
		return
	}
	p.matches = s.Index.Lookup(p.matches[:0], s.IndexTime(now), r.Blocks, maxHolders, rng)
	levels := 0
	for _, m := range p.matches {
		levels = max(levels, m.Levels)
		p.consider(now, r, s, s.ofEngine(m.Engine))
	}
	if levels < len(r.Blocks) {
		at := mix(uint64(r.Blocks[levels])) % uint64(len(s.list))
		p.consider(now, r, s, s.list[at])
		for i := range p.candidates {
			p.candidates[i].meeting = p.candidates[i].upstream == s.list[at]
		}
	}
	for range samples {
		p.consider(now, r, s, s.list[rng.IntN(len(s.list))])
	}
}

func (p *Estimate) consider(now time.Time, r *Request, s *Store, u *Upstream) {
	if !s.Selectable(now, u, r) {
		return
	}
	for i := range p.candidates {
		if p.candidates[i].upstream == u {
			return
		}
	}
	p.candidates = append(p.candidates, p.candidate(now, r, s, u))
}

func (p *Estimate) candidate(now time.Time, r *Request, s *Store, u *Upstream) candidate {
	_, blocks := s.Index.Expect(u.Engine, s.IndexTime(now), r.Blocks)
	return candidate{upstream: u, blocks: blocks}
}

// score estimates the time to first token of one candidate.
func (p *Estimate) score(now time.Time, r *Request, s *Store, c *candidate) {
	u := c.upstream
	c.admitted = s.Admits(now, u)
	queue := u.QueueWait(now, s.Instances)
	if !c.admitted {
		queue += u.slotWait()
	}
	prefill := p.prefill(r, u, c)
	network := time.Duration(0)
	if u.Domain != r.Domain {
		network = 2 * p.params.OneWayDelay
	}
	c.estimate = queue + prefill + network
	w := &p.params.Weights
	c.score = time.Duration(w.Queue*float64(queue)+w.Prefill*float64(prefill)) + network
}

// prefill returns the time to compute or import what is not cached.
func (p *Estimate) prefill(r *Request, u *Upstream, c *candidate) time.Duration {
	if u.PrefillPerSec <= 0 {
		return 0
	}
	tokens := r.uncached(c.blocks)
	seconds := tokens / u.PrefillPerSec
	return time.Duration(seconds * float64(time.Second))
}

// amongNear chooses among the admitted candidates whose scores are close to
// the best. With cold blocks the order is a rendezvous hash, which is equal on
// all instances, so that concurrent cold requests meet on one engine. Without
// any, two random ones are compared by load.
func (p *Estimate) amongNear(r *Request, best int, rng *rand.Rand) int {
	limit := p.candidates[best].score
	limit += max(nearFloor, time.Duration(p.params.Weights.Near*float64(limit)))
	var near [maxNear]int
	n := 0
	for i := range p.candidates {
		if c := &p.candidates[i]; c.admitted && c.score <= limit && n < maxNear {
			near[n] = i
			n++
		}
	}
	cold := int(p.candidates[best].blocks + 0.5)
	if cold < len(r.Blocks) {
		return p.preferred(r, cold, near[:n])
	}
	a, b := near[rng.IntN(n)], near[rng.IntN(n)]
	if p.candidates[b].upstream.Total() < p.candidates[a].upstream.Total() {
		return b
	}
	return a
}

func (p *Estimate) preferred(r *Request, cold int, near []int) int {
	best, top := near[0], uint64(0)
	for _, i := range near {
		if p.candidates[i].meeting {
			return i
		}
		if v := rendezvous(r.Blocks[cold], p.candidates[i].upstream); v >= top {
			best, top = i, v
		}
	}
	return best
}

func (p *Estimate) choice(r *Request, c *candidate) Choice {
	uncached := int(r.uncached(c.blocks))
	return Choice{
		Upstream:  c.upstream,
		HitTokens: max(r.Tokens-uncached, 0),
		Uncached:  uncached,
		Import:    c.imports,
		Estimate:  c.estimate,
	}
}

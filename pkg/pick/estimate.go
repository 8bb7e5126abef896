package pick

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fescuestep/fescuestep/pkg/cacheindex"
)

// Sizes of the candidate set. They do not depend on the pool, so that the cost
// of a choice does not grow with it.
const (
	maxHolders    = 8  // engines that hold the longest prefixes
	randomSamples = 8  // random others, of which the least loaded win
	smallPoolSize = 16 // below this every upstream is a candidate
	maxNearBest   = 8  // near-equal estimates compared
)

// minNearMargin makes estimates that differ by less than the noise of a load
// report count as equal.
const minNearMargin = 500 * time.Microsecond

// Separation of long prefills.
const (
	longLaneShare       = 0.8
	longPrefillTime     = 100 * time.Millisecond
	longPrefillPenalty  = 100 * time.Millisecond
	shortPrefillPenalty = 25 * time.Millisecond
)

// failedPollPenalty keeps work from an upstream whose last poll failed unless the
// others are clearly worse.
const failedPollPenalty = time.Second

// LeastTTFT is the product's policy: the least estimated time to first token.
type LeastTTFT struct {
	params     Params
	matches    []cacheindex.Match
	candidates []candidate
	inKV       [maxKVBlocks]bool // whether the KV store holds the request's blocks
}

// maxKVBlocks bounds the blocks of a prompt that are considered for import.
const maxKVBlocks = 64

// importOverhead is the fixed cost of an import: one call to the engine and one
// to the KV store for the first block.
const importOverhead = 3 * time.Millisecond

// candidate is one upstream under consideration.
type candidate struct {
	upstream          *Upstream
	heldBlocks        int     // blocks held according to the index
	expectedBlocks    float64 // expected cached blocks
	blocksAfterImport int     // leading blocks that the engine holds after an import
	coldHashTarget    bool    // the upstream that the cold block is hashed to
	admitted          bool
	ttft              time.Duration // time to first token
	score             time.Duration // weighted estimate
}

// NewLeastTTFT returns the policy with the parameters of one pool.
func NewLeastTTFT(params Params) *LeastTTFT { return &LeastTTFT{params: params} }

// SetParams changes the parameters.
func (p *LeastTTFT) SetParams(params Params) { p.params = params }

// Name implements Policy.
func (*LeastTTFT) Name() string { return NameFescuestep }

// Pick implements Policy.
func (p *LeastTTFT) Pick(now time.Time, r *Request, s *Store, rng *rand.Rand) (Choice, Verdict) {
	p.lookUpKV(now, r, s)
	s.assignLanes(longLaneShare)
	p.collectCandidates(now, r, s, rng)
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
	if p.shouldWait(best, admitted) {
		return Choice{}, Busy
	}
	return p.choice(r, &p.candidates[p.chooseNearBest(r, admitted, rng)]), Chosen
}

// BestCandidates returns the up to n admitted candidates with the best scores of
// the last Pick.
func (p *LeastTTFT) BestCandidates(n int) []*Upstream {
	slices.SortStableFunc(p.candidates, func(a, b candidate) int { return cmp.Compare(a.score, b.score) })
	var out []*Upstream
	for i := range p.candidates {
		if c := &p.candidates[i]; c.admitted && len(out) < n {
			out = append(out, c.upstream)
		}
	}
	return out
}

// shouldWait reports whether the best upstream has no slot now but is still
// expected to answer clearly sooner than the best one that has.
func (p *LeastTTFT) shouldWait(best, admitted int) bool {
	a, b := &p.candidates[admitted], &p.candidates[best]
	return !b.admitted && b.score+b.score/4 < a.score
}

// maxFallback bounds the upstreams examined when no candidate has a slot, which
// happens for every request while a large pool is saturated.
const maxFallback = 32

// fallback examines upstreams in random order when no candidate has a slot.
func (p *LeastTTFT) fallback(now time.Time, r *Request, s *Store, rng *rand.Rand) (Choice, Verdict) {
	n := len(s.list)
	if n == 0 {
		return Choice{}, NoUpstream
	}
	start := rng.IntN(n)
	for i := range min(n, maxFallback) {
		u := s.list[(start+i)%n]
		if s.Selectable(now, u, r) && s.Admits(now, u, r) {
			c := p.newCandidate(now, r, s, u)
			p.score(now, r, s, &c)
			return p.choice(r, &c), Chosen
		}
	}
	if s.AnySelectable(now, r) {
		return Choice{}, Busy
	}
	return Choice{}, NoUpstream
}

// collectCandidates fills the candidates: holders of the longest prefixes, the upstream
// that other instances prefer for the same cold block, and a random sample.
func (p *LeastTTFT) collectCandidates(now time.Time, r *Request, s *Store, rng *rand.Rand) {
	p.candidates = p.candidates[:0]
	if len(s.list) <= smallPoolSize {
		for _, u := range s.list {
			p.addCandidate(now, r, s, u)
		}
		return
	}
	levels := 0
	if r.Sharded {
		levels = p.addHolders(now, r, s)
	} else {
		levels = p.addMatches(now, r, s, rng)
	}
	if levels < len(r.Blocks) {
		at := mix64(uint64(r.Blocks[levels])) % uint64(len(s.longLaneUpstreams))
		p.addCandidate(now, r, s, s.longLaneUpstreams[at])
		for i := range p.candidates {
			p.candidates[i].coldHashTarget = p.candidates[i].upstream == s.longLaneUpstreams[at]
		}
	}
	if r.Sharded && len(r.Holders) > 0 {
		return // they include engines of little load; others' loads are not known here
	}
	for range randomSamples {
		p.addCandidate(now, r, s, s.list[rng.IntN(len(s.list))])
	}
}

// addMatches makes the upstreams that hold the longest prefixes candidates
// and returns the most levels that one of them holds.
func (p *LeastTTFT) addMatches(now time.Time, r *Request, s *Store, rng *rand.Rand) int {
	p.matches = s.Index.Lookup(p.matches[:0], s.IndexTime(now), r.Blocks, maxHolders, rng)
	levels := 0
	for _, m := range p.matches {
		levels = max(levels, m.HeldBlocks)
		p.addCandidate(now, r, s, s.upstreamByHandle(m.Engine))
	}
	return levels
}

func (p *LeastTTFT) addCandidate(now time.Time, r *Request, s *Store, u *Upstream) {
	if !s.Selectable(now, u, r) {
		return
	}
	for i := range p.candidates {
		if p.candidates[i].upstream == u {
			return
		}
	}
	p.candidates = append(p.candidates, p.newCandidate(now, r, s, u))
}

func (p *LeastTTFT) newCandidate(now time.Time, r *Request, s *Store, u *Upstream) candidate {
	levels, blocks := s.cachedPrefix(now, r, u)
	return candidate{upstream: u, heldBlocks: levels, expectedBlocks: blocks}
}

// lookUpKV notes which blocks of the request could be imported.
func (p *LeastTTFT) lookUpKV(now time.Time, r *Request, s *Store) {
	usable := p.params.ImportRate > 0 && !now.Before(s.KVPausedUntil)
	for i := range min(len(r.Blocks), maxKVBlocks) {
		p.inKV[i] = usable && s.KVBlocks.Has(r.Blocks[i], s.IndexTime(now))
	}
}

// blocksAfterImport returns the number of leading blocks that the candidate holds
// after an import of those it lacks.
func (p *LeastTTFT) blocksAfterImport(r *Request, c *candidate) int {
	n := c.heldBlocks
	for n < min(len(r.Blocks), maxKVBlocks) && p.inKV[n] {
		n++
	}
	return n
}

// score estimates the time to first token of one candidate.
func (p *LeastTTFT) score(now time.Time, r *Request, s *Store, c *candidate) {
	u := c.upstream
	c.admitted = s.Admits(now, u, r)
	queue := u.QueueWait(now, s.Instances) + s.unreportedWait(now, u)
	if u.PrefillPerSec <= 0 {
		queue = u.loadWait(s.Limits.Slots)
	}
	if !c.admitted {
		queue += u.slotWait()
	}
	transfer, prefill := p.transferAndPrefill(r, u, c)
	network := time.Duration(0)
	if u.Domain != r.Domain {
		network = 2 * p.params.OneWayDelay
	}
	// An import runs while other requests are prefilled.
	wait := max(queue, transfer)
	c.ttft = wait + prefill + network
	if u.FailedPolls > 0 {
		network += failedPollPenalty
	}
	w := &p.params.ScoreWeights
	c.score = time.Duration(w.Queue*float64(wait)+w.Prefill*float64(prefill)) + network + lanePenalty(u, prefill)
}

// lanePenalty returns the cost of using an upstream against its lanePenalty. Other
// instances' requests are seen late; a short request that meets an unseen long
// prefill waits many times its own work, so that long prefills are kept to a
// part of the pool while it is not busy.
func lanePenalty(u *Upstream, prefill time.Duration) time.Duration {
	long := prefill >= longPrefillTime
	switch {
	case u.PrefillPerSec <= 0:
		return 0 // a plain service
	case long && !u.inLongLane:
		return longPrefillPenalty
	case !long && u.inLongLane:
		return shortPrefillPenalty
	}
	return 0
}

// transferAndPrefill returns the times to import and to compute what is not cached. It sets
// the candidate's imports where importing is faster than computing.
func (p *LeastTTFT) transferAndPrefill(r *Request, u *Upstream, c *candidate) (transfer, prefill time.Duration) {
	if u.PrefillPerSec <= 0 {
		return 0, 0
	}
	prefill = seconds(r.uncached(c.expectedBlocks) / u.PrefillPerSec)
	n := p.blocksAfterImport(r, c)
	if n <= c.heldBlocks {
		return 0, prefill
	}
	blocks := float64(n - c.heldBlocks)
	transfer = importOverhead + seconds(blocks*float64(r.BlockTokens)/p.params.ImportRate)
	rest := seconds(r.uncached(c.expectedBlocks+blocks) / u.PrefillPerSec)
	if transfer+rest >= prefill {
		return 0, prefill
	}
	c.blocksAfterImport = n
	c.expectedBlocks += blocks
	return transfer, rest
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// chooseNearBest chooses among the admitted candidates whose scores are close to
// the best. With cold blocks the order is a rendezvous hash, which is equal on
// all instances, so that concurrent cold requests meet on one engine. Without
// any, two random ones are compared by load.
func (p *LeastTTFT) chooseNearBest(r *Request, best int, rng *rand.Rand) int {
	limit := p.candidates[best].score
	limit += max(minNearMargin, time.Duration(p.params.ScoreWeights.NearMargin*float64(limit)))
	var near [maxNearBest]int
	n := 0
	for i := range p.candidates {
		if c := &p.candidates[i]; c.admitted && c.score <= limit && n < maxNearBest {
			near[n] = i
			n++
		}
	}
	cold := int(p.candidates[best].expectedBlocks + 0.5)
	if cold < len(r.Blocks) {
		return p.coldPrefixCandidate(r, cold, near[:n])
	}
	a, b := near[rng.IntN(n)], near[rng.IntN(n)]
	if p.candidates[b].upstream.TotalInFlight() < p.candidates[a].upstream.TotalInFlight() {
		return b
	}
	return a
}

func (p *LeastTTFT) coldPrefixCandidate(r *Request, cold int, near []int) int {
	best, top := near[0], uint64(0)
	for _, i := range near {
		if p.candidates[i].coldHashTarget {
			return i
		}
		if v := rendezvous(r.Blocks[cold], p.candidates[i].upstream); v >= top {
			best, top = i, v
		}
	}
	return best
}

func (p *LeastTTFT) choice(r *Request, c *candidate) Choice {
	uncached := int(r.uncached(c.expectedBlocks))
	return Choice{
		Upstream:          c.upstream,
		HitTokens:         max(r.Tokens-uncached, 0),
		UncachedTokens:    uncached,
		HeldBlocks:        c.heldBlocks,
		BlocksAfterImport: c.blocksAfterImport,
		EstimatedTTFT:     c.ttft,
	}
}

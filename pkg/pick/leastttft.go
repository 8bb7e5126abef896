package pick

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fescuestep/fescuestep/pkg/cacheindex"
)

// Bounds of the candidate set. They do not depend on the size of the pool, so the
// cost of a choice does not grow with it.
const (
	maxHolders    = 8  // engines that hold the longest prefixes
	randomSamples = 8  // further upstreams sampled at random; the least loaded of them score best
	smallPoolSize = 16 // up to this number of upstreams all are candidates
	maxNearBest   = 8  // candidates with near-equal scores that are compared
)

// minNearMargin is the least difference of two scores that counts. Smaller ones are
// within the noise of a load report.
const minNearMargin = 500 * time.Microsecond

// Separation of long prefills from short ones, see lanePenalty.
const (
	longLaneShare       = 0.8                    // share of the upstreams that are preferred for long prefills
	longPrefillTime     = 100 * time.Millisecond // prefills of this time or more are long
	longPrefillPenalty  = 100 * time.Millisecond // for a long prefill outside the long lane
	shortPrefillPenalty = 25 * time.Millisecond  // for a short prefill in the long lane
)

// failedPollPenalty is added to the score of an upstream whose last poll failed, so
// that it gets requests only if the others are clearly worse.
const failedPollPenalty = time.Second

// LeastTTFT is the default policy. It chooses the upstream with the least estimated
// time to first token (TTFT), weighted by ScoreWeights.
type LeastTTFT struct {
	params     Params
	matches    []cacheindex.Match
	candidates []candidate
	inKV       [maxKVBlocks]bool // which blocks of the request can be imported from the KV store
}

// maxKVBlocks is the maximum number of leading blocks considered for import.
const maxKVBlocks = 64

// importOverhead is the fixed time of an import: one call to the engine and one to
// the KV store for the first block.
const importOverhead = 3 * time.Millisecond

// candidate is one upstream under consideration.
type candidate struct {
	upstream          *Upstream
	heldBlocks        int     // leading blocks held according to the index
	expectedBlocks    float64 // expected number of leading blocks cached at the prefill
	blocksAfterImport int     // leading blocks held after an import, 0 for no import
	coldHashTarget    bool    // the first block without a holder hashes to this upstream
	admitted          bool
	ttft              time.Duration // estimated time to first token
	score             time.Duration // ttft with weights and penalties; the lowest is best
}

// NewLeastTTFT returns the policy with the parameters of one pool.
func NewLeastTTFT(params Params) *LeastTTFT { return &LeastTTFT{params: params} }

// SetParams replaces the parameters. They apply from the next Pick on.
func (p *LeastTTFT) SetParams(params Params) { p.params = params }

func (*LeastTTFT) Name() string { return NameFescuestep }

// Pick chooses among the candidates whose scores are close to the least one. It
// returns Busy if waiting for a better upstream without a free slot is expected to
// be faster.
func (p *LeastTTFT) Pick(now time.Time, r *Request, s *Store, rng *rand.Rand) (Choice, Verdict) {
	p.findImportable(now, r, s)
	s.assignLanes(longLaneShare)
	p.collectCandidates(now, r, s, rng)
	if len(p.candidates) == 0 {
		return p.fallback(now, r, s, rng)
	}
	best, bestAdmitted := -1, -1
	for i := range p.candidates {
		c := &p.candidates[i]
		p.score(now, r, s, c)
		if best < 0 || c.score < p.candidates[best].score {
			best = i
		}
		if c.admitted && (bestAdmitted < 0 || c.score < p.candidates[bestAdmitted].score) {
			bestAdmitted = i
		}
	}
	if bestAdmitted < 0 {
		return p.fallback(now, r, s, rng)
	}
	if p.shouldWait(best, bestAdmitted) {
		return Choice{}, Busy
	}
	return p.choice(r, &p.candidates[p.chooseNearBest(r, bestAdmitted, rng)]), Chosen
}

// BestCandidates returns up to n admitted candidates of the last Pick, best score
// first.
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

// shouldWait reports whether the best candidate has no free slot but is still
// expected to answer clearly sooner than the best admitted one.
func (p *LeastTTFT) shouldWait(best, bestAdmitted int) bool {
	a, b := &p.candidates[bestAdmitted], &p.candidates[best]
	return !b.admitted && b.score+b.score/4 < a.score
}

// maxFallback bounds the upstreams examined when no candidate is admitted, which
// is the case for every request while a large pool is saturated.
const maxFallback = 32

// fallback chooses the first upstream with a free slot, starting at a random one, if
// no candidate is admitted.
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

// collectCandidates sets the candidates: the holders of the longest prefixes, the
// upstream that the first block without a holder hashes to on all instances, and a
// random sample.
func (p *LeastTTFT) collectCandidates(now time.Time, r *Request, s *Store, rng *rand.Rand) {
	p.candidates = p.candidates[:0]
	if len(s.list) <= smallPoolSize {
		for _, u := range s.list {
			p.addCandidate(now, r, s, u)
		}
		return
	}
	held := p.addMatches(now, r, s, rng)
	if held < len(r.Blocks) {
		target := mix64(uint64(r.Blocks[held])) % uint64(len(s.longLaneUpstreams))
		p.addCandidate(now, r, s, s.longLaneUpstreams[target])
		for i := range p.candidates {
			p.candidates[i].coldHashTarget = p.candidates[i].upstream == s.longLaneUpstreams[target]
		}
	}
	for range randomSamples {
		p.addCandidate(now, r, s, s.list[rng.IntN(len(s.list))])
	}
}

// addMatches adds the upstreams that hold the longest prefixes as candidates and
// returns the length of the longest prefix in blocks.
func (p *LeastTTFT) addMatches(now time.Time, r *Request, s *Store, rng *rand.Rand) int {
	p.matches = s.Index.Lookup(p.matches[:0], s.IndexTime(now), r.Blocks, maxHolders, rng)
	held := 0
	for _, m := range p.matches {
		held = max(held, m.HeldBlocks)
		p.addCandidate(now, r, s, s.upstreamByHandle(m.Engine))
	}
	return held
}

// addCandidate adds u as a candidate if it is selectable and not yet one.
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
	held, expected := s.Index.CachedPrefix(u.IndexHandle, s.IndexTime(now), r.Blocks)
	return candidate{upstream: u, heldBlocks: held, expectedBlocks: expected}
}

// findImportable determines which blocks of the request can be imported from the KV
// store.
func (p *LeastTTFT) findImportable(now time.Time, r *Request, s *Store) {
	usable := p.params.ImportRate > 0 && !now.Before(s.KVPausedUntil)
	for i := range min(len(r.Blocks), maxKVBlocks) {
		p.inKV[i] = usable && s.KVBlocks.Has(r.Blocks[i], s.IndexTime(now))
	}
}

// prefixAfterImport returns the number of leading blocks that the candidate would
// hold after an import of the available ones.
func (p *LeastTTFT) prefixAfterImport(r *Request, c *candidate) int {
	n := c.heldBlocks
	for n < min(len(r.Blocks), maxKVBlocks) && p.inKV[n] {
		n++
	}
	return n
}

// score sets the estimated time to first token and the score of a candidate.
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
	// An import runs in parallel with the prefill of requests ahead in the queue.
	wait := max(queue, transfer)
	c.ttft = wait + prefill + network
	if u.FailedPolls > 0 {
		network += failedPollPenalty
	}
	w := &p.params.ScoreWeights
	c.score = time.Duration(w.Queue*float64(wait)+w.Prefill*float64(prefill)) + network + lanePenalty(u, prefill)
}

// lanePenalty returns the cost of a long prefill on an upstream outside the long
// lane, or of a short one in it. Load reports show other instances' requests late,
// and a short request behind an unreported long prefill waits for many times its
// own prefill time. Long prefills therefore stay in a part of the pool while it is
// not busy.
func lanePenalty(u *Upstream, prefill time.Duration) time.Duration {
	long := prefill >= longPrefillTime
	switch {
	case u.PrefillPerSec <= 0:
		return 0 // a service without a prefill rate, not an engine
	case long && !u.inLongLane:
		return longPrefillPenalty
	case !long && u.inLongLane:
		return shortPrefillPenalty
	}
	return 0
}

// transferAndPrefill returns the times to import and to compute the blocks that are
// not cached. If importing is faster than computing, it updates the candidate's
// blocks accordingly.
func (p *LeastTTFT) transferAndPrefill(r *Request, u *Upstream, c *candidate) (transfer, prefill time.Duration) {
	if u.PrefillPerSec <= 0 {
		return 0, 0
	}
	prefill = seconds(r.uncached(c.expectedBlocks) / u.PrefillPerSec)
	n := p.prefixAfterImport(r, c)
	if n <= c.heldBlocks {
		return 0, prefill
	}
	blocks := float64(n - c.heldBlocks)
	transfer = importOverhead + seconds(blocks*float64(r.BlockTokens)/p.params.ImportRate)
	remaining := seconds(r.uncached(c.expectedBlocks+blocks) / u.PrefillPerSec)
	if transfer+remaining >= prefill {
		return 0, prefill
	}
	c.blocksAfterImport = n
	c.expectedBlocks += blocks
	return transfer, remaining
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// chooseNearBest chooses among the admitted candidates whose scores are close to
// the best. If a block of the request is not cached, a rendezvous hash decides, which
// is equal on all instances, so that concurrent requests with the same uncached
// prefix go to one engine. Otherwise it takes the less loaded of two random ones.
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
	firstUncached := int(p.candidates[best].expectedBlocks + 0.5)
	if firstUncached < len(r.Blocks) {
		return p.coldPrefixCandidate(r, firstUncached, near[:n])
	}
	a, b := near[rng.IntN(n)], near[rng.IntN(n)]
	if p.candidates[b].upstream.TotalInFlight() < p.candidates[a].upstream.TotalInFlight() {
		return b
	}
	return a
}

// coldPrefixCandidate returns the candidate that the first uncached block hashes to.
func (p *LeastTTFT) coldPrefixCandidate(r *Request, firstUncached int, near []int) int {
	best, bestHash := near[0], uint64(0)
	for _, i := range near {
		if p.candidates[i].coldHashTarget {
			return i
		}
		if v := rendezvous(r.Blocks[firstUncached], p.candidates[i].upstream); v >= bestHash {
			best, bestHash = i, v
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

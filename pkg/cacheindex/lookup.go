package cacheindex

import (
	"math/rand/v2"
	"time"

	"github.com/fescuestep/fescuestep/pkg/block"
)

// Match is an engine that holds a prefix of the blocks looked up.
type Match struct {
	Engine         EngineHandle
	HeldBlocks     int     // leading blocks held according to the index
	ExpectedBlocks float64 // expected number of those still cached
}

// maxLookupBlocks bounds the blocks that one lookup examines. Blocks have about
// 2,000 tokens, so longer prompts are rare.
const maxLookupBlocks = 64

// Lookup appends to dst up to limit engines that hold the longest prefixes of
// blocks, longest first. If a block has more holders than limit, the scan starts
// at a random one, so that instances do not all find the same engines.
func (x *Index) Lookup(dst []Match, now time.Duration, blocks []block.Hash, limit int, rng *rand.Rand) []Match {
	var positions [maxLookupBlocks]int
	n := x.findPrefix(blocks, &positions)
	base := len(dst)
	for last := n - 1; last >= 0 && len(dst)-base < limit; last-- {
		dst = x.appendHolders(dst, base, now, blocks, &positions, last, limit, rng)
	}
	return dst
}

// findPrefix returns the number of leading blocks that have an entry of any
// engine, and stores their positions in their segments.
func (x *Index) findPrefix(blocks []block.Hash, positions *[maxLookupBlocks]int) int {
	n := min(len(blocks), maxLookupBlocks)
	for i := 0; i < n; i++ {
		key := keyOf(blocks[i])
		positions[i] = x.segments[segmentOf(key)].find(key)
		if positions[i] < 0 {
			return i
		}
	}
	return n
}

// maxHolderScan bounds the holders examined per block. Some of them may not
// count as matches, because a holder of a block may have evicted an earlier one.
const maxHolderScan = 32

// appendHolders appends engines that hold all blocks up to the one at index
// last, until dst has limit entries after base.
func (x *Index) appendHolders(dst []Match, base int, now time.Duration, blocks []block.Hash, positions *[maxLookupBlocks]int, last, limit int, rng *rand.Rand) []Match {
	seg := &x.segments[segmentOf(keyOf(blocks[last]))]
	c := &seg.cells[positions[last]]
	if c.ref&setFlag == 0 {
		return x.appendMatch(dst, base, now, blocks, positions, last, c.ref)
	}
	set := seg.sets[c.ref&^setFlag]
	start := 0
	if len(set) > limit {
		start = rng.IntN(len(set))
	}
	for i := 0; i < min(len(set), maxHolderScan) && len(dst)-base < limit; i++ {
		dst = x.appendMatch(dst, base, now, blocks, positions, last, set[(start+i)%len(set)].slot)
	}
	return dst
}

// appendMatch appends the engine of a slot if it holds all blocks up to the one
// at index last and is not in dst after base.
func (x *Index) appendMatch(dst []Match, base int, now time.Duration, blocks []block.Hash, positions *[maxLookupBlocks]int, last int, slot uint32) []Match {
	s := &x.slots[slot]
	if !s.live {
		return dst
	}
	for i := base; i < len(dst); i++ {
		if dst[i].Engine == s.engine {
			return dst
		}
	}
	st := &x.engines[s.engine]
	expected, prefixProbability := 0.0, 1.0
	for i := 0; i <= last; i++ {
		seg := &x.segments[segmentOf(keyOf(blocks[i]))]
		tick, ok := seg.cells[positions[i]].tickOf(seg, slot)
		if !ok {
			return dst
		}
		prefixProbability = min(prefixProbability, st.cachedProbability(now, tick))
		expected += prefixProbability
	}
	return append(dst, Match{Engine: s.engine, HeldBlocks: last + 1, ExpectedBlocks: expected})
}

// CachedPrefix returns the number of leading blocks that the engine holds
// according to the index, and the expected number of those still cached.
func (x *Index) CachedPrefix(e EngineHandle, now time.Duration, blocks []block.Hash) (held int, expected float64) {
	st := &x.engines[e]
	prefixProbability := 1.0
	for i, h := range blocks {
		key := keyOf(h)
		tick, ok := x.segments[segmentOf(key)].get(key, st.slot)
		if !ok {
			return i, expected
		}
		prefixProbability = min(prefixProbability, st.cachedProbability(now, tick))
		expected += prefixProbability
	}
	return len(blocks), expected
}

// LongestPrefix returns the number of leading blocks that have an entry of any
// engine. It is an upper bound of the longest prefix on one engine.
func (x *Index) LongestPrefix(blocks []block.Hash) int {
	var positions [maxLookupBlocks]int
	return x.findPrefix(blocks, &positions)
}

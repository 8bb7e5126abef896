package cacheindex

import (
	"math/rand/v2"
	"time"

	"github.com/fescuestep/fescuestep/pkg/block"
)

// Match is an engine that holds a prefix of the requested blocks.
type Match struct {
	Engine         EngineHandle
	HeldBlocks     int     // contiguous blocks held from the root
	ExpectedBlocks float64 // expected number of those still cached on arrival
}

// maxLookupBlocks bounds the levels that one lookup examines; blocks are about
// 2,000 tokens, so that longer prompts are rare.
const maxLookupBlocks = 64

// Lookup appends to dst up to limit engines that hold the longest prefixes of
// blocks, deepest first. Where more engines hold a level than are wanted,
// it begins at a random one, so that instances do not all see the same few.
func (x *Index) Lookup(dst []Match, now time.Duration, blocks []block.Hash, limit int, rng *rand.Rand) []Match {
	var found [maxLookupBlocks]int
	depth := x.findPrefix(blocks, &found)
	base := len(dst)
	for level := depth - 1; level >= 0 && len(dst)-base < limit; level-- {
		dst = x.appendHolders(dst, base, now, blocks, &found, level, limit, rng)
	}
	return dst
}

// findPrefix returns the number of leading blocks that any engine holds, and their
// positions in their segments.
func (x *Index) findPrefix(blocks []block.Hash, found *[maxLookupBlocks]int) int {
	n := min(len(blocks), maxLookupBlocks)
	for i := 0; i < n; i++ {
		key := keyOf(blocks[i])
		found[i] = x.segments[segmentOf(key)].find(key)
		if found[i] < 0 {
			return i
		}
	}
	return n
}

// maxHolderScan bounds the holders examined per level, because holders of a deep
// block need not hold all blocks before it.
const maxHolderScan = 32

func (x *Index) appendHolders(dst []Match, base int, now time.Duration, blocks []block.Hash, found *[maxLookupBlocks]int, level, limit int, rng *rand.Rand) []Match {
	seg := &x.segments[segmentOf(keyOf(blocks[level]))]
	c := &seg.cells[found[level]]
	if c.ref&setFlag == 0 {
		return x.appendMatch(dst, base, now, blocks, found, level, c.ref)
	}
	set := seg.sets[c.ref&^setFlag]
	start := 0
	if len(set) > limit {
		start = rng.IntN(len(set))
	}
	for i := 0; i < min(len(set), maxHolderScan) && len(dst)-base < limit; i++ {
		dst = x.appendMatch(dst, base, now, blocks, found, level, set[(start+i)%len(set)].slot)
	}
	return dst
}

// appendMatch appends the slot's engine when it holds all blocks up to level and
// is not yet listed.
func (x *Index) appendMatch(dst []Match, base int, now time.Duration, blocks []block.Hash, found *[maxLookupBlocks]int, level int, slot uint32) []Match {
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
	expect, all := 0.0, 1.0
	for i := 0; i <= level; i++ {
		seg := &x.segments[segmentOf(keyOf(blocks[i]))]
		tick, ok := seg.cells[found[i]].tickOf(seg, slot)
		if !ok {
			return dst
		}
		all = min(all, st.cachedProbability(now, tick))
		expect += all
	}
	return append(dst, Match{Engine: s.engine, HeldBlocks: level + 1, ExpectedBlocks: expect})
}

// CachedPrefix returns how many leading blocks the engine holds according to the
// index, and the expected number of those still cached.
func (x *Index) CachedPrefix(e EngineHandle, now time.Duration, blocks []block.Hash) (levels int, expect float64) {
	st := &x.engines[e]
	all := 1.0
	for i, h := range blocks {
		key := keyOf(h)
		tick, ok := x.segments[segmentOf(key)].get(key, st.slot)
		if !ok {
			return i, expect
		}
		all = min(all, st.cachedProbability(now, tick))
		expect += all
	}
	return len(blocks), expect
}

// LongestPrefix returns how many leading blocks any engine holds.
func (x *Index) LongestPrefix(blocks []block.Hash) int {
	var found [maxLookupBlocks]int
	return x.findPrefix(blocks, &found)
}

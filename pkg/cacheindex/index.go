// Package cacheindex maps chained block hashes to the engines that hold the
// blocks, from cache events that arrive late and with gaps.
//
// Entries belong to one incarnation of an engine and one weights version: a
// new incarnation or version makes all earlier entries of the engine invalid
// at once, and their memory is reclaimed by a sweep in small steps. Hashes
// include the customer's cache scope, the model, the adapter and the weights
// version, so that a lookup cannot find blocks of another identity.
package cacheindex

import (
	"time"

	"github.com/fescuestep/fescuestep/pkg/block"
)

// tickLength is the resolution of entry times; 32 bits last for 497 days.
const tickLength = 10 * time.Millisecond

// Engine is the index's handle of an engine. Handles are dense and start at 0.
type Engine int32

// slot is one incarnation and cache generation of an engine.
type slot struct {
	engine Engine
	live   bool
	died   uint64 // sweep position at which it died
}

// engineState is what the index knows of one engine.
type engineState struct {
	id          string
	known       bool // a batch of this incarnation was applied
	incarnation string
	weights     string
	previous    []string // incarnations that ended, newest last
	slot        uint32
	seq         uint64
	gap         bool          // entries are uncertain until a resync
	synced      time.Duration // last time the entries were known to be current
	survival    survival
	blocks      int
}

// Index is the index of one pool. It is not safe for concurrent use.
type Index struct {
	segments []segment
	slots    []slot
	freeSlot []uint32
	engines  []engineState
	byID     map[string]Engine
	count    int // holders

	sweepSegment int
	sweepCell    int
	sweeps       uint64 // completed passes over all segments
	deadSlots    []uint32
}

// New returns an empty index.
func New() *Index {
	return &Index{segments: make([]segment, segmentCount), byID: map[string]Engine{}}
}

// Engine returns the handle of an engine, adding it when it is new.
func (x *Index) Engine(id string) Engine {
	if e, ok := x.byID[id]; ok {
		return e
	}
	e := Engine(len(x.engines))
	x.byID[id] = e
	x.engines = append(x.engines, engineState{id: id})
	x.engines[e].slot = x.newSlot(e)
	return e
}

// Remove forgets an engine that left the pool. Its handle stays reserved and
// is used again when the engine returns under the same ID.
func (x *Index) Remove(id string) {
	e, ok := x.byID[id]
	if !ok {
		return
	}
	st := &x.engines[e]
	x.reset(e)
	st.known = false
	st.previous = remember(st.previous, st.incarnation)
	st.incarnation = ""
}

// Incarnation returns the incarnation that the engine's entries belong to,
// empty when unknown.
func (x *Index) Incarnation(e Engine) string { return x.engines[e].incarnation }

// Uncertain reports whether the engine's entries wait for a resync.
func (x *Index) Uncertain(e Engine) bool { return x.engines[e].gap || !x.engines[e].known }

// Blocks returns the number of blocks that the index holds for the engine.
func (x *Index) Blocks(e Engine) int { return x.engines[e].blocks }

// Survival returns the learned survival time of the engine's blocks, 0 while
// no eviction has been seen.
func (x *Index) Survival(e Engine) time.Duration { return x.engines[e].survival.mean() }

// Len returns the number of entries, including those not yet swept.
func (x *Index) Len() int { return x.count }

// Bytes returns the memory used by entries.
func (x *Index) Bytes() int {
	n := 0
	for i := range x.segments {
		n += x.segments[i].bytes()
	}
	return n
}

func tickOf(now time.Duration) uint32 { return uint32(now / tickLength) }

// keyOf maps the hash 0 to another value, because 0 marks an empty cell.
func keyOf(h block.Hash) uint64 {
	if h == 0 {
		return 1
	}
	return uint64(h)
}

func (x *Index) newSlot(e Engine) uint32 {
	s := slot{engine: e, live: true}
	if n := len(x.freeSlot); n > 0 {
		id := x.freeSlot[n-1]
		x.freeSlot = x.freeSlot[:n-1]
		x.slots[id] = s
		return id
	}
	x.slots = append(x.slots, s)
	return uint32(len(x.slots) - 1)
}

// reset invalidates all entries of the engine by giving it a new slot.
func (x *Index) reset(e Engine) {
	st := &x.engines[e]
	old := st.slot
	st.blocks = 0
	x.slots[old].live = false
	x.slots[old].died = x.sweeps
	x.deadSlots = append(x.deadSlots, old)
	st.slot = x.newSlot(e)
}

func (x *Index) add(e Engine, h block.Hash, tick uint32) {
	key := keyOf(h)
	st := &x.engines[e]
	if x.segments[segmentOf(key)].add(key, st.slot, tick) {
		st.blocks++
		x.count++
	}
}

func (x *Index) remove(e Engine, h block.Hash) (tick uint32, ok bool) {
	key := keyOf(h)
	st := &x.engines[e]
	tick, ok = x.segments[segmentOf(key)].remove(key, st.slot)
	if ok {
		st.blocks--
		x.count--
	}
	return tick, ok
}

// sweepCells is the number of cells examined per event while dead entries
// exist. Above 1 the sweep finishes before as many events as cells arrived.
const sweepCells = 4

// sweep examines up to n cells and reclaims the entries of dead slots. A slot
// number is used again only after a full pass that began after its death.
func (x *Index) sweep(n int) {
	if len(x.deadSlots) == 0 {
		return
	}
	dead := func(s uint32) bool { return !x.slots[s].live }
	for ; n > 0; n-- {
		seg := &x.segments[x.sweepSegment]
		if x.sweepCell >= len(seg.cells) {
			x.nextSegment()
			if len(x.deadSlots) == 0 {
				return
			}
			continue
		}
		removed, replaced := seg.sweep(x.sweepCell, dead)
		x.count -= removed
		if !replaced {
			x.sweepCell++
		}
	}
}

func (x *Index) nextSegment() {
	x.sweepCell = 0
	x.sweepSegment++
	if x.sweepSegment < len(x.segments) {
		return
	}
	x.sweepSegment = 0
	x.sweeps++
	kept := x.deadSlots[:0]
	for _, id := range x.deadSlots {
		if x.sweeps >= x.slots[id].died+2 {
			x.freeSlot = append(x.freeSlot, id)
		} else {
			kept = append(kept, id)
		}
	}
	x.deadSlots = kept
}

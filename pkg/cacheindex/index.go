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

// EngineHandle is the index's handle of an engine. Handles are dense and start at 0.
type EngineHandle int32

// slot is one incarnation and cache generation of an engine.
type slot struct {
	engine           EngineHandle
	live             bool
	invalidatedSweep uint64 // sweep position at which it died
}

// engineState is what the index knows of one engine.
type engineState struct {
	id                   string
	initialized          bool // a batch of this incarnation was applied
	incarnation          string
	weightsVersion       string
	previousIncarnations []string // incarnations that ended, newest last
	slot                 uint32
	seq                  uint64
	gap                  bool          // entries are uncertain until a resync
	syncedAt             time.Duration // last time the entries were known to be current
	survival             survival
	blockCount           int
}

// Index is the index of one pool. It is not safe for concurrent use.
type Index struct {
	segments   []segment
	slots      []slot
	freeSlots  []uint32
	engines    []engineState
	byID       map[string]EngineHandle
	entryCount int // holders

	sweepSegment    int
	sweepCell       int
	completedSweeps uint64 // completed passes over all segments
	deadSlots       []uint32
}

// New returns an empty index.
func New() *Index {
	return &Index{segments: make([]segment, segmentCount), byID: map[string]EngineHandle{}}
}

// AddEngine returns the handle of an engine, adding it when it is new.
func (x *Index) AddEngine(id string) EngineHandle {
	if e, ok := x.byID[id]; ok {
		return e
	}
	e := EngineHandle(len(x.engines))
	x.byID[id] = e
	x.engines = append(x.engines, engineState{id: id})
	x.engines[e].slot = x.newSlot(e)
	return e
}

// RemoveEngine forgets an engine that left the pool. Its handle stays reserved and
// is used again when the engine returns under the same ID.
func (x *Index) RemoveEngine(id string) {
	e, ok := x.byID[id]
	if !ok {
		return
	}
	st := &x.engines[e]
	x.invalidate(e)
	st.initialized = false
	st.previousIncarnations = appendPrevious(st.previousIncarnations, st.incarnation)
	st.incarnation = ""
}

// Incarnation returns the incarnation that the engine's entries belong to,
// empty when unknown.
func (x *Index) Incarnation(e EngineHandle) string { return x.engines[e].incarnation }

// NeedsSnapshot reports whether the engine's entries wait for a resync.
func (x *Index) NeedsSnapshot(e EngineHandle) bool {
	return x.engines[e].gap || !x.engines[e].initialized
}

// BlockCount returns the number of blocks that the index holds for the engine.
func (x *Index) BlockCount(e EngineHandle) int { return x.engines[e].blockCount }

// SurvivalTime returns the learned survival time of the engine's blocks, 0 while
// no eviction has been seen.
func (x *Index) SurvivalTime(e EngineHandle) time.Duration { return x.engines[e].survival.mean() }

// Len returns the number of entries, including those not yet swept.
func (x *Index) Len() int { return x.entryCount }

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

func (x *Index) newSlot(e EngineHandle) uint32 {
	s := slot{engine: e, live: true}
	if n := len(x.freeSlots); n > 0 {
		id := x.freeSlots[n-1]
		x.freeSlots = x.freeSlots[:n-1]
		x.slots[id] = s
		return id
	}
	x.slots = append(x.slots, s)
	return uint32(len(x.slots) - 1)
}

// invalidate invalidates all entries of the engine by giving it a new slot.
func (x *Index) invalidate(e EngineHandle) {
	st := &x.engines[e]
	old := st.slot
	st.blockCount = 0
	x.slots[old].live = false
	x.slots[old].invalidatedSweep = x.completedSweeps
	x.deadSlots = append(x.deadSlots, old)
	st.slot = x.newSlot(e)
}

func (x *Index) addEntry(e EngineHandle, h block.Hash, tick uint32) {
	key := keyOf(h)
	st := &x.engines[e]
	if x.segments[segmentOf(key)].add(key, st.slot, tick) {
		st.blockCount++
		x.entryCount++
	}
}

func (x *Index) removeEntry(e EngineHandle, h block.Hash) (tick uint32, ok bool) {
	key := keyOf(h)
	st := &x.engines[e]
	tick, ok = x.segments[segmentOf(key)].remove(key, st.slot)
	if ok {
		st.blockCount--
		x.entryCount--
	}
	return tick, ok
}

// sweepCellsPerEvent is the number of cells examined per event while dead entries
// exist. Above 1 the sweep finishes before as many events as cells arrived.
const sweepCellsPerEvent = 4

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
			x.advanceSweep()
			if len(x.deadSlots) == 0 {
				return
			}
			continue
		}
		removed, replaced := seg.sweep(x.sweepCell, dead)
		x.entryCount -= removed
		if !replaced {
			x.sweepCell++
		}
	}
}

func (x *Index) advanceSweep() {
	x.sweepCell = 0
	x.sweepSegment++
	if x.sweepSegment < len(x.segments) {
		return
	}
	x.sweepSegment = 0
	x.completedSweeps++
	kept := x.deadSlots[:0]
	for _, id := range x.deadSlots {
		if x.completedSweeps >= x.slots[id].invalidatedSweep+2 {
			x.freeSlots = append(x.freeSlots, id)
		} else {
			kept = append(kept, id)
		}
	}
	x.deadSlots = kept
}

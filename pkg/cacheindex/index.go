// Package cacheindex maps chained block hashes to the engines that hold the
// blocks. It is built from cache events, which may arrive late or be lost.
//
// An entry belongs to one incarnation of an engine and one weights version. A
// new incarnation or version invalidates all earlier entries of the engine at
// once; an incremental sweep reclaims their memory. Hashes include the customer's
// cache scope, the model, the adapter and the weights version, so a lookup cannot
// find blocks that were computed under another one of these.
package cacheindex

import (
	"time"

	"github.com/fescuestep/fescuestep/pkg/block"
)

// tickLength is the resolution of entry times. 32-bit ticks overflow after 497
// days.
const tickLength = 10 * time.Millisecond

// EngineHandle identifies an engine within one index. Handles are dense and
// start at 0.
type EngineHandle int32

// slot identifies the entries of an engine that become invalid together: those
// since its last restart, change of weights, cache clear or snapshot.
type slot struct {
	engine           EngineHandle
	live             bool
	invalidatedSweep uint64 // completedSweeps when it became invalid
}

// engineState is the state of one engine in the index.
type engineState struct {
	id                   string
	initialized          bool // a batch of this incarnation was received
	incarnation          string
	weightsVersion       string
	previousIncarnations []string // ended incarnations, newest last
	slot                 uint32
	seq                  uint64
	gap                  bool          // events were lost; entries are uncertain until a snapshot or a cache clear
	syncedAt             time.Duration // when the entries were last in sync with the engine
	survival             survival
	blockCount           int
}

// Index maps the block hashes of one pool to engines. Times passed to it are
// durations since an origin that the caller chooses. It is not safe for
// concurrent use.
type Index struct {
	segments   []segment
	slots      []slot
	freeSlots  []uint32
	engines    []engineState
	byID       map[string]EngineHandle
	entryCount int // pairs of block and slot, including invalid ones

	sweepSegment    int
	sweepCell       int
	completedSweeps uint64 // completed sweeps over all segments
	deadSlots       []uint32
}

// New returns an empty index.
func New() *Index {
	return &Index{segments: make([]segment, segmentCount), byID: map[string]EngineHandle{}}
}

// AddEngine adds an engine unless the index has it, and returns its handle.
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

// RemoveEngine invalidates the entries of an engine that left the pool. Its
// handle stays reserved and is used again if the engine returns under the same
// ID.
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

// Incarnation returns the incarnation that the engine's entries belong to, or
// an empty string if it is unknown.
func (x *Index) Incarnation(e EngineHandle) string { return x.engines[e].incarnation }

// NeedsSnapshot reports whether the engine's entries are incomplete or
// uncertain until a snapshot is applied.
func (x *Index) NeedsSnapshot(e EngineHandle) bool {
	return x.engines[e].gap || !x.engines[e].initialized
}

// BlockCount returns the number of blocks that the engine holds according to
// the index.
func (x *Index) BlockCount(e EngineHandle) int { return x.engines[e].blockCount }

// SurvivalTime returns the mean time from the last known use of a block to its
// eviction by the engine, or 0 before the first eviction event.
func (x *Index) SurvivalTime(e EngineHandle) time.Duration { return x.engines[e].survival.mean() }

// Len returns the number of entries, including invalid ones not yet swept.
func (x *Index) Len() int { return x.entryCount }

// Bytes returns the memory used by the entries in bytes.
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

// invalidate makes all entries of the engine invalid by giving it a new slot.
func (x *Index) invalidate(e EngineHandle) {
	st := &x.engines[e]
	oldSlot := st.slot
	st.blockCount = 0
	x.slots[oldSlot].live = false
	x.slots[oldSlot].invalidatedSweep = x.completedSweeps
	x.deadSlots = append(x.deadSlots, oldSlot)
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

// sweepCellsPerEvent is the number of cells examined per event while invalid
// entries exist. A value above 1 makes a sweep finish before as many events
// arrive as there are cells.
const sweepCellsPerEvent = 4

// sweep examines up to n cells and reclaims the entries of dead slots. A slot
// number is reused only after a full sweep that began after the slot became
// invalid.
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

// advanceSweep moves the sweep to the next segment. After the last one it frees
// the dead slots whose entries have all been reclaimed.
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

package cacheindex

import (
	"slices"
	"time"

	"github.com/fescuestep/fescuestep/pkg/block"
	"github.com/fescuestep/fescuestep/pkg/engine"
)

// maxPreviousIncarnations bounds the ended incarnations kept per engine. Late
// batches of an ended incarnation arrive within seconds, so only the last few
// restarts matter.
const maxPreviousIncarnations = 8

// ApplyResult is the effect of a batch on the index.
type ApplyResult int

// Results of Apply.
const (
	OK      ApplyResult = iota
	Ignored             // from an earlier incarnation, or an outdated snapshot
	Gap                 // events were lost; a snapshot is needed
)

// Apply applies a batch of cache events that was received at now, a time on the
// clock of the index. If it returns Gap, the caller has to request a snapshot.
func (x *Index) Apply(now time.Duration, e EngineHandle, batch *engine.EventBatch) ApplyResult {
	st := &x.engines[e]
	if batch.Incarnation != st.incarnation {
		if slices.Contains(st.previousIncarnations, batch.Incarnation) {
			return Ignored
		}
		x.SetIncarnation(e, batch.Incarnation)
	}
	if st.weightsVersion != batch.Weights {
		x.setWeightsVersion(e, batch)
	}
	if batch.Snapshot {
		return x.applySnapshot(now, e, batch)
	}
	return x.applyEvents(now, e, batch)
}

// SetIncarnation records that the engine runs as the given incarnation. The
// entries of the previous incarnation become invalid and its late events are
// ignored. The call has no effect if the incarnation is current or has ended.
func (x *Index) SetIncarnation(e EngineHandle, incarnation string) {
	st := &x.engines[e]
	if st.incarnation == incarnation || slices.Contains(st.previousIncarnations, incarnation) {
		return
	}
	if st.incarnation != "" {
		st.previousIncarnations = appendPrevious(st.previousIncarnations, st.incarnation)
		x.invalidate(e)
	}
	st.incarnation = incarnation
	st.initialized = false
	st.gap = false
	st.seq = 0
	st.weightsVersion = ""
}

func appendPrevious(previous []string, incarnation string) []string {
	if incarnation == "" {
		return previous
	}
	if len(previous) == maxPreviousIncarnations {
		previous = slices.Delete(previous, 0, 1)
	}
	return append(previous, incarnation)
}

func (x *Index) setWeightsVersion(e EngineHandle, batch *engine.EventBatch) {
	st := &x.engines[e]
	if st.weightsVersion != "" {
		x.invalidate(e) // hashes include the weights version, so old entries cannot match
		st.gap = !batch.Snapshot
	}
	st.weightsVersion = batch.Weights
}

// applySnapshot replaces the engine's entries with those of a snapshot. Blocks
// that already had an entry keep its time.
func (x *Index) applySnapshot(now time.Duration, e EngineHandle, batch *engine.EventBatch) ApplyResult {
	st := &x.engines[e]
	if st.initialized && !st.gap && batch.Seq < st.seq {
		return Ignored
	}
	oldSlot, tick := st.slot, tickOf(now)
	ticks := make([]uint32, len(batch.Blocks))
	for i, h := range batch.Blocks {
		ticks[i] = tick
		key := keyOf(h)
		if t, ok := x.segments[segmentOf(key)].get(key, oldSlot); ok {
			ticks[i] = t
		}
	}
	x.invalidate(e)
	for i, h := range batch.Blocks {
		x.addEntry(e, h, ticks[i])
	}
	x.sweep(len(batch.Blocks) * sweepCellsPerEvent)
	st.initialized, st.gap = true, false
	st.seq, st.syncedAt = batch.Seq, now
	return OK
}

func (x *Index) applyEvents(now time.Duration, e EngineHandle, batch *engine.EventBatch) ApplyResult {
	st := &x.engines[e]
	if !st.initialized {
		st.initialized = true
		st.gap = len(batch.Events) > 0 && batch.Events[0].Seq != 1
	}
	for i := range batch.Events {
		x.applyEvent(now, e, &batch.Events[i])
	}
	if batch.Seq > st.seq {
		st.gap = true // events at the end of the batch were lost
		st.seq = batch.Seq
	}
	if st.gap {
		return Gap
	}
	st.syncedAt = now
	return OK
}

func (x *Index) applyEvent(now time.Duration, e EngineHandle, ev *engine.Event) {
	st := &x.engines[e]
	if ev.Seq <= st.seq {
		return // delivered twice
	}
	if ev.Seq != st.seq+1 {
		st.gap = true
	}
	st.seq = ev.Seq
	x.sweep(sweepCellsPerEvent)
	switch ev.Kind {
	case engine.Stored:
		tick := tickOf(now)
		for _, h := range ev.Blocks {
			x.addEntry(e, h, tick)
		}
	case engine.Removed:
		for _, h := range ev.Blocks {
			if tick, ok := x.removeEntry(e, h); ok {
				st.survival.observe(now - time.Duration(tick)*tickLength)
			}
		}
	case engine.Cleared:
		x.invalidate(e)
		st.gap = false // the cache is empty, so lost events no longer matter
	}
}

// Touch records that a request on the incarnation used or computed the blocks
// at now. It updates the index before the engine's own events arrive, and does
// nothing if the incarnation is not the current one.
func (x *Index) Touch(now time.Duration, e EngineHandle, incarnation string, blocks []block.Hash) {
	if incarnation == "" || x.engines[e].incarnation != incarnation {
		return
	}
	tick := tickOf(now)
	for _, h := range blocks {
		x.addEntry(e, h, tick)
	}
}

// Position returns the position up to which the engine's events were applied.
// While a snapshot is needed it is the zero position, which requests one.
func (x *Index) Position(e EngineHandle) engine.Position {
	st := &x.engines[e]
	if st.gap || !st.initialized {
		return engine.Position{}
	}
	return engine.Position{Incarnation: st.incarnation, Seq: st.seq}
}

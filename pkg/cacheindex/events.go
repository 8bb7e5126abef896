package cacheindex

import (
	"slices"
	"time"

	"github.com/fescuestep/fescuestep/pkg/block"
	"github.com/fescuestep/fescuestep/pkg/engine"
)

// maxPrevious bounds the remembered incarnations of an engine. Late batches of
// older ones arrive within seconds, so that a few restarts suffice.
const maxPrevious = 8

// Applied says what a batch did.
type Applied int

// Results of Apply.
const (
	OK      Applied = iota
	Ignored         // of an older incarnation, or nothing new
	Gap             // events are missing; a snapshot is needed
)

// Apply applies a batch of cache events received at now, the time since the
// start of the process. After Gap the caller reads a snapshot.
func (x *Index) Apply(now time.Duration, e Engine, batch *engine.EventBatch) Applied {
	st := &x.engines[e]
	if batch.Incarnation != st.incarnation {
		if slices.Contains(st.previous, batch.Incarnation) {
			return Ignored
		}
		x.Restarted(e, batch.Incarnation)
	}
	if st.weights != batch.Weights {
		x.changeWeights(e, batch)
	}
	if batch.Snapshot {
		return x.resync(now, e, batch)
	}
	return x.events(now, e, batch)
}

// Restarted records that the engine runs as another incarnation: entries of
// the earlier one are dropped and its late events are ignored from now on.
func (x *Index) Restarted(e Engine, incarnation string) {
	st := &x.engines[e]
	if st.incarnation == incarnation || slices.Contains(st.previous, incarnation) {
		return
	}
	if st.incarnation != "" {
		st.previous = remember(st.previous, st.incarnation)
		x.reset(e)
	}
	st.incarnation = incarnation
	st.known = false
	st.gap = false
	st.seq = 0
	st.weights = ""
}

func remember(previous []string, incarnation string) []string {
	if incarnation == "" {
		return previous
	}
	if len(previous) == maxPrevious {
		previous = slices.Delete(previous, 0, 1)
	}
	return append(previous, incarnation)
}

func (x *Index) changeWeights(e Engine, batch *engine.EventBatch) {
	st := &x.engines[e]
	if st.weights != "" {
		x.reset(e) // hashes of other weights cannot be hit any more
		st.gap = !batch.Snapshot
	}
	st.weights = batch.Weights
}

// resync replaces the engine's entries. Blocks that were known keep their time.
func (x *Index) resync(now time.Duration, e Engine, batch *engine.EventBatch) Applied {
	st := &x.engines[e]
	if st.known && !st.gap && batch.Seq < st.seq {
		return Ignored
	}
	old, tick := st.slot, tickOf(now)
	known := make([]uint32, len(batch.Blocks))
	for i, h := range batch.Blocks {
		known[i] = tick
		key := keyOf(h)
		if t, ok := x.segments[segmentOf(key)].get(key, old); ok {
			known[i] = t
		}
	}
	x.reset(e)
	for i, h := range batch.Blocks {
		x.add(e, h, known[i])
	}
	x.sweep(len(batch.Blocks) * sweepCells)
	st.known, st.gap = true, false
	st.seq, st.synced = batch.Seq, now
	return OK
}

func (x *Index) events(now time.Duration, e Engine, batch *engine.EventBatch) Applied {
	st := &x.engines[e]
	if !st.known {
		st.known = true
		st.gap = len(batch.Events) > 0 && batch.Events[0].Seq != 1
	}
	for i := range batch.Events {
		x.event(now, e, &batch.Events[i])
	}
	if batch.Seq > st.seq {
		st.gap = true // events at the end of the batch are missing
		st.seq = batch.Seq
	}
	if st.gap {
		return Gap
	}
	st.synced = now
	return OK
}

func (x *Index) event(now time.Duration, e Engine, ev *engine.Event) {
	st := &x.engines[e]
	if ev.Seq <= st.seq {
		return // delivered twice
	}
	if ev.Seq != st.seq+1 {
		st.gap = true
	}
	st.seq = ev.Seq
	x.sweep(sweepCells)
	switch ev.Kind {
	case engine.Stored:
		tick := tickOf(now)
		for _, h := range ev.Blocks {
			x.add(e, h, tick)
		}
	case engine.Removed:
		for _, h := range ev.Blocks {
			if tick, ok := x.remove(e, h); ok {
				st.survival.observe(now - time.Duration(tick)*tickLength)
			}
		}
	case engine.Cleared:
		x.reset(e)
		st.gap = false // nothing is cached, so nothing is uncertain
	}
}

// Touch records that a request on the incarnation has just used or computed
// the blocks. It runs ahead of the engine's own events.
func (x *Index) Touch(now time.Duration, e Engine, incarnation string, blocks []block.Hash) {
	if incarnation == "" || x.engines[e].incarnation != incarnation {
		return
	}
	tick := tickOf(now)
	for _, h := range blocks {
		x.add(e, h, tick)
	}
}

// Position returns where the reader of the engine's events stands. During a
// gap it is the zero position, which asks for a snapshot.
func (x *Index) Position(e Engine) engine.Position {
	st := &x.engines[e]
	if st.gap || !st.known {
		return engine.Position{}
	}
	return engine.Position{Incarnation: st.incarnation, Seq: st.seq}
}

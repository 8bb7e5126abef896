package shard

import (
	"slices"
	"time"

	"github.com/fescuestep/fescuestep/pkg/block"
	"github.com/fescuestep/fescuestep/pkg/engine"
	rpc "github.com/fescuestep/fescuestep/rpc/peer"
)

// followed is what a follower knows of one engine.
type followed struct {
	id, pool    string
	domain      string
	since       uint64 // membership revision at which it was taken over
	source      uint32 // number of this incarnation, 0 while unknown
	incarnation string
	previous    []string // incarnations that ended, newest last
	weights     string
	seq         uint64
	known, gap  bool
	blocks      map[block.Hash]Partition
	parts       map[Partition][]block.Hash // the same blocks by partition
	changed     changeFunc                 // receives the net changes
	load        engine.LoadReport
	sampled     time.Duration // when the load was sampled, on the own clock
	reported    bool
	read        time.Duration // when events were last read
}

// position returns where the reader of the engine's events stands; during a
// gap it asks for a snapshot.
func (e *followed) position() engine.Position {
	if !e.known || e.gap {
		return engine.Position{}
	}
	return engine.Position{Incarnation: e.incarnation, Seq: e.seq}
}

// partition returns the partition of a block chained to parent. Without a
// known parent the block counts as a root. If the parent was evicted before,
// that is wrong and costs a hit, but never leads to a wrong one: the block is
// found under its own hash only.
func (e *followed) partition(h, parent block.Hash) Partition {
	if p, ok := e.blocks[parent]; ok {
		return p
	}
	return PartitionOf(h)
}

// changeFunc receives a change of an engine's blocks.
type changeFunc func(e *followed, p Partition, h block.Hash)

// put records that the engine holds a block.
func (e *followed) put(h block.Hash, p Partition) {
	if old, ok := e.blocks[h]; ok {
		if old == p {
			return
		}
		e.drop(h)
	}
	e.blocks[h] = p
	e.parts[p] = append(e.parts[p], h)
	e.changed(e, p, h)
}

// drop records that the engine no longer holds a block.
func (e *followed) drop(h block.Hash) {
	p, ok := e.blocks[h]
	if !ok {
		return
	}
	delete(e.blocks, h)
	part := e.parts[p]
	at := slices.Index(part, h)
	part[at] = part[len(part)-1]
	e.parts[p] = part[:len(part)-1]
	if len(part) == 1 {
		delete(e.parts, p)
	}
	e.changed(e, p, h)
}

// holds reports whether the engine holds a block.
func (e *followed) holds(h block.Hash) bool {
	_, ok := e.blocks[h]
	return ok
}

// reset forgets the blocks without reporting changes.
func (e *followed) reset() {
	e.blocks = map[block.Hash]Partition{}
	e.parts = map[Partition][]block.Hash{}
}

// resync replaces the blocks by those of a snapshot.
func (e *followed) resync(batch *engine.EventBatch) {
	want := rooted(batch)
	for h := range e.blocks {
		if _, ok := want[h]; !ok {
			e.drop(h)
		}
	}
	for h, p := range want {
		e.put(h, p)
	}
	e.seq, e.known, e.gap = batch.Seq, true, false
}

// rooted assigns the blocks of a snapshot to partitions by following their
// parents to the root. A snapshot without parents gives no block: its roots
// are unknown.
func rooted(batch *engine.EventBatch) map[block.Hash]Partition {
	out := make(map[block.Hash]Partition, len(batch.Blocks))
	if len(batch.Parents) != len(batch.Blocks) {
		return out
	}
	parents := make(map[block.Hash]block.Hash, len(batch.Blocks))
	for i, h := range batch.Blocks {
		parents[h] = batch.Parents[i]
	}
	for _, h := range batch.Blocks {
		root := h
		// The bound guards against a cycle in a malformed snapshot.
		for range batch.Blocks {
			parent, ok := parents[root]
			if !ok {
				break
			}
			if p, done := out[root]; done {
				out[h] = p
				break
			}
			if _, held := parents[parent]; !held {
				break
			}
			root = parent
		}
		if _, done := out[h]; !done {
			out[h] = PartitionOf(root)
		}
	}
	return out
}

// events applies events in order and notes whether some are missing.
func (e *followed) events(batch *engine.EventBatch) {
	for i := range batch.Events {
		ev := &batch.Events[i]
		if ev.Seq <= e.seq {
			continue // delivered twice
		}
		e.gap = e.gap || ev.Seq != e.seq+1
		e.seq = ev.Seq
		e.event(ev)
	}
	if batch.Seq > e.seq {
		e.gap = true
		e.seq = batch.Seq
	}
	e.known = true
}

func (e *followed) event(ev *engine.Event) {
	switch ev.Kind {
	case engine.Stored:
		parent := ev.Parent
		for _, h := range ev.Blocks {
			e.put(h, e.partition(h, parent))
			parent = h
		}
	case engine.Removed:
		for _, h := range ev.Blocks {
			e.drop(h)
		}
	case engine.Cleared:
		for h := range e.blocks {
			e.drop(h)
		}
		e.gap = false // nothing is cached, so nothing is uncertain
	}
}

// loadMessage returns the load for a message sent at now, nil without a report.
func (e *followed) loadMessage(now time.Duration) *rpc.EngineLoad {
	if !e.reported {
		return nil
	}
	return &rpc.EngineLoad{
		AgeMs:        milliseconds(now - e.sampled),
		Running:      uint32(e.load.Running),
		Waiting:      uint32(e.load.Waiting),
		QueuedTokens: uint32(e.load.QueuedTokens),
		Leaving:      e.load.Leaving,
	}
}

func milliseconds(d time.Duration) uint32 { return uint32(max(d, 0) / time.Millisecond) }

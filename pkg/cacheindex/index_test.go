package cacheindex

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fescuestep/fescuestep/pkg/block"
	"github.com/fescuestep/fescuestep/pkg/engine"
)

func storedEvent(seq uint64, blocks ...block.Hash) engine.Event {
	return engine.Event{Seq: seq, Kind: engine.Stored, Blocks: blocks}
}

func eventBatch(incarnation string, events ...engine.Event) *engine.EventBatch {
	b := &engine.EventBatch{Incarnation: incarnation, Weights: "w1", Events: events}
	if len(events) > 0 {
		b.Seq = events[len(events)-1].Seq
	}
	return b
}

func heldBlocks(x *Index, e EngineHandle, blocks ...block.Hash) int {
	n, _ := x.CachedPrefix(e, time.Second, blocks)
	return n
}

// TestIncarnations checks that a restart invalidates the entries of the earlier
// incarnation and that its late events don't change those of the new one.
func TestIncarnations(t *testing.T) {
	x := New()
	e := x.AddEngine("a")
	x.Apply(0, e, eventBatch("1", storedEvent(1, 10, 11)))
	if got := heldBlocks(x, e, 10, 11, 12); got != 2 {
		t.Fatalf("got %d held blocks, want 2", got)
	}
	x.Apply(0, e, eventBatch("2", storedEvent(1, 20)))
	if got := heldBlocks(x, e, 10); got != 0 {
		t.Error("a block of the old incarnation is found")
	}
	if got := x.Apply(0, e, eventBatch("1", storedEvent(2, 30))); got != Ignored {
		t.Errorf("late batch: got %v, want Ignored", got)
	}
	if heldBlocks(x, e, 30) != 0 || heldBlocks(x, e, 20) != 1 {
		t.Error("a late event of the old incarnation was applied")
	}
	x.Touch(0, e, "1", []block.Hash{40})
	if heldBlocks(x, e, 40) != 0 {
		t.Error("a prefill of the old incarnation was recorded")
	}
	x.RemoveEngine("a")
	if x.Apply(0, e, eventBatch("2", storedEvent(2, 50))) != Ignored || heldBlocks(x, e, 20) != 0 {
		t.Error("events of a removed engine were applied")
	}
}

// TestWeightsChange checks that entries of an earlier weights version are not
// found after the version changes.
func TestWeightsChange(t *testing.T) {
	x := New()
	e := x.AddEngine("a")
	x.Apply(0, e, eventBatch("1", storedEvent(1, 10)))
	b := eventBatch("1", storedEvent(2, 20))
	b.Weights = "w2"
	x.Apply(0, e, b)
	if heldBlocks(x, e, 10) != 0 {
		t.Error("a block of the earlier weights version is found")
	}
}

// TestGap checks that lost events reduce the probability of the entries, and
// that a snapshot restores it while later events don't.
func TestGap(t *testing.T) {
	x := New()
	e := x.AddEngine("a")
	x.Apply(0, e, eventBatch("1", storedEvent(1, 10)))
	if got := x.Apply(0, e, eventBatch("1", storedEvent(3, 11))); got != Gap || !x.NeedsSnapshot(e) {
		t.Fatalf("got %v, want Gap", got)
	}
	if _, expected := x.CachedPrefix(e, 0, []block.Hash{10}); expected != gapProbability {
		t.Errorf("expected blocks during a gap: got %v", expected)
	}
	if x.Position(e) != (engine.Position{}) {
		t.Error("the position does not request a snapshot")
	}
	if got := x.Apply(0, e, eventBatch("1", storedEvent(4, 12))); got != Gap {
		t.Errorf("later events ended the gap: %v", got)
	}
	snap := &engine.EventBatch{Incarnation: "1", Weights: "w1", Snapshot: true, Seq: 4, Blocks: []block.Hash{11, 12}}
	if x.Apply(0, e, snap) != OK || x.NeedsSnapshot(e) {
		t.Error("the snapshot did not end the gap")
	}
	if heldBlocks(x, e, 10) != 0 || heldBlocks(x, e, 11, 12) != 2 {
		t.Error("the snapshot did not replace the entries")
	}
	truncated := eventBatch("1")
	truncated.Seq = 6
	if x.Apply(0, e, truncated) != Gap {
		t.Error("missing events at the end of a batch were not detected")
	}
}

// TestAgeDiscount checks that, while the engine's events are late, older entries
// are expected to be cached with a lower probability.
func TestAgeDiscount(t *testing.T) {
	x := New()
	e := x.AddEngine("a")
	x.Apply(0, e, eventBatch("1", storedEvent(1, 10)))
	x.Apply(4*time.Second, e, eventBatch("1", engine.Event{Seq: 2, Kind: engine.Removed, Blocks: []block.Hash{10}}, storedEvent(3, 11)))
	if got := x.SurvivalTime(e); got != 4*time.Second {
		t.Fatalf("survival time is %s, want 4s", got)
	}
	_, fresh := x.CachedPrefix(e, 4*time.Second, []block.Hash{11})
	_, late := x.CachedPrefix(e, 6*time.Second, []block.Hash{11})
	_, old := x.CachedPrefix(e, 10*time.Second, []block.Hash{11})
	if fresh != 1 || late >= fresh || late < 0.9 || old > 0.1 {
		t.Errorf("expected blocks: fresh %v, late %v, old %v", fresh, late, old)
	}
}

// TestAgainstModel compares the index with plain maps under random events,
// snapshots, restarts and removals. It guards against entries that are lost or
// wrongly kept when the table grows, removes entries or is swept.
func TestAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := New()
		const engines = 5
		model := make([]map[block.Hash]bool, engines)
		seq, inc := make([]uint64, engines), make([]int, engines)
		for i := range model {
			model[i] = map[block.Hash]bool{}
			x.AddEngine(fmt.Sprint(i))
		}
		// Hashes with few distinct high bits fall into few segments, so that keys
		// collide and segments grow.
		hash := rapid.Custom(func(t *rapid.T) block.Hash {
			return block.Hash(rapid.Uint64Range(1, 60).Draw(t, "h") * 0x0000000100000001)
		})
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			i := rapid.IntRange(0, engines-1).Draw(t, "engine")
			b := &engine.EventBatch{Weights: "w"}
			blocks := rapid.SliceOfN(hash, 1, 6).Draw(t, "blocks")
			seq[i]++
			switch rapid.IntRange(0, 9).Draw(t, "op") {
			case 0:
				inc[i]++
				seq[i] = 1
				clear(model[i])
				b.Events = []engine.Event{storedEvent(1, blocks...)}
			case 1:
				clear(model[i])
				b.Snapshot, b.Blocks = true, blocks
			case 2, 3, 4:
				b.Events = []engine.Event{{Seq: seq[i], Kind: engine.Removed, Blocks: blocks}}
				for _, h := range blocks {
					delete(model[i], h)
				}
				blocks = nil
			default:
				b.Events = []engine.Event{storedEvent(seq[i], blocks...)}
			}
			for _, h := range blocks {
				model[i][h] = true
			}
			b.Incarnation, b.Seq = fmt.Sprint(i, inc[i]), seq[i]
			if x.Apply(0, EngineHandle(i), b) != OK {
				t.Fatalf("batch %+v was not applied", b)
			}
		}
		for i := range model {
			if x.BlockCount(EngineHandle(i)) != len(model[i]) {
				t.Fatalf("engine %d has %d blocks, want %d", i, x.BlockCount(EngineHandle(i)), len(model[i]))
			}
			for v := uint64(1); v <= 60; v++ {
				h := block.Hash(v * 0x0000000100000001)
				if got := heldBlocks(x, EngineHandle(i), h) == 1; got != model[i][h] {
					t.Fatalf("engine %d block %x: got %v, want %v", i, h, got, model[i][h])
				}
			}
		}
		x.sweep(1 << 20)
		live := 0
		for i := range model {
			live += len(model[i])
		}
		if x.Len() != live || len(x.deadSlots) != 0 {
			t.Fatalf("after the sweep %d entries and %d dead slots, want %d and 0", x.Len(), len(x.deadSlots), live)
		}
	})
}

// TestLookup guards against counting blocks after one that the engine evicted,
// and against missing the engine with the longest prefix.
func TestLookup(t *testing.T) {
	x := New()
	a, b, c := x.AddEngine("a"), x.AddEngine("b"), x.AddEngine("c")
	x.Apply(0, a, eventBatch("1", storedEvent(1, 1, 2, 3)))
	x.Apply(0, b, eventBatch("1", storedEvent(1, 1, 3))) // 2 was evicted
	x.Apply(0, c, eventBatch("1", storedEvent(1, 1, 2)))
	got := x.Lookup(nil, 0, []block.Hash{1, 2, 3, 4}, 8, rand.New(rand.NewPCG(1, 1)))
	want := []Match{{a, 3, 3}, {c, 2, 2}, {b, 1, 1}}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

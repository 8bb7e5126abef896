package cacheindex

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"

	"github.com/fescuestep/fescuestep/pkg/block"
	"github.com/fescuestep/fescuestep/pkg/engine"
)

// BenchmarkEvent applies events that alternately remove and store one block
// per engine to a full index. It also reports the heap bytes per block of the
// full index.
func BenchmarkEvent(b *testing.B) {
	for _, size := range []struct{ engines, blocks int }{{16, 4000}, {2800, 1600}} {
		b.Run(fmt.Sprintf("engines=%d", size.engines), func(b *testing.B) {
			benchmarkEvent(b, size.engines, size.blocks)
		})
	}
}

func benchmarkEvent(b *testing.B, engines, blocks int) {
	rng := rand.New(rand.NewPCG(1, 2))
	ring := make([]block.Hash, engines*blocks)
	for i := range ring {
		ring[i] = block.Hash(rng.Uint64())
		if i%10 == 0 { // a tenth of the blocks are shared by several engines
			ring[i] = block.Hash(uint64(rng.IntN(1+len(ring)/40)) * 0x9e3779b97f4a7c15)
		}
	}
	before := heapBytes()
	x := New()
	for i := range engines {
		e := x.AddEngine(fmt.Sprint(i))
		for j := range blocks {
			x.Apply(0, e, &engine.EventBatch{Incarnation: "1", Seq: uint64(j + 1), Events: []engine.Event{storedEvent(uint64(j+1), ring[i*blocks+j])}})
		}
	}
	perBlock := float64(heapBytes()-before) / float64(x.Len())
	events := []engine.Event{{Kind: engine.Removed, Blocks: make([]block.Hash, 1)}}
	kinds := [2]engine.EventKind{engine.Removed, engine.Stored}
	bt := &engine.EventBatch{Incarnation: "1", Events: events}
	b.ResetTimer()
	for i := range b.N {
		e := (i / 2) % engines
		round := i / 2 / engines
		events[0].Kind = kinds[i%2]
		events[0].Seq = uint64(blocks + 2*round + i%2 + 1)
		events[0].Blocks[0] = ring[e*blocks+round%blocks]
		bt.Seq = events[0].Seq
		x.Apply(0, EngineHandle(e), bt)
	}
	b.ReportMetric(perBlock, "bytes/block")
	b.ReportMetric(float64(x.Len()), "blocks")
	runtime.KeepAlive(ring)
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkLookup looks up a chain of 8 blocks. Every engine holds the first
// block, and each further block is held by a third of the engines that hold
// the one before.
func BenchmarkLookup(b *testing.B) {
	for _, engines := range []int{16, 2800} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			x, chain := newNestedIndex(engines)
			rng := rand.New(rand.NewPCG(1, 2))
			var dst []Match
			b.ResetTimer()
			for range b.N {
				dst = x.Lookup(dst[:0], 0, chain, 8, rng)
			}
			if len(dst) != 8 {
				b.Fatalf("%d matches", len(dst))
			}
		})
	}
}

func newNestedIndex(engines int) (*Index, []block.Hash) {
	x := New()
	chain := block.AppendChain(nil, 1, make([]byte, 8*16), 16)
	for i := range engines {
		depth := 1
		for n := engines / 3; n > 0 && i < n && depth < len(chain); n /= 3 {
			depth++
		}
		x.Apply(0, x.AddEngine(fmt.Sprint(i)), eventBatch("1", storedEvent(1, chain[:depth]...)))
	}
	return x, chain
}

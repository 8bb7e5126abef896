package shard

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fescuestep/fescuestep/pkg/block"
	"github.com/fescuestep/fescuestep/pkg/cacheindex"
	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/engine"
	rpc "github.com/fescuestep/fescuestep/rpc/peer"
)

func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkEvent measures a block event on its way from the engine's batch
// through the follower, the wire format and the owner, with owners=1 as the
// least and owners=700 as the most divided case, against the full index.
func BenchmarkEvent(b *testing.B) {
	for _, owners := range []int{1, 9, 700} {
		b.Run(fmt.Sprintf("owners=%d", owners), func(b *testing.B) { benchmarkForward(b, owners) })
	}
	b.Run("full", func(b *testing.B) {
		x := cacheindex.New()
		e, src := x.AddEngine("e"), newSource()
		x.Apply(0, e, src.snapshot())
		b.ResetTimer()
		for range b.N / eventsPerRead {
			x.Apply(0, e, src.next())
		}
	})
}

// eventsPerRead is the number of block events in a second of one engine.
const eventsPerRead = 160

func benchmarkForward(b *testing.B, owners int) {
	var m config.Membership
	for i := range owners {
		m.Members = append(m.Members, config.Member{ID: fmt.Sprintf("r%d", i), Incarnation: "541c4594149dc2b7c5d0583f6f78b661", Domain: "d"})
	}
	assigned := NewMap(1, m)
	byID := map[string]*Owner{}
	for _, x := range m.Members {
		byID[x.ID] = NewOwner(x)
		byID[x.ID].SetMap(assigned)
	}
	self, _ := assigned.Follower("e", "d")
	f := NewFollower(self, Pace{Interval: time.Second, KeepAlive: time.Hour, Resync: 1e9, MaxBlocks: 1 << 20})
	f.SetMap(assigned)
	f.SetEngines(0, map[string]Listed{"e": {"m", "d"}})
	src, now, bytes, messages := newSource(), time.Duration(0), 0, 0
	exchange := func() {
		for _, msg := range f.Due(now) {
			wire, _ := proto.Marshal(msg.Request)
			bytes, messages = bytes+len(wire), messages+1
			var req rpc.ForwardRequest
			_ = proto.Unmarshal(wire, &req)
			f.Answered(msg, byID[msg.To.ID].Forward(now, &req))
		}
		now += 2 * time.Second
	}
	f.OnEvents(now, "e", src.snapshot())
	exchange()
	exchange()
	bytes, messages = 0, 0
	b.ResetTimer()
	for range b.N / eventsPerRead {
		f.OnEvents(now, "e", src.next())
		exchange()
	}
	b.ReportMetric(float64(bytes)/float64(b.N), "wire-B/op")
	b.ReportMetric(float64(messages)/float64(b.N), "messages/op")
}

// source emits snapshots and event batches of an engine with 32,000 blocks in
// chains of 8.
type source struct {
	rng   *rand.Rand
	held  []block.Hash
	seq   uint64
	first int
}

func newSource() *source {
	s := &source{rng: rand.New(rand.NewPCG(1, 1))}
	for range 32000 {
		s.held = append(s.held, block.Hash(s.rng.Uint64()))
	}
	return s
}

func (s *source) snapshot() *engine.EventBatch {
	b := &engine.EventBatch{Incarnation: "1", Weights: "1", Snapshot: true, Seq: s.seq, Blocks: s.held}
	for i := range s.held {
		parent := block.Hash(1)
		if i%8 > 0 {
			parent = s.held[i-1]
		}
		b.Parents = append(b.Parents, parent)
	}
	return b
}

// next replaces ten chains: 80 blocks stored and 80 removed.
func (s *source) next() *engine.EventBatch {
	b := &engine.EventBatch{Incarnation: "1", Weights: "1"}
	for range eventsPerRead / 16 {
		chain := s.held[s.first : s.first+8]
		s.seq++
		b.Events = append(b.Events, engine.Event{Seq: s.seq, Kind: engine.Removed, Blocks: append([]block.Hash(nil), chain...)})
		for i := range chain {
			chain[i] = block.Hash(s.rng.Uint64())
		}
		s.seq++
		b.Events = append(b.Events, engine.Event{Seq: s.seq, Kind: engine.Stored, Blocks: append([]block.Hash(nil), chain...), Parent: 1})
		s.first = (s.first + 8) % len(s.held)
	}
	b.Seq = s.seq
	return b
}

// BenchmarkLookup measures a lookup of 8 levels at an owner with the share of
// one of 700 instances, 2,800 engines with 6 partitions each, and the memory
// per block of owner and follower.
func BenchmarkLookup(b *testing.B) {
	const engines, parts, perPart = 2800, 6, 8
	self := config.Member{ID: "r", Incarnation: "1"}
	before := heapBytes()
	o := NewOwner(self)
	o.SetMap(NewMap(1, config.Membership{Members: []config.Member{self}}))
	rng := rand.New(rand.NewPCG(1, 1))
	var chains [][]uint64
	for len(chains) < 2000 {
		chain := make([]uint64, perPart)
		for i := range chain {
			chain[i] = rng.Uint64()
		}
		chains = append(chains, chain)
	}
	for i := range engines {
		u := &rpc.EngineUpdate{Source: uint32(i + 1), Identity: &rpc.EngineIdentity{Id: fmt.Sprintf("engine-%04d", i), Incarnation: "1", Weights: "1", Pool: "m"}, Load: &rpc.EngineLoad{}}
		for range parts {
			chain := chains[rng.IntN(len(chains))]
			u.Parts = append(u.Parts, &rpc.PartUpdate{Partition: uint32(PartitionOf(block.Hash(chain[0]))), Stored: chain})
		}
		o.Forward(0, &rpc.ForwardRequest{Follower: 1, Sequence: uint64(i + 1), Engines: []*rpc.EngineUpdate{u}})
	}
	perBlock := (heapBytes() - before) / float64(o.Blocks())
	before = heapBytes()
	f := NewFollower(self, DefaultPace)
	f.SetMap(o.assigned)
	f.SetEngines(0, map[string]Listed{"e": {"m", ""}})
	src := newSource()
	f.OnEvents(0, "e", src.snapshot())
	f.Due(0)
	follower := (heapBytes() - before) / float64(len(src.held))
	b.ResetTimer()
	for i := range b.N {
		o.Lookup(0, &rpc.LookupRequest{Prompts: []*rpc.Prompt{{Pool: "m", Blocks: chains[i%len(chains)]}}}, rng)
	}
	b.ReportMetric(perBlock, "owner-B/block")
	b.ReportMetric(follower, "follower-B/block")
	b.ReportMetric(float64(o.Blocks()), "blocks")
	runtime.KeepAlive(f)
	runtime.KeepAlive(o)
}

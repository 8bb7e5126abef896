package pick

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fescuestep/fescuestep/pkg/block"
	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/engine"
)

var startTime = time.Unix(1000, 0)

func newTestStore(upstreams, slots int) *Store {
	s := NewStore(startTime, Limits{Slots: slots, MaxQueueWait: 2 * time.Second})
	for i := range upstreams {
		u := &Upstream{ID: fmt.Sprintf("u%04d", i), Domain: "d", PrefillPerSec: 20000, Incarnation: "1"}
		s.Add(u)
		u.OnReport(LoadReport{SampledAt: startTime})
	}
	return s
}

func blockChain(n int) []block.Hash { return block.AppendChain(nil, 7, make([]byte, n*8), 8) }

func cacheBlocks(s *Store, i int, blocks []block.Hash) {
	s.Index.Apply(s.IndexTime(startTime), s.list[i].IndexHandle, &engine.EventBatch{
		Incarnation: "1", Seq: 1, Events: []engine.Event{{Seq: 1, Kind: engine.Stored, Blocks: blocks}},
	})
}

func newRequest(blocks int) *Request {
	return &Request{Tokens: blocks*2000 + 100, BlockTokens: 2000, Blocks: blockChain(blocks), Domain: "d"}
}

func newTailLatencyPolicy() *LeastTTFT {
	return NewLeastTTFT(Params{ScoreWeights: ScoreWeightsFor(config.TailLatency)})
}

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }

// TestHolderThenReplica checks that a cached prefix is not recomputed on another
// engine while its holder is idle, and that it is while the holder is busy.
func TestHolderThenReplica(t *testing.T) {
	for _, size := range []int{12, 200} {
		s, p, r := newTestStore(size, 100), newTailLatencyPolicy(), newRequest(8)
		cacheBlocks(s, 5, r.Blocks)
		c, _ := p.Pick(startTime, r, s, newRand(1))
		if c.Upstream != s.list[5] || c.HitTokens != 16000 {
			t.Fatalf("%d upstreams: got %s with %d cached tokens", size, c.Upstream.ID, c.HitTokens)
		}
		s.list[5].Start(startTime, 8000) // 0.4 s of prefill ahead; 0.8 s on another engine
		if c, _ = p.Pick(startTime, r, s, newRand(1)); c.Upstream != s.list[5] {
			t.Errorf("%d upstreams: replicated although waiting is faster", size)
		}
		s.list[5].Start(startTime, 20000) // 1.4 s of prefill ahead; weighted 1.2 s on another engine
		if c, _ = p.Pick(startTime, r, s, newRand(1)); c.Upstream == s.list[5] {
			t.Errorf("%d upstreams: not replicated although recomputing is faster", size)
		}
	}
}

// TestPriorityWeights checks that a busy holder is replaced by another engine with
// priority tail_latency, but reused with cache_reuse.
func TestPriorityWeights(t *testing.T) {
	for priority, want := range map[config.Priority]bool{config.TailLatency: false, config.CacheReuse: true} {
		s, r := newTestStore(12, 100), newRequest(8)
		p := NewLeastTTFT(Params{ScoreWeights: ScoreWeightsFor(priority)})
		cacheBlocks(s, 5, r.Blocks)
		s.list[5].Start(startTime, 30000) // 1.5 s of prefill ahead; 0.8 s on another engine, weighted 1.2 s or 2.4 s
		c, _ := p.Pick(startTime, r, s, newRand(1))
		if got := c.Upstream == s.list[5]; got != want {
			t.Errorf("%s: reused %v, want %v", priority, got, want)
		}
	}
}

// TestNoHerding guards against several instances sending all requests to the
// upstream with the most recent report.
func TestNoHerding(t *testing.T) {
	counts := map[string]int{}
	const instances, requests = 8, 6
	for i := range uint64(instances) {
		s, p := newTestStore(12, 100), newTailLatencyPolicy()
		s.Instances = instances
		s.list[3].OnReport(LoadReport{SampledAt: startTime.Add(time.Millisecond)})
		random := newRand(i)
		for j := range requests {
			now := startTime.Add(time.Duration(2+j) * 10 * time.Millisecond)
			r := &Request{Tokens: 1000, BlockTokens: 2000, Domain: "d"}
			c, _ := p.Pick(now, r, s, random)
			c.Upstream.Start(now, c.UncachedTokens)
			counts[c.Upstream.ID]++
		}
	}
	for id, n := range counts {
		if n > 2*instances*requests/12 {
			t.Errorf("%s got %d of %d requests", id, n, instances*requests)
		}
	}
}

// TestColdPrefixSameEngine guards against instances prefilling the same uncached
// prefix on different engines while all are idle.
func TestColdPrefixSameEngine(t *testing.T) {
	for _, size := range []int{12, 300} {
		chosen := map[string]bool{}
		for i := range uint64(8) {
			s := newTestStore(size, 100)
			c, _ := newTailLatencyPolicy().Pick(startTime, newRequest(4), s, newRand(i))
			chosen[c.Upstream.ID] = true
		}
		if len(chosen) != 1 {
			t.Errorf("%d upstreams: 8 instances chose %d engines", size, len(chosen))
		}
	}
}

// TestReportCorrection guards against counting a request twice if the load report
// includes it, and against missing one that was sent after the report was sampled.
func TestReportCorrection(t *testing.T) {
	s := newTestStore(1, 100)
	u := s.list[0]
	first := u.Start(startTime.Add(time.Millisecond), 2000)
	u.OnReport(LoadReport{SampledAt: startTime.Add(10 * time.Millisecond), Running: 1, QueuedTokens: 1800})
	now := startTime.Add(20 * time.Millisecond)
	u.Start(now, 1000)
	if got := u.TotalInFlight(); got != 2 {
		t.Errorf("total %d, want 2", got)
	}
	// 1800 reported, 200 drained in 10 ms, 1000 sent since.
	if got := u.QueuedTokens(now, 1); got != 2600 {
		t.Errorf("queue %v tokens, want 2600", got)
	}
	u.Finish(now, first)
	if got := u.TotalInFlight(); got != 1 {
		t.Errorf("total after the end %d, want 1", got)
	}
}

// TestAllPoliciesFilter guards against a policy that chooses an upstream that is
// excluded, leaving, unreachable or without a free slot, or that returns the wrong
// verdict.
func TestAllPoliciesFilter(t *testing.T) {
	for _, name := range PolicyNames() {
		for _, size := range []int{3, 40} {
			s := newTestStore(size, 1)
			p, err := NewPolicy(name, Params{ScoreWeights: ScoreWeightsFor(config.TailLatency)})
			if err != nil {
				t.Fatal(err)
			}
			for _, u := range s.list[2:] {
				u.ReportedLeaving = true
			}
			r := newRequest(2)
			r.Exclude = []string{s.list[0].ID}
			c, v := p.Pick(startTime, r, s, newRand(1))
			if v != Chosen || c.Upstream != s.list[1] {
				t.Fatalf("%s: verdict %v", name, v)
			}
			c.Upstream.Start(startTime, 10)
			if _, v = p.Pick(startTime, r, s, newRand(1)); v != Busy {
				t.Errorf("%s: verdict %v, want Busy", name, v)
			}
			s.list[1].FailedPolls = maxFailedPolls
			if _, v = p.Pick(startTime, r, s, newRand(1)); v != NoUpstream {
				t.Errorf("%s: verdict %v, want NoUpstream", name, v)
			}
		}
	}
}

// TestServiceLoad guards against sending all requests for a service without a
// prefill rate to the upstream in the own failure domain while the others are idle.
func TestServiceLoad(t *testing.T) {
	s, p := newTestStore(4, 32), NewLeastTTFT(Params{ScoreWeights: ScoreWeightsFor(config.TailLatency), OneWayDelay: time.Millisecond})
	chosen := map[string]int{}
	for i, u := range s.list {
		u.PrefillPerSec, u.Domain = 0, fmt.Sprint(i)
		u.Finish(startTime.Add(20*time.Millisecond), u.Start(startTime, 0)) // a request takes 20 ms
	}
	random := newRand(1)
	for range 40 {
		c, v := p.Pick(startTime, &Request{Domain: "0"}, s, random)
		if v != Chosen {
			t.Fatalf("verdict %v after %v", v, chosen)
		}
		c.Upstream.Start(startTime, 0)
		chosen[c.Upstream.ID]++
	}
	if near := chosen[s.list[0].ID]; len(chosen) != 4 || near < 10 || near > 20 {
		t.Errorf("chosen %v", chosen)
	}
}

// BenchmarkPick measures one choice for a prompt of 8 blocks. Every engine holds the
// first block, and each further block is held by a third of the engines that hold
// the one before.
func BenchmarkPick(b *testing.B) {
	for _, upstreams := range []int{16, 2800} {
		b.Run(fmt.Sprintf("upstreams=%d", upstreams), func(b *testing.B) {
			s, p, r := newTestStore(upstreams, 64), newTailLatencyPolicy(), newRequest(8)
			s.Instances = 700
			random := newRand(1)
			for i := range upstreams {
				depth := 1
				for n := upstreams / 3; n > 0 && i < n && depth < 8; n /= 3 {
					depth++
				}
				cacheBlocks(s, i, r.Blocks[:depth])
				for range 8 {
					s.list[i].Start(startTime, random.IntN(2000))
				}
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				if _, v := p.Pick(startTime.Add(time.Second), r, s, random); v != Chosen {
					b.Fatal(v)
				}
			}
		})
	}
}

// BenchmarkPickSaturated measures a choice while no upstream has a free slot.
func BenchmarkPickSaturated(b *testing.B) {
	s, p, r := newTestStore(2800, 1), newTailLatencyPolicy(), newRequest(8)
	random := newRand(1)
	for i := range s.list {
		cacheBlocks(s, i, r.Blocks[:1+i%8])
		s.list[i].Start(startTime, 10)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		if _, v := p.Pick(startTime, r, s, random); v != Busy {
			b.Fatal(v)
		}
	}
}

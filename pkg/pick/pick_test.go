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

var start = time.Unix(1000, 0)

func store(upstreams, slots int) *Store {
	s := NewStore(start, Limits{Slots: slots, MaxQueue: 2 * time.Second})
	for i := range upstreams {
		u := &Upstream{ID: fmt.Sprintf("u%04d", i), Domain: "d", PrefillPerSec: 20000, Incarnation: "1"}
		s.Add(u)
		u.OnReport(Report{Sampled: start})
	}
	return s
}

func chainOf(n int) []block.Hash { return block.AppendChain(nil, 7, make([]byte, n*8), 8) }

func cache(s *Store, i int, blocks []block.Hash) {
	s.Index.Apply(s.IndexTime(start), s.list[i].Engine, &engine.EventBatch{
		Incarnation: "1", Seq: 1, Events: []engine.Event{{Seq: 1, Kind: engine.Stored, Blocks: blocks}},
	})
}

func request(blocks int) *Request {
	return &Request{Tokens: blocks*2000 + 100, BlockTokens: 2000, Blocks: chainOf(blocks), Domain: "d"}
}

func tail() *Estimate { return NewEstimate(Params{Weights: WeightsFor(config.TailLatency)}) }

func rng(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }

// TestHolderThenReplica guards against recomputing a cached prefix while its
// holder is idle, and against a hot prefix that is never replicated.
func TestHolderThenReplica(t *testing.T) {
	for _, size := range []int{12, 200} {
		s, p, r := store(size, 100), tail(), request(8)
		cache(s, 5, r.Blocks)
		c, _ := p.Pick(start, r, s, rng(1))
		if c.Upstream != s.list[5] || c.HitTokens != 16000 {
			t.Fatalf("of %d: got %s with %d cached tokens", size, c.Upstream.ID, c.HitTokens)
		}
		s.list[5].Start(start, 8000) // 0.4 s of prefill ahead, replica 0.8 s
		if c, _ = p.Pick(start, r, s, rng(1)); c.Upstream != s.list[5] {
			t.Errorf("of %d: replicated although waiting is faster", size)
		}
		s.list[5].Start(start, 20000) // 1.4 s ahead, replica weighted 1.2 s
		if c, _ = p.Pick(start, r, s, rng(1)); c.Upstream == s.list[5] {
			t.Errorf("of %d: not replicated although recomputing is faster", size)
		}
	}
}

// TestPriorityWeights guards against the two priorities deciding alike.
func TestPriorityWeights(t *testing.T) {
	for priority, want := range map[config.Priority]bool{config.TailLatency: false, config.CacheReuse: true} {
		s, r := store(12, 100), request(8)
		p := NewEstimate(Params{Weights: WeightsFor(priority)})
		cache(s, 5, r.Blocks)
		s.list[5].Start(start, 30000) // 1.5 s ahead, replica 0.8 s weighted 1.2 s or 2.4 s
		c, _ := p.Pick(start, r, s, rng(1))
		if got := c.Upstream == s.list[5]; got != want {
			t.Errorf("%s: reused %v, want %v", priority, got, want)
		}
	}
}

// TestNoHerding guards against several instances sending all work to the
// upstream that looked best in the last report.
func TestNoHerding(t *testing.T) {
	counts := map[string]int{}
	const instances, each = 8, 6
	for i := range uint64(instances) {
		s, p := store(12, 100), tail()
		s.Instances = instances
		s.list[3].OnReport(Report{Sampled: start.Add(time.Millisecond)})
		random := rng(i)
		for j := range each {
			now := start.Add(time.Duration(2+j) * 10 * time.Millisecond)
			r := &Request{Tokens: 1000, BlockTokens: 2000, Domain: "d"}
			c, _ := p.Pick(now, r, s, random)
			c.Upstream.Start(now, c.Uncached)
			counts[c.Upstream.ID]++
		}
	}
	for id, n := range counts {
		if n > 2*instances*each/12 {
			t.Errorf("%s got %d of %d requests", id, n, instances*each)
		}
	}
}

// TestColdPrefixMeets guards against instances that prefill the same cold
// prefix on different engines although all are idle.
func TestColdPrefixMeets(t *testing.T) {
	for _, size := range []int{12, 300} {
		chosen := map[string]bool{}
		for i := range uint64(8) {
			s := store(size, 100)
			c, _ := tail().Pick(start, request(4), s, rng(i))
			chosen[c.Upstream.ID] = true
		}
		if len(chosen) != 1 {
			t.Errorf("of %d: 8 instances chose %d engines", size, len(chosen))
		}
	}
}

// TestReportCorrection guards against counting a request twice when the report
// already includes it, and against forgetting one sent after the sample.
func TestReportCorrection(t *testing.T) {
	s := store(1, 100)
	u := s.list[0]
	first := u.Start(start.Add(time.Millisecond), 2000)
	u.OnReport(Report{Sampled: start.Add(10 * time.Millisecond), Running: 1, QueuedTokens: 1800})
	now := start.Add(20 * time.Millisecond)
	u.Start(now, 1000)
	if got := u.Total(); got != 2 {
		t.Errorf("total %d, want 2", got)
	}
	// 1800 reported, 200 drained in 10 ms, 1000 sent since.
	if got := u.QueueTokens(now, 1); got != 2600 {
		t.Errorf("queue %v tokens, want 2600", got)
	}
	u.Finish(now, first)
	if got := u.Total(); got != 1 {
		t.Errorf("total after the end %d, want 1", got)
	}
}

// TestAllPoliciesFilter guards against a policy that chooses an upstream that
// is excluded, leaving or without a slot, or that reports the wrong verdict.
func TestAllPoliciesFilter(t *testing.T) {
	for _, name := range Names() {
		for _, size := range []int{3, 40} {
			s := store(size, 1)
			p, err := ForName(name, Params{Weights: WeightsFor(config.TailLatency)})
			if err != nil {
				t.Fatal(err)
			}
			for _, u := range s.list[2:] {
				u.ReportedLeaving = true
			}
			r := request(2)
			r.Exclude = []string{s.list[0].ID}
			c, v := p.Pick(start, r, s, rng(1))
			if v != Chosen || c.Upstream != s.list[1] {
				t.Fatalf("%s: verdict %v", name, v)
			}
			c.Upstream.Start(start, 10)
			if _, v = p.Pick(start, r, s, rng(1)); v != Busy {
				t.Errorf("%s: verdict %v, want Busy", name, v)
			}
			s.list[1].FailedPolls = maxFailedPolls
			if _, v = p.Pick(start, r, s, rng(1)); v != None {
				t.Errorf("%s: verdict %v, want None", name, v)
			}
		}
	}
}

// TestServiceLoad guards against plain services whose nearest upstream gets all
// work while the others are idle.
func TestServiceLoad(t *testing.T) {
	s, p := store(4, 32), NewEstimate(Params{Weights: WeightsFor(config.TailLatency), OneWayDelay: time.Millisecond})
	chosen := map[string]int{}
	for i, u := range s.list {
		u.PrefillPerSec, u.Domain = 0, fmt.Sprint(i)
		u.Finish(start.Add(20*time.Millisecond), u.Start(start, 0)) // requests take 20 ms
	}
	random := rng(1)
	for range 40 {
		c, v := p.Pick(start, &Request{Domain: "0"}, s, random)
		if v != Chosen {
			t.Fatalf("verdict %v after %v", v, chosen)
		}
		c.Upstream.Start(start, 0)
		chosen[c.Upstream.ID]++
	}
	if near := chosen[s.list[0].ID]; len(chosen) != 4 || near < 10 || near > 20 {
		t.Errorf("chosen %v", chosen)
	}
}

// BenchmarkPick measures one choice with 8 nested prefix levels, of which the
// first is held everywhere and each next by a third of the engines before.
func BenchmarkPick(b *testing.B) {
	for _, upstreams := range []int{16, 2800} {
		b.Run(fmt.Sprintf("upstreams=%d", upstreams), func(b *testing.B) {
			s, p, r := store(upstreams, 64), tail(), request(8)
			s.Instances = 700
			random := rng(1)
			for i := range upstreams {
				depth := 1
				for n := upstreams / 3; n > 0 && i < n && depth < 8; n /= 3 {
					depth++
				}
				cache(s, i, r.Blocks[:depth])
				for range 8 {
					s.list[i].Start(start, random.IntN(2000))
				}
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				if _, v := p.Pick(start.Add(time.Second), r, s, random); v != Chosen {
					b.Fatal(v)
				}
			}
		})
	}
}

// BenchmarkPickSaturated measures a choice that finds no slot.
func BenchmarkPickSaturated(b *testing.B) {
	s, p, r := store(2800, 1), tail(), request(8)
	random := rng(1)
	for i := range s.list {
		cache(s, i, r.Blocks[:1+i%8])
		s.list[i].Start(start, 10)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		if _, v := p.Pick(start, r, s, random); v != Busy {
			b.Fatal(v)
		}
	}
}

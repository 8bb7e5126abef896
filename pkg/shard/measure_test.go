package shard

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fescuestep/fescuestep/pkg/block"
	"github.com/fescuestep/fescuestep/pkg/cacheindex"
	rpc "github.com/fescuestep/fescuestep/rpc/peer"
)

var measure = flag.Bool("measure", false, "run large fleets and print the lines of docs/measurements-shards.md")

// The measured traffic: 4 engines per instance with caches that turn over in
// about 12 s, so that an engine emits about 160 events a second as in the
// design size.
const (
	enginesEach  = 4
	requestsEach = 20 // per second and engine
	cacheBlocks  = 1000
	maxRecent    = 40 // requests per second above which an engine is avoided
	warmUp       = 20 * time.Second
)

// trial is one run of the arrivals.
type trial struct {
	*fleet
	full      *cacheindex.Index // nil when sharded
	lookups   int
	lookBytes int
	hits, all int
}

func newTrial(tb testing.TB, n int, pace Pace, sharded bool) *trial {
	tr := &trial{fleet: newFleet(tb, n, n*enginesEach, cacheBlocks, pace)}
	if !sharded {
		tr.full = cacheindex.New()
		tr.instances = nil
		for _, e := range tr.engines {
			tr.full.AddEngine(e.id)
		}
	}
	return tr
}

func (tr *trial) run(d time.Duration, p *prompts) {
	perTick := requestsEach * len(tr.engines) * int(tick) / int(time.Second)
	for end := tr.now + d; tr.now < end; {
		tr.step()
		if tr.full != nil && tr.now%pollEvery == 0 {
			for i, e := range tr.engines {
				tr.full.Apply(tr.now, cacheindex.EngineHandle(i), e.events(tr.full.Position(cacheindex.EngineHandle(i))))
			}
		}
		for range perTick {
			tr.request(p.draw(8))
		}
	}
}

func (tr *trial) request(chain []block.Hash) {
	e := tr.choose(tr.holders(chain))
	e.recent++
	tr.hits += e.serve(chain)
	tr.all += len(chain)
}

// choose takes the first holder that is not overloaded, or the less loaded of
// two engines. Load is known exactly in both systems: the index is compared.
func (tr *trial) choose(holders []string) *cacheEngine {
	for _, id := range holders {
		if e := tr.byID(id); e.recent < maxRecent {
			return e
		}
	}
	a, b := tr.engines[tr.rng.IntN(len(tr.engines))], tr.engines[tr.rng.IntN(len(tr.engines))]
	if b.recent < a.recent {
		return b
	}
	return a
}

func (tr *trial) holders(chain []block.Hash) (out []string) {
	if tr.full != nil {
		for _, m := range tr.full.Lookup(nil, tr.now, chain, MaxHolders, tr.rng) {
			out = append(out, tr.engines[m.Engine].id)
		}
		return out
	}
	holders := tr.lookUp(chain)
	tr.lookups++
	tr.lookBytes += 8*len(chain) + 9 + proto.Size(&rpc.LookupResponse{Prompts: []*rpc.Holders{{Owned: true, Holders: holders}}})
	for _, h := range holding(holders) {
		out = append(out, h.Engine)
	}
	return out
}

// Guards against sharding that costs cache hits. The allowance covers the
// delay of one forwarding interval. With -measure it prints the figures.
func TestHitRateAgainstFullIndex(t *testing.T) {
	sizes, duration := []int{9}, 10*time.Second
	paces := []time.Duration{200 * time.Millisecond}
	if *measure {
		sizes, duration = []int{9, 27, 81, 243}, 20*time.Second
		paces = []time.Duration{200 * time.Millisecond, time.Second, 4 * time.Second}
	}
	for _, n := range sizes {
		full := newTrial(t, n, DefaultPace, false)
		full.measured(n, duration)
		base := float64(full.hits) / float64(full.all)
		for _, interval := range paces {
			pace := DefaultPace
			pace.Interval, pace.PerOwner = interval, 0
			tr := newTrial(t, n, pace, true)
			tr.measured(n, duration)
			rate := float64(tr.hits) / float64(tr.all)
			per := duration.Seconds() * float64(n)
			blocks, most := 0, 0
			for _, x := range tr.instances {
				blocks += x.owner.Blocks()
				most = max(most, x.owner.Blocks())
			}
			fmt.Printf("BenchmarkShards/instances=%d/interval=%v 1 %.4f hits/full %.4f hits %.1f events/s/instance %.1f messages/s/instance %.0f forward-B/s/instance %.1f B/event %.1f lookups/s/instance %.0f B/lookup %.2f owner-max/mean\n",
				n, interval, rate/base, rate, float64(tr.forwarded)/per, float64(tr.messages)/per, float64(tr.bytes)/per,
				float64(tr.bytes)/float64(tr.forwarded), float64(tr.lookups)/per, float64(tr.lookBytes)/float64(tr.lookups),
				float64(most*n)/float64(blocks))
			if interval <= 200*time.Millisecond && rate < 0.95*base {
				t.Errorf("%d instances: hit rate %.3f with shards, %.3f with the full index", n, rate, base)
			}
		}
	}
}

// measured warms the caches up and counts from zero.
func (tr *trial) measured(n int, d time.Duration) {
	p := newPrompts(5, 400*n)
	tr.run(warmUp, p)
	tr.hits, tr.all, tr.lookups, tr.lookBytes = 0, 0, 0, 0
	tr.messages, tr.bytes, tr.forwarded = 0, 0, 0
	tr.run(d, p)
}

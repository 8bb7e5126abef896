package upstream

import (
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fescuestep/fescuestep/pkg/block"
	"github.com/fescuestep/fescuestep/pkg/engine"
	"github.com/fescuestep/fescuestep/pkg/external"
)

// TestConcurrentUse guards against slots that leak or exceed the limit, and
// against waiting requests that are never granted or rejected, while upstreams
// are added, removed and restarted and refuse connections.
func TestConcurrentUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 3
		p := testPools(limit, external.Live, external.Live, external.Live)
		var mu sync.Mutex
		inFlight := map[string]int{}
		var group sync.WaitGroup
		for i := range uint64(200) {
			group.Go(func() {
				rng := rand.New(rand.NewPCG(i, 1))
				time.Sleep(time.Duration(rng.IntN(2000)) * time.Millisecond)
				q := query(time.Duration(1+rng.IntN(4000)) * time.Millisecond)
				q.Customer = string(rune('a' + rng.IntN(4)))
				q.Tokens, q.Blocks = 4100, []block.Hash{block.Hash(1 + i%5), block.Hash(101 + i%9)}
				s, err := p.Acquire(t.Context(), q)
				if err != nil {
					return
				}
				id := s.Target().ID
				mu.Lock()
				if inFlight[id]++; inFlight[id] > limit {
					t.Errorf("%d in flight on %s", inFlight[id], id)
				}
				mu.Unlock()
				time.Sleep(time.Duration(rng.IntN(200)) * time.Millisecond)
				s.FirstToken(0)
				time.Sleep(time.Duration(rng.IntN(200)) * time.Millisecond)
				mu.Lock()
				inFlight[id]--
				mu.Unlock()
				s.Done(Result(rng.IntN(4)))
			})
		}
		group.Go(func() { changeUpstreams(p) })
		group.Wait()
		for _, s := range p.Status() {
			if s.InFlight != 0 {
				t.Errorf("%d slots of %s leaked", s.InFlight, s.ID)
			}
		}
		for _, pl := range *p.pools.Load() {
			if queued, held := pl.scheduler.Waiting(); queued+held != 0 {
				t.Errorf("%d queued and %d held requests are left", queued, held)
			}
		}
	})
}

// changeUpstreams updates the list, restarts engines and fails polls.
func changeUpstreams(p *Pools) {
	states := []external.State{external.Live, external.Leaving}
	for i := range 60 {
		time.Sleep(50 * time.Millisecond)
		p.OnList(instances(states[i/5%2], external.Live, states[i/7%2]))
		id := string(rune('a' + i%3))
		incarnation := string(rune('0' + i/20))
		if i%11 == 0 {
			p.OnPollFailed(id)
			continue
		}
		p.OnReport(id, engine.LoadReport{Incarnation: incarnation, Running: i % 2})
		p.OnEvents(id, engine.EventBatch{Incarnation: incarnation, Seq: uint64(i), Snapshot: true, Blocks: []block.Hash{1, 2}})
	}
}

package controller_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fescuestep/fescuestep/pkg/block"
	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/engine"
	"github.com/fescuestep/fescuestep/pkg/external"
	"github.com/fescuestep/fescuestep/pkg/pick"
	"github.com/fescuestep/fescuestep/pkg/shard"
)

// fakeEngines answers polls of engines that each hold one chain of blocks.
type fakeEngines struct {
	mu          sync.Mutex
	incarnation map[string]string // by address; absent while down
	chains      map[string][]block.Hash
	polls       map[string]int // of events
	needed      func(engines int) bool
}

const engineCount = 12

func newFakeEngines(c *cluster) *fakeEngines {
	f := &fakeEngines{incarnation: map[string]string{}, chains: map[string][]block.Hash{}, polls: map[string]int{}, needed: func(int) bool { return true }}
	for i := range engineCount {
		addr := fmt.Sprintf("10.0.0.%d:1", i)
		f.incarnation[addr] = "1"
		for level := range 4 {
			f.chains[addr] = append(f.chains[addr], block.Hash(1_000_003*(i+1)<<20+level))
		}
		c.list.put(external.Instance{ID: addr, Addr: addr, Pool: "plume", Domain: c.nodes[i%len(c.nodes)].self.Domain, State: external.Live}, true)
	}
	return f
}

func (f *fakeEngines) Events(_ context.Context, addr string, after engine.Position) (engine.EventBatch, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.polls[addr]++
	b := engine.EventBatch{Incarnation: f.incarnation[addr], Weights: "1", Seq: 1}
	if b.Incarnation == "" {
		return b, external.ErrUnavailable
	}
	if after.Incarnation != b.Incarnation {
		chain := f.chains[addr]
		b.Snapshot, b.Blocks = true, chain
		b.Parents = []block.Hash{7, chain[0], chain[1], chain[2]}
	}
	return b, nil
}

func (f *fakeEngines) Load(_ context.Context, addr string) (engine.LoadReport, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.incarnation[addr] == "" {
		return engine.LoadReport{}, external.ErrUnavailable
	}
	return engine.LoadReport{Incarnation: f.incarnation[addr], Weights: "1", Running: 3}, nil
}

func (f *fakeEngines) set(addr, incarnation string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.incarnation[addr] = incarnation
}

// finds reports whether a lookup through the instance names exactly the
// engine, in the incarnation that runs.
func (n *node) finds(addr string) bool {
	all := n.shards.Holders(context.Background(), "plume", n.c.fleet.chains[addr])
	holders := slices.DeleteFunc(all, func(h pick.Holder) bool { return h.HeldBlocks == 0 })
	return len(holders) == 1 && holders[0].ID == addr && holders[0].HeldBlocks == 4 &&
		holders[0].Incarnation == n.c.fleet.incarnation[addr] && holders[0].Load != nil && holders[0].Load.Running == 3
}

func (c *cluster) allFind() bool {
	for _, x := range c.nodes {
		for addr := range c.fleet.chains {
			if x.cancel != nil && !x.finds(addr) {
				return false
			}
		}
	}
	return true
}

func (c *cluster) putModelPool() {
	d := &config.Deployment{Name: "ucab", Pools: []config.Pool{{Name: "plume", Kind: config.Model}}}
	_, err := c.nodes[0].sync.Propose(context.Background(), func(*config.Snapshot) (config.Change, error) {
		return config.Change{Deployment: d}, nil
	})
	if err != nil {
		c.t.Fatal(err)
	}
}

func startedSharded(t *testing.T, n int) *cluster {
	c := newCluster(t, n)
	c.fleet = newFakeEngines(c)
	for _, x := range c.nodes {
		x.start()
	}
	c.until("all instances are fresh members", 10*time.Second, func() bool { return c.allFresh() && c.allKnow(n) })
	c.putModelPool()
	c.until("every instance finds every chain", 15*time.Second, c.allFind)
	return c
}

// Guards against engines that several instances follow, and against a crash of
// an instance, of an engine or of the network after which chains are not found
// again or are found at an engine that does not hold them.
func TestShardsUnderFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startedSharded(t, 6)
		c.fleet.mu.Lock()
		clear(c.fleet.polls)
		c.fleet.mu.Unlock()
		time.Sleep(10 * time.Second)
		c.fleet.mu.Lock()
		for addr, n := range c.fleet.polls {
			// One follower polls every 200 ms.
			if n > 55 {
				t.Errorf("%s was polled %d times in 10 s", addr, n)
			}
		}
		c.fleet.mu.Unlock()

		c.fleet.set("10.0.0.3:1", "2")
		c.until("the new incarnation is found", 5*time.Second, c.allFind)

		c.nodes[2].crash()
		c.list.put(external.Instance{ID: c.nodes[2].self.ID}, false)
		c.until("found without the crashed instance", 60*time.Second, c.allFind)
		c.nodes[2].start()
		c.until("found after its restart", 30*time.Second, c.allFind)

		c.fleet.set("10.0.0.5:1", "")
		c.until("a dead engine is not found", 5*time.Second, func() bool {
			holders := c.nodes[0].shards.Holders(context.Background(), "plume", c.fleet.chains["10.0.0.5:1"])
			return !slices.ContainsFunc(holders, func(h pick.Holder) bool { return h.ID == "10.0.0.5:1" })
		})
	})
}

// Guards against a small fleet in which engines are followed or owners are
// asked although every instance keeps the whole index.
func TestSmallFleetIsNotDivided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		c.fleet = newFakeEngines(c)
		c.fleet.needed = shard.Needed
		for _, x := range c.nodes {
			x.start()
		}
		c.until("all instances are fresh members", 10*time.Second, func() bool { return c.allFresh() && c.allKnow(3) })
		c.putModelPool()
		time.Sleep(5 * time.Second)
		c.fleet.mu.Lock()
		defer c.fleet.mu.Unlock()
		if c.nodes[0].shards.Active() || len(c.fleet.polls) > 0 {
			t.Errorf("divided %v, engines polled %v", c.nodes[0].shards.Active(), c.fleet.polls)
		}
	})
}

// Guards against a request that waits for an owner that does not answer.
func TestLookupIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startedSharded(t, 4)
		members := c.nodes[0].sync.Snapshot().Members
		var chain []block.Hash
		for _, x := range c.fleet.chains {
			if to, _ := shard.NewMap(1, members).Owner(shard.PartitionOf(x[0])); to.ID != c.nodes[0].self.ID {
				chain = x
				c.net.setCut(to.PeerAddr, true)
				break
			}
		}
		before := time.Now()
		found := c.nodes[0].shards.Holders(context.Background(), "plume", chain)
		if len(found) == 0 || slices.ContainsFunc(found, func(h pick.Holder) bool { return h.HeldBlocks > 0 }) {
			t.Errorf("got %+v, want engines of little load without cache knowledge", found)
		}
		// Virtual time: the wait is the bound and depends on no machine.
		if waited := time.Since(before); waited > 20*time.Millisecond {
			t.Errorf("waited %v for an owner that does not answer", waited)
		}
	})
}

// now returns the list without delay or error.
func (l *fakeList) now() []external.Instance {
	out, _ := l.List(context.Background())
	return out
}

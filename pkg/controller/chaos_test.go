package controller_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

var chaosSeeds = flag.Int("chaos.seeds", 3, "number of seeds of TestChaos")

// chaos disturbs a cluster and checks it all the time.
type chaos struct {
	*cluster
	rng     *rand.Rand
	keys    int
	created []string          // keys whose creation is confirmed and that are not revoked
	revoked map[string]uint64 // revision of the revocation, by key
	highest map[string]uint64 // highest revision seen, by incarnation
	results chan result
}

type result struct {
	secret   string
	revoke   bool
	revision uint64
	err      error
}

func (c *chaos) step() {
	x := c.nodes[c.rng.IntN(len(c.nodes))]
	switch c.rng.IntN(14) {
	case 0, 1:
		x.crash()
	case 2, 3, 4:
		if x.cancel == nil {
			x.start()
		}
	case 5:
		c.net.setCut(x.self.PeerAddr, true)
	case 6, 7:
		c.net.setCut(x.self.PeerAddr, false)
	case 8:
		c.table.set(func(t *fakeTable) { t.down = c.rng.IntN(2) == 0 })
	case 9:
		c.table.set(func(t *fakeTable) {
			t.lose = c.rng.IntN(3)
			t.late = time.Duration(c.rng.IntN(2)*c.rng.IntN(500)) * time.Millisecond
		})
	case 10:
		c.net.mu.Lock()
		c.net.lose = float64(c.rng.IntN(3)) * 0.05
		c.net.twice = float64(c.rng.IntN(2)) * 0.1
		c.net.mu.Unlock()
	default:
		c.changeKey(x)
	}
}

// changeKey creates a key or revokes one. Only keys whose creation is confirmed
// are revoked: a creation under way could take effect after the revocation.
func (c *chaos) changeKey(x *node) {
	if x.cancel == nil {
		return
	}
	c.keys++
	r := result{secret: fmt.Sprint("key", c.keys)}
	if n := len(c.created); n > 0 && c.rng.IntN(3) > 0 {
		r.secret, r.revoke = c.created[n-1], true
		c.created = c.created[:n-1]
	}
	go func() {
		r.revision, r.err = x.propose(r.secret, r.revoke)
		c.results <- r
	}()
}

// check looks whether an accepted revocation is ignored or a revision went back.
func (c *chaos) check() {
	for len(c.results) > 0 {
		r := <-c.results
		switch {
		case r.err != nil:
		case r.revoke:
			c.revoked[r.secret] = r.revision
		default:
			c.created = append(c.created, r.secret)
		}
	}
	var accepted uint64
	for _, x := range c.nodes {
		accepted = max(accepted, x.sync.Accepted())
	}
	for _, x := range c.nodes {
		if x.cancel == nil {
			continue
		}
		revision := x.sync.Snapshot().Revision
		if revision < c.highest[x.self.Incarnation] {
			c.t.Fatalf("%s went back to revision %d", x.self.Incarnation, revision)
		}
		c.highest[x.self.Incarnation] = revision
		if x.sync.Fresh() && revision < accepted {
			c.t.Fatalf("%s is fresh with revision %d while %d is accepted", x.self.Incarnation, revision, accepted)
		}
		for secret, at := range c.revoked {
			if at <= accepted && x.honours(secret) {
				c.t.Fatalf("%s honours %s, revoked in accepted revision %d", x.self.Incarnation, secret, at)
			}
		}
	}
}

// heal ends all faults.
func (c *chaos) heal() {
	c.table.set(func(t *fakeTable) { t.down, t.lose = false, 0 })
	c.net.mu.Lock()
	c.net.lose, c.net.twice = 0, 0
	c.net.mu.Unlock()
	for _, x := range c.nodes {
		c.net.setCut(x.self.PeerAddr, false)
		if x.cancel == nil {
			x.start()
		}
	}
}

// Guards against an accepted revocation that an instance ignores, a revision
// that goes back and a cluster that does not recover, with crashes, partitions,
// table outages, lost and late commits, lost and repeated messages at random.
// More seeds: go test ./pkg/controller -run Chaos -chaos.seeds=N.
func TestChaos(t *testing.T) {
	for seed := range *chaosSeeds {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := &chaos{
					cluster: started(t, 5), rng: rand.New(rand.NewPCG(uint64(seed), 3)),
					revoked: map[string]uint64{}, highest: map[string]uint64{}, results: make(chan result, 1000),
				}
				for range 150 {
					c.step()
					for range c.rng.IntN(60) {
						time.Sleep(5 * time.Millisecond)
						c.check()
					}
				}
				c.heal()
				c.until("the cluster has recovered", time.Minute, func() bool { return c.allFresh() && c.allKnow(5) })
				c.check()
				t.Logf("%d revisions, %d revocations", c.nodes[0].sync.Snapshot().Revision, len(c.revoked))
			})
		})
	}
}

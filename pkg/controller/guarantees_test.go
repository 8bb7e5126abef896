package controller_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/external"
	"github.com/fescuestep/fescuestep/pkg/member"
)

// revokedBound is how long after the commit of a revocation an instance may
// honour the key (invariant 6).
const revokedBound = 3 * time.Second

// during runs the condition in steps of 5 ms and fails when it does not hold.
func (c *cluster) during(d time.Duration, what string, holds func() bool) {
	c.t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if !holds() {
			c.t.Fatal(what)
		}
	}
}

func (c *cluster) anyHonours(secret string) bool {
	for _, x := range c.nodes {
		if x.serving.Load() != nil && x.honours(secret) {
			return true
		}
	}
	return false
}

// committed waits until the table holds a newer version.
func (c *cluster) committed(version uint64) {
	c.t.Helper()
	c.until("committed", 20*time.Second, func() (done bool) {
		c.table.set(func(t *fakeTable) { done = t.version > version })
		return done
	})
}

// Guards against a key that an instance honours for more than 3 s after the
// commit of its revocation, whatever fails at the same time.
func TestRevocationUnderFaults(t *testing.T) {
	for name, fault := range map[string]struct{ before, after func(c *cluster) }{
		"none":               {},
		"table slow":         {before: func(c *cluster) { c.table.set(func(t *fakeTable) { t.slow = 300 * time.Millisecond }) }},
		"table very slow":    {before: func(c *cluster) { c.table.set(func(t *fakeTable) { t.slow = 900 * time.Millisecond }) }},
		"answer lost":        {before: func(c *cluster) { c.table.set(func(t *fakeTable) { t.lose = 1 }) }},
		"instance cut off":   {before: func(c *cluster) { c.net.setCut(c.nodes[4].self.PeerAddr, true) }},
		"cut off afterwards": {after: func(c *cluster) { c.net.setCut(c.nodes[3].self.PeerAddr, true) }},
		"proposer crashes":   {after: func(c *cluster) { c.nodes[0].crash() }},
		"messages lost":      {before: func(c *cluster) { c.net.mu.Lock(); c.net.lose = 0.2; c.net.mu.Unlock() }},
		"instance restarts":  {after: func(c *cluster) { c.nodes[2].crash(); c.nodes[2].start() }},
		"cut off and proposer crashes": {
			before: func(c *cluster) { c.net.setCut(c.nodes[4].self.PeerAddr, true) },
			after:  func(c *cluster) { c.nodes[0].crash() },
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := started(t, 5)
				c.nodes[0].putKey("counter", false)
				c.until("all honour the key", 4*time.Second, func() bool { return c.nodes[3].honours("counter") && c.nodes[4].honours("counter") })
				c.until("accepted", 10*time.Second, func() bool { return c.allKnow(5) })
				if fault.before != nil {
					fault.before(c)
				}
				var version uint64
				c.table.set(func(t *fakeTable) { version = t.version })
				go func() { _, _ = c.nodes[0].propose("counter", true) }()
				c.committed(version)
				if fault.after != nil {
					fault.after(c)
				}
				time.Sleep(revokedBound)
				c.during(10*time.Second, "an instance honours a key revoked more than 3 s ago", func() bool { return !c.anyHonours("counter") })
			})
		})
	}
}

// Guards against a revocation that is reported as done although the table went
// down with its answer, and against one that takes more than 3 s once the table
// is back.
func TestRevocationAndTableDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := started(t, 5)
		c.nodes[0].putKey("counter", false)
		c.until("accepted", 10*time.Second, func() bool { return c.allKnow(5) })
		c.table.set(func(t *fakeTable) { t.lose = 1 })
		var version uint64
		c.table.set(func(t *fakeTable) { version = t.version })
		result := make(chan error, 1)
		go func() {
			_, err := c.nodes[0].propose("counter", true)
			result <- err
		}()
		c.committed(version)
		c.table.set(func(t *fakeTable) { t.down = true })
		if err := <-result; err == nil {
			t.Error("a revocation whose commit is not known was reported as done")
		}
		if _, err := c.nodes[1].propose("counter", true); err == nil {
			t.Error("a revocation was reported as done while the table is down")
		}
		c.during(10*time.Second, "keyed traffic stopped", c.allFresh)
		c.table.set(func(t *fakeTable) { t.down = false })
		time.Sleep(revokedBound)
		c.during(5*time.Second, "the key is honoured after the table returned", func() bool { return !c.anyHonours("counter") })
	})
}

// Guards against an accepted configuration that an instance reverts: instances
// restart during a table outage while one that missed the change is reachable
// again and offers its older state.
func TestAcceptedNeverReverts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := started(t, 7)
		c.nodes[0].putKey("counter", false)
		c.until("all honour the key", 4*time.Second, func() bool { return c.nodes[6].honours("counter") })
		old := c.nodes[6].self.PeerAddr
		c.net.setCut(old, true)
		revision := c.nodes[0].putKey("counter", true)
		c.until("accepted", 10*time.Second, func() bool { return c.nodes[0].accepted(revision) })
		kept := func() bool {
			for _, x := range c.nodes {
				if x.serving.Load() != nil && x.sync.Fresh() && x.sync.Snapshot().Revision < revision {
					return false
				}
			}
			return !c.anyHonours("counter")
		}
		c.table.set(func(t *fakeTable) { t.down = true })
		time.Sleep(3 * time.Second)
		for _, restarted := range []*node{c.nodes[1], c.nodes[2]} {
			restarted.crash()
			c.net.setCut(old, false)
			restarted.start()
			c.during(4*time.Second, "an accepted configuration reverted", kept)
			if !restarted.sync.Fresh() || restarted.sync.Snapshot().Revision < revision {
				t.Fatalf("%s does not serve after its restart", restarted.self.ID)
			}
			c.net.setCut(old, true)
		}
		for _, x := range c.nodes[3:6] { // no majority is left
			x.crash()
			x.start()
			c.during(4*time.Second, "an accepted configuration reverted", kept)
		}
		c.net.setCut(old, false)
		c.during(4*time.Second, "an accepted configuration reverted", kept)
		c.table.set(func(t *fakeTable) { t.down = false })
		c.during(10*time.Second, "an accepted configuration reverted", kept)
		if !c.allFresh() {
			t.Error("not all instances are fresh after the outage")
		}
	})
}

// holders returns the nodes that hold shares of the customer.
func (c *cluster) holders(customer string) (out []*node) {
	m := member.ShareHolders(c.nodes[0].sync.Snapshot().Members, customer)
	for _, x := range c.nodes {
		if slices.ContainsFunc(m, func(h config.Member) bool { return h.ID == x.self.ID }) {
			out = append(out, x)
		}
	}
	return out
}

// Guards against overshoot when a share holder is cut off, as one that is
// paused is to the others, while the membership changes and its share passes
// to other instances, and when it returns.
func TestQuotaHolderGoneDuringMembershipChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := started(t, 6)
		guild := c.putDeployment()
		time.Sleep(3 * time.Second)
		holders := c.holders("guild")
		gone := holders[0]
		l := newLedger()
		done := make(chan struct{})
		go func() {
			defer close(done)
			load(l, guild, 2, 60*time.Second, serving(c.nodes))
		}()
		time.Sleep(2 * time.Second)
		c.net.setCut(gone.self.PeerAddr, true)
		c.list.put(external.Instance{ID: gone.self.ID}, false)
		without := func(s *config.Snapshot) bool { return len(s.Members.Members) == 5 }
		c.until("removed from the membership", 40*time.Second, func() bool { return without(holders[1].sync.Snapshot()) })
		time.Sleep(15 * time.Second) // a share used twice exceeds the burst by then
		c.net.setCut(gone.self.PeerAddr, false)
		gone.c.list.put(external.Instance{ID: gone.self.ID, Addr: gone.self.PeerAddr, Pool: external.RouterPool, Domain: gone.self.Domain, State: external.Live}, true)
		<-done
		t.Logf("asked %d, refused %d %v, overshoot %.0f", l.asked, l.refused, l.byCode, l.overshoot())
		if l.overshoot() > 0 {
			t.Errorf("overshoot of %.0f tokens", l.overshoot())
		}
	})
}

// Guards against a restarted instance that waits for a slow table, or for a
// join whose answers get lost, before it serves keyed requests.
func TestRestartWithTableSlow(t *testing.T) {
	for name, fault := range map[string]func(t *fakeTable){
		"300 ms":       func(t *fakeTable) { t.slow = 300 * time.Millisecond },
		"900 ms":       func(t *fakeTable) { t.slow = 900 * time.Millisecond },
		"answers lost": func(t *fakeTable) { t.lose = 10 },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := started(t, 5)
				c.nodes[0].putKey("counter", false)
				c.until("accepted", 10*time.Second, func() bool { return c.allKnow(5) })
				c.table.set(fault)
				for _, x := range c.nodes[1:3] {
					x.crash()
					time.Sleep(time.Second)
					x.start()
					took := c.until("the restarted instance serves", 4*time.Second, func() bool { return x.honours("counter") })
					t.Logf("%s served after %v", x.self.ID, took)
					c.during(5*time.Second, "keyed traffic stopped", func() bool { return x.honours("counter") })
				}
			})
		})
	}
}

// Guards against an instance that serves keyed requests from an unconfirmed
// state because it restarted while cut off, and against one that stays out
// afterwards.
func TestRestartWhileCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := started(t, 5)
		c.nodes[0].putKey("counter", false)
		c.until("accepted", 10*time.Second, func() bool { return c.allKnow(5) })
		x := c.nodes[3]
		x.crash()
		c.net.setCut(x.self.PeerAddr, true)
		x.start()
		c.during(5*time.Second, "an instance is fresh without contact", func() bool { return !x.sync.Fresh() })
		c.net.setCut(x.self.PeerAddr, false)
		took := c.until("the instance serves", 4*time.Second, func() bool { return x.honours("counter") })
		t.Logf("served %v after it was reachable again", took)
	})
}

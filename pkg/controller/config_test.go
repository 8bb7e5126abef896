package controller_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuestep/fescuestep/pkg/external"
)

// Guards against an instance that never becomes a fresh member, and against a
// change that is not in force everywhere within the 4 s of invariant 13.
func TestChangeIsInForceEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := started(t, 6)
		revision := c.nodes[3].putKey("counter", false)
		everywhere := c.until("all honour the key", 4*time.Second, func() bool {
			for _, x := range c.nodes {
				if !x.honours("counter") {
					return false
				}
			}
			return true
		})
		accepted := c.until("accepted", 4*time.Second, func() bool { return c.nodes[3].accepted(revision) })
		t.Logf("in force after %v, accepted after %v", everywhere, everywhere+accepted)
	})
}

// Guards against a revoked key that an instance without contact still honours
// after the revocation was reported as in force.
func TestCutOffInstanceStopsBeforeAcceptance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := started(t, 5)
		c.nodes[0].putKey("counter", false)
		c.until("all honour the key", 4*time.Second, func() bool { return c.nodes[4].honours("counter") })
		c.net.setCut(c.nodes[4].self.PeerAddr, true)
		revision := c.nodes[0].putKey("counter", true)
		took := c.until("accepted", 10*time.Second, func() bool {
			ok := c.nodes[0].accepted(revision)
			if ok && c.nodes[4].honours("counter") {
				t.Fatal("a cut-off instance honours a key whose revocation is accepted")
			}
			return ok
		})
		t.Logf("accepted after %v", took)
		c.net.setCut(c.nodes[4].self.PeerAddr, false)
		c.until("fresh again", 5*time.Second, c.allFresh)
		if c.nodes[4].honours("counter") {
			t.Fatal("the key is honoured after reconnection")
		}
	})
}

// Guards against keyed traffic that stops because the table is down although a
// majority of instances agrees, and against a restart that cannot serve.
func TestTableOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := started(t, 5)
		c.nodes[0].putKey("counter", false)
		c.until("all honour the key", 4*time.Second, c.allFresh)
		time.Sleep(time.Second)
		c.table.set(func(t *fakeTable) { t.down = true })
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			if !c.allFresh() {
				t.Fatal("an instance is not fresh during a table outage")
			}
		}
		c.nodes[1].crash()
		time.Sleep(time.Second)
		c.nodes[1].start()
		took := c.until("the restarted instance serves", 4*time.Second, func() bool { return c.nodes[1].honours("counter") })
		t.Logf("restart without table served after %v", took)
		c.table.set(func(t *fakeTable) { t.down = false })
		c.until("all are members again", 10*time.Second, c.allFresh)
	})
}

// Guards against a minority that goes on with keyed traffic.
func TestMinorityWithoutTableStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := started(t, 5)
		c.table.set(func(t *fakeTable) { t.down = true })
		for _, x := range c.nodes[:3] {
			x.crash()
		}
		time.Sleep(2100 * time.Millisecond)
		for _, x := range c.nodes[3:] {
			if x.sync.Fresh() {
				t.Fatalf("%s is fresh with 2 of 5 members left", x.self.ID)
			}
		}
	})
}

// Guards against a change that is applied twice or reported as failed when the
// answer to its commit is lost, and when the commit takes effect late.
func TestLostCommitAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := started(t, 3)
		before := c.nodes[0].sync.Snapshot().Revision
		c.table.set(func(t *fakeTable) { t.lose = 1 })
		if got := c.nodes[0].putKey("a", false); got != before+1 {
			t.Fatalf("revision %d, want %d", got, before+1)
		}
		c.table.set(func(t *fakeTable) { t.lose, t.late = 1, 30*time.Millisecond })
		c.nodes[0].putKey("b", false)
		time.Sleep(time.Second)
		if got := c.nodes[0].sync.Snapshot().Revision; got != before+2 {
			t.Fatalf("revision %d after two changes, want %d", got, before+2)
		}
	})
}

// Guards against an outage that is reported as an unknown outcome although
// nothing can have been written.
func TestProposeWhileTableIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := started(t, 3)
		c.table.set(func(t *fakeTable) { t.down = true })
		_, err := c.nodes[0].propose("a", false)
		if !errors.Is(err, external.ErrUnavailable) || errors.Is(err, external.ErrOutcomeUnknown) {
			t.Fatalf("error %v, want unavailable", err)
		}
	})
}

// Guards against operators' concurrent changes that overwrite each other.
func TestConcurrentChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := started(t, 4)
		before := c.nodes[0].sync.Snapshot().Revision
		done := make(chan error, 8)
		for i := range 8 {
			go func() {
				_, err := c.nodes[i%4].propose(string(rune('a'+i)), false)
				done <- err
			}()
		}
		for range 8 {
			if err := <-done; err != nil {
				t.Fatal(err)
			}
		}
		c.until("all keys are there", 4*time.Second, func() bool { return len(c.nodes[2].sync.Snapshot().Keys) == 8 })
		if got := c.nodes[2].sync.Snapshot().Revision; got != before+8 {
			t.Fatalf("revision %d, want %d", got, before+8)
		}
	})
}

// Guards against a dead member that stays in the membership, and against one
// that is removed because the list is empty.
func TestDeadMemberIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := started(t, 4)
		c.nodes[2].crash()
		c.list.put(external.Instance{ID: c.nodes[2].self.ID}, false)
		c.until("removed", 40*time.Second, func() bool { return len(c.nodes[0].sync.Snapshot().Members.Members) == 3 })
	})
}

// Guards against a herd of restarts that floods the table with reads.
func TestHerdRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := started(t, 24)
		for _, x := range c.nodes {
			x.crash()
		}
		c.table.set(func(t *fakeTable) { t.reads = 0 })
		for _, x := range c.nodes {
			x.start()
		}
		took := c.until("all are fresh members", 10*time.Second, c.allFresh)
		c.table.mu.Lock()
		reads := c.table.reads
		c.table.mu.Unlock()
		t.Logf("24 instances restarted: fresh after %v with %d table reads", took, reads)
		took2 := c.until("the joins are accepted", 10*time.Second, func() bool { return c.allKnow(24) })
		t.Logf("joins accepted after %v", took+took2)
		// 2 relays in each of 4 domains read every 250 ms; everything beyond that
		// is state rows, joins and acceptance, a few dozen reads per relay.
		if bound := 8*int(took/(250*time.Millisecond)+1) + 24*20; reads > bound {
			t.Fatalf("%d table reads, bound %d", reads, bound)
		}
	})
}

// Guards against a fleet that is replaced all at once, with other IDs and
// addresses, and never accepts a change because no member of the old fleet can
// acknowledge it.
func TestFleetIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := started(t, 3)
		for i, x := range c.nodes {
			x.crash()
			c.list.put(external.Instance{ID: x.self.ID}, false)
			x.self.ID += "-new"
			x.self.PeerAddr = fmt.Sprintf("127.0.0.1:%d", 7100+i)
			x.start()
		}
		took := c.until("the new fleet is fresh", 10*time.Second, c.allFresh)
		accepted := c.until("its membership is accepted", 60*time.Second, func() bool { return c.allKnow(3) })
		t.Logf("fresh after %v, accepted after %v", took, took+accepted)
	})
}

// Guards against an instance that cannot catch up because the change rows it
// lacks were compacted.
func TestCompactedChangesAreReplacedByState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := started(t, 3)
		c.net.setCut(c.nodes[2].self.PeerAddr, true)
		for _, secret := range []string{"a", "b", "c"} {
			c.nodes[0].putKey(secret, false)
		}
		c.nodes[0].putKey("b", true)
		c.table.set(func(t *fakeTable) {
			for key := range t.rows {
				if strings.HasPrefix(key, "change/") {
					delete(t.rows, key)
				}
			}
		})
		c.nodes[0].crash()
		c.nodes[1].crash()
		c.net.setCut(c.nodes[2].self.PeerAddr, false)
		c.until("the state rows are loaded", 10*time.Second, func() bool { return c.nodes[2].honours("c") })
		if !c.nodes[2].honours("a") || c.nodes[2].honours("b") {
			t.Fatal("the state rows were not applied completely")
		}
	})
}

// Guards against an instance that follows a table slower than its timeouts into
// refusing keyed requests.
func TestSlowTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := started(t, 5)
		c.table.set(func(t *fakeTable) { t.slow = 3 * time.Second })
		for range 80 {
			time.Sleep(100 * time.Millisecond)
			if !c.allFresh() {
				t.Fatal("an instance is not fresh while the table is slow")
			}
		}
	})
}

// Guards against change rows that pile up, and against compaction that removes
// the membership change from which electorates are found.
func TestCompaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := started(t, 3)
		for i := range 40 {
			c.nodes[i%3].putKey(fmt.Sprint("key", i), false)
			if i%8 == 7 {
				c.until("accepted", 5*time.Second, func() bool { return c.allKnow(3) })
			}
		}
		c.table.mu.Lock()
		rows := 0
		for key := range c.table.rows {
			if strings.HasPrefix(key, "change/") {
				rows++
			}
		}
		c.table.mu.Unlock()
		if rows > changeRows+10 {
			t.Errorf("%d change rows, want about %d", rows, changeRows)
		}
		revision := c.nodes[0].putKey("last", false)
		c.until("a change after compaction is accepted", 5*time.Second, func() bool { return c.nodes[0].accepted(revision) })
	})
}

// Guards against a planned stop that leaves the instance in the membership,
// where acceptance would wait for it.
func TestLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := started(t, 4)
		if err := c.nodes[3].members.Leave(t.Context()); err != nil {
			t.Fatal(err)
		}
		c.nodes[3].crash()
		rest := c.nodes[:3]
		c.until("the others know", 2*time.Second, func() bool {
			for _, x := range rest {
				if len(x.sync.Snapshot().Members.Members) != 3 {
					return false
				}
			}
			return true
		})
		took := c.until("accepted", 10*time.Second, func() bool { return c.nodes[0].accepted(c.nodes[0].sync.Snapshot().Revision) })
		t.Logf("leave accepted after %v", took)
	})
}

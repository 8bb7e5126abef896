package controller_test

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against an operator who is told that every instance uses an accepted
// revision while one is cut off and may serve by its last known one.
func TestProgressNamesCutOffMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := started(t, 5)
		cut := c.nodes[4].self
		c.net.setCut(cut.PeerAddr, true)
		revision := c.nodes[0].putKey("counter", false)
		c.until("accepted", 10*time.Second, func() bool { return c.nodes[0].accepted(revision) })
		progress := func() []string {
			accepted, pending, err := c.nodes[0].sync.Progress(context.Background(), revision)
			if err != nil || !accepted {
				t.Fatalf("progress: %v, %v", accepted, err)
			}
			return pending
		}
		if pending := progress(); !slices.Equal(pending, []string{cut.ID}) {
			t.Errorf("pending %v, want the instance that is cut off", pending)
		}
		c.net.setCut(cut.PeerAddr, false)
		c.until("confirmed by all", 5*time.Second, func() bool { return len(progress()) == 0 })
	})
}

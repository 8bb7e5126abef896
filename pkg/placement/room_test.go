package placement

import (
	"testing"
	"time"

	"github.com/fescuestep/fescuestep/pkg/call"
)

// TestRoomCountsAllInstances guards against capacity that counts only this instance's
// requests, or upstreams that take none.
func TestRoomCountsAllInstances(t *testing.T) {
	b := newTestBalancer(4, 1) // 4 upstreams of "orders" with 6 slots
	if r := b.Room("orders", start); r.Free != 24 || r.Total != 24 || r.Wait != 0 {
		t.Errorf("idle: %+v", r)
	}
	b.Begin(mustPick(t, b, start, Query{Service: orders}), start)
	b.SetPeerWork(map[string]Work{"o00": {Requests: 9}}, KnowledgeAge{}, start)
	b.SetBusyUntil("o03", start.Add(time.Second))
	if r := b.Room("orders", start); r.Total != 18 || r.Free > 12 || r.Free < 11 {
		t.Errorf("one upstream full and one busy: %+v", r)
	}
	for _, id := range []string{"o01", "o02"} {
		b.RecordLoad(id, call.Load{Running: 3, Waiting: 5, Slots: 6}, start)
	}
	if r := b.Room("orders", start); r.Total != 12 {
		t.Errorf("requests wait at two upstreams that run 3: %+v", r)
	}
}

package fleet

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func testUpstream(id string) *Upstream { return &Upstream{ID: id, Service: "s", Addr: "10.0.0.1:80"} }

func listed(r *Registry, id string) bool { return r.View().ByID(id) != nil }

// TestLapsedEntryStaysShortly guards against removing every upstream when the store
// becomes reachable again without the entries that expired during its outage, and
// against keeping an upstream that is gone.
func TestLapsedEntryStaysShortly(t *testing.T) {
	r := NewRegistry()
	r.Replace([]*Upstream{testUpstream("a"), testUpstream("b")}, start)
	r.MarkStoreUnreachable()
	now := start.Add(10 * time.Second)
	r.MarkStoreReachable(now)
	r.Replace([]*Upstream{testUpstream("a")}, now)
	if !listed(r, "b") {
		t.Fatal("an upstream whose entry expired during the outage is removed at once")
	}
	r.Expire(now.Add(ReconnectGracePeriod - time.Millisecond))
	if !listed(r, "b") {
		t.Fatal("removed before the end of the grace period")
	}
	if !r.Expire(now.Add(ReconnectGracePeriod)) || listed(r, "b") {
		t.Error("still listed after the grace period")
	}
}

func TestLapsedEntryThatReturnsStays(t *testing.T) {
	r := NewRegistry()
	r.Replace([]*Upstream{testUpstream("b")}, start)
	r.MarkStoreUnreachable()
	r.MarkStoreReachable(start)
	r.Remove("b", start)
	r.Put(testUpstream("b"))
	r.Expire(start.Add(time.Minute))
	if !listed(r, "b") {
		t.Error("an upstream whose entry was written again is removed")
	}
}

// TestRemovalIsImmediate guards against sending requests to an upstream that was
// removed while the store was reachable, or that was draining before the outage.
func TestRemovalIsImmediate(t *testing.T) {
	r := NewRegistry()
	draining := testUpstream("d")
	draining.Draining = true
	r.Replace([]*Upstream{testUpstream("a"), draining}, start)
	if !r.Remove("a", start) || listed(r, "a") {
		t.Error("removal is deferred although the store was never unreachable")
	}
	r.MarkStoreUnreachable()
	r.MarkStoreReachable(start)
	if !r.Remove("d", start) || listed(r, "d") {
		t.Error("removal of a draining upstream is deferred")
	}
}

func TestUnchangedEntryIsNoChange(t *testing.T) {
	r := NewRegistry()
	if !r.Put(testUpstream("a")) || r.Put(testUpstream("a")) {
		t.Error("an unchanged entry is reported as a change, or a new one is not")
	}
}

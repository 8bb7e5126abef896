package fleet

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func up(id string) *Upstream { return &Upstream{ID: id, Service: "s", Addr: "10.0.0.1:80"} }

func listed(l *Registry, id string) bool { return l.View().ByID(id) != nil }

// TestLapsedEntryStaysShortly guards against dropping every upstream when the
// store returns without the entries that lapsed while it was away, and against
// keeping one that is gone.
func TestLapsedEntryStaysShortly(t *testing.T) {
	l := NewRegistry()
	l.Replace([]*Upstream{up("a"), up("b")}, start)
	l.MarkStoreUnreachable()
	now := start.Add(10 * time.Second)
	l.MarkStoreReachable(now)
	l.Replace([]*Upstream{up("a")}, now)
	if !listed(l, "b") {
		t.Fatal("a lapsed entry is dropped at once")
	}
	l.Expire(now.Add(ReconnectGracePeriod - time.Millisecond))
	if !listed(l, "b") {
		t.Fatal("dropped before the grace is over")
	}
	if !l.Expire(now.Add(ReconnectGracePeriod)) || listed(l, "b") {
		t.Error("still listed after the grace")
	}
}

func TestLapsedEntryThatReturnsStays(t *testing.T) {
	l := NewRegistry()
	l.Replace([]*Upstream{up("b")}, start)
	l.MarkStoreUnreachable()
	l.MarkStoreReachable(start)
	l.Remove("b", start)
	l.Put(up("b"))
	l.Expire(start.Add(time.Minute))
	if !listed(l, "b") {
		t.Error("an entry that was written again is dropped")
	}
}

// TestRemovalIsImmediate guards against work for an upstream that left while the
// store was well, or that was draining when the store went away.
func TestRemovalIsImmediate(t *testing.T) {
	l := NewRegistry()
	draining := up("d")
	draining.Draining = true
	l.Replace([]*Upstream{up("a"), draining}, start)
	if !l.Remove("a", start) || listed(l, "a") {
		t.Error("removal waits though the store was never away")
	}
	l.MarkStoreUnreachable()
	l.MarkStoreReachable(start)
	if !l.Remove("d", start) || listed(l, "d") {
		t.Error("a draining upstream gets the grace of a lapsed entry")
	}
}

func TestUnchangedEntryIsNoChange(t *testing.T) {
	l := NewRegistry()
	if !l.Put(up("a")) || l.Put(up("a")) {
		t.Error("a heartbeat counts as a change, or a new entry does not")
	}
}

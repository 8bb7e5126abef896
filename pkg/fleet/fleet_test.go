package fleet

import (
	"testing"
	"time"

	"github.com/fescuestep/fescuestep/pkg/history"
)

var start = time.Unix(1000, 0)

func testUpstream(id string) *Upstream { return &Upstream{ID: id, Service: "s", Addr: "10.0.0.1:80"} }

// at returns a position of the first era.
func at(version uint64) history.Position { return history.Position{Era: 1, Version: version} }

// replace lists exactly the given upstreams, as a read of the whole table does.
func replace(r *Registry, list []*Upstream, version uint64, now time.Time) {
	seen := map[string]bool{}
	for _, u := range list {
		seen[u.ID] = true
		r.Put(u, at(version), now)
	}
	for id := range r.listed {
		if !seen[id] {
			r.Remove(id, at(version), now)
		}
	}
}

func listed(r *Registry, id string) bool { return r.View().ByID(id) != nil }

// TestLapsedEntryStaysShortly guards against removing every upstream when the store
// becomes reachable again without the entries that expired during its outage, and
// against keeping an upstream that is gone.
// nobody is the answer of a fleet in which nobody reaches the store.
func nobody(time.Time) bool { return false }

func TestLapsedEntryStaysShortly(t *testing.T) {
	r := NewRegistry()
	replace(r, []*Upstream{testUpstream("a"), testUpstream("b")}, 1, start)
	r.StoreCallFailed(start)
	now := start.Add(10 * time.Second)
	r.StoreAnswered(now, nobody)
	replace(r, []*Upstream{testUpstream("a")}, 2, now)
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
	replace(r, []*Upstream{testUpstream("b")}, 1, start)
	r.StoreCallFailed(start)
	r.StoreAnswered(start, nobody)
	r.Remove("b", at(2), start)
	r.Put(testUpstream("b"), at(3), start)
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
	replace(r, []*Upstream{testUpstream("a"), draining}, 1, start)
	if !r.Remove("a", at(2), start) || listed(r, "a") {
		t.Error("removal is deferred although the store was never unreachable")
	}
	r.StoreCallFailed(start)
	r.StoreAnswered(start, nobody)
	if !r.Remove("d", at(3), start) || listed(r, "d") {
		t.Error("removal of a draining upstream is deferred")
	}
}

func TestUnchangedEntryIsNoChange(t *testing.T) {
	r := NewRegistry()
	if !r.Put(testUpstream("a"), at(1), start) || r.Put(testUpstream("a"), at(2), start) {
		t.Error("an unchanged entry is reported as a change, or a new one is not")
	}
}

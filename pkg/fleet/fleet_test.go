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
func TestLapsedEntryStaysShortly(t *testing.T) {
	r := NewRegistry()
	replace(r, []*Upstream{testUpstream("a"), testUpstream("b")}, 1, start)
	r.StoreAnswered(start)
	r.StoreCallFailed(start.Add(time.Second))
	now := start.Add(10 * time.Second)
	r.StoreAnswered(now)
	replace(r, []*Upstream{testUpstream("a")}, 2, now)
	if !listed(r, "b") {
		t.Fatal("an upstream whose entry expired during the outage is removed at once")
	}
	r.StoreAnswered(now.Add(time.Second)) // it stays
	r.Expire(now.Add(ReconnectGracePeriod - time.Millisecond))
	if !listed(r, "b") {
		t.Fatal("removed before the end of the grace period")
	}
	if !r.Expire(now.Add(ReconnectGracePeriod)) || listed(r, "b") {
		t.Error("still listed after the grace period")
	}
}

// outageUntil records an outage of the store and returns its end.
func outageUntil(r *Registry) time.Time {
	back := start.Add(10 * time.Second)
	r.StoreAnswered(start)
	r.StoreCallFailed(start.Add(time.Second))
	r.StoreAnswered(back)
	return back
}

// TestAnswersToOthersAreNoOutage guards against an instance that defers a removal after it alone got no answers, or none for a time too short for entries to expire.
func TestAnswersToOthersAreNoOutage(t *testing.T) {
	for _, interval := range []time.Duration{minOutage - time.Millisecond, 100 * time.Millisecond} {
		r := NewRegistry()
		replace(r, []*Upstream{testUpstream("a")}, 1, start)
		now := start
		for range 20 {
			r.StoreAnswered(now)
			r.StoreCallFailed(now.Add(time.Millisecond))
			now = now.Add(interval)
		}
		if !r.Remove("a", at(2), now) || listed(r, "a") {
			t.Errorf("removal is deferred although the store answered someone each %v", interval)
		}
	}
}

// TestSilenceOfRelaysIsNoOutage guards against an instance that left the store to others, and takes their end for an outage of the store.
func TestSilenceOfRelaysIsNoOutage(t *testing.T) {
	r := NewRegistry()
	replace(r, []*Upstream{testUpstream("a")}, 1, start)
	r.StoreAnswered(start)
	now := start.Add(time.Minute)
	r.StoreAnswered(now)
	if !r.Remove("a", at(2), now) || listed(r, "a") {
		t.Error("removal is deferred although no call failed")
	}
}

// TestLateWordOfAnAnswerHidesNoOutage guards against the removal of all upstreams after an outage, because the age of the last answer before it was told a little too low meanwhile.
func TestLateWordOfAnAnswerHidesNoOutage(t *testing.T) {
	r := NewRegistry()
	replace(r, []*Upstream{testUpstream("a")}, 1, start)
	r.StoreAnswered(start)
	r.StoreCallFailed(start.Add(time.Second))
	r.StoreAnswered(start.Add(300 * time.Millisecond))
	back := start.Add(5 * time.Second)
	r.StoreAnswered(back)
	if r.Remove("a", at(2), back); !listed(r, "a") {
		t.Error("an upstream whose entry expired during the outage is removed at once")
	}
}

// TestSecondOutageKeepsLapsedEntries guards against the removal of upstreams that could not write their entries again, since the store went away a second time.
func TestSecondOutageKeepsLapsedEntries(t *testing.T) {
	r := NewRegistry()
	replace(r, []*Upstream{testUpstream("a")}, 1, start)
	back := outageUntil(r)
	r.Remove("a", at(2), back)
	r.StoreCallFailed(back.Add(time.Second))
	for _, later := range []time.Duration{ReconnectGracePeriod, 20 * time.Second} {
		if r.Expire(back.Add(later)); !listed(r, "a") {
			t.Fatalf("removed %v after the return, while the store is away again", later)
		}
	}
	back = back.Add(20 * time.Second)
	r.StoreAnswered(back)
	if r.Expire(back.Add(ReconnectGracePeriod - time.Millisecond)); !listed(r, "a") {
		t.Error("removed before its grace after the second outage has passed")
	}
	if r.StoreAnswered(back.Add(time.Second)); !r.Expire(back.Add(ReconnectGracePeriod)) || listed(r, "a") {
		t.Error("still listed after the grace")
	}
}

func TestLapsedEntryThatReturnsStays(t *testing.T) {
	r := NewRegistry()
	replace(r, []*Upstream{testUpstream("b")}, 1, start)
	back := outageUntil(r)
	r.Remove("b", at(2), back)
	r.Put(testUpstream("b"), at(3), back)
	r.Expire(back.Add(time.Minute))
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
	back := outageUntil(r)
	if !r.Remove("d", at(3), back) || listed(r, "d") {
		t.Error("removal of a draining upstream is deferred")
	}
}

func TestUnchangedEntryIsNoChange(t *testing.T) {
	r := NewRegistry()
	if !r.Put(testUpstream("a"), at(1), start) || r.Put(testUpstream("a"), at(2), start) {
		t.Error("an unchanged entry is reported as a change, or a new one is not")
	}
}

package state

import (
	"slices"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/fescuestep/fescuestep/pkg/fleet"
	"github.com/fescuestep/fescuestep/pkg/history"
)

// TestFollowsChanges guards against a change that is missed or applied late.
func TestFollowsChanges(t *testing.T) {
	store := newFakeStore()
	store.put(operatorTable, "config", "config 3", false)
	store.put(upstreamTable, "a", "up", false)
	runFollower(t, store, func(f *Follower, sink *fakeSink) {
		time.Sleep(10 * time.Millisecond)
		checkSink(t, sink, 3, 1)
		store.put(upstreamTable, "b", "up", false)
		store.put(operatorTable, "config", "config 5", false)
		time.Sleep(600 * time.Millisecond)
		checkSink(t, sink, 5, 2)
		store.put(upstreamTable, "a", "", true)
		store.put(operatorTable, "config", "config 4", false) // a lower version is ignored
		store.put(operatorTable, "config", "noise", false)
		store.put(upstreamTable, "c", "noise", false)
		time.Sleep(600 * time.Millisecond)
		checkSink(t, sink, 5, 1)
	})
}

// TestHistoryLost guards against changes, including deletions, that are missed
// because the store has discarded them.
func TestHistoryLost(t *testing.T) {
	store := newFakeStore()
	store.put(operatorTable, "config", "config 1", false)
	store.put(upstreamTable, "a", "up", false)
	runFollower(t, store, func(f *Follower, sink *fakeSink) {
		time.Sleep(10 * time.Millisecond)
		store.update(func() {
			store.version += 2
			row := store.rows[upstreamTable+"/a"]
			row.Deleted = true
			store.rows[upstreamTable+"/a"] = row
			store.rows[operatorTable+"/config"] = Row{Table: operatorTable, Key: "config", Value: []byte("config 9"), Version: store.version}
			store.compacted = store.version
		})
		time.Sleep(time.Second)
		checkSink(t, sink, 9, 0)
	})
}

// TestUnavailableStoreKeepsState guards against discarding the local copy while the
// store is unavailable, and against retrying too often.
func TestUnavailableStoreKeepsState(t *testing.T) {
	store := newFakeStore()
	store.put(operatorTable, "config", "config 1", false)
	store.put(upstreamTable, "a", "up", false)
	runFollower(t, store, func(f *Follower, sink *fakeSink) {
		time.Sleep(10 * time.Millisecond)
		store.update(func() { store.down = true; store.calls = 0 })
		time.Sleep(20 * time.Second)
		checkSink(t, sink, 1, 1)
		if f.FollowsStore() {
			t.Error("follows an unavailable store")
		}
		store.update(func() {
			if store.calls > 60 {
				t.Errorf("%d calls in 20 s to an unavailable store, want at most 60", store.calls)
			}
			store.down = false
		})
		store.put(upstreamTable, "a", "", true)
		time.Sleep(time.Second)
		checkSink(t, sink, 1, 1) // the row may have expired during the outage: grace period
		time.Sleep(fleet.ReconnectGracePeriod)
		checkSink(t, sink, 1, 0)
		if !f.FollowsStore() {
			t.Error("does not follow the store after it is available again")
		}
	})
}

// TestChangesBetweenInstances guards against an instance that merges updates from
// another instance and misses a change.
func TestChangesBetweenInstances(t *testing.T) {
	store, none := newFakeStore(), newFakeStore()
	none.down = true
	store.put(operatorTable, "config", "config 1", false)
	store.put(upstreamTable, "a", "up", false)
	store.put(upstreamTable, "b", "up", false)
	runFollower(t, store, func(from *Follower, _ *fakeSink) {
		time.Sleep(10 * time.Millisecond)
		sink := &fakeSink{}
		to := New(none, fakeDecoder{}, sink, hclog.NewNullLogger(), time.Now)
		to.Merge(from.ChangesSince(to.Positions()))
		checkSink(t, sink, 1, 2)
		store.put(upstreamTable, "a", "", true)
		store.put(operatorTable, "config", "config 2", false)
		time.Sleep(600 * time.Millisecond)
		changes := from.ChangesSince(to.Positions())
		for _, change := range changes {
			if change.Full || len(change.Rows) != 1 {
				t.Errorf("%s: want an update with one changed row, got %+v", change.Name, change)
			}
		}
		to.Merge(changes)
		checkSink(t, sink, 2, 1)
		to.Merge(changes) // repeated
		checkSink(t, sink, 2, 1)
		if rest := from.ChangesSince(to.Positions()); len(rest) != 0 {
			t.Errorf("still missing %+v", rest)
		}
	})
}

// TestDeletionBeforeStartIsPropagated guards against an upstream that stays listed
// because the instance that sends the updates started after the upstream was removed.
func TestDeletionBeforeStartIsPropagated(t *testing.T) {
	store, none := newFakeStore(), newFakeStore()
	none.down = true
	store.put(operatorTable, "config", "config 1", false)
	store.put(upstreamTable, "a", "up", false)
	sink := &fakeSink{}
	to := New(none, fakeDecoder{}, sink, hclog.NewNullLogger(), time.Now)
	runFollower(t, store, func(from *Follower, _ *fakeSink) {
		time.Sleep(10 * time.Millisecond)
		to.Merge(from.ChangesSince(to.Positions()))
	})
	checkSink(t, sink, 1, 1)
	store = newFakeStore()
	store.version = 10
	store.put(operatorTable, "config", "config 1", false)
	runFollower(t, store, func(from *Follower, _ *fakeSink) {
		time.Sleep(10 * time.Millisecond)
		to.Merge(from.ChangesSince(to.Positions()))
	})
	checkSink(t, sink, 1, 0)
}

// TestIdleInstanceMakesNoStoreCalls guards against store calls of an instance for
// which others follow the store, and against changes that it misses afterwards.
func TestIdleInstanceMakesNoStoreCalls(t *testing.T) {
	store := newFakeStore()
	store.put(operatorTable, "config", "config 1", false)
	runFollower(t, store, func(f *Follower, sink *fakeSink) {
		time.Sleep(10 * time.Millisecond)
		f.SetIdle(true)
		time.Sleep(time.Second)
		store.update(func() { store.calls = 0 })
		time.Sleep(10 * time.Second)
		if store.calls != 0 {
			t.Errorf("%d store calls while idle", store.calls)
		}
		store.put(operatorTable, "config", "config 2", false)
		f.SetIdle(false)
		time.Sleep(600 * time.Millisecond)
		checkSink(t, sink, 2, 0)
	})
}

// TestEmptyInstanceIsNeverIdle guards against an instance without a configuration
// that leaves the store to others and never gets one.
func TestEmptyInstanceIsNeverIdle(t *testing.T) {
	store := newFakeStore()
	runFollower(t, store, func(f *Follower, sink *fakeSink) {
		f.SetIdle(true)
		time.Sleep(10 * time.Millisecond)
		store.put(operatorTable, "config", "config 1", false)
		time.Sleep(600 * time.Millisecond)
		checkSink(t, sink, 1, 0)
	})
}

// TestWeightsFoundAtStartAreNotRecent guards against an instance that counts the
// time for which replaced weights may be used from its own start.
func TestWeightsFoundAtStartAreNotRecent(t *testing.T) {
	store := newFakeStore()
	store.put(operatorTable, "config", "config 1", false)
	store.put(operatorTable, "version/m", "weights m 2", false)
	runFollower(t, store, func(f *Follower, sink *fakeSink) {
		time.Sleep(10 * time.Millisecond)
		store.put(operatorTable, "version/m", "weights m 3", false)
		time.Sleep(600 * time.Millisecond)
		sink.mu.Lock()
		defer sink.mu.Unlock()
		for i := range sink.targets {
			sink.targets[i].NotBefore = time.Time{}
		}
		want := []WeightsTarget{{"m", 2, false, time.Time{}}, {"m", 3, true, time.Time{}}}
		if !slices.Equal(sink.targets, want) {
			t.Errorf("weights targets %+v, want %+v", sink.targets, want)
		}
	})
}

// TestWeightsTargetCountsFromBeforeAnOutage guards against counting the time of a new target version from when an instance that was away from the store learns of it, and against counting it from too early otherwise.
func TestWeightsTargetCountsFromBeforeAnOutage(t *testing.T) {
	store := newFakeStore()
	store.put(operatorTable, "config", "config 1", false)
	store.put(operatorTable, "version/m", "weights m 2", false)
	runFollower(t, store, func(f *Follower, sink *fakeSink) {
		time.Sleep(10 * time.Second)
		named := time.Now()
		store.put(operatorTable, "version/m", "weights m 3", false)
		time.Sleep(time.Second)
		cut := time.Now()
		store.update(func() { store.down = true })
		time.Sleep(2 * time.Second)
		store.put(operatorTable, "version/m", "weights m 4", false)
		time.Sleep(2 * time.Second)
		store.update(func() { store.down = false })
		time.Sleep(2 * time.Second)
		sink.mu.Lock()
		defer sink.mu.Unlock()
		if len(sink.targets) != 3 {
			t.Fatalf("weights targets %+v", sink.targets)
		}
		if at := sink.targets[1].NotBefore; at.Before(named) || at.Sub(named) > operatorBatchDelay {
			t.Errorf("a version counts from %v after it was named", at.Sub(named))
		}
		if at := sink.targets[2].NotBefore; at.After(cut) || at.Before(named) {
			t.Errorf("a version named during an outage counts from %v after its begin, want from before it", at.Sub(cut))
		}
	})
}

// TestHasSyncedOnlyWithAllTables guards against an instance that becomes ready before
// it has the table of upstreams.
func TestHasSyncedOnlyWithAllTables(t *testing.T) {
	f := New(newFakeStore(), fakeDecoder{}, &fakeSink{}, hclog.NewNullLogger(), time.Now)
	f.Merge([]TableUpdate{{Name: operatorTable, At: history.Position{Version: 1}, Full: true, Rows: []Row{{Key: "config", Version: 1, Value: []byte("config 1")}}}})
	if f.HasSynced() {
		t.Error("synced without the table of upstreams")
	}
	f.Merge([]TableUpdate{{Name: upstreamTable, At: history.Position{Version: 1}, Full: true}})
	if !f.HasSynced() {
		t.Error("not synced after updates of all tables")
	}
}

package state

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/fescuestep/fescuestep/pkg/fleet"
	"github.com/fescuestep/fescuestep/pkg/history"
	"github.com/fescuestep/fescuestep/pkg/routing"
)

const (
	operatorTable = "op"
	upstreamTable = "servers"
)

// fakeStore is an in-memory store with a history of changes.
type fakeStore struct {
	mu        sync.Mutex
	rows      map[string]Row // by table and key
	history   []Row
	version   uint64
	era       uint64
	compacted uint64        // Feed after an earlier version returns ErrHistoryLost
	changed   chan struct{} // closed at the next change
	down      bool          // all calls fail
	calls     int
}

func newFakeStore() *fakeStore {
	return &fakeStore{rows: map[string]Row{}, changed: make(chan struct{})}
}

func (s *fakeStore) put(table, key, value string, deleted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	row := Row{Table: table, Key: key, Value: []byte(value), Version: s.version, Deleted: deleted}
	s.rows[table+"/"+key] = row
	s.history = append(s.history, row)
	s.notify()
}

// notify wakes up waiting calls to Feed. The caller holds mu.
func (s *fakeStore) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	s.notify()
}

var errDown = errors.New("down")

func (s *fakeStore) Rows(_ context.Context, table string) (Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return Page{}, errDown
	}
	out := Page{At: history.Position{Era: s.era, Version: s.version}}
	for _, row := range s.rows {
		if row.Table == table && !row.Deleted {
			out.Rows = append(out.Rows, row)
		}
	}
	return out, nil
}

func (s *fakeStore) Feed(ctx context.Context, table string, after uint64, wait time.Duration) (Page, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	for {
		s.mu.Lock()
		out := Page{At: history.Position{Era: s.era, Version: s.version}}
		for _, row := range s.history {
			if row.Table == table && row.Version > after {
				out.Rows = append(out.Rows, row)
			}
		}
		changed, down, lost := s.changed, s.down, after < s.compacted || after > s.version
		s.mu.Unlock()
		switch {
		case down:
			return Page{}, errDown
		case lost:
			return Page{}, ErrHistoryLost
		case len(out.Rows) > 0:
			return out, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return out, nil
		case <-ctx.Done():
			return Page{}, ctx.Err()
		}
	}
}

// fakeDecoder decodes the values "config N" and "weights MODEL N" of the operator and
// "up" of upstreams. All other values are invalid.
type fakeDecoder struct{}

func (fakeDecoder) Tables() (string, string) { return operatorTable, upstreamTable }

func (fakeDecoder) DecodeOperator(row Row) (OperatorRow, error) {
	fields := strings.Fields(string(row.Value))
	if row.Deleted {
		return OperatorRow{}, nil
	}
	if len(fields) == 2 && fields[0] == "config" {
		n, err := strconv.ParseUint(fields[1], 10, 64)
		return OperatorRow{Config: routing.New(routing.Config{Version: n})}, err
	}
	if len(fields) == 3 && fields[0] == "weights" {
		n, err := strconv.Atoi(fields[2])
		return OperatorRow{Weights: &WeightsTarget{Model: fields[1], Version: n}}, err
	}
	return OperatorRow{}, errors.New("not valid")
}

func (fakeDecoder) DecodeUpstream(row Row) (*fleet.Upstream, error) {
	if string(row.Value) != "up" {
		return nil, errors.New("not valid")
	}
	return &fleet.Upstream{ID: row.Key, Service: "s", Addr: "10.0.0.1:80"}, nil
}

type fakeSink struct {
	mu       sync.Mutex
	versions []uint64
	targets  []WeightsTarget
	view     *fleet.View
	eras     []uint64
}

func (s *fakeSink) EraChanged(era uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.eras = append(s.eras, era)
}

func (s *fakeSink) ConfigChanged(c *routing.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions = append(s.versions, c.Version)
}

func (s *fakeSink) WeightsTargetChanged(w WeightsTarget) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.targets = append(s.targets, w)
}

func (s *fakeSink) UpstreamsChanged(v *fleet.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view = v
}

func (s *fakeSink) last() (config uint64, upstreams int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.versions) > 0 {
		config = s.versions[len(s.versions)-1]
	}
	if s.view != nil {
		upstreams = s.view.Len()
	}
	return config, upstreams
}

// testStore is a store that tests change.
type testStore interface {
	Store
	update(change func())
}

// runFollower runs a follower of the store in virtual time.
func runFollower(t *testing.T, store testStore, test func(f *Follower, sink *fakeSink)) {
	synctest.Test(t, func(t *testing.T) {
		store.update(func() {}) // the channel must be created inside the synctest bubble
		sink := &fakeSink{}
		f := New(store, fakeDecoder{}, sink, hclog.NewNullLogger(), time.Now)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			f.Run(ctx)
			close(done)
		}()
		test(f, sink)
		cancel()
		<-done
	})
}

// checkSink compares the newest configuration version and the number of upstreams.
func checkSink(t *testing.T, sink *fakeSink, config uint64, upstreams int) {
	t.Helper()
	if c, u := sink.last(); c != config || u != upstreams {
		t.Errorf("configuration %d with %d upstreams, want %d with %d", c, u, config, upstreams)
	}
}

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
		if store.calls > 60 {
			t.Errorf("%d calls in 20 s to an unavailable store, want at most 60", store.calls)
		}
		store.update(func() { store.down = false })
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
		want := []WeightsTarget{{"m", 2, false}, {"m", 3, true}}
		if !slices.Equal(sink.targets, want) {
			t.Errorf("weights targets %+v, want %+v", sink.targets, want)
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

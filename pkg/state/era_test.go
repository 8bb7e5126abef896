package state

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"pgregory.net/rapid"

	"github.com/fescuestep/fescuestep/pkg/fleet"
	"github.com/fescuestep/fescuestep/pkg/history"
)

// storeCopy is what a fakeStore had at a moment.
type storeCopy struct {
	rows    map[string]Row
	history []Row
	version uint64
}

func (s *fakeStore) copy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeCopy{maps.Clone(s.rows), slices.Clone(s.history), s.version}
}

// restore makes the store come back from an older copy.
func (s *fakeStore) restore(c storeCopy) {
	s.update(func() {
		s.rows, s.history, s.version = maps.Clone(c.rows), slices.Clone(c.history), c.version
		s.era++
	})
}

// newRestorableStore returns a store in its first era with a configuration and two
// upstreams.
func newRestorableStore() *fakeStore {
	store := newFakeStore()
	store.era = 1
	store.put(operatorTable, "config", "config 3", false)
	store.put(upstreamTable, "a", "up", false)
	store.put(upstreamTable, "b", "up", false)
	return store
}

// TestCopyTakesNothingBack guards against a configuration that goes back, a withdrawn
// upstream that is used again and a new one that is dropped when the store comes back
// from an older copy; and against changes of the new era that are missed because their
// versions were given out before.
func TestCopyTakesNothingBack(t *testing.T) {
	for _, outage := range []time.Duration{0, time.Second} {
		store := newRestorableStore()
		runFollower(t, store, func(f *Follower, sink *fakeSink) {
			time.Sleep(time.Second)
			old := store.copy()
			store.put(operatorTable, "config", "config 4", false)
			store.put(operatorTable, "config", "config 5", false)
			store.put(upstreamTable, "a", "", true)
			store.put(upstreamTable, "c", "up", false)
			time.Sleep(time.Second)
			checkSink(t, sink, 5, 2)
			store.update(func() { store.down = outage > 0 })
			time.Sleep(outage)
			store.restore(old)
			store.update(func() { store.down = false })
			time.Sleep(time.Second)  // within fleet.ReconnectGracePeriod, which keeps c
			checkSink(t, sink, 5, 3) // a, which the copy lists, is draining
			if u := sink.upstream("a"); u == nil || !u.Draining {
				t.Errorf("outage %v: the copy brings an upstream back that was gone", outage)
			}
			if !slices.Equal(sink.eras, []uint64{1, 2}) {
				t.Errorf("eras %v", sink.eras)
			}
			// The operator and the servers write again, under versions given out before.
			store.put(operatorTable, "config", "config 5", false)
			store.put(upstreamTable, "c", "up", false)
			store.put(upstreamTable, "a", "", true)
			store.put(operatorTable, "config", "config 6", false)
			time.Sleep(time.Second)
			checkSink(t, sink, 6, 2)
		})
	}
}

func (s *fakeSink) upstream(id string) *fleet.Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.ByID(id)
}

// TestLateAnswerOfEarlierEra guards against an answer of the store that was under way
// when it came back from a copy, and against changes that skip some of a new era.
func TestLateAnswerOfEarlierEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sink := &fakeSink{}
		f := New(nil, fakeDecoder{}, sink, hclog.NewNullLogger(), time.Now)
		full := func(era, version uint64, rows ...Row) TableUpdate {
			return TableUpdate{Name: upstreamTable, At: history.Position{Era: era, Version: version}, Full: true, Rows: rows}
		}
		up := func(key string, version uint64) Row { return Row{Key: key, Version: version, Value: []byte("up")} }
		f.apply(full(2, 10, up("a", 9)))
		if f.apply(full(1, 50, up("b", 40))) {
			t.Error("a listing of the earlier era was applied")
		}
		changes := full(2, 60, up("b", 55))
		changes.Full = false
		for _, from := range []history.Position{{Era: 1, Version: 5}, {Era: 2, Version: 30}, {Era: 3, Version: 1}} {
			changes.From = from
			if f.apply(changes) {
				t.Errorf("changes after %v were applied to a table at 2/10", from)
			}
		}
		changes.At.Era = 3
		changes.From = history.Position{Era: 3, Version: 10}
		if f.apply(changes) {
			t.Error("changes of an era whose table is not known were applied")
		}
		checkSink(t, sink, 0, 1)
	})
}

// TestRetainedOverRestart guards against a withdrawn key or an upstream that left in
// use again at an instance that starts after the store came back from an older copy,
// although another instance knows better.
func TestRetainedOverRestart(t *testing.T) {
	store := newRestorableStore()
	runFollower(t, store, func(f *Follower, _ *fakeSink) {
		time.Sleep(time.Second)
		old := store.copy()
		store.put(operatorTable, "config", "config 9", false)
		store.put(upstreamTable, "a", "", true)
		time.Sleep(time.Second)
		f.Leave(fleet.Departure{ID: "b", Stated: true})
		store.restore(old)
		sink := &fakeSink{}
		fresh := New(nil, fakeDecoder{}, sink, hclog.NewNullLogger(), time.Now)
		for _, table := range []string{operatorTable, upstreamTable} {
			page, _ := store.Rows(t.Context(), table)
			fresh.apply(TableUpdate{Name: table, At: page.At, Full: true, Rows: page.Rows})
		}
		fresh.MergeRetained(f.Retained())
		checkSink(t, sink, 9, 2)
		for _, id := range []string{"a", "b"} {
			if !sink.upstream(id).Draining {
				t.Errorf("%s is in use again", id)
			}
		}
	})
}

// eraModel drives followers that read from a store or from each other, and checks each
// against what was ever written.
type eraModel struct {
	t         *rapid.T
	store     *fakeStore
	copies    []storeCopy
	followers []*Follower
	sinks     []*fakeSink
	config    uint64
}

func (m *eraModel) step() {
	i := rapid.IntRange(0, len(m.followers)-1).Draw(m.t, "instance")
	switch rapid.IntRange(0, 6).Draw(m.t, "action") {
	case 0:
		m.config++
		m.store.put(operatorTable, "config", fmt.Sprint("config ", m.config), false)
	case 1:
		key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(m.t, "upstream")
		m.store.put(upstreamTable, key, "up", rapid.Bool().Draw(m.t, "deleted"))
	case 2:
		m.copies = append(m.copies, m.store.copy())
	case 3:
		if len(m.copies) > 0 {
			m.store.restore(m.copies[len(m.copies)-1])
			m.copies = nil
		}
	case 4, 5:
		m.read(m.followers[i])
	case 6:
		from := m.followers[rapid.IntRange(0, len(m.followers)-1).Draw(m.t, "from")]
		held := m.followers[i].Positions()
		m.followers[i].Merge(from.ChangesSince(held))
		m.followers[i].MergeRetained(from.Retained())
	}
}

// read makes an instance read from the store what it lacks, as follow does.
func (m *eraModel) read(f *Follower) {
	for _, table := range []string{operatorTable, upstreamTable} {
		held := f.Positions()[table]
		page, err := m.store.Feed(m.t.Context(), table, held.Version, 0)
		update := TableUpdate{Name: table, At: page.At, From: held, Rows: page.Rows}
		if err == nil && f.apply(update) {
			continue
		}
		page, _ = m.store.Rows(m.t.Context(), table)
		f.apply(TableUpdate{Name: table, At: page.At, Full: true, Rows: page.Rows})
	}
}

// TestInstancesInDifferentEras guards against a configuration that goes back at any
// instance, and against instances that do not agree in the end, while the store comes
// back from copies and instances in different eras hand on rows to each other.
func TestInstancesInDifferentEras(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &eraModel{t: t, store: newRestorableStore(), config: 3}
		for range 3 {
			sink := &fakeSink{}
			m.sinks = append(m.sinks, sink)
			m.followers = append(m.followers, New(nil, fakeDecoder{}, sink, hclog.NewNullLogger(), time.Now))
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			m.step()
		}
		m.config++
		m.store.put(operatorTable, "config", fmt.Sprint("config ", m.config), false)
		for _, f := range m.followers {
			m.read(f)
		}
		want := m.listed()
		for i, f := range m.followers {
			if !slices.IsSorted(m.sinks[i].versions) {
				t.Errorf("instance %d: configuration versions %v go back", i, m.sinks[i].versions)
			}
			if last, _ := m.sinks[i].last(); last != m.config {
				t.Errorf("instance %d: configuration %d, want %d", i, last, m.config)
			}
			if got := liveKeys(f.tables[upstreamTable].rows); got != want {
				t.Errorf("instance %d: rows %s, want %s", i, got, want)
			}
		}
	})
}

func (m *eraModel) listed() string {
	rows := map[string]Row{}
	for _, row := range m.store.rows {
		if row.Table == upstreamTable {
			rows[row.Key] = row
		}
	}
	return liveKeys(rows)
}

// liveKeys returns the sorted keys of the rows that are not deleted.
func liveKeys(rows map[string]Row) string {
	var keys []string
	for key, row := range rows {
		if !row.Deleted {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return strings.Join(keys, ",")
}

// TestOrdersOfRollouts guards against an order that counts as withdrawn because a copy of
// the store lacks it, and against a withdrawal that is missed.
func TestOrdersOfRollouts(t *testing.T) {
	store := newRestorableStore()
	runFollower(t, store, func(_ *Follower, sink *fakeSink) {
		time.Sleep(time.Second)
		old := store.copy()
		store.put(operatorTable, "rollout/llm", "v2", false)
		time.Sleep(time.Second)
		store.restore(old)
		time.Sleep(5 * time.Second)
		store.put(operatorTable, "rollout/llm", "v3", false)
		time.Sleep(time.Second)
		store.put(operatorTable, "rollout/llm", "", true)
		time.Sleep(time.Second)
		var got []string
		sink.mu.Lock()
		defer sink.mu.Unlock()
		for _, r := range sink.releases {
			if r.Order == nil {
				got = append(got, "withdrawn")
				continue
			}
			got = append(got, r.Order.To)
		}
		if want := []string{"v2", "v3", "withdrawn"}; !slices.Equal(got, want) {
			t.Errorf("got %v, want %v", got, want)
		}
	})
}

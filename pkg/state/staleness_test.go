package state

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/fescuestep/fescuestep/pkg/history"
)

// busyStore is a silent store that also refuses the next calls that ask for an immediate
// answer, as one does that gets too many calls.
type busyStore struct {
	*silentStore
	refusals int
}

func (s *busyStore) Feed(ctx context.Context, table string, after uint64, wait time.Duration) (Page, error) {
	refused := false
	if wait == 0 {
		s.update(func() {
			refused = s.refusals > 0
			s.refusals--
		})
	}
	if refused {
		return Page{}, errDown
	}
	return s.silentStore.Feed(ctx, table, after, wait)
}

// loseAnswers withholds the answers to the calls that are in progress.
func (s *silentStore) loseAnswers() {
	s.setSilent(true)
	s.setSilent(false)
}

// TestRefusedCallDefersNoDeparture guards against an instance that takes a short trouble of its own for an outage of the store, and goes on using an upstream that is removed then.
func TestRefusedCallDefersNoDeparture(t *testing.T) {
	runs, failed := 0, 0
	for phase := time.Duration(0); phase < 2800*time.Millisecond; phase += 200 * time.Millisecond {
		for later := time.Duration(0); later < 1500*time.Millisecond; later += 100 * time.Millisecond {
			runs++
			if usedAfterRefusedCalls(t, phase, stableAfter+later) {
				failed++
				t.Logf("answers lost %v into the polls, departure %v later: still in use", phase, stableAfter+later)
			}
		}
	}
	if failed > 0 {
		t.Errorf("%d of %d departures came into force too late", failed, runs)
	}
}

// usedAfterRefusedCalls reports whether an upstream that leaves at a time after answers were
// lost, and further calls refused, is still in use drainBound after its departure.
func usedAfterRefusedCalls(t *testing.T, phase, departure time.Duration) (used bool) {
	store := &busyStore{silentStore: newSilentStore()}
	runFollower(t, store, func(_ *Follower, sink *fakeSink) {
		time.Sleep(2 * time.Second)
		store.put(operatorTable, "config", "config 2", false)
		time.Sleep(phase)
		store.update(func() { store.refusals = 2 })
		store.loseAnswers()
		time.Sleep(departure)
		store.put(upstreamTable, "a", "", true)
		time.Sleep(drainBound)
		used = inUse(sink, "a")
	})
	return used
}

// TestLostAnswerHidesNoChange guards against an instance that takes the silence of a connection for a store without news, and acts on an old list and configuration.
func TestLostAnswerHidesNoChange(t *testing.T) {
	for phase := time.Duration(0); phase < 2800*time.Millisecond; phase += 50 * time.Millisecond {
		store := newSilentStore()
		runFollower(t, store, func(_ *Follower, sink *fakeSink) {
			time.Sleep(time.Second + phase)
			store.loseAnswers()
			time.Sleep(100 * time.Millisecond)
			store.put(upstreamTable, "a", "", true)
			store.put(operatorTable, "config", "config 2", false)
			time.Sleep(stableAfter - 100*time.Millisecond)
			if config, _ := sink.last(); config != 2 || inUse(sink, "a") {
				t.Errorf("answers lost %v after the start: configuration %d, upstream in use: %v", time.Second+phase, config, inUse(sink, "a"))
			}
		})
	}
}

// mergingFollower returns a follower that gets its rows from other instances only.
func mergingFollower() (*Follower, *fakeSink) {
	sink := &fakeSink{}
	store := newFakeStore()
	store.down = true
	return New(store, fakeDecoder{}, sink, hclog.NewNullLogger(), time.Now), sink
}

func upstreamRow(key string, version uint64, deleted bool) Row {
	row := Row{Key: key, Version: version, Value: []byte("up"), Deleted: deleted}
	if deleted {
		row.Value = nil
	}
	return row
}

// TestOlderAnswerBringsNoUpstreamBack guards against an upstream that is used again for good, because an answer from before its departure arrives after a newer one.
func TestOlderAnswerBringsNoUpstreamBack(t *testing.T) {
	for name, older := range map[string]TableUpdate{
		"whole table": {At: history.Position{Version: 90}, Full: true, Rows: []Row{upstreamRow("a", 80, false), upstreamRow("b", 70, false)}},
		"changes":     {At: history.Position{Version: 90}, From: history.Position{Version: 75}, Rows: []Row{upstreamRow("a", 80, false)}},
	} {
		f, sink := mergingFollower()
		newer := TableUpdate{Name: upstreamTable, At: history.Position{Version: 100}, Full: true, Rows: []Row{upstreamRow("b", 70, false)}}
		older.Name = upstreamTable
		f.Merge([]TableUpdate{newer, older})
		if inUse(sink, "a") || !inUse(sink, "b") {
			t.Errorf("%s: the upstream that left is in use: %v, the other: %v", name, inUse(sink, "a"), inUse(sink, "b"))
		}
	}
}

// TestRowOfALaterPageHidesNoChange guards against a change that is missed for good, because a table read page by page counts as complete up to the newest row on its last page.
func TestRowOfALaterPageHidesNoChange(t *testing.T) {
	f, sink := mergingFollower()
	f.Merge([]TableUpdate{{
		Name: upstreamTable, At: history.Position{Version: 100}, Full: true,
		Rows: []Row{upstreamRow("a", 50, false), upstreamRow("b", 105, false)},
	}})
	held := f.Positions()[upstreamTable]
	if held.Version != 100 {
		t.Errorf("complete up to %d, want 100, the position of the first page", held.Version)
	}
	f.Merge([]TableUpdate{{
		Name: upstreamTable, At: history.Position{Version: 106}, From: held,
		Rows: []Row{upstreamRow("a", 103, true), upstreamRow("b", 105, false)},
	}})
	if inUse(sink, "a") || !inUse(sink, "b") {
		t.Errorf("the upstream that left between the pages is in use: %v, the other: %v", inUse(sink, "a"), inUse(sink, "b"))
	}
}

// TestRateLimitedCallsDeferNoDeparture guards against an instance that takes refusals for too many calls, which only it gets, for an outage of the store.
func TestRateLimitedCallsDeferNoDeparture(t *testing.T) {
	for later := time.Duration(0); later < 2*time.Second; later += 50 * time.Millisecond {
		store := newSilentStore()
		runFollower(t, store, func(_ *Follower, sink *fakeSink) {
			time.Sleep(3 * time.Second)
			store.update(func() { store.down = true })
			time.Sleep(300 * time.Millisecond)
			store.update(func() { store.down = false })
			time.Sleep(later)
			store.put(upstreamTable, "a", "", true)
			time.Sleep(drainBound)
			if inUse(sink, "a") {
				t.Errorf("departure %v after the refusals: still in use", later)
			}
		})
	}
}

package state

import (
	"context"
	"testing"
	"time"

	"github.com/fescuestep/fescuestep/pkg/fleet"
)

const (
	// stableAfter is how long after the return of the store the rule binds.
	stableAfter = 3 * time.Second
	// drainBound is how long after its departure an upstream may get new requests.
	drainBound = 2 * time.Second
	// callTimeout is what the client of the store adds to the wait of a call.
	callTimeout = 700 * time.Millisecond
)

// silentStore is a store whose calls get no answer if any part of them falls into a
// silence.
type silentStore struct {
	*fakeStore
	silences int // begun so far
	silent   bool
}

func (s *silentStore) setSilent(silent bool) {
	s.update(func() {
		s.silent = silent
		if silent {
			s.silences++
		}
	})
}

func (s *silentStore) silence() (begun int, silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silences, s.silent
}

// answer makes a call and withholds its answer until the timeout if the store fell silent.
func (s *silentStore) answer(ctx context.Context, timeout time.Duration, call func() (Page, error)) (Page, error) {
	begun, silent := s.silence()
	deadline := time.Now().Add(timeout)
	page, err := call()
	if now, _ := s.silence(); !silent && now == begun {
		return page, err
	}
	sleep(ctx, time.Until(deadline))
	return Page{}, errDown
}

func (s *silentStore) Rows(ctx context.Context, table string) (Page, error) {
	return s.answer(ctx, callTimeout, func() (Page, error) { return s.fakeStore.Rows(ctx, table) })
}

func (s *silentStore) Feed(ctx context.Context, table string, after uint64, wait time.Duration) (Page, error) {
	return s.answer(ctx, wait+callTimeout, func() (Page, error) { return s.fakeStore.Feed(ctx, table, after, wait) })
}

func newSilentStore() *silentStore {
	store := &silentStore{fakeStore: newFakeStore()}
	store.put(operatorTable, "config", "config 1", false)
	store.put(upstreamTable, "a", "up", false)
	store.put(upstreamTable, "b", "up", false)
	return store
}

func inUse(sink *fakeSink, id string) bool {
	u := sink.upstream(id)
	return u != nil && !u.Draining
}

// usedAfterDeparture reports whether an upstream that leaves once the store has been
// back for stableAfter is still in use drainBound later.
func usedAfterDeparture(t *testing.T, phase, outage time.Duration, changes int) (used bool) {
	store := newSilentStore()
	runFollower(t, store, func(_ *Follower, sink *fakeSink) {
		time.Sleep(time.Second)
		store.put(operatorTable, "config", "config 2", false)
		time.Sleep(phase)
		store.setSilent(true)
		time.Sleep(outage)
		store.setSilent(false)
		for range changes {
			time.Sleep(40 * time.Millisecond)
			store.put(operatorTable, "config", "config 3", false)
		}
		time.Sleep(stableAfter - time.Duration(changes)*40*time.Millisecond)
		store.put(upstreamTable, "a", "", true)
		time.Sleep(drainBound)
		used = inUse(sink, "a")
	})
	return used
}

// TestOutageDefersNoLaterDeparture guards against requests to an upstream that left after the store was back.
func TestOutageDefersNoLaterDeparture(t *testing.T) {
	runs, failed := 0, 0
	for _, outage := range []time.Duration{300, 1000, 2000, 3000, 3400, 5031, 8409} {
		for phase := time.Duration(0); phase < 2800; phase += 100 {
			for _, changes := range []int{0, 3} {
				runs++
				if usedAfterDeparture(t, phase*time.Millisecond, outage*time.Millisecond, changes) {
					failed++
					t.Logf("outage of %d ms, %d ms into the polls, %d changes at the return: still in use", outage, phase, changes)
				}
			}
		}
	}
	if failed > 0 {
		t.Errorf("%d of %d departures came into force too late", failed, runs)
	}
}

// TestIdleInstanceCompletesRemovals guards against an upstream that an instance without calls of its own keeps for good.
func TestIdleInstanceCompletesRemovals(t *testing.T) {
	store := newSilentStore()
	runFollower(t, store, func(f *Follower, sink *fakeSink) {
		time.Sleep(time.Second)
		store.update(func() { store.down = true })
		time.Sleep(5 * time.Second)
		store.update(func() { store.down = false })
		store.put(upstreamTable, "a", "", true) // may have lapsed
		time.Sleep(time.Second)
		store.update(func() { store.down = true })
		time.Sleep(100 * time.Millisecond)
		f.SetIdle(true)
		time.Sleep(fleet.ReconnectGracePeriod + drainBound)
		if inUse(sink, "a") {
			t.Error("still in use although the instance leaves the store to others")
		}
	})
}

// noPollStore is a store that answers, but closes the connections of calls that wait.
type noPollStore struct{ *fakeStore }

func (s noPollStore) Feed(ctx context.Context, table string, after uint64, wait time.Duration) (Page, error) {
	page, err := s.fakeStore.Feed(ctx, table, after, 0)
	if wait > 0 {
		return Page{}, errDown
	}
	return page, err
}

// TestFailingPollsAreSpaced guards against calls without a pause to a store at which only calls that wait fail.
func TestFailingPollsAreSpaced(t *testing.T) {
	store := noPollStore{newFakeStore()}
	store.put(operatorTable, "config", "config 1", false)
	runFollower(t, store, func(*Follower, *fakeSink) {
		time.Sleep(20 * time.Second)
		store.update(func() {
			if store.calls > 450 {
				t.Errorf("%d calls in 20 s for two tables", store.calls)
			}
		})
	})
}

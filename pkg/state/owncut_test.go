package state

import (
	"testing"
	"time"
)

// cutStore is a store that one instance does not reach for a time. Calls are refused at once,
// or get no answer.
type cutStore struct {
	*silentStore
	hangs bool
}

func (s cutStore) setCut(cut bool) {
	if s.hangs {
		s.setSilent(cut)
		return
	}
	s.update(func() { s.down = cut })
}

// TestOwnCutDefersNoDeparture guards against requests to an upstream that left, by an instance whose own link to the store has been whole again for stableAfter, and that heard nothing of the others meanwhile.
func TestOwnCutDefersNoDeparture(t *testing.T) {
	const firstRequest = time.Second
	for _, hangs := range []bool{false, true} {
		runs, failed := 0, 0
		for _, cut := range []time.Duration{2100, 4000, 5500} {
			for phase := time.Duration(0); phase < 800; phase += 100 {
				for departure := time.Duration(0); departure < 1200; departure += 100 {
					runs++
					if usedAfterOwnCut(t, cutStore{newSilentStore(), hangs}, firstRequest+phase*time.Millisecond, cut*time.Millisecond, departure*time.Millisecond) {
						failed++
						t.Logf("cut of %d ms, %d ms into the polls, departure %d ms after its end: still in use", cut, phase, departure)
					}
				}
			}
		}
		if failed > 0 {
			t.Errorf("calls hang: %v: %d of %d departures came into force too late", hangs, failed, runs)
		}
	}
}

// usedAfterOwnCut reports whether an upstream that leaves at a time after the end of a cut
// is in use when it must not be any more: drainBound after its departure, once the link has
// been whole for stableAfter.
func usedAfterOwnCut(t *testing.T, store cutStore, phase, cut, departure time.Duration) (used bool) {
	runFollower(t, store, func(_ *Follower, sink *fakeSink) {
		time.Sleep(phase)
		store.setCut(true)
		time.Sleep(cut)
		store.setCut(false)
		time.Sleep(departure)
		store.put(upstreamTable, "a", "", true)
		time.Sleep(max(drainBound, stableAfter-departure))
		used = inUse(sink, "a")
	})
	return used
}

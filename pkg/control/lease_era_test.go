package control_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fescuestep/fescuestep/pkg/control"
	"github.com/fescuestep/fescuestep/pkg/external"
	"github.com/fescuestep/fescuestep/pkg/history"
)

// restoredStore is a table with one row that comes back from an older copy now and
// then: the row and the counter of versions go back, and the era rises.
type restoredStore struct {
	rng    *rand.Rand
	clock  func() time.Duration
	era    uint64
	row    external.Row
	next   uint64 // version of the next transaction
	copies []tableCopy
	due    time.Duration // time of the next return from a copy

	shown func(era uint64) uint64 // era in answers; broken variants hide the real one
}

type tableCopy struct {
	at   time.Duration
	row  external.Row
	next uint64
}

const (
	copyInterval = 100 * time.Millisecond
	// maxLoss is the age of the oldest copy from which the store comes back.
	maxLoss = 6 * time.Second
	// meanRestoreInterval is the mean time between two returns from a copy.
	meanRestoreInterval = 8 * time.Second
)

func newRestoredStore(seed int64, clock func() time.Duration) *restoredStore {
	s := &restoredStore{rng: rand.New(rand.NewPCG(uint64(seed), 1)), clock: clock, era: 1, next: 1, shown: func(era uint64) uint64 { return era }}
	s.row.Key = control.LeaseKey
	s.schedule()
	return s
}

func (s *restoredStore) schedule() {
	s.due = s.clock() + time.Duration(s.rng.Int64N(int64(2*meanRestoreInterval)))
}

// advance takes copies and returns to one when that is due. It runs at every step.
func (s *restoredStore) advance() {
	now := s.clock()
	if len(s.copies) == 0 || now >= s.copies[len(s.copies)-1].at+copyInterval {
		s.copies = append(s.copies, tableCopy{now, s.row, s.next})
	}
	for s.copies[0].at < now-maxLoss {
		s.copies = s.copies[1:]
	}
	if now < s.due {
		return
	}
	old := s.copies[s.rng.IntN(len(s.copies))]
	s.row, s.next = old.row, old.next
	s.copies = nil
	s.era++
	s.schedule()
}

func (s *restoredStore) read() (external.Row, error) {
	row := s.row
	row.Era = s.shown(s.era)
	return row, nil
}

func (s *restoredStore) commit(txn external.Txn) (history.Position, error) {
	at := history.Position{Era: s.shown(s.era), Version: s.next}
	if txn.Conditions[0].Version != s.row.Version {
		return at, external.ErrConflict
	}
	s.row.Value, s.row.Version = txn.Writes[0].Value, s.next
	s.next++
	return at, nil
}

// simulateEras runs candidates against a store that comes back from copies.
func simulateEras(seed int64, change func(*restoredStore)) (takeovers int, eras uint64, err error) {
	s := newSimulation(seed, 3)
	store := newRestoredStore(seed, func() time.Duration { return s.now })
	change(store)
	s.store = store
	for s.now < 3*time.Minute {
		store.advance()
		s.advance()
	}
	takeovers, err = s.check()
	return takeovers, store.era, err
}

// TestLeaseAcrossEras guards against two leaders, a token with two holders and a token
// that goes back when the store comes back from an older copy: the lease of a leader
// is gone, versions are given out twice, and an earlier row of its own is back.
func TestLeaseAcrossEras(t *testing.T) {
	for seed := range int64(60) {
		takeovers, eras, err := simulateEras(seed, func(*restoredStore) {})
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		if takeovers == 0 || eras < 3 {
			t.Errorf("seed %d: %d takeovers in %d eras do not test the lease", seed, takeovers, eras)
		}
	}
}

// TestLeaseNeedsEras shows that the simulation finds the faults that TestLeaseAcrossEras
// guards against: a lease that does not learn the era has two leaders.
func TestLeaseNeedsEras(t *testing.T) {
	for name, change := range map[string]func(*restoredStore){
		"no era stated": func(s *restoredStore) { s.shown = func(uint64) uint64 { return 0 } },
		"same era":      func(s *restoredStore) { s.shown = func(uint64) uint64 { return 1 } },
	} {
		found := 0
		for seed := range int64(60) {
			if _, _, err := simulateEras(seed, change); err != nil {
				found++
			}
		}
		t.Logf("%s: %d of 60 seeds find a fault", name, found)
		if found == 0 {
			t.Errorf("%s: no seed finds a fault", name)
		}
	}
}

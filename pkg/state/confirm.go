package state

import (
	"sync/atomic"
	"time"

	"github.com/fescuestep/fescuestep/pkg/history"
)

// TableState is how much an instance knows of a table.
type TableState struct {
	At history.Position // position of the store up to which the rows are complete
	// ConfirmedAt is the last time at which the store is known to have had no other rows;
	// zero: unknown.
	ConfirmedAt time.Time
}

// confirmation is the last time at which a table is known to have been current. It only
// advances, and is safe for concurrent use.
type confirmation struct{ at atomic.Pointer[time.Time] }

func (c *confirmation) load() time.Time {
	if at := c.at.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

func (c *confirmation) advance(to time.Time) {
	for {
		known := c.at.Load()
		if to.IsZero() || (known != nil && !known.Before(to)) || c.at.CompareAndSwap(known, &to) {
			return
		}
	}
}

// Tables returns how much this instance knows of each table, by name.
func (f *Follower) Tables() map[string]TableState {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]TableState, len(f.tables))
	for name, t := range f.tables {
		out[name] = TableState{t.at, t.confirmed.load()}
	}
	return out
}

// Confirm records that another instance's copy of a table, complete up to a position, was
// current at a time; zero: unknown. It confirms a copy that is as new.
func (f *Follower) Confirm(name string, at history.Position, confirmedAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.noteStoreAnswered(confirmedAt)
	if t := f.tables[name]; t != nil && t.loaded && !t.at.Before(at) {
		t.confirmed.advance(confirmedAt)
	}
}

// Age returns how long ago a table was last known to be current. ok is false if it never
// was.
func (f *Follower) Age(name string) (age time.Duration, ok bool) {
	t := f.tables[name] // the map does not change after New
	if t == nil {
		return 0, false
	}
	confirmedAt := t.confirmed.load()
	if confirmedAt.IsZero() {
		return 0, false
	}
	return f.now().Sub(confirmedAt), true
}

// TableNames returns the names of the operator's table and of the table in which upstreams
// are listed.
func (f *Follower) TableNames() (operator, upstreams string) { return f.decoder.Tables() }

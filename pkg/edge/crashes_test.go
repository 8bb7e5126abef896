package edge

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/fescuestep/fescuestep/pkg/quarantine"
	"github.com/fescuestep/fescuestep/pkg/state"
)

// fakeTable is a table of the store that may be away.
type fakeTable struct {
	rows   map[string][]byte
	away   bool
	writes int
}

var errAway = errors.New("away")

func (f *fakeTable) Rows(context.Context, string) (state.Page, error) {
	var out state.Page
	for key, value := range f.rows {
		out.Rows = append(out.Rows, state.Row{Key: key, Value: value})
	}
	return out, nil
}

func (f *fakeTable) PutRow(_ context.Context, _, key string, value []byte) error {
	if f.away {
		return errAway
	}
	f.writes++
	f.rows[key] = value
	return nil
}

func (f *fakeTable) DeleteRow(_ context.Context, _, key string) error {
	if f.away {
		return errAway
	}
	delete(f.rows, key)
	return nil
}

// newTestRows returns the rows of an instance that writes all of them, or none.
func newTestRows(table *fakeTable, now *time.Time, owns bool) *crashRows {
	c := newCrashes(hclog.NewNullLogger(), func() time.Time { return *now })
	r := newCrashRows(table, "t", c, hclog.NewNullLogger())
	r.owns = func(uint64) bool { return owns }
	return r
}

// TestQuarantineIsStoredHoweverLearned guards against a quarantine that no instance writes, because the one that is to write it was told of it, and against a row that stays when the part is answered.
func TestQuarantineIsStoredHoweverLearned(t *testing.T) {
	now := time.Unix(1000, 0)
	told := quarantine.Quarantine{Part: 7, Since: now, Left: time.Minute}
	for _, owns := range []bool{true, false} {
		table := &fakeTable{rows: map[string][]byte{}}
		r := newTestRows(table, &now, owns)
		for range 2 {
			r.crashes.adopt([]quarantine.Quarantine{told})
			r.write(t.Context())
		}
		if (table.writes == 1) != owns || table.writes > 1 {
			t.Errorf("owns %v: written %d times", owns, table.writes)
		}
		r.crashes.recordAnswer(7, now)
		r.write(t.Context())
		if len(table.rows) != 0 {
			t.Errorf("rows %v after an answer", table.rows)
		}
	}
}

// TestEndsAreStoredFromTheFirstOn guards against ends of upstreams that are forgotten in a restart of all instances before there are enough of them, or after the store was away.
func TestEndsAreStoredFromTheFirstOn(t *testing.T) {
	now := time.Unix(1000, 0)
	table := &fakeTable{rows: map[string][]byte{}, away: true}
	before := newTestRows(table, &now, true)
	for i := range 2 {
		before.crashes.record(quarantine.Crash{Process: quarantine.Process(i), Parts: []quarantine.Part{7}, At: now})
		now = now.Add(time.Second)
	}
	before.write(t.Context())
	table.away = false
	before.write(t.Context())
	table.rows["foreign"], table.rows["end-x"], table.rows["end-1"] = []byte("{}"), []byte("{}"), []byte(`{"process":"1","parts":[[[[1]]]]}`)
	after := newTestRows(table, &now, true)
	after.read(t.Context())
	after.crashes.record(quarantine.Crash{Process: 9, Parts: []quarantine.Part{7}, At: now})
	if after.crashes.Refused([]quarantine.Part{7}) == 0 {
		t.Errorf("not refused after the third end; rows %v", table.rows)
	}
	after.write(t.Context())
	if len(table.rows) != 4 || table.rows["7"] == nil {
		t.Errorf("rows %v, want that of the quarantine and the foreign ones", table.rows)
	}
}

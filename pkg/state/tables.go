package state

import (
	"sort"
	"time"

	"github.com/fescuestep/fescuestep/pkg/history"
)

// table is the local copy of one table. Its rows are of one era of the store.
type table struct {
	rows        map[string]Row   // by key, including deleted rows
	at          history.Position // position of the store up to which the rows are complete
	fullVersion uint64           // version of the last full update; earlier deletions are unknown
	healthy     bool             // the last call to the store for this table succeeded
	loaded      bool             // an update was applied at least once
	answeredAt  time.Time        // last successful call to the store
	confirmed   confirmation     // last time at which the rows are known to have been current
}

func newTable() *table { return &table{rows: map[string]Row{}} }

// TableUpdate is a whole table or the changes in it, as sent between instances.
type TableUpdate struct {
	Name string
	At   history.Position // position of the store up to which the rows are complete
	Full bool             // the whole table: rows that are not listed do not exist
	From history.Position // unless Full: position after which all changes are listed
	Rows []Row            // ordered by version

	Source      string    // where the update comes from: SourceStore, or the address of an instance
	ConfirmedAt time.Time // as in TableState

	knownUntil time.Time // see noteAnswer; zero: unknown
}

// SourceStore is the source of updates that the store itself sent.
const SourceStore = "store"

// Positions returns, by table, the position of the store up to which it is complete.
func (f *Follower) Positions() map[string]history.Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]history.Position, len(f.tables))
	for name, t := range f.tables {
		out[name] = t.at
	}
	return out
}

// ChangesSince returns the updates that are missing at another instance whose tables
// are complete up to the given positions.
func (f *Follower) ChangesSince(held map[string]history.Position) []TableUpdate {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []TableUpdate
	for name, t := range f.tables {
		if held[name].Before(t.at) {
			out = append(out, t.changesSince(name, held[name]))
		}
	}
	return out
}

func (t *table) changesSince(name string, held history.Position) TableUpdate {
	after := held.Version
	if held.Era != t.at.Era {
		after = 0 // versions of different eras are not comparable
	}
	update := TableUpdate{Name: name, At: t.at, From: held, Full: held.Era != t.at.Era || after < t.fullVersion, ConfirmedAt: t.confirmed.load()}
	for _, row := range t.rows {
		if row.Version > after || (update.Full && !row.Deleted) {
			update.Rows = append(update.Rows, row)
		}
	}
	sort.Slice(update.Rows, func(i, j int) bool { return update.Rows[i].Version < update.Rows[j].Version })
	return update
}

// Merge applies updates received from another instance.
func (f *Follower) Merge(updates []TableUpdate) {
	for _, update := range updates {
		f.apply(update)
	}
}

// apply applies an update. Rows that are not newer than the local ones are ignored.
// It returns false for an update that does not fit the local table: one of an earlier
// era, or changes that do not continue it.
func (f *Follower) apply(update TableUpdate) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.tables[update.Name]
	if t == nil {
		return true
	}
	if update.At.Era < t.at.Era || !(update.Full || t.continuedBy(update)) {
		return false
	}
	f.knownUntil, f.source = update.knownUntil, update.Source
	f.noteStoreAnswered(update.ConfirmedAt)
	rows := f.enterEra(t, update)
	t.loaded = true
	if update.Full {
		rows = append(rows, t.impliedDeletions(update)...)
	}
	changed := false
	for _, row := range t.newRows(update, rows) {
		changed = f.applyRow(t, row, !update.Full) || changed
	}
	if update.Full && update.At.Version >= t.at.Version {
		t.fullVersion = update.At.Version
	}
	t.at.Version = max(t.at.Version, update.At.Version)
	t.confirmed.advance(update.ConfirmedAt)
	if changed {
		f.sink.UpstreamsChanged(f.upstreams.View())
	}
	return true
}

// continuedBy reports whether changes leave no gap after the local rows. Positions of
// different eras are not comparable.
func (t *table) continuedBy(update TableUpdate) bool {
	return update.From.Era == t.at.Era && update.At.Era == t.at.Era && !t.at.Before(update.From)
}

// newRows returns those rows of an update that are newer than the local ones. Of keys that
// are missing here, those that the table is complete beyond were deleted (tables that other
// instances send whole leave out deleted rows), unless a whole table as new lists them.
func (t *table) newRows(update TableUpdate, rows []Row) []Row {
	complete := t.at.Version
	if update.Full && update.At.Version >= t.at.Version {
		complete = 0
	}
	var out []Row
	for _, row := range rows {
		row.Table = update.Name
		if t.isNew(row, complete) {
			out = append(out, row)
		}
	}
	return out
}

func (t *table) isNew(row Row, complete uint64) bool {
	local, ok := t.rows[row.Key]
	if !ok {
		return row.Version > complete
	}
	return row.Version > local.Version || (row.Version == local.Version && row.Deleted != local.Deleted)
}

// applyRow applies a new row. recent says that it was received as a change. It
// reports whether the view of upstreams changes.
func (f *Follower) applyRow(t *table, row Row, recent bool) (changed bool) {
	if _, upstreamsName := f.decoder.Tables(); row.Table == upstreamsName {
		changed = f.applyUpstream(row, history.Position{Era: t.at.Era, Version: row.Version})
	} else {
		f.applyOperator(row, recent)
	}
	if row.Deleted {
		row.Value = nil
	}
	t.rows[row.Key] = row
	return changed
}

// enterEra makes the table that of the update's era, and returns the rows to apply.
// Rows of the earlier era that the update does not list count as deleted by the
// return of the store to an older copy.
func (f *Follower) enterEra(t *table, update TableUpdate) []Row {
	era := update.At.Era
	if era == t.at.Era && (t.loaded || era == 0) {
		return update.Rows
	}
	now := f.now()
	f.noteEra(era)
	if !t.loaded {
		t.at = history.Position{Era: era}
		f.upstreams.MarkEraSeen(now)
		return update.Rows
	}
	f.log.Warn("store came back from an older copy", "table", update.Name, "era", era, "version", update.At.Version, "held", t.at.Version)
	earlier := t.rows
	t.rows, t.fullVersion = map[string]Row{}, 0
	t.at = history.Position{Era: era}
	if _, upstreamsName := f.decoder.Tables(); update.Name == upstreamsName {
		f.upstreams.MarkStoreRestored(now)
	}
	return append(update.Rows, missingRows(earlier, update)...)
}

// missingRows returns deletions of the rows of an earlier era that a full update does
// not list.
func missingRows(earlier map[string]Row, full TableUpdate) []Row {
	listed := full.keys()
	var out []Row
	for key, row := range earlier {
		if !row.Deleted && !listed[key] {
			out = append(out, Row{Key: key, Version: full.At.Version, Deleted: true, lost: true})
		}
	}
	return out
}

func (u TableUpdate) keys() map[string]bool {
	out := make(map[string]bool, len(u.Rows))
	for _, row := range u.Rows {
		out[row.Key] = true
	}
	return out
}

// impliedDeletions returns deletions of the local rows that a full update does not
// list.
func (t *table) impliedDeletions(full TableUpdate) []Row {
	listed := full.keys()
	var out []Row
	for key, row := range t.rows {
		if !row.Deleted && !listed[key] && row.Version <= full.At.Version {
			out = append(out, Row{Key: key, Version: full.At.Version, Deleted: true})
		}
	}
	return out
}

// noteEra records an era that was seen and tells the sink if it is new.
func (f *Follower) noteEra(era uint64) {
	if f.eraKnown && era <= f.era {
		return
	}
	f.era, f.eraKnown = era, true
	f.sink.EraChanged(era)
}

package edge

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/zeebo/xxh3"

	"github.com/fescuestep/fescuestep/pkg/quarantine"
	"github.com/fescuestep/fescuestep/pkg/state"
)

// QuarantineTable is the table of the store that keeps quarantined parts, and the crashes
// that none explains, over a restart of all instances.
type QuarantineTable interface {
	// Rows reads all rows of the table.
	Rows(ctx context.Context, table string) (state.Page, error)
	// PutRow writes a row, replacing one with the same key.
	PutRow(ctx context.Context, table, key string, value []byte) error
	// DeleteRow deletes a row.
	DeleteRow(ctx context.Context, table, key string) error
}

// crashRows keeps the rows of the store like what the instances know: a row for each
// quarantined part and each crash that none explains. An instance reads them at its start;
// one instance per row writes and deletes it, as soon as the store takes the write.
type crashRows struct {
	rowLoop
	store   QuarantineTable
	table   string
	crashes *crashes
	owns    func(hash uint64) bool // reports whether this instance writes the row with the hash
	log     hclog.Logger

	stored  map[string]bool // by key of the rows that were read or written: whether this instance wrote it
	failing bool            // the last write failed
}

const (
	// crashRowInterval is the time between checks whether rows must be written.
	crashRowInterval = 250 * time.Millisecond
	// maxCrashRowWrites bounds the rows that are written or deleted in one check.
	maxCrashRowWrites = 16
	// minStoredCrashAge is the age from which a crash is stored, and maxStoredCrashes
	// bounds those that are. Many requests run at an upstream that ends.
	minStoredCrashAge = 200 * time.Millisecond
	maxStoredCrashes  = 64
	// storedQuarantineLeft is how long a part that the store keeps is refused before it
	// is tried. The rows state no time: the clocks of instances differ.
	storedQuarantineLeft = time.Minute
	// storedQuarantineAge is how long ago the last upstream counts as ended at it.
	storedQuarantineAge = time.Minute
)

func newCrashRows(store QuarantineTable, table string, c *crashes, log hclog.Logger) *crashRows {
	return &crashRows{rowLoop: newRowLoop(), store: store, table: table, crashes: c, log: log, stored: map[string]bool{}}
}

// run reads the rows once and then writes changes until ctx ends.
func (r *crashRows) run(ctx context.Context) {
	r.read(ctx)
	r.keep(ctx, crashRowInterval, r.write, func() { clear(r.stored) })
}

func (r *crashRows) read(ctx context.Context) {
	rows, ok := readRows(ctx, r.store, r.table)
	if !ok {
		return
	}
	quarantines, ends := decodeQuarantineRows(rows, r.crashes.now()), decodeCrashRows(rows)
	r.crashes.adoptStored(quarantines, ends)
	for _, q := range quarantines {
		r.stored[quarantineKey(q.Part)] = false
	}
	for _, end := range ends {
		r.stored[crashKey(end.ID)] = false
	}
}

// write writes the rows of this instance that the store lacks, and deletes those that no
// longer hold. After a failure the next check goes on.
func (r *crashRows) write(ctx context.Context) {
	wanted := r.wanted()
	writes := 0
	for key, value := range wanted {
		if _, ok := r.stored[key]; ok || !r.owns(xxh3.HashString(key)) {
			continue
		}
		if writes++; writes > maxCrashRowWrites || !r.logged(r.store.PutRow(ctx, r.table, key, value), key) {
			return
		}
		r.stored[key] = true
	}
	for key, wrote := range r.stored {
		if _, ok := wanted[key]; ok || !(wrote || r.owns(xxh3.HashString(key))) {
			continue
		}
		if writes++; writes > maxCrashRowWrites || !r.logged(r.store.DeleteRow(ctx, r.table, key), key) {
			return
		}
		delete(r.stored, key)
	}
}

// logged logs the first of several failed writes and the first that succeeds again, and
// reports whether this one did.
func (r *crashRows) logged(err error, key string) (ok bool) {
	if failing := err != nil; failing != r.failing {
		r.failing = failing
		r.log.Info("writing rows of crashes", "row", key, "error", err)
	}
	return err == nil
}

// crashRow is the content of the row of a crash. The row of a quarantine has none.
type crashRow struct {
	Process string   `json:"process"` // hexadecimal
	Parts   []string `json:"parts"`
}

// crashKeyPrefix begins the keys of crashes; its ID follows in hexadecimal. The keys of
// quarantines are the parts in hexadecimal.
const crashKeyPrefix = "end-"

// wanted returns the rows that the store is to have.
func (r *crashRows) wanted() map[string][]byte {
	quarantines, ends := r.crashes.toStore()
	out := make(map[string][]byte, len(quarantines)+len(ends))
	for _, q := range quarantines {
		out[quarantineKey(q.Part)] = []byte("{}")
	}
	for _, c := range ends {
		value, err := json.Marshal(crashRow{strconv.FormatUint(uint64(c.Process), 16), hexParts(c.Parts)})
		if err != nil {
			r.log.Error("cannot encode a crash", "error", err)
			continue
		}
		out[crashKey(c.ID)] = value
	}
	return out
}

func crashKey(id uint64) string { return crashKeyPrefix + strconv.FormatUint(id, 16) }

func quarantineKey(part quarantine.Part) string { return strconv.FormatUint(uint64(part), 16) }

// decodeQuarantineRows returns the quarantines of rows that are read at a start. It skips
// keys that are not valid. An answer that other instances know of is newer.
func decodeQuarantineRows(rows []state.Row, start time.Time) []quarantine.Quarantine {
	var out []quarantine.Quarantine
	for _, row := range rows {
		part, err := strconv.ParseUint(row.Key, 16, 64)
		if err == nil && !row.Deleted {
			out = append(out, quarantine.Quarantine{Part: quarantine.Part(part), Since: start.Add(-storedQuarantineAge), Left: storedQuarantineLeft})
		}
	}
	return out
}

// decodeCrashRows returns the crashes of rows that are read at a start. It skips rows that
// are not valid.
func decodeCrashRows(rows []state.Row) []quarantine.StoredCrash {
	var out []quarantine.StoredCrash
	for _, row := range rows {
		hexID, ok := strings.CutPrefix(row.Key, crashKeyPrefix)
		if !ok || row.Deleted {
			continue
		}
		if c, err := decodeCrashRow(hexID, row.Value); err == nil {
			out = append(out, c)
		}
	}
	return out
}

func decodeCrashRow(hexID string, value []byte) (quarantine.StoredCrash, error) {
	var content crashRow
	if err := json.Unmarshal(value, &content); err != nil {
		return quarantine.StoredCrash{}, err
	}
	id, err := strconv.ParseUint(hexID, 16, 64)
	if err != nil {
		return quarantine.StoredCrash{}, err
	}
	process, err := strconv.ParseUint(content.Process, 16, 64)
	if err != nil {
		return quarantine.StoredCrash{}, err
	}
	out := quarantine.StoredCrash{ID: id, Process: quarantine.Process(process)}
	for _, hexPart := range content.Parts[:min(len(content.Parts), quarantine.MaxParts)] {
		part, err := strconv.ParseUint(hexPart, 16, 64)
		if err != nil {
			return quarantine.StoredCrash{}, err
		}
		out.Parts = append(out.Parts, quarantine.Part(part))
	}
	return out, nil
}

// Package state follows what the platform's store says: the operator's
// configuration, the named weights and the listed upstreams. While the store
// turns this instance away it takes the same rows from other instances.
package state

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/fescuestep/fescuestep/pkg/fleet"
	"github.com/fescuestep/fescuestep/pkg/routing"
)

// ErrHistoryLost is returned by Store.Feed when changes after the given
// version are no longer known; the table must be read anew.
var ErrHistoryLost = errors.New("the store no longer has the changes asked for")

// Row is one row of a table of the store.
type Row struct {
	Table   string
	Key     string
	Value   []byte
	Version uint64 // of the transaction that wrote it; increases over all rows
	Deleted bool   // only in answers of Feed
}

// Page is an answer about rows.
type Page struct {
	Rows    []Row
	Version uint64 // newest version of the store
}

// Store reads tables.
type Store interface {
	// Rows reads a whole table.
	Rows(ctx context.Context, table string) (Page, error)
	// Feed waits for changes of a table after a version. It returns an empty
	// page when there is none in time, and ErrHistoryLost.
	Feed(ctx context.Context, table string, after uint64, wait time.Duration) (Page, error)
}

// Weights names the version of a model's weights that is wanted.
type Weights struct {
	Model   string
	Version int
}

// Document is a decoded row of the operator. At most one field is set.
type Document struct {
	Config  *routing.Snapshot
	Weights *Weights
}

// Decoder decodes rows.
type Decoder interface {
	// Tables returns the names of the operator's table and of the table in
	// which upstreams are listed.
	Tables() (operator, upstreams string)
	Operator(row Row) (Document, error)
	Upstream(row Row) (*fleet.Upstream, error)
}

// Sink receives changes. Its methods are called one at a time.
type Sink interface {
	ConfigChanged(s *routing.Snapshot)
	WeightsNamed(w Weights)
	UpstreamsChanged(v *fleet.View)
}

// Follower keeps the state of one instance.
type Follower struct {
	store   Store
	decoder Decoder
	sink    Sink
	log     hclog.Logger
	now     func() time.Time

	mu      sync.Mutex
	rows    map[string]map[string]Row // by table and key, deleted ones included
	version uint64                    // highest row version seen
	config  *routing.Snapshot
	list    *fleet.List
	refused map[string]uint64 // version of rows that could not be decoded, by table and key
	health  map[string]bool   // by table: the store answers
	lost    time.Time         // since when a table cannot be followed
}

// New returns a follower; Run starts it.
func New(store Store, decoder Decoder, sink Sink, log hclog.Logger, now func() time.Time) *Follower {
	operator, upstreams := decoder.Tables()
	return &Follower{
		store: store, decoder: decoder, sink: sink, log: log, now: now,
		rows:    map[string]map[string]Row{operator: {}, upstreams: {}},
		list:    fleet.NewList(),
		refused: map[string]uint64{},
		health:  map[string]bool{operator: false, upstreams: false},
		lost:    now(),
	}
}

const (
	// feedWait is how long the store holds a call without changes. A silent
	// connection shows after it.
	feedWait = 2500 * time.Millisecond
	// retryFirst and retryMost bound the wait after a failed call.
	retryFirst = 200 * time.Millisecond
	retryMost  = 800 * time.Millisecond
	// expireInterval is between looks at upstreams whose grace may have passed.
	expireInterval = 250 * time.Millisecond
)

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	operator, upstreams := f.decoder.Tables()
	var wg sync.WaitGroup
	for _, table := range []string{operator, upstreams} {
		wg.Go(func() { f.follow(ctx, table) })
	}
	wg.Go(func() { f.expire(ctx) })
	wg.Wait()
}

func (f *Follower) follow(ctx context.Context, table string) {
	wait := retryFirst
	known := false
	var version uint64
	for ctx.Err() == nil {
		page, err := f.next(ctx, table, known, version)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, ErrHistoryLost) {
			f.log.Warn("history of the store is lost, reading the table anew", "table", table, "after", version)
			known = false
			continue
		}
		if err != nil {
			f.failed(table, err)
			sleep(ctx, wait)
			wait = min(2*wait, retryMost)
			continue
		}
		wait = retryFirst
		f.answered(table)
		if known {
			f.apply(page.Rows)
		} else {
			f.replace(table, page.Rows, page.Version)
		}
		known = true
		version = max(version, page.Version)
	}
}

func (f *Follower) next(ctx context.Context, table string, known bool, version uint64) (Page, error) {
	if !known {
		return f.store.Rows(ctx, table)
	}
	return f.store.Feed(ctx, table, version, feedWait)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (f *Follower) expire(ctx context.Context) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		f.mu.Lock()
		if f.list.Expire(f.now()) {
			f.sink.UpstreamsChanged(f.list.View())
		}
		f.mu.Unlock()
	}
}

func (f *Follower) failed(table string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.health[table] {
		f.log.Warn("store lost", "table", table, "error", err)
		f.lost = f.now()
	}
	f.health[table] = false
	f.list.StoreAway()
}

func (f *Follower) answered(table string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.health[table] {
		f.log.Info("store reached", "table", table, "after", f.now().Sub(f.lost).String())
	}
	f.health[table] = true
	if _, upstreams := f.decoder.Tables(); table == upstreams {
		f.list.StoreBack(f.now())
	}
}

// Healthy reports whether all tables are followed.
func (f *Follower) Healthy() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, healthy := range f.health {
		if !healthy {
			return false
		}
	}
	return true
}

// Version returns the highest row version seen.
func (f *Follower) Version() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version
}

// Rows returns all rows that exist, for another instance.
func (f *Follower) Rows() (version uint64, rows []Row) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, table := range f.rows {
		for _, row := range table {
			if !row.Deleted {
				rows = append(rows, row)
			}
		}
	}
	return f.version, rows
}

// Adopt takes the rows of another instance that has seen the given version.
// Rows that it lacks and that are older than the version were deleted.
func (f *Follower) Adopt(version uint64, rows []Row) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if version <= f.version {
		return
	}
	listed := map[[2]string]bool{}
	for _, row := range rows {
		listed[[2]string{row.Table, row.Key}] = true
	}
	f.applyLocked(rows)
	f.applyLocked(f.deletions("", listed, version))
	f.version = max(f.version, version)
}

// apply takes changes in the order of the feed.
func (f *Follower) apply(rows []Row) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applyLocked(rows)
}

// replace takes a whole table as read at a version.
func (f *Follower) replace(table string, rows []Row, version uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	listed := map[[2]string]bool{}
	for i := range rows {
		rows[i].Table = table
		listed[[2]string{table, rows[i].Key}] = true
	}
	f.applyLocked(rows)
	f.applyLocked(f.deletions(table, listed, version))
}

// deletions returns deletions of rows of a table, or of all, that are held and
// not listed. The caller holds mu.
func (f *Follower) deletions(table string, listed map[[2]string]bool, version uint64) []Row {
	var out []Row
	for name, held := range f.rows {
		if table != "" && name != table {
			continue
		}
		for key, row := range held {
			if !row.Deleted && !listed[[2]string{name, key}] && row.Version <= version {
				out = append(out, Row{Table: name, Key: key, Version: max(version, row.Version), Deleted: true})
			}
		}
	}
	return out
}

// applyLocked takes rows that are newer than those held.
func (f *Follower) applyLocked(rows []Row) {
	_, upstreams := f.decoder.Tables()
	changed := false
	for _, row := range rows {
		table := f.rows[row.Table]
		if table == nil {
			continue
		}
		held, ok := table[row.Key]
		if ok && (row.Version < held.Version || (row.Version == held.Version && row.Deleted == held.Deleted)) {
			continue
		}
		if row.Table == upstreams {
			changed = f.upstream(row) || changed
		} else {
			f.operator(row)
		}
		if row.Deleted {
			row.Value = nil
		}
		table[row.Key] = row
		f.version = max(f.version, row.Version)
	}
	if changed {
		f.sink.UpstreamsChanged(f.list.View())
	}
}

func (f *Follower) upstream(row Row) (changed bool) {
	if row.Deleted {
		return f.list.Remove(row.Key, f.now())
	}
	u, err := f.decoder.Upstream(row)
	if err != nil {
		f.refuse(row, err)
		return f.list.Remove(row.Key, f.now())
	}
	return f.list.Put(u)
}

func (f *Follower) operator(row Row) {
	document, err := f.decoder.Operator(row)
	if err != nil {
		f.refuse(row, err)
		return
	}
	switch {
	case document.Config != nil:
		f.adoptConfig(document.Config)
	case document.Weights != nil:
		f.log.Info("weights named", "model", document.Weights.Model, "version", document.Weights.Version)
		f.sink.WeightsNamed(*document.Weights)
	}
}

// adoptConfig takes a higher version only, so that a configuration never
// reverts while the process runs.
func (f *Follower) adoptConfig(s *routing.Snapshot) {
	if f.config != nil && s.Version <= f.config.Version {
		return
	}
	f.config = s
	f.log.Info("configuration adopted", "version", s.Version)
	f.sink.ConfigChanged(s)
}

// refuse logs a row that cannot be used, once per version.
func (f *Follower) refuse(row Row, err error) {
	name := row.Table + "/" + row.Key
	if f.refused[name] == row.Version {
		return
	}
	f.refused[name] = row.Version
	f.log.Warn("row refused", "table", row.Table, "key", row.Key, "version", row.Version, "error", err)
}

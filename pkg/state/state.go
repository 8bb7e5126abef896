// Package state follows what the platform's store says: the operator's
// configuration, the named weights and the listed upstreams. While the store
// turns this instance away it takes the same rows from other instances.
package state

import (
	"context"
	"sort"
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

// WeightsTarget names the version of a model's weights that is wanted.
type WeightsTarget struct {
	Model   string
	Version int
	Recent  bool // seen as it was named; otherwise it may have been named long ago
}

// OperatorRow is a decoded row of the operator. At most one field is set.
type OperatorRow struct {
	Config  *routing.Snapshot
	Weights *WeightsTarget
}

// Decoder decodes rows.
type Decoder interface {
	// Tables returns the names of the operator's table and of the table in
	// which upstreams are listed.
	Tables() (operator, upstreams string)
	DecodeOperator(row Row) (OperatorRow, error)
	DecodeUpstream(row Row) (*fleet.Upstream, error)
}

// Sink receives changes. Its methods are called one at a time.
type Sink interface {
	ConfigChanged(s *routing.Snapshot)
	WeightsTargetChanged(w WeightsTarget)
	UpstreamsChanged(v *fleet.View)
}

// Follower keeps the state of one instance.
type Follower struct {
	store   Store
	decoder Decoder
	sink    Sink
	log     hclog.Logger
	now     func() time.Time

	mu               sync.Mutex
	tables           map[string]*table
	idle             bool          // other instances follow the store for this one
	idleChanged      chan struct{} // closed when idle changes
	config           *routing.Snapshot
	upstreams        *fleet.Registry
	rejected         map[string]uint64 // version of rows that could not be decoded, by table and key
	unreachableSince time.Time         // since when a table cannot be followed
}

// table is what is held of one table.
type table struct {
	rows        map[string]Row // by key, deleted ones included
	version     uint64         // of the store, up to which the rows are known
	fullVersion uint64         // version of the last whole read: earlier deletions are not known
	healthy     bool           // the store answers
	loaded      bool           // the rows were read or told at least once
}

// TableUpdate is a table, or what has changed in it, as instances tell each other.
type TableUpdate struct {
	Name    string
	Version uint64 // of the store, up to which the rows are known
	Full    bool   // rows that are not listed do not exist
	Rows    []Row  // ordered by version
}

// New returns a follower; Run starts it.
func New(store Store, decoder Decoder, sink Sink, log hclog.Logger, now func() time.Time) *Follower {
	operator, upstreams := decoder.Tables()
	return &Follower{
		store: store, decoder: decoder, sink: sink, log: log, now: now,
		tables:           map[string]*table{operator: newTable(), upstreams: newTable()},
		idleChanged:      make(chan struct{}),
		upstreams:        fleet.NewRegistry(),
		rejected:         map[string]uint64{},
		unreachableSince: now(),
	}
}

func newTable() *table { return &table{rows: map[string]Row{}} }

const (
	// operatorBatchDelay and upstreamPause collect changes that come shortly after each
	// other into one call. Entries of upstreams change often, and upstreams serve
	// on for longer than this after they say that they leave.
	operatorBatchDelay = 120 * time.Millisecond
	upstreamBatchDelay = 400 * time.Millisecond
	// feedTimeout is how long the store holds a call without changes. A silent
	// connection shows after it.
	feedTimeout = 2500 * time.Millisecond
	// minRetryDelay and retryMost bound the wait after a failed call.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
	// expireInterval is between looks at upstreams whose grace may have passed.
	expireInterval = 250 * time.Millisecond
)

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	operator, upstreams := f.decoder.Tables()
	var wg sync.WaitGroup
	for _, name := range []string{operator, upstreams} {
		wg.Go(func() { f.follow(ctx, name) })
	}
	wg.Go(func() { f.expireUpstreams(ctx) })
	wg.Wait()
}

func (f *Follower) follow(ctx context.Context, name string) {
	wait := minRetryDelay
	known := false
	for ctx.Err() == nil {
		turn, done := f.waitActive(ctx)
		if turn == nil {
			return
		}
		page, err := f.fetch(turn, name, known)
		idled := turn.Err() != nil
		done()
		switch {
		case ctx.Err() != nil:
			return
		case idled:
			continue // another instance follows from now on
		case errors.Is(err, ErrHistoryLost):
			f.log.Warn("history of the store is lost, reading the table anew", "table", name)
			known = false
			continue
		case err != nil:
			f.storeFailed(name, err)
			sleep(ctx, wait)
			wait = min(2*wait, maxRetryDelay)
			continue
		}
		wait = minRetryDelay
		f.storeAnswered(name)
		f.apply(TableUpdate{Name: name, Version: page.Version, Full: !known, Rows: page.Rows})
		if known && len(page.Rows) > 0 {
			sleep(ctx, f.batchDelay(name))
		}
		known = true
	}
}

func (f *Follower) batchDelay(name string) time.Duration {
	if operator, _ := f.decoder.Tables(); name == operator {
		return operatorBatchDelay
	}
	return upstreamBatchDelay
}

// waitActive waits until this instance is to follow the store. The returned context
// ends when it no longer is.
func (f *Follower) waitActive(ctx context.Context) (context.Context, context.CancelFunc) {
	for {
		f.mu.Lock()
		idle, changed := f.idle, f.idleChanged
		f.mu.Unlock()
		if !idle {
			turn, cancel := context.WithCancel(ctx)
			go func() {
				select {
				case <-changed:
					cancel()
				case <-turn.Done():
				}
			}()
			return turn, cancel
		}
		select {
		case <-ctx.Done():
			return nil, nil
		case <-changed:
		}
	}
}

// SetIdle says whether other instances follow the store for this one. An
// instance that holds nothing yet reads the store in any case.
func (f *Follower) SetIdle(idle bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	idle = idle && f.config != nil
	if idle == f.idle {
		return
	}
	f.idle = idle
	close(f.idleChanged)
	f.idleChanged = make(chan struct{})
	f.log.Info("following the store", "self", !idle)
}

func (f *Follower) fetch(ctx context.Context, name string, known bool) (Page, error) {
	if !known {
		return f.store.Rows(ctx, name)
	}
	f.mu.Lock()
	version := f.tables[name].version
	f.mu.Unlock()
	return f.store.Feed(ctx, name, version, feedTimeout)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (f *Follower) expireUpstreams(ctx context.Context) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		f.mu.Lock()
		if f.upstreams.Expire(f.now()) {
			f.sink.UpstreamsChanged(f.upstreams.View())
		}
		f.mu.Unlock()
	}
}

func (f *Follower) storeFailed(name string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.tables[name]
	if t.healthy {
		f.log.Warn("store lost", "table", name, "error", err)
		f.unreachableSince = f.now()
	}
	t.healthy = false
	f.upstreams.MarkStoreUnreachable()
}

func (f *Follower) storeAnswered(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.tables[name]
	if !t.healthy {
		f.log.Info("store reached", "table", name, "after", f.now().Sub(f.unreachableSince).String())
	}
	t.healthy = true
	if _, upstreams := f.decoder.Tables(); name == upstreams {
		f.upstreams.MarkStoreReachable(f.now())
	}
}

// FollowsStore reports whether this instance follows the store and reaches it.
func (f *Follower) FollowsStore() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	healthy := !f.idle
	for _, t := range f.tables {
		healthy = healthy && t.healthy
	}
	return healthy
}

// HasSynced reports whether every table was read, or told by another instance, at
// least once.
func (f *Follower) HasSynced() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.tables {
		if !t.loaded {
			return false
		}
	}
	return true
}

// Versions returns up to which version of the store each table is known.
func (f *Follower) Versions() map[string]uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]uint64, len(f.tables))
	for name, t := range f.tables {
		out[name] = t.version
	}
	return out
}

// ChangesSince returns what another instance lacks that knows the tables up to the
// given versions.
func (f *Follower) ChangesSince(held map[string]uint64) []TableUpdate {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []TableUpdate
	for name, t := range f.tables {
		after := held[name]
		if t.version <= after {
			continue
		}
		change := TableUpdate{Name: name, Version: t.version, Full: after < t.fullVersion}
		for _, row := range t.rows {
			if row.Version > after || (change.Full && !row.Deleted) {
				change.Rows = append(change.Rows, row)
			}
		}
		sort.Slice(change.Rows, func(i, j int) bool { return change.Rows[i].Version < change.Rows[j].Version })
		out = append(out, change)
	}
	return out
}

// Merge takes the changes that another instance told.
func (f *Follower) Merge(changes []TableUpdate) {
	for _, change := range changes {
		f.apply(change)
	}
}

// apply applies a table or its changes. Rows older than those held are ignored.
func (f *Follower) apply(change TableUpdate) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.tables[change.Name]
	if t == nil {
		return
	}
	t.loaded = true
	rows := change.Rows
	if change.Full {
		rows = append(rows, t.impliedDeletions(change)...)
		if change.Version >= t.version {
			t.fullVersion = change.Version
		}
	}
	_, upstreams := f.decoder.Tables()
	changed := false
	for _, row := range rows {
		row.Table = change.Name
		held, ok := t.rows[row.Key]
		if ok && (row.Version < held.Version || (row.Version == held.Version && row.Deleted == held.Deleted)) {
			continue
		}
		if change.Name == upstreams {
			changed = f.applyUpstream(row) || changed
		} else {
			f.applyOperator(row, !change.Full)
		}
		if row.Deleted {
			row.Value = nil
		}
		t.rows[row.Key] = row
		t.version = max(t.version, row.Version)
	}
	t.version = max(t.version, change.Version)
	if changed {
		f.sink.UpstreamsChanged(f.upstreams.View())
	}
}

// impliedDeletions returns deletions of the held rows that a whole table does not list.
func (t *table) impliedDeletions(whole TableUpdate) []Row {
	listed := make(map[string]bool, len(whole.Rows))
	for _, row := range whole.Rows {
		listed[row.Key] = true
	}
	var out []Row
	for key, row := range t.rows {
		if !row.Deleted && !listed[key] && row.Version <= whole.Version {
			out = append(out, Row{Key: key, Version: whole.Version, Deleted: true})
		}
	}
	return out
}

func (f *Follower) applyUpstream(row Row) (changed bool) {
	if row.Deleted {
		return f.upstreams.Remove(row.Key, f.now())
	}
	u, err := f.decoder.DecodeUpstream(row)
	if err != nil {
		f.logRejected(row, err)
		return f.upstreams.Remove(row.Key, f.now())
	}
	return f.upstreams.Put(u)
}

// applyOperator takes a row of the applyOperator; recent says that it was written just
// now.
func (f *Follower) applyOperator(row Row, recent bool) {
	document, err := f.decoder.DecodeOperator(row)
	if err != nil {
		f.logRejected(row, err)
		return
	}
	switch {
	case document.Config != nil:
		f.adoptConfig(document.Config)
	case document.Weights != nil:
		document.Weights.Recent = recent
		f.log.Info("weights named", "model", document.Weights.Model, "version", document.Weights.Version, "recent", recent)
		f.sink.WeightsTargetChanged(*document.Weights)
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

// logRejected logs a row that cannot be used, once per version.
func (f *Follower) logRejected(row Row, err error) {
	name := row.Table + "/" + row.Key
	if f.rejected[name] == row.Version {
		return
	}
	f.rejected[name] = row.Version
	f.log.Warn("row refused", "table", row.Table, "key", row.Key, "version", row.Version, "error", err)
}

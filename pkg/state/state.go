// Package state keeps a copy of the tables of the platform's store: the operator's
// configuration, the target versions of weights and the listed upstreams. While the
// store refuses this instance, it merges the same rows from other instances.
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

// ErrHistoryLost is returned by Store.Feed when the store has discarded changes
// after the given version. The whole table must be read again.
var ErrHistoryLost = errors.New("store no longer has the requested changes")

// Row is one row of a table of the store.
type Row struct {
	Table   string
	Key     string
	Value   []byte
	Version uint64 // version of the transaction that wrote it; increases across all tables
	Deleted bool   // never set in results of Store.Rows
}

// Page is the result of a read.
type Page struct {
	Rows    []Row
	Version uint64 // newest version of the store
}

// Store reads tables.
type Store interface {
	// Rows reads a whole table.
	Rows(ctx context.Context, table string) (Page, error)
	// Feed waits for changes of a table after a version. It returns a page
	// without rows if there are none within the wait, and ErrHistoryLost if the
	// store no longer has all changes after the version.
	Feed(ctx context.Context, table string, after uint64, wait time.Duration) (Page, error)
}

// WeightsTarget is the version of a model's weights that the operator requests.
type WeightsTarget struct {
	Model   string
	Version int
	Recent  bool // received as a change; otherwise it may have been requested long ago
}

// OperatorRow is a decoded row of the operator's table. At most one field is set.
type OperatorRow struct {
	Config  *routing.Snapshot
	Weights *WeightsTarget
}

// Decoder decodes rows.
type Decoder interface {
	// Tables returns the names of the operator's table and of the table in
	// which upstreams are listed.
	Tables() (operator, upstreams string)
	// DecodeOperator decodes a row of the operator's table. The result is empty
	// for rows that are not used.
	DecodeOperator(row Row) (OperatorRow, error)
	// DecodeUpstream decodes a row of the table of upstreams.
	DecodeUpstream(row Row) (*fleet.Upstream, error)
}

// Sink receives changes. Its methods are not called concurrently.
type Sink interface {
	ConfigChanged(s *routing.Snapshot)
	WeightsTargetChanged(w WeightsTarget)
	UpstreamsChanged(v *fleet.View)
}

// Follower keeps the tables of one instance up to date, from the store or from
// other instances, and passes changes to its sink. It is safe for concurrent use.
type Follower struct {
	store   Store
	decoder Decoder
	sink    Sink
	log     hclog.Logger
	now     func() time.Time

	mu               sync.Mutex
	tables           map[string]*table // by name
	idle             bool              // other instances follow the store for this one
	idleChanged      chan struct{}     // closed when idle changes
	config           *routing.Snapshot
	upstreams        *fleet.Registry
	rejected         map[string]uint64 // version of rows that could not be decoded, by table and key
	unavailableSince time.Time         // when the store last became unavailable for a table; initially the start
}

// table is the local copy of one table.
type table struct {
	rows        map[string]Row // by key, including deleted rows
	version     uint64         // version of the store up to which the rows are complete
	fullVersion uint64         // version of the last full update; earlier deletions are unknown
	healthy     bool           // the last call to the store for this table succeeded
	loaded      bool           // an update was applied at least once
}

// TableUpdate is a whole table or the changes in it, as sent between instances.
type TableUpdate struct {
	Name    string
	Version uint64 // version of the store up to which the rows are complete
	Full    bool   // the whole table: rows that are not listed do not exist
	Rows    []Row  // ordered by version
}

// New returns a follower that starts to follow the store when Run is called.
func New(store Store, decoder Decoder, sink Sink, log hclog.Logger, now func() time.Time) *Follower {
	operatorName, upstreamsName := decoder.Tables()
	return &Follower{
		store: store, decoder: decoder, sink: sink, log: log, now: now,
		tables:           map[string]*table{operatorName: newTable(), upstreamsName: newTable()},
		idleChanged:      make(chan struct{}),
		upstreams:        fleet.NewRegistry(),
		rejected:         map[string]uint64{},
		unavailableSince: now(),
	}
}

func newTable() *table { return &table{rows: map[string]Row{}} }

const (
	// operatorBatchDelay and upstreamBatchDelay are the times to wait after changes
	// before the next call, so that one call returns all changes made meanwhile.
	// The delay for upstreams is longer because their rows change often; upstreams
	// continue to serve for longer than this after they announce their shutdown.
	operatorBatchDelay = 120 * time.Millisecond
	upstreamBatchDelay = 400 * time.Millisecond
	// feedTimeout is how long the store holds a call to Feed without changes. A
	// connection that no longer delivers data is detected after this time.
	feedTimeout = 2500 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the exponential delay after failed calls.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
	// expireInterval is the time between checks for upstreams whose grace period
	// has passed.
	expireInterval = 250 * time.Millisecond
)

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	operatorName, upstreamsName := f.decoder.Tables()
	var wg sync.WaitGroup
	for _, name := range []string{operatorName, upstreamsName} {
		wg.Go(func() { f.follow(ctx, name) })
	}
	wg.Go(func() { f.expireUpstreams(ctx) })
	wg.Wait()
}

// follow reads a table and then its changes until ctx ends. It pauses while the
// follower is idle.
func (f *Follower) follow(ctx context.Context, name string) {
	retryDelay := minRetryDelay
	incremental := false
	for ctx.Err() == nil {
		active, cancel := f.waitActive(ctx)
		if active == nil {
			return
		}
		page, err := f.fetch(active, name, incremental)
		becameIdle := active.Err() != nil
		cancel()
		switch {
		case ctx.Err() != nil:
			return
		case becameIdle:
			continue // other instances follow the store from now on
		case errors.Is(err, ErrHistoryLost):
			f.log.Warn("store no longer has the requested changes; reading the whole table", "table", name)
			incremental = false
			continue
		case err != nil:
			f.storeFailed(name, err)
			sleep(ctx, retryDelay)
			retryDelay = min(2*retryDelay, maxRetryDelay)
			continue
		}
		retryDelay = minRetryDelay
		f.storeAnswered(name)
		f.apply(TableUpdate{Name: name, Version: page.Version, Full: !incremental, Rows: page.Rows})
		if incremental && len(page.Rows) > 0 {
			sleep(ctx, f.batchDelay(name))
		}
		incremental = true
	}
}

func (f *Follower) batchDelay(name string) time.Duration {
	if operatorName, _ := f.decoder.Tables(); name == operatorName {
		return operatorBatchDelay
	}
	return upstreamBatchDelay
}

// waitActive waits until the follower is not idle. The returned context ends when
// the follower becomes idle. It is nil if ctx ends first.
func (f *Follower) waitActive(ctx context.Context) (context.Context, context.CancelFunc) {
	for {
		f.mu.Lock()
		idle, changed := f.idle, f.idleChanged
		f.mu.Unlock()
		if !idle {
			active, cancel := context.WithCancel(ctx)
			go func() {
				select {
				case <-changed:
					cancel()
				case <-active.Done():
				}
			}()
			return active, cancel
		}
		select {
		case <-ctx.Done():
			return nil, nil
		case <-changed:
		}
	}
}

// SetIdle sets whether other instances follow the store for this one. A follower
// that has no configuration yet never becomes idle.
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
	f.log.Info("changed whether this instance follows the store", "self", !idle)
}

// fetch waits for changes of a table if incremental is set, and reads the whole table
// otherwise.
func (f *Follower) fetch(ctx context.Context, name string, incremental bool) (Page, error) {
	if !incremental {
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

// expireUpstreams removes upstreams whose grace period has passed until ctx ends.
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

// storeFailed records a failed call to the store for a table.
func (f *Follower) storeFailed(name string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.tables[name]
	if t.healthy {
		f.log.Warn("store unavailable", "table", name, "error", err)
		f.unavailableSince = f.now()
	}
	t.healthy = false
	f.upstreams.MarkStoreUnreachable()
}

// storeAnswered records a successful call to the store for a table.
func (f *Follower) storeAnswered(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.tables[name]
	if !t.healthy {
		f.log.Info("store available", "table", name, "after", f.now().Sub(f.unavailableSince).String())
	}
	t.healthy = true
	if _, upstreamsName := f.decoder.Tables(); name == upstreamsName {
		f.upstreams.MarkStoreReachable(f.now())
	}
}

// FollowsStore reports whether this instance follows the store itself and its last
// calls succeeded.
func (f *Follower) FollowsStore() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	healthy := !f.idle
	for _, t := range f.tables {
		healthy = healthy && t.healthy
	}
	return healthy
}

// HasSynced reports whether every table was read from the store or merged from
// another instance at least once.
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

// Versions returns, by table, the version of the store up to which it is complete.
func (f *Follower) Versions() map[string]uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]uint64, len(f.tables))
	for name, t := range f.tables {
		out[name] = t.version
	}
	return out
}

// ChangesSince returns the updates that are missing at another instance whose tables
// are complete up to the given versions.
func (f *Follower) ChangesSince(versions map[string]uint64) []TableUpdate {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []TableUpdate
	for name, t := range f.tables {
		after := versions[name]
		if t.version <= after {
			continue
		}
		update := TableUpdate{Name: name, Version: t.version, Full: after < t.fullVersion}
		for _, row := range t.rows {
			if row.Version > after || (update.Full && !row.Deleted) {
				update.Rows = append(update.Rows, row)
			}
		}
		sort.Slice(update.Rows, func(i, j int) bool { return update.Rows[i].Version < update.Rows[j].Version })
		out = append(out, update)
	}
	return out
}

// Merge applies updates received from another instance.
func (f *Follower) Merge(updates []TableUpdate) {
	for _, update := range updates {
		f.apply(update)
	}
}

// apply applies an update. Rows that are not newer than the local ones are ignored.
func (f *Follower) apply(update TableUpdate) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.tables[update.Name]
	if t == nil {
		return
	}
	t.loaded = true
	rows := update.Rows
	if update.Full {
		rows = append(rows, t.impliedDeletions(update)...)
		if update.Version >= t.version {
			t.fullVersion = update.Version
		}
	}
	_, upstreamsName := f.decoder.Tables()
	changed := false
	for _, row := range rows {
		row.Table = update.Name
		local, ok := t.rows[row.Key]
		if ok && (row.Version < local.Version || (row.Version == local.Version && row.Deleted == local.Deleted)) {
			continue
		}
		if update.Name == upstreamsName {
			changed = f.applyUpstream(row) || changed
		} else {
			f.applyOperator(row, !update.Full)
		}
		if row.Deleted {
			row.Value = nil
		}
		t.rows[row.Key] = row
		t.version = max(t.version, row.Version)
	}
	t.version = max(t.version, update.Version)
	if changed {
		f.sink.UpstreamsChanged(f.upstreams.View())
	}
}

// impliedDeletions returns deletions of the local rows that a full update does not
// list.
func (t *table) impliedDeletions(full TableUpdate) []Row {
	listed := make(map[string]bool, len(full.Rows))
	for _, row := range full.Rows {
		listed[row.Key] = true
	}
	var out []Row
	for key, row := range t.rows {
		if !row.Deleted && !listed[key] && row.Version <= full.Version {
			out = append(out, Row{Key: key, Version: full.Version, Deleted: true})
		}
	}
	return out
}

// applyUpstream applies a row of the table of upstreams. An upstream whose row
// cannot be decoded is removed as if its row were deleted.
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

// applyOperator applies a row of the operator's table. recent says that it was
// received as a change, so that it was written just now.
func (f *Follower) applyOperator(row Row, recent bool) {
	decoded, err := f.decoder.DecodeOperator(row)
	if err != nil {
		f.logRejected(row, err)
		return
	}
	switch {
	case decoded.Config != nil:
		f.adoptConfig(decoded.Config)
	case decoded.Weights != nil:
		decoded.Weights.Recent = recent
		f.log.Info("weights target changed", "model", decoded.Weights.Model, "version", decoded.Weights.Version, "recent", recent)
		f.sink.WeightsTargetChanged(*decoded.Weights)
	}
}

// adoptConfig ignores versions that are not higher than the current one, so that the
// configuration never reverts while the process runs.
func (f *Follower) adoptConfig(s *routing.Snapshot) {
	if f.config != nil && s.Version <= f.config.Version {
		return
	}
	f.config = s
	f.log.Info("configuration adopted", "version", s.Version)
	f.sink.ConfigChanged(s)
}

// logRejected logs a row that cannot be decoded, once per version.
func (f *Follower) logRejected(row Row, err error) {
	id := row.Table + "/" + row.Key
	if f.rejected[id] == row.Version {
		return
	}
	f.rejected[id] = row.Version
	f.log.Warn("row rejected", "table", row.Table, "key", row.Key, "version", row.Version, "error", err)
}

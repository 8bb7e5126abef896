// Package state keeps a copy of the tables of the platform's store: the operator's
// configuration, the target versions of weights and the listed upstreams. While the
// store refuses this instance, it merges the same rows from other instances.
package state

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/fescuestep/fescuestep/pkg/fleet"
	"github.com/fescuestep/fescuestep/pkg/history"
	"github.com/fescuestep/fescuestep/pkg/release"
	"github.com/fescuestep/fescuestep/pkg/routing"
)

// ErrHistoryLost is returned by Store.Feed when the store has discarded changes
// after the given version. The whole table must be read again.
var ErrHistoryLost = errors.New("store no longer has the requested changes")

var errEarlierEra = errors.New("answer is of an earlier era of the store")

// Row is one row of a table of the store.
type Row struct {
	Table   string
	Key     string
	Value   []byte
	Version uint64 // version of the transaction that wrote it; increases across all tables of an era
	Deleted bool   // never set in results of Store.Rows

	lost bool // deleted by the return of the store to an older copy
}

// Page is the result of a read.
type Page struct {
	Rows []Row
	At   history.Position // newest position of the store
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
	// NotBefore is the last moment at which this instance knew that it was not requested,
	// if Recent; zero: unknown.
	NotBefore time.Time
}

// ReleaseRequest is the operator's order to move the traffic of a service to another
// version of its upstreams' software, or its withdrawal.
type ReleaseRequest struct {
	Service string
	Order   *release.Order // nil: withdrawn
	Recent  bool           // received as a change; otherwise it may have been written long ago
}

// OperatorRow is a decoded row of the operator's table. At most one field is set.
type OperatorRow struct {
	Release *ReleaseRequest
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
	// EraChanged is called when a new era of the store is seen, and for the first one.
	EraChanged(era uint64)
	ConfigChanged(s *routing.Snapshot)
	WeightsTargetChanged(w WeightsTarget)
	UpstreamsChanged(v *fleet.View)
	// ReleaseRequested is called for each new or withdrawn order, and again when it is
	// written again.
	ReleaseRequested(r ReleaseRequest)
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
	era              uint64            // newest era that was seen in any table
	eraKnown         bool
	config           *routing.Snapshot
	operator         map[string]operatorRecord // by key: newest content that was adopted
	upstreams        *fleet.Registry
	rejected         map[string]uint64 // version of rows that could not be decoded, by table and key
	unavailableSince time.Time         // when the store last became unavailable for a table; initially the start
	retries          retrySchedule
	knownUntil       time.Time // of the update that is applied
	source           string    // of the update that is applied
}

// New returns a follower that starts to follow the store when Run is called.
func New(store Store, decoder Decoder, sink Sink, log hclog.Logger, now func() time.Time) *Follower {
	operatorName, upstreamsName := decoder.Tables()
	return &Follower{
		store: store, decoder: decoder, sink: sink, log: log, now: now,
		tables:           map[string]*table{operatorName: newTable(), upstreamsName: newTable()},
		idleChanged:      make(chan struct{}),
		retries:          newRetrySchedule(),
		operator:         map[string]operatorRecord{},
		upstreams:        fleet.NewRegistry(),
		rejected:         map[string]uint64{},
		unavailableSince: now(),
	}
}

const (
	// operatorBatchDelay and upstreamBatchDelay are the times to wait after changes
	// before the next call, so that one call returns all changes made meanwhile.
	// The delay for upstreams is longer because their rows change often; upstreams
	// continue to serve for longer than this after they announce their shutdown.
	operatorBatchDelay = 120 * time.Millisecond
	upstreamBatchDelay = 400 * time.Millisecond
	// feedTimeout is how long the store holds a call to Feed without changes. A
	// connection that no longer delivers data is detected soon after this time: while the
	// instance waits there it knows nothing of changes.
	feedTimeout = time.Second
	// maxContactAge is how long after the last answer of the store an instance counts as
	// one that follows it.
	maxContactAge = 2 * time.Second
	// eraRetryDelay is the pause after an answer of another era. It bounds the calls
	// while late answers of an earlier era arrive.
	eraRetryDelay = 50 * time.Millisecond
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
	retryInterval := minRetryInterval
	incremental := false
	for ctx.Err() == nil {
		active, cancel := f.waitActive(ctx)
		if active == nil {
			return
		}
		began, wait := f.now(), f.feedWait(name, incremental)
		update, err := f.fetch(active, name, incremental, wait)
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
		case err != nil && wait > 0:
			f.storeFailed(name, began, err) // the next call, without a wait, shows whether the store answers
			if f.now().Sub(began) < wait {
				sleep(ctx, minRetryInterval)
			}
			continue
		case err != nil:
			f.storeFailed(name, began, err)
			f.awaitRetry(ctx, began, retryInterval)
			retryInterval = min(2*retryInterval, maxRetryInterval)
			continue
		}
		retryInterval = minRetryInterval
		update.knownUntil = f.noteAnswer(name)
		f.storeAnswered(name)
		if !f.apply(update) {
			f.log.Warn("answer is of another era of the store; reading the whole table", "table", name, "era", update.At.Era)
			sleep(ctx, eraRetryDelay)
			incremental = false
			continue
		}
		if incremental && len(update.Rows) > 0 {
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
	f.upstreams.SetStoreLeftToOthers(idle)
	close(f.idleChanged)
	f.idleChanged = make(chan struct{})
	f.log.Info("changed whether this instance follows the store", "self", !idle)
}

// feedWait returns how long the next call for a table waits for changes. After a failed
// call it does not wait: the store may have come back in a new era, and a feed from a
// version of the earlier one misses its changes.
func (f *Follower) feedWait(name string, incremental bool) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if incremental && f.tables[name].healthy {
		return feedTimeout
	}
	return 0
}

// fetch waits for changes of a table if incremental is set, and reads the whole table
// otherwise.
func (f *Follower) fetch(ctx context.Context, name string, incremental bool, wait time.Duration) (TableUpdate, error) {
	began := f.now()
	if !incremental {
		page, err := f.store.Rows(ctx, name)
		return TableUpdate{Name: name, At: page.At, Full: true, Rows: page.Rows, Source: SourceStore, ConfirmedAt: began}, err
	}
	f.mu.Lock()
	from := f.tables[name].at
	f.mu.Unlock()
	page, err := f.store.Feed(ctx, name, from.Version, wait)
	confirmedAt := began
	if wait > 0 {
		confirmedAt = f.now() // the store answers at once when something changes
	}
	return TableUpdate{Name: name, At: page.At, From: from, Rows: page.Rows, Source: SourceStore, ConfirmedAt: confirmedAt}, err
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
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

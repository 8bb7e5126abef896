// Package configsync keeps the configuration of one instance current, decides
// through pkg/fresh whether it may be acted on, and commits changes.
package configsync

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/external"
	"github.com/fescuestep/fescuestep/pkg/fresh"
	"github.com/fescuestep/fescuestep/pkg/member"
	rpc "github.com/fescuestep/fescuestep/rpc/peer"
)

// Peers gives access to other instances. *peer.Client implements it.
type Peers interface {
	Peer(addr string) rpc.Peer
}

// Options are the dependencies of a Controller.
type Options struct {
	Self  config.Member
	Table external.Table
	Peers Peers
	// List names other router instances before a membership is known; its Addr
	// is their peer address. It may be nil.
	List   external.InstanceList
	Log    hclog.Logger
	Rand   *rand.Rand   // jitter; used by the controller only
	Params fresh.Params // zero means fresh.DefaultParams
	// ChangeRows is the number of newest change rows kept in the table, 0 for
	// DefaultChangeRows.
	ChangeRows uint64
}

// GoneGrace is how long the platform must have stopped listing an instance
// before it counts as gone. It covers the lag of the list, which may show a new
// instance late.
const GoneGrace = 10 * time.Second

// DefaultChangeRows is about a day's changes. An instance that is further behind
// loads the state rows.
const DefaultChangeRows = 4096

// changesKept is the number of changes kept in memory for other instances; one
// that is further behind gets a whole snapshot.
const changesKept = 512

// Controller implements the State and Publisher interfaces of the design page
// and the Syncer of the peer service.
type Controller struct {
	o     Options
	store store
	start time.Time

	snapshot atomic.Pointer[config.Snapshot]
	until    atomic.Int64 // end of freshness, ns since start
	accepted atomic.Uint64
	reads    atomic.Int64 // table reads, for tests and metrics

	mu          sync.Mutex
	tracker     *fresh.Tracker
	changed     chan struct{}
	recent      []config.Change // the last changes, consecutive, up to the held revision
	encoded     []byte          // JSON of the held snapshot, nil until asked for
	acks        map[string]ack  // by member ID
	subscribers []func(s *config.Snapshot, contiguous bool)

	unlisted *member.AbsenceTracker // used by the acceptor's goroutine only
	stopped  atomic.Bool

	randMu sync.Mutex
	kick   chan struct{} // asks the follower to look for news at once
	accept chan struct{} // asks the acceptor to look at the head
}

// New returns a controller without state.
func New(o Options) *Controller {
	if o.Params == (fresh.Params{}) {
		o.Params = fresh.DefaultParams()
	}
	if o.ChangeRows == 0 {
		o.ChangeRows = DefaultChangeRows
	}
	if o.Log == nil {
		o.Log = hclog.NewNullLogger()
	}
	c := &Controller{
		o:        o,
		start:    time.Now(),
		tracker:  fresh.NewTracker(o.Params),
		changed:  make(chan struct{}),
		acks:     map[string]ack{},
		unlisted: member.NewAbsenceTracker(GoneGrace, 3*acceptCheck),
		kick:     make(chan struct{}, 1),
		accept:   make(chan struct{}, 1),
	}
	c.store = store{countingTable{o.Table, &c.reads}, headTimeout}
	c.snapshot.Store(config.NewSnapshot())
	return c
}

// Run loads the configuration and keeps it current until ctx ends. Afterwards
// Sync answers nothing, so that a successor at the same address can tell that
// this incarnation makes no statements any more.
func (c *Controller) Run(ctx context.Context) error {
	defer c.stopped.Store(true)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return c.follow(ctx) })
	group.Go(func() error { return c.acceptLoop(ctx) })
	err := group.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Snapshot returns the held configuration, never nil. Callers that need it to
// be fresh call Fresh first: a snapshot taken before could be older than what
// Fresh refers to.
func (c *Controller) Snapshot() *config.Snapshot { return c.snapshot.Load() }

// Fresh reports whether keyed requests and grants may be served now.
func (c *Controller) Fresh() bool { return int64(c.now()) < c.until.Load() }

// Changed returns a channel that is closed when Snapshot next changes.
func (c *Controller) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// Accepted returns the highest revision known to be accepted.
func (c *Controller) Accepted() uint64 { return c.accepted.Load() }

// TableReads returns the number of table reads so far.
func (c *Controller) TableReads() int64 { return c.reads.Load() }

// Subscribe calls f with the held snapshot and then with every snapshot in
// order before it is in force. contiguous is false when revisions were skipped.
// f must not call the controller.
func (c *Controller) Subscribe(f func(s *config.Snapshot, contiguous bool)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.subscribers = append(c.subscribers, f)
	f(c.Snapshot(), false)
}

// now reads the monotonic clock.
func (c *Controller) now() time.Duration { return time.Since(c.start) }

// jitter returns a random duration below d.
func (c *Controller) jitter(d time.Duration) time.Duration {
	c.randMu.Lock()
	defer c.randMu.Unlock()
	return time.Duration(c.o.Rand.Int64N(int64(d)))
}

// install puts an update in force unless it is older than what is held. learn,
// when not nil, records the evidence that came with it.
func (c *Controller) install(u *update, learn func(*fresh.Tracker)) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.publishUntil()
	if learn != nil {
		learn(c.tracker)
	}
	c.raiseAccepted(u.head.Accepted)
	if u.full != nil {
		if u.full.Revision > c.held().Revision || !c.tracker.HasState() {
			c.recent = nil
			c.put(u.full, false)
		}
		return nil
	}
	for _, change := range u.changes {
		if change.Revision <= c.held().Revision {
			continue
		}
		next, err := c.held().Apply(change)
		if err != nil {
			return err
		}
		c.recent = append(c.recent, change)
		c.recent = c.recent[max(0, len(c.recent)-changesKept):]
		c.put(next, true)
	}
	return nil
}

func (c *Controller) held() *config.Snapshot { return c.snapshot.Load() }

// put makes a snapshot the held one. Subscribers learn of it before the tracker
// does, so that nothing is acknowledged that is not in force.
func (c *Controller) put(s *config.Snapshot, contiguous bool) {
	for _, f := range c.subscribers {
		f(s, contiguous)
	}
	c.snapshot.Store(s)
	c.encoded = nil
	_, isMember := member.Find(s.Members, c.o.Self.ID, c.o.Self.Incarnation)
	wasMember := c.tracker.IsMember()
	c.tracker.SetRevision(s.Revision, isMember)
	if wasMember && !isMember {
		notify(c.kick) // its evidence is void; another instance can vouch for it
	}
	close(c.changed)
	c.changed = make(chan struct{})
}

// establish records that the instance has state even if the table is empty.
func (c *Controller) establish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.tracker.HasState() {
		c.put(c.held(), false)
	}
}

func (c *Controller) publishUntil() {
	until, ok := c.tracker.FreshUntil()
	if !ok {
		until = 0
	}
	c.until.Store(int64(until))
}

func (c *Controller) raiseAccepted(revision uint64) {
	for {
		old := c.accepted.Load()
		if revision <= old || c.accepted.CompareAndSwap(old, revision) {
			return
		}
	}
}

// IsMember reports whether the instance is in the held membership, and whether
// another incarnation of it is.
func (c *Controller) IsMember() (self, other bool) {
	s := c.Snapshot()
	_, self = member.Find(s.Members, c.o.Self.ID, c.o.Self.Incarnation)
	for _, m := range s.Members.Members {
		other = other || m.ID == c.o.Self.ID && m.Incarnation != c.o.Self.Incarnation
	}
	return self, other
}

// HasState reports whether a configuration has been loaded.
func (c *Controller) HasState() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.HasState()
}

// encodedSnapshot returns the JSON of the held snapshot. c.mu must be held.
func (c *Controller) encodedSnapshot() []byte {
	if c.encoded == nil {
		c.encoded, _ = json.Marshal(partsOf(c.held())) // plain data, never fails
	}
	return c.encoded
}

// countingTable counts reads.
type countingTable struct {
	external.Table
	reads *atomic.Int64
}

func (t countingTable) Get(ctx context.Context, keys ...string) ([]external.Row, error) {
	t.reads.Add(1)
	return t.Table.Get(ctx, keys...)
}

func (t countingTable) Scan(ctx context.Context, prefix, after string, limit int) ([]external.Row, error) {
	t.reads.Add(1)
	return t.Table.Scan(ctx, prefix, after, limit)
}

// Package members keeps the membership record: instances join when they start
// and leave when they stop, and those that the platform no longer lists are
// removed.
package members

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/controller/configsync"
	"github.com/fescuestep/fescuestep/pkg/external"
	"github.com/fescuestep/fescuestep/pkg/member"
	rpc "github.com/fescuestep/fescuestep/rpc/peer"
)

// Sync is the part of configsync that membership needs.
type Sync interface {
	Snapshot() *config.Snapshot
	Fresh() bool
	HasState() bool
	Accepted() uint64
	IsMember() (self, other bool)
	Propose(ctx context.Context, build func(*config.Snapshot) (config.Change, error)) (uint64, error)
}

// Peers gives access to other instances.
type Peers interface {
	Peer(addr string) rpc.Peer
}

// Options are the dependencies of a Controller.
type Options struct {
	Self  config.Member
	Sync  Sync
	Peers Peers
	List  external.InstanceList // may be nil: then nobody is removed
	Log   hclog.Logger
}

// Periods of the controller.
const (
	checkInterval = 250 * time.Millisecond // looks whether the instance has to join
	joinRetry     = time.Second            // after a join that did not succeed
	listInterval  = time.Second            // of the first rank
	maxListPause  = 10 * time.Second
	batchDelay    = 50 * time.Millisecond // collects joins and leaves for one change
	callTimeout   = 3 * time.Second
	leaveWait     = 2 * time.Second // the normal acceptance takes a few 100 ms
)

// Controller keeps the membership record. It implements the Joiner of the peer
// service.
type Controller struct {
	o     Options
	start time.Time
	watch *member.AbsenceTracker

	mu      sync.Mutex
	batch   member.Batch
	flush   *flush // the change that will carry the batch, nil when it is empty
	joined  bool   // was a member once
	leaving bool
}

// flush is one change under way; err and revision are set before done is closed.
type flush struct {
	done     chan struct{}
	revision uint64
	err      error
}

// New returns a controller.
func New(o Options) *Controller {
	if o.Log == nil {
		o.Log = hclog.NewNullLogger()
	}
	return &Controller{o: o, start: time.Now(), watch: member.NewAbsenceTracker(configsync.GoneGrace, 2*maxListPause)}
}

// Run joins, stays a member and removes dead members until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	var nextJoin, nextList time.Duration
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now := time.Since(c.start)
		if now >= nextJoin && c.mustJoin() {
			nextJoin = now + joinRetry
			c.join(ctx)
		}
		if now >= nextList {
			nextList = now + c.listPause()
			c.removeGone(ctx)
		}
	}
}

// mustJoin reports whether the instance has to join. An instance that was
// replaced by another incarnation of its ID stays out.
func (c *Controller) mustJoin() bool {
	if !c.o.Sync.HasState() {
		return false
	}
	self, other := c.o.Sync.IsMember()
	c.mu.Lock()
	defer c.mu.Unlock()
	superseded := c.joined && other
	if superseded && !c.leaving {
		c.leaving = true
		c.o.Log.Error("another incarnation of this instance has joined", "id", c.o.Self.ID)
	}
	c.joined = c.joined || self
	return !self && !c.leaving
}

func (c *Controller) join(ctx context.Context) {
	err := c.viaRelay(ctx, false)
	if err != nil {
		_, err = c.submit(ctx, member.Batch{Joins: []config.Member{c.o.Self}})
	}
	if err != nil {
		c.o.Log.Debug("join not committed", "error", err)
	}
}

// Leave removes the instance from the membership and waits until that is
// accepted or leaveWait has passed. It is called once, when the instance stops,
// before it ends its other parts: its own acknowledgement makes acceptance
// quick, and until then nobody takes over its quota shares.
func (c *Controller) Leave(ctx context.Context) error {
	c.mu.Lock()
	c.leaving = true
	c.mu.Unlock()
	if self, _ := c.o.Sync.IsMember(); !self {
		return nil
	}
	if err := c.viaRelay(ctx, true); err != nil {
		batch := member.Batch{Leaves: []member.IncarnationKey{{ID: c.o.Self.ID, Incarnation: c.o.Self.Incarnation}}}
		if _, err := c.submit(ctx, batch); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, leaveWait)
	defer cancel()
	for !c.left() {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(checkInterval / 10):
		}
	}
	return nil
}

// left reports whether a membership without the instance is accepted.
func (c *Controller) left() bool {
	self, _ := c.o.Sync.IsMember()
	return !self && c.o.Sync.Accepted() >= c.o.Sync.Snapshot().Revision
}

// viaRelay lets a relay of the domain commit the change together with others.
func (c *Controller) viaRelay(ctx context.Context, leave bool) error {
	err := errors.New("the domain has no other relay")
	for _, relay := range member.Relays(c.o.Sync.Snapshot().Members, c.o.Self.Domain) {
		if relay.ID == c.o.Self.ID {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		_, err = c.o.Peers.Peer(relay.PeerAddr).Join(callCtx, &rpc.JoinRequest{
			Id: c.o.Self.ID, Incarnation: c.o.Self.Incarnation,
			PeerAddr: c.o.Self.PeerAddr, Domain: c.o.Self.Domain, Leave: leave,
		})
		cancel()
		if err == nil {
			return nil
		}
	}
	return err
}

// Join adds or removes another instance.
func (c *Controller) Join(ctx context.Context, req *rpc.JoinRequest) (*rpc.JoinResponse, error) {
	var b member.Batch
	if req.Leave {
		b.Leaves = []member.IncarnationKey{{ID: req.Id, Incarnation: req.Incarnation}}
	} else {
		b.Joins = []config.Member{{ID: req.Id, Incarnation: req.Incarnation, PeerAddr: req.PeerAddr, Domain: req.Domain}}
	}
	revision, err := c.submit(ctx, b)
	return &rpc.JoinResponse{Revision: revision}, err
}

// submit adds to the next change and waits until it is committed.
func (c *Controller) submit(ctx context.Context, b member.Batch) (uint64, error) {
	c.mu.Lock()
	c.batch.Joins = append(c.batch.Joins, b.Joins...)
	c.batch.Leaves = append(c.batch.Leaves, b.Leaves...)
	f := c.flush
	if f == nil {
		f = &flush{done: make(chan struct{})}
		c.flush = f
		time.AfterFunc(batchDelay, func() { c.commit(f) })
	}
	c.mu.Unlock()
	select {
	case <-ctx.Done():
		return 0, ctx.Err()
	case <-f.done:
		return f.revision, f.err
	}
}

// commit proposes the collected batch.
func (c *Controller) commit(f *flush) {
	c.mu.Lock()
	batch := c.batch
	c.batch = member.Batch{}
	c.flush = nil
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	f.revision, f.err = c.propose(ctx, batch)
	close(f.done)
}

func (c *Controller) propose(ctx context.Context, batch member.Batch) (uint64, error) {
	revision, err := c.o.Sync.Propose(ctx, func(s *config.Snapshot) (config.Change, error) {
		next, changed := batch.Apply(s.Members)
		if !changed {
			return config.Change{}, errNoChange
		}
		return config.Change{Members: &next}, nil
	})
	if errors.Is(err, errNoChange) {
		return revision, nil
	}
	return revision, err
}

// errNoChange ends a proposal that would change nothing.
var errNoChange = errors.New("membership is unchanged")

// removeGone proposes to remove members that the platform no longer lists.
// Only a fresh instance does so: an older view of the membership could name
// incarnations that have been replaced.
func (c *Controller) removeGone(ctx context.Context) {
	if c.o.List == nil || !c.o.Sync.Fresh() {
		return
	}
	s := c.o.Sync.Snapshot()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	listed, err := c.o.List.List(callCtx)
	if err != nil {
		return
	}
	var routers []external.Instance
	for _, x := range listed {
		if x.Pool == external.RouterPool {
			routers = append(routers, x)
		}
	}
	gone := c.watch.RemovalCandidates(time.Since(c.start), s.Members, routers)
	if len(gone) == 0 {
		return
	}
	c.o.Log.Info("removing members that the platform no longer lists", "members", gone)
	if _, err := c.submit(callCtx, member.Batch{Leaves: gone}); err != nil {
		c.o.Log.Debug("removal not committed", "error", err)
	}
}

// listPause returns the time between reads of the list. It grows with the
// instance's rank: the first ranks remove dead members quickly, the others take
// over when the first are dead themselves, and 700 instances together read the
// list about 7 times a second.
func (c *Controller) listPause() time.Duration {
	members := c.o.Sync.Snapshot().Members.Members
	for i, x := range member.Rank(members, "proposer", len(members)) {
		if x.ID == c.o.Self.ID {
			return min(listInterval*time.Duration(1+i), maxListPause)
		}
	}
	return listInterval
}

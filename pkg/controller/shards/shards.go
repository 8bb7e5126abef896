// Package shards runs the divided cache index of one instance: it reads the
// events and load reports of the engines that the instance follows, carries
// their changes to the owners of prefix roots, and asks owners for holders.
package shards

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/controller/poll"
	"github.com/fescuestep/fescuestep/pkg/engine"
	"github.com/fescuestep/fescuestep/pkg/external"
	"github.com/fescuestep/fescuestep/pkg/shard"
	rpc "github.com/fescuestep/fescuestep/rpc/peer"
)

// Peers gives access to other instances. *peer.Client implements it.
type Peers interface {
	Peer(addr string) rpc.Peer
}

// Client reads from engines. *engine.Client implements it.
type Client interface {
	Events(ctx context.Context, addr string, after engine.Position) (engine.EventBatch, error)
	Load(ctx context.Context, addr string) (engine.LoadReport, error)
}

// Options are the dependencies of a Controller.
type Options struct {
	Self     config.Member
	Snapshot func() *config.Snapshot
	Listed   func() []external.Instance // the platform's list as last read
	Peers    Peers
	Client   Client
	Pace     shard.Pace
	Needed   func(engines int) bool // decides whether the index is divided
	Seed     uint64                 // of the order of polls; differs between instances
	Log      hclog.Logger
}

// Periods and bounds. Reports and events are read as often as by an instance
// that follows every engine of a small fleet.
const (
	listInterval   = 500 * time.Millisecond
	reportInterval = 250 * time.Millisecond
	eventInterval  = 200 * time.Millisecond
	pollSpacing    = 6 * time.Millisecond
	maxInterval    = time.Second
	pollTimeout    = 800 * time.Millisecond
	concurrency    = 16
	sendInterval   = 50 * time.Millisecond
	// lookupBound is the wait for an owner: several round trips between failure
	// domains, and much less than the recomputation of one block.
	lookupBound = 20 * time.Millisecond
	// failedPolls is the number of failed reports in a row after which an
	// engine is taken for dead.
	failedPolls = 2
)

// Controller is the shell around a follower and an owner. It is safe for
// concurrent use.
type Controller struct {
	o      Options
	start  time.Time
	sender errgroup.Group
	active atomic.Bool // the index is divided

	mu       sync.Mutex
	follower *shard.Follower
	owner    *shard.Owner
	assigned *shard.Map
	members  []config.Member // that assigned was made from
	listed   map[string]external.Instance
	failed   map[string]int // reports that failed in a row
	rng      *rand.Rand
}

// New returns a controller that follows and owns nothing yet.
func New(o Options) *Controller {
	if o.Log == nil {
		o.Log = hclog.NewNullLogger()
	}
	c := &Controller{
		o:        o,
		start:    time.Now(),
		follower: shard.NewFollower(o.Self, o.Pace),
		owner:    shard.NewOwner(o.Self),
		listed:   map[string]external.Instance{},
		failed:   map[string]int{},
		rng:      rand.New(rand.NewPCG(o.Seed, 3)),
	}
	c.sender.SetLimit(concurrency)
	return c
}

func (c *Controller) now() time.Duration { return time.Since(c.start) }

// Run follows, forwards and forgets until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return every(ctx, listInterval, c.refresh) })
	group.Go(func() error { return every(ctx, sendInterval, c.send) })
	group.Go(func() error { return c.loop(1, reportInterval, c.pollReport).Run(ctx) })
	group.Go(func() error { return c.loop(2, eventInterval, c.pollEvents).Run(ctx) })
	err := group.Wait()
	_ = c.sender.Wait()
	return err
}

func every(ctx context.Context, interval time.Duration, f func(context.Context)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		f(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (c *Controller) loop(stream uint64, interval time.Duration, f func(context.Context, poll.Target)) *poll.Loop {
	return &poll.Loop{
		Interval:    interval,
		Spacing:     pollSpacing,
		MaxInterval: maxInterval,
		Timeout:     pollTimeout,
		Concurrency: concurrency,
		Rand:        rand.New(rand.NewPCG(c.o.Seed, stream)),
		Targets:     c.targets,
		Poll:        f,
	}
}

// refresh applies the membership and the platform's list.
func (c *Controller) refresh(context.Context) {
	s, instances := c.o.Snapshot(), c.o.Listed()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.assign(s)
	c.owner.Expire(c.now())
	c.listed = map[string]external.Instance{}
	listed := map[string]shard.Listed{}
	for _, x := range instances {
		if p := s.Pool(x.Pool); p != nil && p.Kind == config.Model {
			c.listed[x.ID] = x
			listed[x.ID] = shard.Listed{Pool: x.Pool, Domain: x.Domain}
		}
	}
	needed := c.o.Needed(len(listed))
	if c.active.Swap(needed) != needed {
		c.o.Log.Info("cache index mode changed", "divided", needed, "engines", len(listed))
	}
	if !needed {
		listed = nil // follow none
	}
	c.follower.SetEngines(c.now(), listed)
}

// assign divides the work again when the membership changed. The caller holds
// mu.
func (c *Controller) assign(s *config.Snapshot) {
	if c.assigned != nil && slices.Equal(c.members, s.Members.Members) {
		return
	}
	c.members = slices.Clone(s.Members.Members)
	c.assigned = shard.NewMap(s.Revision, s.Members)
	c.owner.SetMap(c.assigned)
	c.follower.SetMap(c.assigned)
	c.o.Log.Debug("cache index divided again", "revision", s.Revision, "members", len(c.members))
}

// targets returns the engines that this instance follows.
func (c *Controller) targets() []poll.Target {
	c.mu.Lock()
	defer c.mu.Unlock()
	ids := c.follower.Engines()
	out := make([]poll.Target, 0, len(ids))
	for _, id := range ids {
		if x, ok := c.listed[id]; ok {
			out = append(out, poll.Target{ID: id, Addr: x.Addr})
		}
	}
	return out
}

// pollReport reads a load report. An engine that does not answer is reported
// as dead to the owners, and followed anew from the next list on.
func (c *Controller) pollReport(ctx context.Context, t poll.Target) {
	report, err := c.o.Client.Load(ctx, t.Addr)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		delete(c.failed, t.ID)
		c.follower.OnReport(c.now(), t.ID, report)
		return
	}
	c.failed[t.ID]++
	if c.failed[t.ID] == failedPolls {
		delete(c.failed, t.ID)
		c.follower.Gone(c.now(), t.ID)
	}
}

func (c *Controller) pollEvents(ctx context.Context, t poll.Target) {
	c.mu.Lock()
	at := c.follower.Position(t.ID)
	c.mu.Unlock()
	batch, err := c.o.Client.Events(ctx, t.Addr, at)
	if err != nil {
		return // the owners are told that the engine's entries are stale
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.follower.Position(t.ID) == at {
		c.follower.OnEvents(c.now(), t.ID, &batch)
	}
}

// send starts the calls that are due.
func (c *Controller) send(ctx context.Context) {
	c.mu.Lock()
	due := c.follower.Due(c.now())
	c.mu.Unlock()
	for _, m := range due {
		c.sender.Go(func() error {
			c.deliver(ctx, m)
			return nil
		})
	}
}

func (c *Controller) deliver(ctx context.Context, m shard.Message) {
	var resp *rpc.ForwardResponse
	var err error
	if m.To.ID == c.o.Self.ID {
		resp, err = c.Forward(ctx, m.Request)
	} else {
		resp, err = c.o.Peers.Peer(m.To.PeerAddr).Forward(ctx, m.Request)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.follower.Failed(m)
		return
	}
	c.follower.Answered(m, resp)
}

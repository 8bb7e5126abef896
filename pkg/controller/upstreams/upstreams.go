// Package upstreams keeps the state of upstreams current: it reads the
// platform's list, polls load reports and cache events and hands them to the
// endpoint choice.
package upstreams

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/controller/poll"
	"github.com/fescuestep/fescuestep/pkg/engine"
	"github.com/fescuestep/fescuestep/pkg/external"
)

// Pools receives what the controller learns. *upstream.Pools implements it.
type Pools interface {
	OnList(instances []external.Instance)
	OnEvents(upstreamID string, batch engine.EventBatch)
	OnReport(upstreamID string, report engine.LoadReport)
	OnPollFailed(upstreamID string)
	Position(upstreamID string) engine.Position
}

// Client reads from upstreams. *engine.Client implements it.
type Client interface {
	Events(ctx context.Context, addr string, after engine.Position) (engine.EventBatch, error)
	Load(ctx context.Context, addr string) (engine.LoadReport, error)
}

// Options are the dependencies of a Controller.
type Options struct {
	List     external.InstanceList
	Pools    Pools
	Client   Client
	Snapshot func() *config.Snapshot
	Seed     uint64 // of the order of polls; differs between instances
	Log      hclog.Logger
}

// Periods and bounds. A dead upstream must get no new work 2 s after the first
// evidence; two failed polls fit into that.
const (
	listInterval = 500 * time.Millisecond
	listTimeout  = 2 * time.Second
	// Shorter intervals lower the tail of short calls, but polls take most of
	// the network budget of an instance for control, 25 KB/s
	// (docs/measurements.md). Long prefills are preceded by probes.
	reportInterval  = 250 * time.Millisecond
	serviceInterval = 500 * time.Millisecond // plain services have no cache and short queues
	eventInterval   = 200 * time.Millisecond
	// pollSpacing bounds an instance's polls of one kind to about 160 a second;
	// with many upstreams reports and events are older. maxInterval plus
	// pollTimeout still stays below the 2 s.
	pollSpacing = 6 * time.Millisecond
	maxInterval = time.Second
	pollTimeout = 800 * time.Millisecond
	// concurrency covers a failure domain of 400 upstreams that all stop
	// answering: each holds one poll until its timeout. With fewer, the polls of
	// the others wait for seconds.
	concurrency = 512
)

// Controller polls the list and the upstreams.
type Controller struct {
	o      Options
	listed atomic.Pointer[[]external.Instance]
}

// New returns a controller that knows no upstreams yet.
func New(o Options) *Controller {
	c := &Controller{o: o}
	c.listed.Store(&[]external.Instance{})
	return c
}

// Run polls until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return c.followList(ctx) })
	group.Go(c.loop(ctx, 1, reportInterval, c.engines, c.pollReport))
	group.Go(c.loop(ctx, 3, serviceInterval, c.services, c.pollReport))
	group.Go(c.loop(ctx, 2, eventInterval, c.engines, c.pollEvents))
	return group.Wait()
}

func (c *Controller) loop(ctx context.Context, stream uint64, interval time.Duration, targets func() []poll.Target, f func(context.Context, poll.Target)) func() error {
	l := &poll.Loop{
		Interval:    interval,
		Spacing:     pollSpacing,
		MaxInterval: maxInterval,
		Timeout:     pollTimeout,
		Concurrency: concurrency,
		Rand:        rand.New(rand.NewPCG(c.o.Seed, stream)),
		Targets:     targets,
		Poll:        f,
	}
	return func() error { return l.Run(ctx) }
}

// followList reads the platform's list. While it does not answer, the last
// list stays in use: an outage of the list says nothing about upstreams.
func (c *Controller) followList(ctx context.Context) error {
	ticker := time.NewTicker(listInterval)
	defer ticker.Stop()
	down := false
	for {
		if err := c.readList(ctx); ctx.Err() == nil && (err != nil) != down {
			down = err != nil
			c.o.Log.Info("instance list reachability changed", "reachable", !down, "error", err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (c *Controller) readList(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	instances, err := c.o.List.List(ctx)
	if err != nil {
		return err
	}
	c.listed.Store(&instances)
	c.o.Pools.OnList(instances)
	return nil
}

// Listed returns the platform's list as last read.
func (c *Controller) Listed() []external.Instance { return *c.listed.Load() }

// targets returns the listed upstreams of the pools that want accepts.
func (c *Controller) targets(want func(config.Kind) bool) []poll.Target {
	s := c.o.Snapshot()
	var out []poll.Target
	for _, x := range *c.listed.Load() {
		if p := s.Pool(x.Pool); p != nil && want(p.Kind) {
			out = append(out, poll.Target{ID: x.ID, Addr: x.Addr})
		}
	}
	return out
}

func (c *Controller) engines() []poll.Target {
	return c.targets(func(k config.Kind) bool { return k == config.Model })
}

func (c *Controller) services() []poll.Target {
	return c.targets(func(k config.Kind) bool { return k == config.Service })
}

func (c *Controller) pollReport(ctx context.Context, t poll.Target) {
	report, err := c.o.Client.Load(ctx, t.Addr)
	if err != nil {
		c.o.Pools.OnPollFailed(t.ID)
		return
	}
	c.o.Pools.OnReport(t.ID, report)
}

// pollEvents reads cache events. A failure is left to the load reports: an
// event stream that is down makes the index old, not the engine unusable.
func (c *Controller) pollEvents(ctx context.Context, t poll.Target) {
	batch, err := c.o.Client.Events(ctx, t.Addr, c.o.Pools.Position(t.ID))
	if err == nil {
		c.o.Pools.OnEvents(t.ID, batch)
	}
}

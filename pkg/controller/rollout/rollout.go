// Package rollout holds the leader lease and carries the control commands of
// the rollout plan to the upstreams.
package rollout

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/control"
	"github.com/fescuestep/fescuestep/pkg/engine"
	"github.com/fescuestep/fescuestep/pkg/external"
	"github.com/fescuestep/fescuestep/pkg/history"
)

// Upstreams sends control commands; *engine.Client implements it.
type Upstreams interface {
	Control(ctx context.Context, addr string, cmd engine.Command) (engine.CommandResult, error)
	State(ctx context.Context, addr string) (engine.CommandResult, error)
}

// State is the state of the configuration.
type State interface {
	Snapshot() *config.Snapshot // never nil
	Fresh() bool
}

// Defaults of Options.
const (
	DefaultTick      = 20 * time.Millisecond
	DefaultListEvery = time.Second
)

// Options configure a Controller. Zero values of times and limits take the
// defaults.
type Options struct {
	Self  string // ID of the instance in the membership
	Name  string // unique per process start
	Table external.Table
	List  external.InstanceList
	State State
	Calls Upstreams
	Rand  *rand.Rand
	Log   hclog.Logger

	Lease     control.LeaseConfig
	Plan      control.PlanConfig
	Tick      time.Duration // between two looks at the plan
	ListEvery time.Duration // between two reads of the list by the leader
}

// Status is what the controller does now.
type Status struct {
	Leader   bool
	Token    uint64
	Progress control.Progress
}

// Controller runs the lease and the plan in one goroutine; calls run in others
// and hand their results to it.
type Controller struct {
	o         Options
	start     time.Time
	lease     *control.Lease
	plan      *control.Plan // of the last held token
	token     uint64
	leading   bool
	listing   bool
	listAt    time.Duration
	ranked    *config.Snapshot // that candidate was computed from
	candidate bool
	results   chan func()
	calls     int
	running   sync.WaitGroup
	status    atomic.Pointer[Status]
}

// New returns a controller; Run starts it.
func New(o Options) *Controller {
	if o.Lease == (control.LeaseConfig{}) {
		o.Lease = control.DefaultLeaseConfig()
	}
	if o.Plan == (control.PlanConfig{}) {
		o.Plan = control.DefaultPlanConfig()
	}
	if o.Tick == 0 {
		o.Tick = DefaultTick
	}
	if o.ListEvery == 0 {
		o.ListEvery = DefaultListEvery
	}
	if o.Log == nil {
		o.Log = hclog.NewNullLogger()
	}
	c := &Controller{o: o, start: time.Now(), lease: control.NewLease(o.Lease, o.Name), results: make(chan func())}
	c.status.Store(&Status{})
	return c
}

// Status returns what the controller does now.
func (c *Controller) Status() Status { return *c.status.Load() }

// now returns the time since start on the monotonic clock.
func (c *Controller) now() time.Duration { return time.Since(c.start) }

// Run works until ctx ends, then waits for calls under way and gives up the
// lease if no command's outcome is open. It returns nil.
func (c *Controller) Run(ctx context.Context) error {
	ticker := time.NewTicker(c.o.Tick)
	defer ticker.Stop()
	for ctx.Err() == nil {
		c.advance()
		select {
		case <-ctx.Done():
		case apply := <-c.results:
			apply()
		case <-ticker.C:
		}
	}
	c.drain()
	c.release()
	c.status.Store(&Status{})
	return nil
}

// advance starts all calls that are due.
func (c *Controller) advance() {
	now := c.now()
	c.advanceLease(now)
	token, _, held := c.lease.Held(now)
	c.changeLeader(now, token, held)
	if held && c.o.State.Fresh() {
		c.refreshList(now)
		for _, step := range c.plan.Next(now, func(checks bool) bool { return c.lease.MaySend(now, checks) }) {
			c.send(now, step)
		}
	}
	c.publish(now, held)
}

func (c *Controller) publish(now time.Duration, held bool) {
	status := Status{Leader: held, Token: c.token}
	if held {
		status.Progress = c.plan.Progress(now)
	}
	if status != *c.status.Load() {
		c.status.Store(&status)
	}
}

// changeLeader logs changes and starts a new plan with each new token. The
// plan of a token is kept over a lapse of the lease: it knows which commands
// may still take effect.
func (c *Controller) changeLeader(now time.Duration, token uint64, held bool) {
	if held && token != c.token {
		c.plan = control.NewPlan(c.o.Plan, token, now)
		c.token = token
		c.listAt = 0
	}
	if held != c.leading {
		c.leading = held
		c.o.Log.Info("leader lease", "held", held, "token", c.token)
	}
}

// advanceLease starts the next table call of the lease. An instance that is
// not fresh may send no commands; it lets its lease expire for another.
func (c *Controller) advanceLease(now time.Duration) {
	if !c.o.State.Fresh() {
		return
	}
	c.tableCall(c.lease.Next(now, c.o.Rand, c.isCandidate()))
}

// isCandidate ranks the members only when the configuration has changed:
// ranking 700 of them at every look would take about 1.5% of a core.
func (c *Controller) isCandidate() bool {
	if s := c.o.State.Snapshot(); s != c.ranked {
		c.ranked = s
		c.candidate = control.IsCandidate(s.Members.Members, c.o.Self)
	}
	return c.candidate
}

func (c *Controller) tableCall(step control.LeaseStep) {
	switch step.Kind {
	case control.LeaseRead:
		c.call(func() func() {
			rows, err := c.o.Table.Get(context.Background(), control.LeaseKey)
			if err == nil && len(rows) != 1 {
				err = errors.Newf("table returned %d rows for one key", len(rows))
			}
			return func() { c.leaseRead(rows, err) }
		})
	case control.LeaseCommit:
		c.call(func() func() {
			version, err := c.o.Table.Commit(context.Background(), step.Txn)
			return func() { c.lease.CommitDone(c.now(), c.o.Rand, history.Position{Version: version}, err) }
		})
	}
}

func (c *Controller) leaseRead(rows []external.Row, err error) {
	var row external.Row
	if err == nil {
		row = rows[0]
	}
	before := c.lease.Err()
	c.lease.ReadDone(c.now(), c.o.Rand, row, err)
	if invalid := c.lease.Err(); invalid != nil && before == nil {
		c.o.Log.Error("leader lease cannot be used", "error", invalid)
	}
}

// refreshList reads the list of instances now and then.
func (c *Controller) refreshList(now time.Duration) {
	if c.listing || now < c.listAt {
		return
	}
	c.listing = true
	c.call(func() func() {
		instances, err := c.o.List.List(context.Background())
		return func() {
			c.listing = false
			c.listAt = c.now() + c.o.ListEvery
			if err == nil {
				c.plan.SetUpstreams(wanted(c.o.State.Snapshot(), instances))
			}
		}
	})
}

// send makes one call of the plan. A command's time runs from before the lease
// was checked, so that it ends while the lease is valid.
func (c *Controller) send(now time.Duration, step control.PlanStep) {
	plan := c.plan
	deadline := c.start.Add(now + c.o.Lease.CommandTimeout)
	c.call(func() func() {
		ctx, cancel := context.WithDeadline(context.Background(), deadline)
		defer cancel()
		var result engine.CommandResult
		var err error
		if step.Command != nil {
			result, err = c.o.Calls.Control(ctx, step.Addr, *step.Command)
		} else {
			result, err = c.o.Calls.State(ctx, step.Addr)
		}
		return func() { c.stepDone(plan, step, result, err) }
	})
}

func (c *Controller) stepDone(plan *control.Plan, step control.PlanStep, result engine.CommandResult, err error) {
	if plan.HandleResult(c.now(), step, result, err) {
		return
	}
	c.o.Log.Warn("upstream has seen a newer fencing token", "upstream", step.ID, "token", c.token, "seen", result.FencingToken)
	if plan == c.plan {
		c.lease.Suspend()
	}
}

// call runs work in a goroutine and its result in the controller's.
func (c *Controller) call(work func() func()) {
	c.calls++
	c.running.Add(1)
	go func() {
		defer c.running.Done()
		apply := work()
		c.results <- func() {
			c.calls--
			apply()
		}
	}()
}

// drain takes the results of all calls under way; each has a timeout.
func (c *Controller) drain() {
	for c.calls > 0 {
		(<-c.results)()
	}
	c.running.Wait()
}

func (c *Controller) release() {
	now := c.now()
	if c.plan != nil && !c.plan.OutcomesKnown(now) {
		return
	}
	c.tableCall(c.lease.Release(now, c.o.Rand))
	c.drain()
}

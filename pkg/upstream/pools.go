package upstream

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fescuestep/fescuestep/pkg/chain"
	"github.com/fescuestep/fescuestep/pkg/code"
	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/engine"
	"github.com/fescuestep/fescuestep/pkg/external"
	"github.com/fescuestep/fescuestep/pkg/fair"
)

// Options sets up Pools.
type Options struct {
	Seed   uint64 // of this instance's random source; instances use different ones
	Policy string // name of the policy, empty for the product's
	// KV moves blocks between engines and the KV stores of pools that name
	// one; nil leaves imports and exports out.
	KV KVClient
	// Finder finds holders in the divided cache index; nil uses the own index.
	Finder HolderFinder
	// Load reads load reports before long prefills; nil leaves probes out.
	Load LoadClient
	// Record receives every input of every pool; nil records nothing.
	Record Recorder
}

// Pools holds the pools of one router instance. It is safe for concurrent use.
type Pools struct {
	opts           Options
	exporter       *exporter // nil without a KV client
	prober         *prober   // nil without a load client
	pools          atomic.Pointer[map[string]*pool]
	poolByUpstream atomic.Pointer[map[string]*pool] // by upstream ID

	mu            sync.Mutex // serializes changes to pools and instances
	listed        []external.Instance
	instanceCount int
}

// pool guards a Core and runs its timer.
type pool struct {
	mu         sync.Mutex
	scheduler  *Scheduler
	timer      *time.Timer
	timerArmed bool
	isModel    atomic.Bool // of kind config.Model
	nextTick   time.Time
}

// NewPools returns Pools without pools; OnSnapshot and OnList fill them.
func NewPools(opts Options) *Pools {
	p := &Pools{opts: opts, instanceCount: 1}
	if opts.KV != nil {
		p.exporter = newExporter(opts.KV)
	}
	if opts.Load != nil {
		p.prober = newProber(opts.Load)
	}
	p.pools.Store(&map[string]*pool{})
	p.poolByUpstream.Store(&map[string]*pool{})
	return p
}

// Close ends background work. Slots stay valid.
func (p *Pools) Close() {
	if p.prober != nil {
		p.prober.close()
	}
	if p.exporter != nil {
		p.exporter.close()
	}
}

// withLock runs f under the pool's lock and arms the timer for the next tick.
func (p *pool) withLock(f func(now time.Time, c *Scheduler)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	f(now, p.scheduler)
	p.arm(now)
}

func (p *pool) arm(now time.Time) {
	next, ok := p.scheduler.NextTick(now)
	if !ok || (p.timerArmed && !next.Before(p.nextTick)) {
		return
	}
	p.timerArmed, p.nextTick = true, next
	if p.timer == nil {
		p.timer = time.AfterFunc(next.Sub(now), p.tick)
		return
	}
	p.timer.Reset(next.Sub(now))
}

func (p *pool) tick() {
	p.withLock(func(now time.Time, c *Scheduler) {
		p.timerArmed = false
		c.Tick(now)
	})
}

// Acquire waits for a slot. It returns a *code.Error (queue full, deadline
// unreachable, no upstream), always with run state not_run, or the error of
// ctx when that ends first; nothing was sent in either case.
func (p *Pools) Acquire(ctx context.Context, q Query) (*Slot, error) {
	pl := (*p.pools.Load())[q.Pool]
	if pl == nil {
		return nil, code.New(code.NoUpstream, "pool %s is not configured", q.Pool).
			WithRun(code.NotRun).WithRetryAfter(minRetryAfter)
	}
	p.findHolders(ctx, pl, &q)
	decided := make(chan struct{})
	var w *Waiter
	pl.withLock(func(now time.Time, c *Scheduler) {
		w = c.Submit(now, &q, func(*Waiter) { close(decided) })
	})
	if err := pl.await(ctx, w, decided); err != nil {
		return nil, err
	}
	if w.Err != nil {
		return nil, w.Err
	}
	if p.exporter != nil {
		p.importBlocks(ctx, pl, w.Grant)
	}
	u := w.Grant.flight.Upstream
	return &Slot{pool: pl, grant: w.Grant, target: chain.Target{
		ID:          u.ID,
		Addr:        u.Addr,
		Incarnation: w.Grant.incarnation,
		HitTokens:   w.Grant.choice.HitTokens,
	}}, nil
}

func (p *pool) await(ctx context.Context, w *Waiter, decided <-chan struct{}) error {
	select {
	case <-decided:
		return nil
	default:
	}
	var deadline <-chan time.Time
	if !w.query.Deadline.IsZero() {
		timer := time.NewTimer(time.Until(w.query.Deadline))
		defer timer.Stop()
		deadline = timer.C
	}
	select {
	case <-decided:
		return nil
	case <-deadline:
		p.withLock(func(_ time.Time, c *Scheduler) { c.Expire(w) })
		<-decided
		return nil
	case <-ctx.Done():
		return p.abandon(ctx, w)
	}
}

// abandon withdraws w, or gives its slot back when it was granted meanwhile.
func (p *pool) abandon(ctx context.Context, w *Waiter) error {
	p.withLock(func(now time.Time, c *Scheduler) {
		if c.Cancel(w) {
			c.rec.removeRequest(w)
		} else if w.Grant != nil {
			c.Done(now, w.Grant, Cancelled)
		}
	})
	return ctx.Err()
}

// OnSnapshot adds, changes and removes pools. Slots of a removed pool stay
// valid until Done.
func (p *Pools) OnSnapshot(s *config.Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instanceCount = max(1, len(s.Members.Members))
	old, pools := *p.pools.Load(), map[string]*pool{}
	for _, d := range s.Deployments {
		for i := range d.Pools {
			if d.Pools[i].Kind == config.KV {
				continue
			}
			p.configurePool(pools, old, d, &d.Pools[i])
		}
	}
	p.pools.Store(&pools)
	p.applyList(pools)
}

func (p *Pools) configurePool(pools, old map[string]*pool, d *config.Deployment, c *config.Pool) {
	set := Settings{
		Pool:        *c,
		Priority:    d.Priority,
		OneWayDelay: d.OneWayDelay,
		Policy:      p.opts.Policy,
		Queue:       fair.DefaultLimits,
		MaxQueue:    DefaultMaxQueue,
		Seed:        p.opts.Seed,
	}
	product := set.UsesDefaultPolicy()
	set.Coalesce = product
	set.KVTransfer = product && p.exporter != nil
	set.Probe = product && p.prober != nil
	pl := old[c.Name]
	if pl == nil {
		now := time.Now()
		core, err := NewScheduler(now, set)
		if err != nil {
			return // only for an unknown policy, which settings reject
		}
		if p.opts.Record != nil {
			core.Record(now, p.opts.Record)
		}
		pl = &pool{scheduler: core}
		if product {
			core.OnMove((*Grant).signalMove)
		}
		if p.prober != nil {
			core.OnProbe(func(ids []string) { p.prober.start(pl, ids) })
		}
		if p.exporter != nil {
			core.OnExport(func(t Transfer) { p.exporter.start(pl, t) })
		}
	}
	pl.isModel.Store(c.Kind == config.Model)
	pl.withLock(func(_ time.Time, core *Scheduler) {
		core.Configure(set)
		core.SetInstances(p.instanceCount)
	})
	pools[c.Name] = pl
}

// OnList applies the platform's list.
func (p *Pools) OnList(instances []external.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listed = append([]external.Instance(nil), instances...)
	p.applyList(*p.pools.Load())
}

func (p *Pools) applyList(pools map[string]*pool) {
	owners := make(map[string]*pool, len(p.listed))
	for i := range p.listed {
		if pl := pools[p.listed[i].Pool]; pl != nil {
			owners[p.listed[i].ID] = pl
		}
	}
	p.poolByUpstream.Store(&owners)
	for _, pl := range pools {
		pl.withLock(func(now time.Time, c *Scheduler) { c.OnList(now, p.listed) })
	}
}

// withPoolOf runs f on the pool that lists the upstream, if any.
func (p *Pools) withPoolOf(upstreamID string, f func(now time.Time, c *Scheduler)) {
	if pl := (*p.poolByUpstream.Load())[upstreamID]; pl != nil {
		pl.withLock(f)
	}
}

// OnEvents applies cache events of an upstream.
func (p *Pools) OnEvents(upstreamID string, batch engine.EventBatch) {
	p.withPoolOf(upstreamID, func(now time.Time, c *Scheduler) { c.OnEvents(now, upstreamID, &batch) })
}

// OnReport applies a load report of an upstream.
func (p *Pools) OnReport(upstreamID string, report engine.LoadReport) {
	p.withPoolOf(upstreamID, func(now time.Time, c *Scheduler) { c.OnReport(now, upstreamID, &report) })
}

// OnPollFailed records that a poll of an upstream got no answer.
func (p *Pools) OnPollFailed(upstreamID string) {
	p.withPoolOf(upstreamID, func(_ time.Time, c *Scheduler) { c.OnPollFailed(upstreamID) })
}

// Position returns from where the upstream's cache events are read next.
func (p *Pools) Position(upstreamID string) engine.Position {
	var at engine.Position
	p.withPoolOf(upstreamID, func(_ time.Time, c *Scheduler) { at = c.Position(upstreamID) })
	return at
}

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

// Options configures Pools.
type Options struct {
	Seed   uint64 // of the random source; differs between instances
	Policy string // name of the routing policy; empty for the default
	// KV transfers blocks between engines and the KV stores of pools that name
	// one. If nil, nothing is imported or exported.
	KV KVClient
	// Load reads load reports before long prefills. If nil, upstreams are not
	// probed.
	Load LoadClient
	// Record receives every input of every pool. If nil, inputs are not
	// recorded.
	Record Recorder
}

// Pools holds the upstream pools of one router instance. It is safe for
// concurrent use.
type Pools struct {
	opts           Options
	exporter       *exporter // nil if Options.KV is nil
	prober         *prober   // nil if Options.Load is nil
	pools          atomic.Pointer[map[string]*pool]
	poolByUpstream atomic.Pointer[map[string]*pool] // by upstream ID

	mu            sync.Mutex // serializes changes to pools, listed and instanceCount
	listed        []external.Instance
	instanceCount int
}

// pool guards a Scheduler with a lock and runs its timer.
type pool struct {
	mu         sync.Mutex
	scheduler  *Scheduler
	timer      *time.Timer
	timerArmed bool
	isModel    atomic.Bool // pool is of kind config.Model
	nextTick   time.Time
}

// NewPools returns a Pools without any pool; OnSnapshot and OnList add them.
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

// Close stops background probes and exports. Slots stay valid.
func (p *Pools) Close() {
	if p.prober != nil {
		p.prober.close()
	}
	if p.exporter != nil {
		p.exporter.close()
	}
}

// withLock runs f under the pool's lock and arms the timer for the next tick.
func (p *pool) withLock(f func(now time.Time, s *Scheduler)) {
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
	p.withLock(func(now time.Time, s *Scheduler) {
		p.timerArmed = false
		s.Tick(now)
	})
}

// Acquire waits for a slot. It returns a *code.Error with run state not_run if
// the queue is full, the deadline can't be met or no upstream is available, or
// the error of ctx if that ends first. Nothing was sent in either case.
func (p *Pools) Acquire(ctx context.Context, q Query) (*Slot, error) {
	pl := (*p.pools.Load())[q.Pool]
	if pl == nil {
		return nil, code.New(code.NoUpstream, "pool %s is not configured", q.Pool).
			WithRun(code.NotRun).WithRetryAfter(minRetryAfter)
	}
	decided := make(chan struct{})
	var w *Waiter
	pl.withLock(func(now time.Time, s *Scheduler) {
		w = s.Submit(now, &q, func(*Waiter) { close(decided) })
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
	u := w.Grant.inFlight.Upstream
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
		p.withLock(func(_ time.Time, s *Scheduler) { s.Expire(w) })
		<-decided
		return nil
	case <-ctx.Done():
		return p.abandon(ctx, w)
	}
}

// abandon withdraws w, or releases its slot if it was granted meanwhile. It
// returns the error of ctx.
func (p *pool) abandon(ctx context.Context, w *Waiter) error {
	p.withLock(func(now time.Time, s *Scheduler) {
		if s.Cancel(w) {
			s.rec.removeRequest(w)
		} else if w.Grant != nil {
			s.Done(now, w.Grant, Cancelled)
		}
	})
	return ctx.Err()
}

// OnSnapshot applies a configuration: it adds, reconfigures and removes pools.
// Slots of a removed pool stay valid until Done.
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

func (p *Pools) configurePool(pools, old map[string]*pool, d *config.Deployment, cfg *config.Pool) {
	settings := Settings{
		Pool:        *cfg,
		Priority:    d.Priority,
		OneWayDelay: d.OneWayDelay,
		Policy:      p.opts.Policy,
		Queue:       fair.DefaultLimits,
		MaxQueue:    DefaultMaxQueue,
		Seed:        p.opts.Seed,
	}
	isDefault := settings.UsesDefaultPolicy()
	settings.Coalesce = isDefault
	settings.KVTransfer = isDefault && p.exporter != nil
	settings.Probe = isDefault && p.prober != nil
	pl := old[cfg.Name]
	if pl == nil {
		now := time.Now()
		sched, err := NewScheduler(now, settings)
		if err != nil {
			return // unknown policy, which the validation of the settings rejects
		}
		if p.opts.Record != nil {
			sched.Record(now, p.opts.Record)
		}
		pl = &pool{scheduler: sched}
		if isDefault {
			sched.OnMove((*Grant).signalMove)
		}
		if p.prober != nil {
			sched.OnProbe(func(ids []string) { p.prober.start(pl, ids) })
		}
		if p.exporter != nil {
			sched.OnExport(func(t Transfer) { p.exporter.start(pl, t) })
		}
	}
	pl.isModel.Store(cfg.Kind == config.Model)
	pl.withLock(func(_ time.Time, sched *Scheduler) {
		sched.Configure(settings)
		sched.SetInstances(p.instanceCount)
	})
	pools[cfg.Name] = pl
}

// OnList applies the platform's list of upstreams.
func (p *Pools) OnList(instances []external.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listed = append([]external.Instance(nil), instances...)
	p.applyList(*p.pools.Load())
}

func (p *Pools) applyList(pools map[string]*pool) {
	byUpstream := make(map[string]*pool, len(p.listed))
	for i := range p.listed {
		if pl := pools[p.listed[i].Pool]; pl != nil {
			byUpstream[p.listed[i].ID] = pl
		}
	}
	p.poolByUpstream.Store(&byUpstream)
	for _, pl := range pools {
		pl.withLock(func(now time.Time, s *Scheduler) { s.OnList(now, p.listed) })
	}
}

// withPoolOf runs f on the pool that the upstream is listed in, if there is
// one.
func (p *Pools) withPoolOf(upstreamID string, f func(now time.Time, s *Scheduler)) {
	if pl := (*p.poolByUpstream.Load())[upstreamID]; pl != nil {
		pl.withLock(f)
	}
}

// OnEvents applies a batch of cache events from an upstream.
func (p *Pools) OnEvents(upstreamID string, batch engine.EventBatch) {
	p.withPoolOf(upstreamID, func(now time.Time, s *Scheduler) { s.OnEvents(now, upstreamID, &batch) })
}

// OnReport applies a load report from an upstream.
func (p *Pools) OnReport(upstreamID string, report engine.LoadReport) {
	p.withPoolOf(upstreamID, func(now time.Time, s *Scheduler) { s.OnReport(now, upstreamID, &report) })
}

// OnPollFailed records that a poll of an upstream got no answer.
func (p *Pools) OnPollFailed(upstreamID string) {
	p.withPoolOf(upstreamID, func(_ time.Time, s *Scheduler) { s.OnPollFailed(upstreamID) })
}

// Position returns the position from which the upstream's cache events are read
// next.
func (p *Pools) Position(upstreamID string) engine.Position {
	var at engine.Position
	p.withPoolOf(upstreamID, func(_ time.Time, s *Scheduler) { at = s.Position(upstreamID) })
	return at
}

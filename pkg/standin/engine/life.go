package engine

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/fescuestep/fescuestep/pkg/engine"
	"github.com/fescuestep/fescuestep/pkg/standin/host"
)

// life is one incarnation: everything that a crash loses.
type life struct {
	server      *Server
	options     Options
	incarnation string
	ctx         context.Context // ends with the incarnation
	end         context.CancelFunc
	work        sync.WaitGroup
	slots       *gate // places in the batch
	prefill     *gate // one prefill at a time

	mu        sync.Mutex
	cache     *cache
	log       eventLog
	state     durable // what the engine serves now
	desired   string  // weights version of the last command
	loading   bool
	ready     chan struct{} // closed while no weights are loading
	decoding  int
	waiting   int // requests that have not been prefilled
	queued    int // their uncached prompt tokens
	sample    engine.LoadReport
	sampledAt time.Time
	broken    map[string]*generation // resumable streams by request ID
	previous  *generation            // for crossed answers
}

func newLife(s *Server, state durable) *life {
	ctx, end := context.WithCancel(context.Background())
	l := &life{
		server: s, options: s.options, incarnation: s.nextIncarnation(), ctx: ctx, end: end,
		slots: newGate(s.options.MaxRunning), prefill: newGate(1),
		state: state, desired: state.weights, ready: make(chan struct{}),
		log:    eventLog{retain: s.options.EventRetain},
		broken: map[string]*generation{},
	}
	close(l.ready)
	l.cache = newCache(s.options.CapacityBlocks, l.publish)
	l.takeSample(time.Now())
	return l
}

// start runs the periodic work until the incarnation ends.
func (l *life) start() {
	l.work.Add(1)
	go func() {
		defer l.work.Done()
		interval := max(time.Millisecond, l.scaled(l.options.ReportInterval))
		for host.Sleep(l.ctx, interval) == nil {
			l.tick(time.Now(), interval)
		}
	}()
}

func (l *life) tick(now time.Time, interval time.Duration) {
	faults := l.server.Faults.Get()
	if faults.Frozen {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	if now.Sub(l.sampledAt) >= interval+l.scaled(faults.ReportLag) {
		l.takeSample(now)
	}
	window := l.scaled(l.options.ResumeWindow)
	for id, g := range l.broken {
		if now.Sub(g.brokenAt) > window {
			delete(l.broken, id)
		}
	}
}

// expire evicts unused blocks. The caller holds mu.
func (l *life) expire(now time.Time) {
	before := l.cache.evicted
	l.cache.expire(now.Add(-l.scaled(l.options.BlockLifetime)))
	if n := l.cache.evicted - before; n > 0 {
		l.server.count(func(t *Stats) { t.Evicted += n })
	}
}

// publish logs a cache event. The caller holds mu.
func (l *life) publish(event engine.Event) {
	lost := l.server.Faults.Use(func(f *Faults) *int { return &f.DropEvents })
	l.log.append(event, lost, time.Now())
}

// takeSample records the current load. The caller holds mu, or l is not
// shared yet.
func (l *life) takeSample(now time.Time) {
	l.sampledAt = now
	l.sample = engine.LoadReport{
		Incarnation: l.incarnation, Weights: l.state.weights,
		Running: l.decoding, Waiting: l.waiting, QueuedTokens: l.queued,
		CachedBlocks: l.cache.order.Len(), CapacityBlocks: l.options.CapacityBlocks,
	}
}

func (l *life) scaled(d time.Duration) time.Duration { return l.options.Scale.Of(d) }

// slowed returns scaled model time, stretched by the fault SlowFactor.
func (l *life) slowed(d time.Duration) time.Duration {
	if f := l.server.Faults.Get().SlowFactor; f > 0 {
		d = time.Duration(float64(d) * f)
	}
	return l.scaled(d)
}

// freezePoll is how often a frozen engine looks whether it may go on.
const freezePoll = 2 * time.Millisecond

// pause returns when the engine is not frozen or ctx ends.
func (l *life) pause(ctx context.Context) error {
	for l.server.Faults.Get().Frozen {
		if err := host.Sleep(ctx, freezePoll); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// pausable holds requests back while the engine is frozen.
func (l *life) pausable(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if l.pause(c.Request().Context()) != nil {
			host.Drop()
		}
		return next(c)
	}
}

func (l *life) handleLoad(c echo.Context) error {
	leaving := l.server.isLeaving()
	l.mu.Lock()
	report := l.sample
	report.Age = time.Since(l.sampledAt)
	l.mu.Unlock()
	report.Leaving = leaving
	return c.JSON(http.StatusOK, report)
}

func (l *life) handleModels(c echo.Context) error {
	model := map[string]string{"id": l.options.Model, "object": "model"}
	return c.JSON(http.StatusOK, map[string]any{"object": "list", "data": []any{model}})
}

func (l *life) handleEvents(c echo.Context) error {
	faults := l.server.Faults.Get()
	if faults.EventsDown {
		return echo.NewHTTPError(http.StatusServiceUnavailable, "events are down")
	}
	after, err := strconv.ParseUint(c.QueryParam("after"), 10, 64)
	if c.QueryParam("after") != "" && err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "after is not a number")
	}
	lag := l.scaled(l.options.EventLag + faults.EventLag)
	return c.JSON(http.StatusOK, l.batch(c.QueryParam("incarnation"), after, lag))
}

// batch lists events after a position, or all blocks when the position is
// unknown.
func (l *life) batch(incarnation string, after uint64, lag time.Duration) engine.EventBatch {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	batch := engine.EventBatch{Incarnation: l.incarnation, Weights: l.state.weights}
	if incarnation != l.incarnation || !l.log.covers(after) {
		batch.Snapshot = true
		batch.Seq = l.log.seq
		batch.Blocks, batch.Parents = l.cache.all()
		return batch
	}
	batch.Events, batch.Seq = l.log.after(after, now.Add(-lag))
	return batch
}

// CachedBlocks returns what is cached now, most recently used first.
func (s *Server) CachedBlocks() []uint64 {
	l := s.life()
	if l == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []uint64
	blocks, _ := l.cache.all()
	for _, h := range blocks {
		out = append(out, uint64(h))
	}
	return out
}

// adapterLoaded reports whether an adapter can be applied. The caller holds mu.
func (l *life) adapterLoaded(name string) bool {
	return name == "" || slices.Contains(l.state.adapters, name)
}

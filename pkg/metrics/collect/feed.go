package collect

import (
	"sync"
	"time"

	"github.com/fescuestep/fescuestep/pkg/controller/upstreams"
	"github.com/fescuestep/fescuestep/pkg/engine"
	"github.com/fescuestep/fescuestep/pkg/external"
	"github.com/fescuestep/fescuestep/pkg/metrics"
	"github.com/fescuestep/fescuestep/pkg/upstream"
)

// Feed passes lists, reports and cache events on to the pools and records
// them. Observe sets the gauges.
type Feed struct {
	upstreams.Pools
	m *metrics.Metrics

	mu      sync.Mutex
	poolOf  map[string]string    // by upstream ID, as listed
	sampled map[string]time.Time // when the last load report was true
	ejected map[string]bool      // at the last Observe
	seen    map[string]bool      // pools that have gauges
}

// NewFeed returns a Feed to next.
func NewFeed(next upstreams.Pools, m *metrics.Metrics) *Feed {
	return &Feed{
		Pools:   next,
		m:       m,
		poolOf:  map[string]string{},
		sampled: map[string]time.Time{},
		ejected: map[string]bool{},
		seen:    map[string]bool{},
	}
}

// OnList records the pools of the listed upstreams and passes the list on.
func (f *Feed) OnList(instances []external.Instance) {
	poolOf := make(map[string]string, len(instances))
	for _, x := range instances {
		poolOf[x.ID] = x.Pool
	}
	f.mu.Lock()
	f.poolOf = poolOf
	for id := range f.sampled {
		if _, listed := poolOf[id]; !listed {
			delete(f.sampled, id)
		}
	}
	f.mu.Unlock()
	f.Pools.OnList(instances)
}

// OnReport records when a load report was sampled and passes it on.
func (f *Feed) OnReport(upstreamID string, report engine.LoadReport) {
	f.mu.Lock()
	f.sampled[upstreamID] = time.Now().Add(-report.Age)
	f.mu.Unlock()
	f.Pools.OnReport(upstreamID, report)
}

// OnEvents counts the cache events of a listed upstream and passes them on.
func (f *Feed) OnEvents(upstreamID string, batch engine.EventBatch) {
	f.mu.Lock()
	name, listed := f.poolOf[upstreamID]
	f.mu.Unlock()
	if listed {
		recordEvents(f.m.Pool(name), f.Pools.Position(upstreamID), batch)
	}
	f.Pools.OnEvents(upstreamID, batch)
}

func recordEvents(p *metrics.Pool, at engine.Position, batch engine.EventBatch) {
	if batch.Snapshot {
		p.CacheResync()
		return
	}
	p.CacheEvents(len(batch.Events))
	if batch.Incarnation != at.Incarnation {
		return
	}
	for _, e := range batch.Events {
		if e.Seq > at.Seq+1 {
			p.CacheEventGap()
		}
		at.Seq = max(at.Seq, e.Seq)
	}
}

// totals are the sums over the upstreams of one pool.
type totals struct {
	states    map[upstream.State]int
	inFlight  int
	blocks    int
	reportAge time.Duration // the oldest of a live upstream
}

// Observe sets the gauges of all pools and counts upstreams that were ejected
// since the last call. It is called about once per second.
func (f *Feed) Observe(now time.Time, list []upstream.Status) {
	f.mu.Lock()
	defer f.mu.Unlock()
	pools := map[string]*totals{}
	for name := range f.seen { // a pool without upstreams shows zeros
		pools[name] = &totals{}
	}
	ejected := map[string]bool{}
	for _, u := range list {
		t := pools[u.Pool]
		if t == nil || t.states == nil {
			t = &totals{states: map[upstream.State]int{}}
			pools[u.Pool] = t
		}
		f.add(t, now, u)
		if u.State == upstream.StateEjected {
			ejected[u.ID] = true
			if !f.ejected[u.ID] {
				f.m.Pool(u.Pool).Ejection()
			}
		}
	}
	f.ejected = ejected
	for name, t := range pools {
		f.seen[name] = true
		set(f.m.Pool(name), t)
	}
}

func (f *Feed) add(t *totals, now time.Time, u upstream.Status) {
	t.states[u.State]++
	t.inFlight += u.InFlight
	t.blocks += u.Blocks
	if at, ok := f.sampled[u.ID]; ok && u.State == upstream.StateLive {
		t.reportAge = max(t.reportAge, now.Sub(at))
	}
}

func set(p *metrics.Pool, t *totals) {
	for _, state := range metrics.UpstreamStates() {
		p.Upstreams(state, t.states[upstream.State(state)])
	}
	p.InFlight(t.inFlight)
	p.CachedBlocks(t.blocks)
	p.ReportAge(t.reportAge)
}

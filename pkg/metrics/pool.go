package metrics

import (
	"time"

	tally "github.com/uber-go/tally/v4"
)

// Pool records what happens at the upstreams of one pool.
type Pool struct {
	m       *Metrics
	name    string
	events  tally.Counter
	wait    tally.Histogram
	hits    tally.Counter
	flights tally.Gauge
	queued  tally.Gauge
}

// Pool returns the recorder for a pool. Callers keep it.
func (m *Metrics) Pool(name string) *Pool {
	name = m.pools.value(name)
	return &Pool{
		m:       m,
		name:    name,
		events:  m.counter(defCacheEvents, name),
		wait:    m.histogram(defQueueWait, name),
		hits:    m.counter(defExpectedHits, name),
		flights: m.gauge(defInFlight, name),
		queued:  m.gauge(defQueued, name),
	}
}

// Upstreams sets the number of upstreams in a state.
func (p *Pool) Upstreams(s UpstreamState, n int) {
	p.m.gauge(defUpstreams, p.name, string(s)).Update(float64(n))
}

// InFlight sets the number of requests at upstreams.
func (p *Pool) InFlight(n int) { p.flights.Update(float64(n)) }

// Queued sets the number of requests waiting for a slot.
func (p *Pool) Queued(n int) { p.queued.Update(float64(n)) }

// QueueWait records the time a request waited for a slot.
func (p *Pool) QueueWait(d time.Duration) { p.wait.RecordDuration(d) }

// Attempt counts an attempt: OK, Unreachable, Failure or Cancelled.
func (p *Pool) Attempt(o Outcome) { p.m.counter(defAttempts, p.name, string(o)).Inc(1) }

// Ejection counts an upstream taken out because of failures.
func (p *Pool) Ejection() { p.m.counter(defEjections, p.name).Inc(1) }

// ExpectedHit counts prompt tokens expected to be cached.
func (p *Pool) ExpectedHit(tokens int) { p.hits.Inc(int64(tokens)) }

// CacheEvents counts cache events read.
func (p *Pool) CacheEvents(n int) { p.events.Inc(int64(n)) }

// CacheEventGap counts a jump in an engine's event sequence.
func (p *Pool) CacheEventGap() { p.m.counter(defEventGaps, p.name).Inc(1) }

// CacheResync counts a snapshot of an engine's cache.
func (p *Pool) CacheResync() { p.m.counter(defResyncs, p.name).Inc(1) }

// CachedBlocks sets the number of blocks in the cache index.
func (p *Pool) CachedBlocks(n int) { p.m.gauge(defCachedBlocks, p.name).Update(float64(n)) }

// ReportAge sets the age of the oldest load report of a live upstream.
func (p *Pool) ReportAge(d time.Duration) { p.m.gauge(defReportAge, p.name).Update(d.Seconds()) }

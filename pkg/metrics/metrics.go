package metrics

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	tally "github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is the delay after which recorded values show at the scrape
// endpoint. Scrapes are several times longer apart.
const reportInterval = time.Second

// Metrics holds the metrics of one instance. Its methods may be called from
// several goroutines.
type Metrics struct {
	scope   tally.Scope
	closer  io.Closer
	handler http.Handler

	instruments sync.Map // counters, gauges and histograms by name and label values
	pools       labels
	routes      labels
	services    labels
	customers   customers
}

// New returns metrics with a registry of their own, so that several instances
// can run in one process. Close must be called to end its reporting goroutine.
func New() *Metrics { return newMetrics(reportInterval) }

func newMetrics(interval time.Duration) *Metrics {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector())
	reporter := tallyprom.NewReporter(tallyprom.Options{Registerer: registry})
	for _, d := range definitions {
		describe(reporter, d)
	}
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		CachedReporter:         reporter,
		Separator:              "_",
		OmitCardinalityMetrics: true,
	}, interval)
	m := &Metrics{scope: scope, closer: closer, handler: reporter.HTTPHandler()}
	m.pools.most = maxPools
	m.routes.most = maxPools
	m.services.most = maxPools
	m.customers.init(m)
	return m
}

// describe registers a metric with its help text and, for a histogram, its
// buckets. Registration fails only for two definitions of one name.
func describe(reporter tallyprom.Reporter, d Definition) {
	var err error
	switch d.Kind {
	case Counter:
		_, err = reporter.RegisterCounter(d.Name, d.Labels, d.Meaning)
	case Gauge:
		_, err = reporter.RegisterGauge(d.Name, d.Labels, d.Meaning)
	case Histogram:
		_, err = reporter.RegisterTimer(d.Name, d.Labels, d.Meaning, &tallyprom.RegisterTimerOptions{
			TimerType:        tallyprom.HistogramTimerType,
			HistogramBuckets: bucketsOf(d).AsValues(),
		})
	}
	if err != nil {
		panic(err)
	}
}

// Handler serves the scrape endpoint.
func (m *Metrics) Handler() http.Handler { return m.handler }

// Close reports once more and ends the reporting goroutine.
func (m *Metrics) Close() error { return m.closer.Close() }

// Buckets double from 2 ms for gaps between tokens, whose target is 32 ms, and
// from 1 ms for all else, whose targets are 1.6 s and below.
var (
	gapBuckets  = tally.MustMakeExponentialDurationBuckets(2*time.Millisecond, 2, 10)
	timeBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 17)
	// callBuckets resolve calls to the platform and waits, which take below 1 ms
	// when nothing is wrong.
	callBuckets = tally.MustMakeExponentialDurationBuckets(250*time.Microsecond, 2, 19)
)

func bucketsOf(d Definition) tally.DurationBuckets {
	switch d.Name {
	case defTokenGap.Name:
		return gapBuckets
	case defQuotaWait.Name, defQueueWait.Name, defPlatformTime.Name:
		return callBuckets
	}
	return timeBuckets
}

func (m *Metrics) tagged(d Definition, values []string) tally.Scope {
	if len(values) == 0 {
		return m.scope
	}
	tags := make(map[string]string, len(values))
	for i, label := range d.Labels {
		tags[label] = values[i]
	}
	return m.scope.Tagged(tags)
}

// instrument returns the instrument for the label values and makes it when it
// is asked for the first time.
func instrument[T any](m *Metrics, d Definition, values []string, make func(tally.Scope) T) T {
	key := d.Name + "\x00" + strings.Join(values, "\x00")
	if found, ok := m.instruments.Load(key); ok {
		return found.(T)
	}
	found, _ := m.instruments.LoadOrStore(key, make(m.tagged(d, values)))
	return found.(T)
}

func (m *Metrics) counter(d Definition, values ...string) tally.Counter {
	return instrument(m, d, values, func(s tally.Scope) tally.Counter { return s.Counter(d.Name) })
}

func (m *Metrics) gauge(d Definition, values ...string) tally.Gauge {
	return instrument(m, d, values, func(s tally.Scope) tally.Gauge { return s.Gauge(d.Name) })
}

func (m *Metrics) histogram(d Definition, values ...string) tally.Histogram {
	return instrument(m, d, values, func(s tally.Scope) tally.Histogram { return s.Histogram(d.Name, bucketsOf(d)) })
}

func flag(on bool) float64 {
	if on {
		return 1
	}
	return 0
}

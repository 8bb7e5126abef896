package metrics

import (
	"fmt"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"github.com/fescuestep/fescuestep/pkg/code"
	"github.com/fescuestep/fescuestep/pkg/config"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// scrape closes m, which reports all values, and returns the endpoint's text.
func scrape(t testing.TB, m *Metrics) string {
	t.Helper()
	if err := m.Close(); err != nil {
		t.Fatal(err)
	}
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	return w.Body.String()
}

func snapshotOf(customers int, class string) *config.Snapshot {
	d := &config.Deployment{Name: "d"}
	for i := range customers {
		d.Customers = append(d.Customers, config.Customer{ID: fmt.Sprintf("c%04d", i), RatePerSecond: float64(i), Class: class})
	}
	return config.Restore(3, []*config.Deployment{d}, nil, config.Membership{})
}

// recordAll calls every typed function.
func recordAll(m *Metrics) {
	m.OnSnapshot(snapshotOf(1, "counter"))
	c := m.Customer(nil)
	c.FirstToken(time.Second)
	c.TokenGap(time.Millisecond)
	c.Done(time.Second)
	c.Failed(time.Second, code.RateExceeded)
	c.Failed(time.Second, code.QuotaUnavailable)
	c.Tokens(3, 2, 1)
	m.Fresh(true, time.Second)
	m.AdminChange(Apply, OK)
	m.QuotaWait(time.Millisecond)
	m.RecordOutcome("r", 17000, InTime)
	m.LogLinesDropped(1)
	m.UndecodableStatement("load")
	m.TableAge("servers", time.Second)
	m.StateTransferred("sent", 1000)
	m.ConnectionEnded("evicted")
	m.ReleaseState("llm", 1, 100, 4)
	m.RecordAdmission("llm", AdmittedLater, time.Millisecond)
	m.RecordCapacity("llm", Capacity{Upstreams: 4, Slow: 1, Free: 2, Total: 8})
	m.Order(Finished)
	m.UnresolvedOrders(1)
	m.ControlLeader(true)
	m.WeightLoads(1)
	m.PlatformCall(Table, OK, time.Millisecond)
	m.PeerCall(Sync, OK)
	p := m.Pool("plume")
	p.Upstreams(Live, 12)
	p.InFlight(1)
	p.Queued(1)
	p.QueueWait(time.Millisecond)
	p.Attempt(OK)
	p.Ejection()
	p.ExpectedHit(1)
	p.CacheEvents(1)
	p.CacheEventGap()
	p.CacheResync()
	p.CachedBlocks(1)
	p.ReportAge(time.Second)
	m.Command(Finished)
}

var typeLine = regexp.MustCompile(`(?m)^# TYPE (fescuestep_\S+) (\S+)$`)

// TestEveryDefinitionIsServed guards against a metric that is documented but
// never recorded, and one that is recorded with other labels than documented.
func TestEveryDefinitionIsServed(t *testing.T) {
	m := newMetrics(0)
	recordAll(m)
	text := scrape(t, m)
	got := map[string]string{}
	for _, match := range typeLine.FindAllStringSubmatch(text, -1) {
		got[match[1]] = match[2]
	}
	want := map[string]string{}
	for _, d := range Definitions() {
		want[d.Name] = string(d.Kind)
		if !strings.Contains(text, "# HELP "+d.Name+" "+d.Meaning) {
			t.Errorf("%s has no help text", d.Name)
		}
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("metrics served (-defined +served):\n%s", diff)
	}
	for _, line := range []string{
		`fescuestep_request_seconds_bucket{class="none",customer="none",le="1.024"} 3`,
		`fescuestep_results_total{class="none",result="rate_exceeded"} 1`,
		`fescuestep_upstreams{pool="plume",state="live"} 12`,
		`fescuestep_revision 3`,
	} {
		if !strings.Contains(text, line+"\n") {
			t.Errorf("not served: %s", line)
		}
	}
}

// TestSeriesAreBounded guards against a number of series that grows with the
// number of customers, classes or pools, also when they keep changing.
func TestSeriesAreBounded(t *testing.T) {
	m := newMetrics(0)
	for round := range 5 {
		s := snapshotOf(1600, fmt.Sprintf("class%d", round))
		d := s.Deployments["d"]
		for i := range d.Customers {
			d.Customers[i].ID = fmt.Sprintf("r%d-%s", round, d.Customers[i].ID)
		}
		m.OnSnapshot(s)
		for i := range d.Customers {
			m.Customer(&d.Customers[i]).FirstToken(time.Second)
		}
	}
	for i := range 500 {
		m.Customer(&config.Customer{ID: "x", Class: fmt.Sprint("extra", i)}).FirstToken(time.Second)
		m.Pool(fmt.Sprint("pool", i)).Ejection()
	}
	text := scrape(t, m)
	series := strings.Count(text, defFirstToken.Name+"_count{")
	if most := everNamed + 2*(maxClasses+1); series > most || series < everNamed {
		t.Errorf("%d series of first token, want at most %d", series, most)
	}
	if n := strings.Count(text, defEjections.Name+"{"); n != maxPools+1 {
		t.Errorf("%d pools, want %d", n, maxPools+1)
	}
	if !strings.Contains(text, `customer="r0-c1599"`) || strings.Contains(text, `customer="r0-c0000"`) {
		t.Error("the label is not given to the customers with the highest rates")
	}
}

// BenchmarkRequest measures the recording of one request with 100 tokens.
func BenchmarkRequest(b *testing.B) {
	m := newMetrics(0)
	defer m.Close()
	s := snapshotOf(1600, "counter")
	m.OnSnapshot(s)
	customer := &s.Deployments["d"].Customers[1599]
	b.ReportAllocs()
	for b.Loop() {
		c := m.Customer(customer)
		c.FirstToken(time.Second)
		for range 100 {
			c.TokenGap(20 * time.Millisecond)
		}
		c.Done(2 * time.Second)
		c.Tokens(2000, 1000, 100)
	}
}

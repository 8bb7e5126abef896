package edge_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fescuestep/fescuestep/platform/standin"
)

const (
	// namedLimit is the limit that the stand-in names, in requests per second.
	namedLimit = 4.0
	// limitWindow is the span in which the rule counts requests. It allows one and a half
	// times the limit and limitExtra requests more.
	limitWindow = 4 * time.Second
	limitExtra  = 5
	// usedShare is the least share of a limit that must be used while enough is asked for.
	usedShare = 0.75
)

// callers calls instances until stop is called.
type callers struct {
	mu       sync.Mutex
	statuses map[int]int // number of responses by status
	done     chan struct{}
	wg       sync.WaitGroup
}

// keepReading sends reads to each of the instances, one every gap.
func keepReading(gap time.Duration, instances ...*testInstance) *callers {
	c := &callers{statuses: map[int]int{}, done: make(chan struct{})}
	for _, instance := range instances {
		c.wg.Go(func() {
			for n := 0; !isClosed(c.done); n++ {
				_, got := instance.request(http.MethodGet, fmt.Sprintf("/read/%d", n), "", "")
				c.mu.Lock()
				c.statuses[got.status]++
				c.mu.Unlock()
				time.Sleep(gap)
			}
		})
	}
	return c
}

func (c *callers) stop() map[int]int {
	close(c.done)
	c.wg.Wait()
	return c.statuses
}

// arrivals returns when requests reached an upstream, from a time on.
func arrivals(u *standin.Upstream, from time.Time) []time.Time {
	var out []time.Time
	for _, r := range u.ReceivedRequests() {
		if r.ReceivedAt.After(from) {
			out = append(out, r.ReceivedAt)
		}
	}
	return out
}

// mostInWindow returns the largest number of times within limitWindow.
func mostInWindow(times []time.Time) int {
	most := 0
	for i, begin := range times {
		n := 0
		for _, at := range times[i:] {
			if at.Sub(begin) < limitWindow {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// expectLimitUsed fails the test unless an upstream got about its limit from a time on.
func expectLimitUsed(t *testing.T, u *standin.Upstream, from time.Time) {
	t.Helper()
	times := arrivals(u, from)
	if n, allowed := mostInWindow(times), int(1.5*namedLimit*limitWindow.Seconds())+limitExtra; n > allowed {
		t.Errorf("%d requests in %v, allowed %d", n, limitWindow, allowed)
	}
	if least := usedShare * namedLimit * time.Since(from).Seconds(); float64(len(times)) < least {
		t.Errorf("%d requests in %v, want %.0f at least", len(times), time.Since(from), least)
	}
}

// newLimitedFleet returns a fleet with two plain upstreams, of which the first names
// namedLimit in its answers.
func newLimitedFleet(t *testing.T) *testFleet {
	fleet := newTestFleet(t, 1)
	fleet.startUpstream(standin.Options{ID: "o1", Service: "orders", Zone: "z1"})
	fleet.orders.SetLimit(strconv.FormatFloat(namedLimit, 'f', -1, 64))
	return fleet
}

// TestUpstreamLimitHoldsOverInstances guards against instances that together send an upstream more than it takes, and against leaving it idle.
func TestUpstreamLimitHoldsOverInstances(t *testing.T) {
	t.Parallel()
	fleet := newLimitedFleet(t)
	c := keepReading(20*time.Millisecond, fleet.startInstance("n1"), fleet.startInstance("n2"), fleet.startInstance("n3"))
	time.Sleep(settleTime)
	from := time.Now()
	time.Sleep(2 * limitWindow)
	expectLimitUsed(t, fleet.orders, from)
	if statuses := c.stop(); len(statuses) != 1 || statuses[http.StatusOK] == 0 {
		t.Errorf("statuses %v although the other upstream is free", statuses)
	}
}

// TestLimitIsUsedAfterRestartOfAll guards against instances that start together, or beside others, and use a limit several times or not at all.
func TestLimitIsUsedAfterRestartOfAll(t *testing.T) {
	t.Parallel()
	fleet := newLimitedFleet(t)
	instances := []*testInstance{fleet.startInstance("n1"), fleet.startInstance("n2")}
	c := keepReading(20*time.Millisecond, instances...)
	time.Sleep(time.Second)
	c.stop()
	for _, instance := range instances {
		instance.stop()
	}
	for _, instance := range instances {
		fleet.await("the instance has stopped", func() bool { return strings.Contains(instance.log.String(), `"stopped"`) })
	}
	instances = []*testInstance{fleet.startInstance("n1"), fleet.startInstance("n2")}
	c = keepReading(20*time.Millisecond, instances...)
	defer c.stop()
	time.Sleep(settleTime)
	from := time.Now()
	other := keepReading(20*time.Millisecond, fleet.startInstance("n3", instances[0].options.ControlAddr.String()))
	defer other.stop()
	time.Sleep(2 * limitWindow)
	expectLimitUsed(t, fleet.orders, from)
}

// TestLimitedUpstreamAloneRefusesTheRest guards against callers that wait, or are told that a request may have run, where no upstream takes more.
func TestLimitedUpstreamAloneRefusesTheRest(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 1)
	fleet.orders.SetLimit("4")
	instance := fleet.startInstance("n1")
	refused := 0
	for range 100 {
		began := time.Now()
		id, got := instance.request(http.MethodPost, "/orders/", keyBig, "x")
		ran := countRuns([]*standin.Upstream{fleet.orders}, id)
		switch {
		case got.status == http.StatusOK && ran == 1:
		case got.status == http.StatusServiceUnavailable && ran == 0 && got.header.Get("Retry-After") != "":
			refused++
		default:
			t.Fatalf("status %d, Retry-After %q, ran %d times", got.status, got.header.Get("Retry-After"), ran)
		}
		if took := time.Since(began); got.status != http.StatusOK && took > time.Second {
			t.Errorf("refused after %v", took)
		}
		time.Sleep(20 * time.Millisecond)
	}
	if served := 100 - refused; served < 6 || refused < 50 {
		t.Errorf("%d served and %d refused in 2 s at 4 a second", served, refused)
	}
}

// TestEndOfLimitIsToldToAll guards against instances that keep a limit which the upstream names no more.
func TestEndOfLimitIsToldToAll(t *testing.T) {
	t.Parallel()
	fleet := newLimitedFleet(t)
	first, second := fleet.startInstance("n1"), fleet.startInstance("n2")
	c := keepReading(20*time.Millisecond, first, second)
	time.Sleep(2 * time.Second)
	fleet.orders.SetLimit("")
	fleet.await("the limit has ended", func() bool {
		return strings.Contains(first.log.String(), "names no limit") && strings.Contains(second.log.String(), "names no limit")
	})
	from := time.Now()
	time.Sleep(2 * time.Second)
	if n := len(arrivals(fleet.orders, from)); n < 40 {
		t.Errorf("%d requests in 2 s, want a fair part of about 150", n)
	}
	c.stop()
}

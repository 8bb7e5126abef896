package edge_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/fescuestep/fescuestep/pkg/routing"
	"github.com/fescuestep/fescuestep/platform"
	"github.com/fescuestep/fescuestep/platform/standin"
)

// leavingAnswer answers like a plain service that leaves.
func leavingAnswer(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Server-Leaving", "1")
	_, _ = io.WriteString(w, standin.PlainBody(seal(w, r)))
}

// received returns the number of requests that reached an upstream.
func received(u *standin.Upstream) int { return len(u.ReceivedRequests()) }

// TestStatedDepartureIsKept guards against new requests to an upstream that said in a
// response that it leaves: from the instance that got the response, from the others,
// and from one that starts afterwards, while the store still lists it as ready.
func TestStatedDepartureIsKept(t *testing.T) {
	fleet := newTestFleet(t, 1)
	other := fleet.startUpstream(standin.Options{ID: "o1", Service: "orders", Zone: "z1"})
	first, second := fleet.startInstance("n1"), fleet.startInstance("n2")
	fleet.orders.SetHandler(leavingAnswer)
	for received(fleet.orders) == 0 {
		if _, got := first.request(http.MethodPost, "/orders/", keyBig, "x"); got.status != 200 {
			t.Fatalf("got %+v", got)
		}
	}
	fleet.await("the other instance knows", func() bool {
		before := received(fleet.orders)
		for range 10 {
			second.request(http.MethodPost, "/orders/", keyBig, "x")
		}
		return received(fleet.orders) == before
	})
	third := fleet.startInstance("n3")
	before, served := received(fleet.orders), received(other)
	for range 20 {
		for _, instance := range []*testInstance{first, second, third} {
			if _, got := instance.request(http.MethodPost, "/orders/", keyBig, "x"); got.status != 200 {
				t.Fatalf("got %+v", got)
			}
		}
	}
	if n := received(fleet.orders) - before; n != 0 || received(other) != served+60 {
		t.Errorf("the upstream that leaves got %d requests, the other %d", n, received(other)-served)
	}
}

// TestRetryAfterOfAnUpstreamHolds guards against requests to an upstream that asked
// this instance for none, also after refusals and announcements that say less, and
// against a caller that waits or is told a time at which it is refused again.
func TestRetryAfterOfAnUpstreamHolds(t *testing.T) {
	fleet := newTestFleet(t, 1)
	instance, second := fleet.startInstance("n1"), fleet.startInstance("n2")
	refuse := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Not-Executed", "1")
		w.Header().Set("Retry-After", "3")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	fleet.orders.SetHandler(refuse)
	began := time.Now()
	for i := range 20 {
		_, got := instance.request(http.MethodPost, "/orders/", keyBig, "x")
		retryAfter, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		if left := 3 - time.Since(began).Seconds(); got.status != 503 || err != nil || retryAfter < left-0.5 || retryAfter > 3 {
			t.Fatalf("request %d: status %d, Retry-After %q", i, got.status, got.header.Get("Retry-After"))
		}
	}
	if n := received(fleet.orders); n != 1 {
		t.Errorf("%d requests reached the upstream, want 1", n)
	}
	fleet.orders.SetHandler(nil)
	if _, got := second.request(http.MethodPost, "/orders/", keyBig, "x"); got.status != 200 {
		t.Errorf("an instance that was not asked: status %d", got.status)
	}
	fleet.await("the time is over", func() bool {
		_, got := instance.request(http.MethodPost, "/orders/", keyBig, "x")
		return got.status == 200
	})
	if took := time.Since(began); took < 3*time.Second {
		t.Errorf("a request reached the upstream after %v, want 3s", took)
	}
}

// TestStoreComesBackFromCopy guards against a withdrawn key that works again, an
// upstream that left and is used again, and instances that no longer follow, when the
// store comes back from an older copy: at instances that ran, and at one that starts.
func TestStoreComesBackFromCopy(t *testing.T) {
	fleet := newTestFleet(t, 2)
	fleet.config.Customers[1] = routing.Customer{Name: "small"} // without a rate
	fleet.applyConfig()
	first := fleet.startInstance("n1")
	fleet.startInstance("n2")
	old := fleet.store.Copy()
	delete(fleet.config.Keys, keyBig)
	fleet.applyConfig()
	fleet.store.Delete("servers", "e0")
	fleet.await("the key is withdrawn", func() bool { _, got := first.prompt("/short/", keyBig); return got.status == 401 })
	fleet.await("the upstream is gone", func() bool {
		before := received(fleet.engines[0])
		for range 10 {
			first.prompt("/short/", keySmall)
		}
		return received(fleet.engines[0]) == before
	})
	fleet.store.Restore(old)
	third := fleet.startInstance("n3", first.options.ControlAddr.String())
	before := received(fleet.engines[0])
	for range 20 {
		for _, instance := range []*testInstance{first, third} {
			if _, got := instance.prompt("/short/", keyBig); got.status != 401 {
				t.Fatalf("withdrawn key: status %d", got.status)
			}
			if _, got := instance.prompt("/short/", keySmall); got.status != 200 {
				t.Fatalf("got %+v", got)
			}
		}
	}
	if n := received(fleet.engines[0]) - before; n != 0 {
		t.Errorf("the upstream that left got %d requests", n)
	}
	fleet.config.Routes[3].Prefix = "/look/"
	fleet.applyConfig()
	fleet.await("a configuration of the new era applies", func() bool {
		_, a := first.request(http.MethodGet, "/look/1", "", "")
		_, b := third.request(http.MethodGet, "/look/1", "", "")
		return a.status == 200 && b.status == 200
	})
	fleet.await("the instances are listed again", func() bool {
		for i := range 3 {
			if _, ok := fleet.store.Get(platform.TableInstances, fmt.Sprint("n", i+1)); !ok {
				return false
			}
		}
		return true
	})
}

// TestDepartureIsLoggedWithSourceAndAge guards against records in which an instance that never learned of a departure looks like one that learned of it late.
func TestDepartureIsLoggedWithSourceAndAge(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 1)
	instance := fleet.startInstance("n1")
	fleet.orders.Unregister()
	fleet.await("the departure is logged", func() bool {
		return strings.Contains(instance.log.String(), `"@message":"upstream removed","@module":"state"`)
	})
	instance.prompt("/short/", keyBig)
	for _, line := range strings.Split(instance.log.String(), "\n") {
		switch {
		case strings.Contains(line, `"upstream removed"`) && !(strings.Contains(line, `"source":"store"`) && strings.Contains(line, `"list_age_ms":`)):
			t.Errorf("no source or age: %s", line)
		case strings.Contains(line, `"@message":"request"`) && !(strings.Contains(line, `"list_age_ms":`) && strings.Contains(line, `"config_age_ms":`)):
			t.Errorf("no age: %s", line)
		}
	}
}

// TestOwnCutFromTheStorePutsNoRemovalOff guards against an instance that takes its own cut from the store for an outage of the store, and goes on sending to a server that is removed after its return.
func TestOwnCutFromTheStorePutsNoRemovalOff(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 1)
	fleet.startUpstream(standin.Options{ID: "o1", Service: "orders", Zone: "z1"})
	fleet.startInstance("n0")
	fleet.storeLink = newLink()
	cut := fleet.startInstance("n1")
	time.Sleep(settleTime)
	fleet.storeLink.set(linkResets)
	time.Sleep(4200 * time.Millisecond)
	fleet.storeLink.set(linkUp)
	fleet.await("the instance reaches the store again", func() bool { return strings.Count(cut.log.String(), `"store available"`) >= 4 })
	fleet.orders.Unregister()
	time.Sleep(1500 * time.Millisecond) // a server serves on for 2 s
	before := len(fleet.orders.ReceivedRequests())
	for range 20 {
		if _, got := cut.request(http.MethodPost, "/orders/", keyBig, "x"); got.status != http.StatusOK {
			t.Errorf("an order beside the removal: %+v", got)
		}
	}
	if n := len(fleet.orders.ReceivedRequests()) - before; n > 0 {
		t.Errorf("%d of 20 orders were sent to a server 1.5 s after its removal", n)
	}
}

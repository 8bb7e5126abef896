package edge_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/fescuestep/fescuestep/pkg/routing"
	"github.com/fescuestep/fescuestep/platform/standin"
)

// TestForwardedRequestIsNotHandledByOlderConfiguration guards against a caller who sees an older configuration again, because its instance hands the request to one that lags behind.
func TestForwardedRequestIsNotHandledByOlderConfiguration(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 1)
	moved := fleet.startUpstream(standin.Options{ID: "q0", Service: "orders-next", Zone: "z1"})
	toUpstreams := newLink()
	first := fleet.startInstanceBehind(toUpstreams, "n0")
	fleet.storeLink = newLink()
	fleet.startInstance("n1")
	time.Sleep(settleTime)

	fleet.storeLink.set(linkHangs)
	fleet.config.Services = append(fleet.config.Services, routing.Service{Name: "orders-next", ConnLimit: 100})
	fleet.config.Routes[3].Split = []routing.WeightedService{{Service: "orders-next", Weight: 1}}
	fleet.applyConfig()
	fleet.await("the route leads to the next service", func() bool {
		first.request(http.MethodGet, "/read/1", "", "")
		return received(moved) > 0
	})
	toUpstreams.set(linkResets)
	before, refused := received(fleet.orders), 0
	for end := time.Now().Add(2500 * time.Millisecond); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		_, got := first.request(http.MethodGet, "/read/1", "", "")
		if got.status != http.StatusOK {
			refused++
		}
	}
	if n := received(fleet.orders) - before; n > 0 {
		t.Errorf("%d requests were run by the service of the older configuration (%d refused)", n, refused)
	}
}

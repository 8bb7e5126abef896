package edge_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/fescuestep/fescuestep/platform/standin"
)

// isIdle reports whether an instance leaves the store to its relays.
func (instance *testInstance) isIdle() bool {
	log := instance.log.String()
	return strings.LastIndex(log, `"self":false`) > strings.LastIndex(log, `"self":true`)
}

// TestDepartureIsKnownWhenRelaysFallSilent guards against an instance that waits for relays which have lost power, and goes on using a server that leaves just then.
func TestDepartureIsKnownWhenRelaysFallSilent(t *testing.T) {
	t.Parallel()
	const drainBound = 2 * time.Second
	fleet := newTestFleet(t, 1)
	fleet.startUpstream(standin.Options{ID: "o1", Service: "orders", Zone: "z1"})
	links := map[*testInstance]*link{}
	for i := range 3 {
		fleet.coreLink = newLink()
		links[fleet.startInstance(fmt.Sprint("n", i))] = fleet.coreLink
	}
	var idle *testInstance
	fleet.await("one instance leaves the store to the others", func() bool {
		for instance := range links {
			if instance.isIdle() {
				idle = instance
			}
		}
		return idle != nil
	})
	time.Sleep(settleTime)
	for instance, l := range links {
		if instance != idle {
			l.set(linkHangs)
		}
	}
	fleet.orders.Unregister()
	left := time.Now()
	time.Sleep(drainBound)
	before := received(fleet.orders)
	for ; time.Since(left) < 2*drainBound; time.Sleep(10 * time.Millisecond) {
		if _, got := idle.request(http.MethodPost, "/orders/", keyBig, "x"); got.status != http.StatusOK {
			t.Errorf("an order beside the departure: %+v", got)
		}
	}
	if n := received(fleet.orders) - before; n > 0 {
		t.Errorf("%d orders reached a server more than %v after it had left", n, drainBound)
	}
}

package edge_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/fescuestep/fescuestep/pkg/edge"
	"github.com/fescuestep/fescuestep/platform/standin"
)

// TestRefusedForWantOfRoom guards against refusals of requests that an upstream received or
// that state no time to return, against more requests at an upstream than it has slots, and
// against requests that wait beyond their deadline.
func TestRefusedForWantOfRoom(t *testing.T) {
	fleet := newTestFleet(t, 0)
	fleet.admission = edge.AdmissionOn
	slow := fleet.startUpstream(standin.Options{ID: "s0", Service: "slow", Zone: "z1", Slots: 2, ServiceTime: 200 * time.Millisecond})
	fleet.config.Services = append(fleet.config.Services, fleet.config.Services[1])
	fleet.config.Services[2].Name = "slow"
	fleet.config.Routes[2].Split[0].Service = "slow"
	fleet.applyConfig()
	instance := fleet.startInstance("n1")
	var wg sync.WaitGroup
	var mu sync.Mutex
	replies := map[string]reply{}
	for range 40 {
		wg.Go(func() {
			id, got := instance.request(http.MethodPost, "/orders/", keyBig, "x", "Deadline-Ms", "1500")
			mu.Lock()
			defer mu.Unlock()
			replies[id] = got
		})
	}
	wg.Wait()
	counts := map[int]int{}
	for id, got := range replies {
		counts[got.status]++
		runs := countRuns([]*standin.Upstream{slow}, id)
		if got.status == http.StatusOK && runs != 1 || got.status == http.StatusServiceUnavailable && (runs != 0 || got.header.Get("Retry-After") == "") {
			t.Errorf("%s ran %d times: %+v", id, runs, got)
		}
	}
	if counts[http.StatusOK] == 0 || counts[http.StatusServiceUnavailable] == 0 || counts[http.StatusOK]+counts[http.StatusServiceUnavailable] != len(replies) {
		t.Errorf("replies by status: %v", counts)
	}
}

package edge_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/fescuestep/fescuestep/platform/standin"
)

// TestSlowdownReachesTheOthers guards against a slowdown that only the instance knows which
// got the answer, from the header of the upstream to the choice and the metrics of another
// instance.
func TestSlowdownReachesTheOthers(t *testing.T) {
	fleet := newTestFleet(t, 1)
	slow := fleet.startUpstream(standin.Options{ID: "o1", Service: "orders", Zone: "z1", ServiceTime: time.Millisecond})
	a := fleet.startInstance("a")
	b := fleet.startInstance("b", a.options.ControlAddr.String())
	slow.SetStatesWorkTime(true)
	slow.SlowDown(8, time.Hour)
	calls := keepReading(10*time.Millisecond, a)
	fleet.await("the other instance knows of the slow upstream", func() bool {
		resp, err := http.Get("http://" + b.options.ReadinessAddr.String() + "/metrics")
		if err != nil {
			return false
		}
		defer func() { _ = resp.Body.Close() }()
		page, _ := io.ReadAll(resp.Body)
		return strings.Contains(string(page), `fescuestep_slow_upstreams{pool="orders"} 1`)
	})
	if statuses := calls.stop(); len(statuses) != 1 || statuses[http.StatusOK] == 0 {
		t.Errorf("answers by status: %v", statuses)
	}
}

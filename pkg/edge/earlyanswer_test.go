package edge_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/fescuestep/fescuestep/internal/faultyserver"
)

// TestPartOfAnAnswerDoesNotLookComplete guards against a caller that gets a part of an answer as all of it, since the upstream reset the connection while the request was still being written.
func TestPartOfAnAnswerDoesNotLookComplete(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 0)
	instance := fleet.startInstance("n1")
	for _, path := range []string{"/orders/1", "/read/1"} {
		for _, pause := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
			fleet.orders.SetHandler(faultyserver.EarlyReset(head, "partial", pause))
			for range 10 {
				if _, got := instance.request(http.MethodPost, path, keyBig, strings.Repeat("x", 3<<20)); got.status == http.StatusOK && got.err == nil {
					t.Errorf("%s, reset after %v: the caller got %q with status 200", path, pause, got.body)
				}
			}
		}
	}
}

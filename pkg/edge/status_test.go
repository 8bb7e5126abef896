package edge_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/fescuestep/fescuestep/internal/faultyserver"
	"github.com/fescuestep/fescuestep/platform/standin"
)

// TestStatusThatIsNoneIsNoAnswer guards against an answer of an upstream in trouble, whose status HTTP does not define, that a caller gets as an answer, also one that stands in its body.
func TestStatusThatIsNoneIsNoAnswer(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 1)
	instance := fleet.startInstance("n1")
	for _, status := range []string{"000", "001", "099", "101", "600", "999"} {
		for name, body := range map[string]func(*http.Request) string{
			"text":           func(*http.Request) string { return "Content-Length: 5\r\n\r\nwrong" },
			"another answer": func(r *http.Request) string { return "\r\n" + head(r) + "Content-Length: 5\r\n\r\nwrong" },
		} {
			handler := faultyserver.Raw(func(r *http.Request) string {
				return strings.Replace(head(r), "HTTP/1.1 200", "HTTP/1.1 "+status, 1) + body(r)
			})
			fleet.orders.SetHandler(handler)
			fleet.engines[0].SetHandler(handler)
			for _, send := range []func() (string, reply){
				func() (string, reply) { return instance.request(http.MethodPost, "/orders/1", keyBig, "x") },
				func() (string, reply) { return instance.request(http.MethodGet, "/read/1", "", "") },
				func() (string, reply) { return instance.prompt("/long/", keyBig) },
			} {
				if _, got := send(); got.status != http.StatusBadGateway && got.status != http.StatusServiceUnavailable || strings.Contains(got.body, "wrong") {
					t.Errorf("status %s with %s: the caller got %+v", status, name, got)
				}
			}
			fleet.orders.SetHandler(nil)
			fleet.engines[0].SetHandler(nil)
			fleet.await("the upstream is used again", func() bool {
				id, got := instance.request(http.MethodGet, "/read/1", "", "")
				return got.body == standin.PlainBody(id)
			})
		}
	}
}

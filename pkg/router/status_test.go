package router

import (
	"net/http"
	"strings"
	"testing"

	"github.com/fescuestep/fescuestep/internal/faultyserver"
)

// TestStatusThatIsNoneIsNoAnswer guards against an answer of a server in trouble, whose status HTTP does not define, that a caller gets as an answer.
func TestStatusThatIsNoneIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "101", "600", "999"} {
		text := func(r *http.Request) string {
			return sealedHead("HTTP/1.1 "+status+" None")(r) + "Content-Length: 7\r\n\r\npressed"
		}
		in := start(t, map[string][]http.Handler{"atelier": {faultyserver.Raw(text)}, "plume": {faultyserver.Raw(text)}}, nil)
		for name, c := range map[string]call{"order": press("n1", "1"), "read": {http.MethodGet, "/atelier/orders", testKey, "", nil}, "stream": streamCall} {
			resp, body, data := in.do(t, c)
			if resp.StatusCode != http.StatusBadGateway || strings.Contains(data, "pressed") {
				t.Errorf("%s answered with status %s: the caller got status %d, %+v, %q", name, status, resp.StatusCode, body, data)
			}
		}
	}
}

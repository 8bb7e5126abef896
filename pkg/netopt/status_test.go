package netopt

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/fescuestep/fescuestep/internal/faultyserver"
)

// TestStatusThatIsNoneIsNoResponse guards against a response of a server in trouble that counts as one.
func TestStatusThatIsNoneIsNoResponse(t *testing.T) {
	transport := StrictResponses(&http.Transport{})
	defer CloseIdle(transport)
	for status, valid := range map[string]bool{
		"000": false, "001": false, "099": false, "101": false, "200": true, "299": true, "404": true, "599": true, "600": false, "999": false,
	} {
		server := httptest.NewServer(faultyserver.Raw(func(*http.Request) string { return "HTTP/1.1 " + status + " X\r\nContent-Length: 0\r\n\r\n" }))
		resp, err := (&http.Client{Transport: transport}).Get(server.URL)
		if (err == nil) != valid || (!valid && !errors.Is(err, ErrInvalidStatus)) {
			t.Errorf("status %s: error %v", status, err)
		}
		if err == nil {
			_ = resp.Body.Close()
		}
		server.Close()
	}
}

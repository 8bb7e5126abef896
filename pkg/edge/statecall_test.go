package edge

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/fescuestep/fescuestep/internal/faultyserver"
)

// TestPartOfAnAnswerIsNoState guards against a part of the state of another instance that is taken for all of it.
func TestPartOfAnAnswerIsNoState(t *testing.T) {
	head := func(*http.Request) string { return "HTTP/1.1 200 OK\r\n" }
	server := httptest.NewServer(faultyserver.EarlyReset(head, "part", 20*time.Millisecond))
	defer server.Close()
	client := newStateClient(nil, 1<<20)
	for range 10 {
		resp, err := client.Post(server.URL, "", bytes.NewReader(make([]byte, 32<<20)))
		if err != nil {
			continue
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err == nil {
			t.Errorf("%q is taken for the whole answer", body)
		}
	}
}

package peer

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/fescuestep/fescuestep/internal/faultyserver"
)

// TestPartOfAnAnswerIsNoWordOfAPeer guards against a call to another instance that counts as answered by a part of an answer.
func TestPartOfAnAnswerIsNoWordOfAPeer(t *testing.T) {
	head := func(*http.Request) string { return "HTTP/1.1 200 OK\r\n" }
	server := httptest.NewServer(faultyserver.EarlyReset(head, "part", 20*time.Millisecond))
	defer server.Close()
	transport := &http.Transport{}
	client := newHTTPClient(transport, "credential")
	defer client.CloseIdleConnections()
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

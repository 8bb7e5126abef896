package edge

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	rpc "github.com/fescuestep/fescuestep/rpc/edge"
)

// writeUntilClosed answers with bytes that do not end, at most 64 MB, and counts them.
func writeUntilClosed(w http.ResponseWriter, head, piece string, written *atomic.Int64) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = conn.Write([]byte(head))
	for written.Load() < 64<<20 {
		n, err := conn.Write([]byte(strings.Repeat(piece, 1000)))
		written.Add(int64(n))
		if err != nil {
			return
		}
	}
}

// TestEndlessStateIsBounded guards against a faulty instance whose answer to a State call fills the memory of the others, or holds them up.
func TestEndlessStateIsBounded(t *testing.T) {
	const maxBytes, socketBuffers = 1 << 20, 16 << 20
	for name, form := range map[string][2]string{
		"interim responses": {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"head":              {"HTTP/1.1 200 OK\r\n", "X-Noise: n\r\n"},
		"body":              {"HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\n\r\n", "nnnnnnnn"},
		"trailers":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", "X-Noise: n\r\n"},
		"chunk extensions":  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1;noise=nnnnnnnnnnnnnnnnnnnnnnnn\r\nx\r\n"},
		"error text":        {"HTTP/1.1 500 Error\r\n\r\n", "nnnnnnnn"},
	} {
		var written atomic.Int64
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			writeUntilClosed(w, form[0], form[1], &written)
		}))
		began := time.Now()
		_, err := rpc.NewEdgeProtobufClient(server.URL, newStateClient(nil, maxBytes)).State(t.Context(), &rpc.StateRequest{})
		if total := written.Load(); err == nil || total > maxBytes+socketBuffers || time.Since(began) > maxStateCall {
			t.Errorf("%s: error %v after %v and %d bytes", name, err, time.Since(began), total)
		}
		server.CloseClientConnections()
		server.Close()
	}
}

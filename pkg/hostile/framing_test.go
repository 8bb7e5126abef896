package hostile

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestServeRejectsAmbiguousFraming guards against bytes of a body that are taken for a request at any listener of serve.
func TestServeRejectsAmbiguousFraming(t *testing.T) {
	s := startServe(t)
	for _, target := range s.targets() {
		for _, framing := range []string{
			"Content-Length: 100\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
			"Content-Length: 0\r\nContent-Length: 5\r\n\r\n",
			"Transfer-Encoding: chunked\r\n\r\n0 \r\n\r\n",
		} {
			conn, err := net.Dial("tcp4", target.Addr)
			if err != nil {
				t.Fatal(err)
			}
			_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
			_, _ = fmt.Fprint(conn, target.head(target.Method, "ambiguous")+framing+target.head("GET", "smuggled")+"\r\n")
			reader := bufio.NewReader(conn)
			resp, err := http.ReadResponse(reader, nil)
			if err == nil && resp.StatusCode < http.StatusBadRequest {
				t.Errorf("%s %s: status %d for %q", target.Addr, target.Path, resp.StatusCode, framing)
			}
			if err == nil {
				_ = resp.Body.Close()
			}
			if second, err := http.ReadResponse(reader, nil); err == nil {
				t.Errorf("%s %s: a second answer after %q: %d", target.Addr, target.Path, framing, second.StatusCode)
			}
			_ = conn.Close()
		}
	}
}

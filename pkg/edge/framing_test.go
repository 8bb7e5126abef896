package edge_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/fescuestep/fescuestep/platform"
)

// TestBytesOfABodyAreNoRequest guards against a request that runs although its caller, or a proxy before this instance, sent it as the body of another one, at any listener.
func TestBytesOfABodyAreNoRequest(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 1)
	instance := fleet.startInstance("n0")
	smuggled := "POST /orders/ HTTP/1.1\r\nHost: a.example\r\nRequest-Id: smuggled\r\nDeadline-Ms: 5000\r\nAuthorization: Bearer " + keyBig + "\r\nContent-Length: 1\r\n\r\nx"
	o := instance.options
	paths := map[netip.AddrPort]string{o.CallerAddr: "/orders/", o.PeerAddr: "/orders/", o.ReadinessAddr: platform.ReadinessPath, o.ControlAddr: "/twirp/fescuestep.edge.Edge/State"}
	for addr, path := range paths {
		for _, framing := range []string{
			fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 5+len(smuggled)),
			fmt.Sprintf("Content-Length: 0\r\nContent-Length: %d\r\n\r\n", len(smuggled)),
			"Transfer-Encoding: chunked\r\n\r\n0 \r\n\r\n",
		} {
			conn, err := net.Dial("tcp4", addr.String())
			if err != nil {
				t.Fatal(err)
			}
			_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
			_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %s\r\nDeadline-Ms: 5000\r\nAuthorization: Bearer %s\r\n%s%s", path, nextID(), keyBig, framing, smuggled)
			reader := bufio.NewReader(conn)
			resp, err := http.ReadResponse(reader, nil)
			if err == nil && resp.StatusCode < http.StatusBadRequest {
				t.Errorf("%s: status %d for %q", path, resp.StatusCode, framing)
			}
			if second, err := http.ReadResponse(reader, nil); err == nil && second.StatusCode == http.StatusOK {
				t.Errorf("%s: a second answer after %q: %d", path, framing, second.StatusCode)
			}
			_ = conn.Close()
		}
	}
	if n := countRuns(append(fleet.engines, fleet.orders), "smuggled"); n > 0 {
		t.Errorf("the request in the body ran %d times", n)
	}
}

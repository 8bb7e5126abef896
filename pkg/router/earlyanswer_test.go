package router

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/fescuestep/fescuestep/internal/faultyserver"
	"github.com/fescuestep/fescuestep/pkg/engine"
	"github.com/fescuestep/fescuestep/pkg/transport"
)

// sealedHead is the head of a response to a request, without the empty line at its end.
func sealedHead(statusLine string) func(*http.Request) string {
	return func(r *http.Request) string {
		return statusLine + "\r\n" + engine.HeaderRequestID + ": " + r.Header.Get(engine.HeaderRequestID) + "\r\n"
	}
}

// slowUploads makes the client of an instance write large bodies slowly, as over a narrow
// link.
func slowUploads(t *testing.T) func(*Parts, *Options) {
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		if err == nil {
			err = conn.(*net.TCPConn).SetWriteBuffer(4 << 10)
		}
		return conn, err
	}
	return func(p *Parts, _ *Options) {
		client := engine.NewClient(engine.Options{Transport: transport.Options{Dial: dial}})
		t.Cleanup(client.Close)
		p.Client = client
	}
}

// TestPartOfAnAnswerDoesNotLookComplete guards against a caller that gets a part of an answer as all of it, since the server reset the connection while the request was still being written.
func TestPartOfAnAnswerDoesNotLookComplete(t *testing.T) {
	for _, pause := range []time.Duration{time.Millisecond, 20 * time.Millisecond} {
		server := faultyserver.EarlyReset(sealedHead("HTTP/1.1 200 OK"), "pressed", pause)
		in := start(t, map[string][]http.Handler{"atelier": {server}}, slowUploads(t))
		for range 10 {
			resp, _, data := in.do(t, press("n1", strings.Repeat("x", 3<<20)))
			if resp.StatusCode == http.StatusOK {
				t.Errorf("reset after %v: the caller got %q with status 200", pause, data)
			}
		}
	}
}

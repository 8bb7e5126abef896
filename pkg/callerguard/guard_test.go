package callerguard

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// startServer serves a handler behind a guard on a loopback address.
func startServer(t *testing.T, g *Guard, o ListenerOptions, h http.HandlerFunc) string {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(o.HTTP2)
	server := Protect(&http.Server{Handler: h, Protocols: protocols, ReadHeaderTimeout: 3 * time.Second})
	go func() { _ = server.Serve(g.Listen(ln, o)) }()
	t.Cleanup(func() { _ = server.Close() })
	return ln.Addr().String()
}

func dial(t *testing.T, addr, text string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	_, _ = io.WriteString(conn, text)
	return conn, bufio.NewReader(conn)
}

// TestRefusalDoesNotWaitForBody guards against an answer, and a connection, that wait for a body that nobody reads and that does not arrive.
func TestRefusalDoesNotWaitForBody(t *testing.T) {
	g := New(Options{Bytes: 1 << 20, Connections: 16})
	addr := startServer(t, g, ListenerOptions{Name: "l"}, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) })
	for _, framing := range []string{"Content-Length: 100", "Content-Length: 100000", "Transfer-Encoding: chunked"} {
		conn, reader := dial(t, addr, "POST / HTTP/1.1\r\nHost: h\r\n"+framing+"\r\n\r\n")
		resp, err := http.ReadResponse(reader, nil)
		if err != nil || resp.StatusCode != http.StatusNotFound {
			t.Errorf("%s: %v %v", framing, resp, err)
		}
		if _, err := io.Copy(io.Discard, reader); err != nil {
			t.Errorf("%s: the connection stays: %v", framing, err)
		}
		_ = conn.Close()
	}
}

// TestFieldsAreLimitedInNumber guards against refusing a head within the limit of size by default, whatever its fields, and against taking one with more fields than the setting allows.
func TestFieldsAreLimitedInNumber(t *testing.T) {
	const headBytes = 16 << 10
	for _, c := range []struct {
		limit int
		field string
		want  int
	}{
		{DefaultFields(headBytes), "X-Field: ordinary\r\n", 200},
		{DefaultFields(headBytes), "a:\r\n", 200},
		{1024, "X-Field: ordinary\r\n", 200},
		{1024, "a:\r\n", 400},
	} {
		g := New(Options{Bytes: 4 << 20, Connections: 16})
		addr := startServer(t, g, ListenerOptions{Name: "l", Fields: func() int { return c.limit }}, func(http.ResponseWriter, *http.Request) {})
		_, reader := dial(t, addr, "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat(c.field, (headBytes-100)/len(c.field))+"\r\n")
		if resp, err := http.ReadResponse(reader, nil); err != nil || resp.StatusCode != c.want {
			t.Errorf("limit %d, %q: %v %v, want %d", c.limit, c.field, resp, err, c.want)
		}
	}
}

// TestSlowReader guards against a caller that takes nothing and holds its answer, and against ending one that pauses between the events of a stream.
func TestSlowReader(t *testing.T) {
	g := New(Options{Bytes: 1 << 20, Connections: 16, WriteStall: 100 * time.Millisecond})
	failed := make(chan error, 1)
	addr := startServer(t, g, ListenerOptions{Name: "l"}, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/stream" {
			for range 3 {
				_, _ = io.WriteString(w, "event\n")
				_ = http.NewResponseController(w).Flush()
				time.Sleep(300 * time.Millisecond)
			}
			return
		}
		_, err := w.Write(make([]byte, 64<<20))
		failed <- err
	})
	dial(t, addr, "GET /large HTTP/1.1\r\nHost: h\r\n\r\n")
	_, reader := dial(t, addr, "GET /stream HTTP/1.1\r\nHost: h\r\n\r\n")
	if resp, err := http.ReadResponse(reader, nil); err != nil {
		t.Error(err)
	} else if text, err := io.ReadAll(resp.Body); err != nil || string(text) != "event\nevent\nevent\n" {
		t.Errorf("stream: %q %v", text, err)
	}
	if err := <-failed; err == nil {
		t.Error("the answer that nobody reads was written")
	}
}

// TestHTTP2AndFraming guards against a listener that refuses HTTP/2 of other instances, or takes requests with ambiguous framing because a few of their bytes could begin HTTP/2.
func TestHTTP2AndFraming(t *testing.T) {
	g := New(Options{Bytes: 1 << 20, Connections: 16})
	addr := startServer(t, g, ListenerOptions{Name: "l", HTTP2: true}, func(http.ResponseWriter, *http.Request) {})
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	client := &http.Client{Transport: &http.Transport{Protocols: protocols}}
	resp, err := client.Get("http://" + addr)
	if err != nil || resp.ProtoMajor != 2 {
		t.Errorf("HTTP/2: %v %v", resp, err)
	}
	for _, split := range []int{1, 3, 40} {
		text := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
		conn, reader := dial(t, addr, text[:split])
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(conn, text[split:])
		if resp, err := http.ReadResponse(reader, nil); err == nil && resp.StatusCode < http.StatusBadRequest {
			t.Errorf("ambiguous request, split after %d bytes: %d", split, resp.StatusCode)
		}
	}
}

// TestStalledBodiesGiveWay guards against a crowd of bodies without their end that keeps out a request which arrives whole.
func TestStalledBodiesGiveWay(t *testing.T) {
	g := New(Options{Bytes: 1 << 20, Connections: 64})
	addr := startServer(t, g, ListenerOptions{Name: "l"}, func(w http.ResponseWriter, r *http.Request) {
		conn := FromContext(r.Context())
		if !conn.Reserve(r.ContentLength) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		defer conn.Release(r.ContentLength)
		if _, err := io.Copy(io.Discard, r.Body); errors.Is(err, ErrEvicted) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	const body = 100 << 10
	request := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", body, strings.Repeat("b", body))
	for range 30 {
		dial(t, addr, request[:len(request)-1])
	}
	time.Sleep(1200 * time.Millisecond) // the bodies are stalled ones after a second
	_, reader := dial(t, addr, request)
	if resp, err := http.ReadResponse(reader, nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("%v %v", resp, err)
	}
	if held, _ := g.Held(); held > 1<<20 {
		t.Errorf("%d bytes held", held)
	}
}

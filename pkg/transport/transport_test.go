package transport_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/fescuestep/fescuestep/pkg/transport"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// flakyServer answers the first request of a connection and closes the
// connection after reading the second one.
type flakyServer struct {
	listener net.Listener
	requests atomic.Int32
	conns    atomic.Int32
	done     chan struct{}
}

func startFlaky(t *testing.T) *flakyServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &flakyServer{listener: listener, done: make(chan struct{})}
	go s.accept()
	t.Cleanup(func() { _ = listener.Close(); <-s.done })
	return s
}

func (s *flakyServer) accept() {
	defer close(s.done)
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.conns.Add(1)
		s.serve(conn)
	}
}

func (s *flakyServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for i := range 2 {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		s.requests.Add(1)
		_ = req.Body.Close()
		if i == 0 {
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
		}
	}
}

// TestNeverResends guards against net/http sending a request a second time
// after a reused connection fails, which it does for GET requests and for
// requests with an idempotency header.
func TestNeverResends(t *testing.T) {
	cases := map[string]struct{ method, body string }{
		"get": {http.MethodGet, ""}, "delete": {http.MethodDelete, ""},
		"empty post": {http.MethodPost, ""}, "post": {http.MethodPost, "x"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			server := startFlaky(t)
			client := transport.New(transport.Options{})
			defer client.Close()
			for i := range 2 {
				req, _ := http.NewRequest(c.method, "http://"+server.listener.Addr().String(), strings.NewReader(c.body))
				resp, err := client.Do(req)
				if i == 0 {
					if err != nil {
						t.Fatal(err)
					}
					_ = resp.Body.Close()
					continue
				}
				if err == nil || transport.NotSent(err) {
					t.Errorf("got error %v, want one that says the request may have been sent", err)
				}
			}
			if got := server.requests.Load(); got != 2 {
				t.Errorf("server read %d requests, want 2", got)
			}
		})
	}
}

// TestIdempotencyHeaderUsesNewConnection guards against an order meeting a
// connection that the server is about to close, which leaves its outcome open.
func TestIdempotencyHeaderUsesNewConnection(t *testing.T) {
	server := startFlaky(t)
	client := transport.New(transport.Options{})
	defer client.Close()
	for range 3 {
		req, _ := http.NewRequest(http.MethodPost, "http://"+server.listener.Addr().String(), strings.NewReader("x"))
		req.Header.Set("Idempotency-Key", "k")
		resp, err := client.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
	}
	if got := server.conns.Load(); got != 3 {
		t.Errorf("%d connections, want 3", got)
	}
}

// TestNotSent guards against "not run" for a request that was sent, and
// against "may have run" for one that cannot have been.
func TestNotSent(t *testing.T) {
	client := transport.New(transport.Options{})
	defer client.Close()
	refused, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = refused.Close()
	req, _ := http.NewRequest(http.MethodPost, "http://"+refused.Addr().String(), strings.NewReader("x"))
	if _, err := client.Do(req); !transport.NotSent(err) {
		t.Errorf("connection refused: got %v, want not sent", err)
	}

	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		conn, err := silent.Accept()
		if err != nil {
			return
		}
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		cancel()
		_ = conn.Close()
	}()
	req, _ = http.NewRequestWithContext(ctx, http.MethodPost, "http://"+silent.Addr().String(), strings.NewReader("x"))
	if _, err := client.Do(req); err == nil || transport.NotSent(err) {
		t.Errorf("cancelled after sending: got %v, want may have been sent", err)
	}
	<-done
	_ = silent.Close()
}

// TestDialTimeout guards against a blocked dial being reported as sent.
func TestDialTimeout(t *testing.T) {
	client := transport.New(transport.Options{Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}})
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://192.0.2.1", nil)
	if _, err := client.Do(req); !transport.NotSent(err) {
		t.Errorf("got %v, want not sent", err)
	}
}

package edge

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/fescuestep/fescuestep/pkg/chain"
	"github.com/fescuestep/fescuestep/pkg/routing"
	"github.com/fescuestep/fescuestep/platform"
)

// scriptedListener returns the connections that a test passes to it, and one more when
// it is closed: the connection that was accepted at the last moment.
type scriptedListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
	last   net.Conn
}

func newScriptedListener(last net.Conn) *scriptedListener {
	return &scriptedListener{conns: make(chan net.Conn), closed: make(chan struct{}), last: last}
}

func (l *scriptedListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
	}
	if conn := l.last; conn != nil {
		l.last = nil
		time.Sleep(50 * time.Millisecond) // a busy process
		return conn, nil
	}
	return nil, net.ErrClosed
}

func (l *scriptedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *scriptedListener) Addr() net.Addr { return &net.TCPAddr{} }

// newTestListener returns a listener whose handler answers every request.
func newTestListener() *listener {
	handler := func(_ context.Context, r *chain.Request) error {
		r.Outcome.ResponseStarted = true
		_, err := io.WriteString(r.Writer, "answer")
		return err
	}
	return newListener(handler, platform.HeaderCodec{}, newGuard(Options{MemoryBytes: 128 << 20}, hclog.NewNullLogger(), nil), "callers", hclog.NewNullLogger(), time.Now)
}

// exchangeOver sends a request over a connection and returns the status of the
// response, or 0 if the connection ended without one.
func exchangeOver(conn net.Conn) int {
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		return 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	return resp.StatusCode
}

// TestStopAnswersWhatWasAccepted guards against a connection that is accepted while
// the instance stops, and closed without an answer to the request on it.
func TestStopAnswersWhatWasAccepted(t *testing.T) {
	l := newTestListener()
	caller, accepted := net.Pipe()
	callers := newScriptedListener(accepted)
	done := make(chan struct{})
	go func() {
		_ = l.accept(callers)
		close(done)
	}()
	status := make(chan int, 1)
	go func() { status <- exchangeOver(caller) }()
	l.startDrain()
	l.refuseNew()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if err := l.stop(ctx, callers); err != nil {
		t.Error(err)
	}
	if got := <-status; got != http.StatusServiceUnavailable {
		t.Errorf("status %d, want a refusal", got)
	}
	<-done
}

// TestNewLimitsCloseNoConnection guards against a connection that is accepted while
// new limits replace the server, and closed without an answer.
func TestNewLimitsCloseNoConnection(t *testing.T) {
	l := newTestListener()
	callers := newScriptedListener(nil)
	go func() { _ = l.accept(callers) }()
	defer func() { _ = callers.Close() }()
	changed := make(chan struct{})
	go func() {
		defer close(changed)
		limits := routing.DefaultLimits()
		for i := range 300 {
			limits.HeaderBytes = 8<<10 + i
			l.setLimits(limits)
		}
	}()
	for range 300 {
		caller, accepted := net.Pipe()
		callers.conns <- accepted
		if got := exchangeOver(caller); got != http.StatusOK {
			t.Fatalf("status %d, want an answer", got)
		}
		_ = caller.Close()
	}
	<-changed
}

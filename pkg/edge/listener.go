package edge

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/fescuestep/fescuestep/pkg/chain"
	"github.com/fescuestep/fescuestep/pkg/code"
	"github.com/fescuestep/fescuestep/pkg/routing"
)

// RefusalEncoder spells answers that the instance makes itself.
type RefusalEncoder interface {
	EncodeRefusal(h http.Header, requestID string, retryAfter time.Duration)
}

// listener serves callers. The limits of headers and waiting times follow the
// configuration: net/http fixes them per server, so a change starts a new
// server for the connections that come later.
type listener struct {
	handler        chain.Handler
	refusalEncoder RefusalEncoder
	log            hclog.Logger
	now            func() time.Time

	draining atomic.Bool // answers close their connections
	refusing atomic.Bool // new requests are refused
	running  atomic.Int64

	mu      sync.Mutex
	limits  routing.Limits
	current *connListener
	servers []*http.Server
	closed  bool
}

func newListener(handler chain.Handler, refusals RefusalEncoder, log hclog.Logger, now func() time.Time) *listener {
	l := &listener{handler: handler, refusalEncoder: refusals, log: log, now: now}
	l.setLimits(routing.DefaultLimits())
	return l
}

// setLimits applies limits to connections that are accepted from now on.
func (l *listener) setLimits(limits routing.Limits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || (l.current != nil && l.limits == limits) {
		return
	}
	server := &http.Server{
		Handler:           http.HandlerFunc(l.serve),
		ReadHeaderTimeout: limits.HeaderTimeout,
		IdleTimeout:       limits.IdleTimeout,
		MaxHeaderBytes:    limits.HeaderBytes,
		ErrorLog:          l.log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
	next := newConnListener()
	previous := l.current
	l.limits, l.current = limits, next
	l.servers = append(l.servers, server)
	go func() {
		if err := server.Serve(next); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			l.log.Error("callers' server ended", "error", err)
		}
	}()
	if previous != nil {
		_ = previous.Close() // the server goes on serving its connections
	}
}

// accept passes connections to the current server until ln is closed.
func (l *listener) accept(ln net.Listener) error {
	for {
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// Out of descriptors, most likely: others will be closed.
			l.log.Warn("cannot accept a connection", "error", err)
			time.Sleep(socketRetryDelay)
			continue
		}
		l.mu.Lock()
		current := l.current
		l.mu.Unlock()
		if !current.deliver(conn) {
			_ = conn.Close()
		}
	}
}

// shutdownRetryAfter is told to callers of an instance that stops; others take the
// request at once.
const shutdownRetryAfter = 20 * time.Millisecond

// socketRetryDelay is waited after a failed accept.
const socketRetryDelay = 20 * time.Millisecond

// startDrain makes answers close their connections.
func (l *listener) startDrain() { l.draining.Store(true) }

// refuseNew makes further requests get a refusal.
func (l *listener) refuseNew() { l.refusing.Store(true) }

// shutdown closes idle connections and waits for running requests until ctx
// ends, whose error it then returns.
func (l *listener) shutdown(ctx context.Context) error {
	l.mu.Lock()
	l.closed = true
	servers := l.servers
	l.mu.Unlock()
	var failure error
	for _, server := range servers {
		if err := server.Shutdown(ctx); err != nil {
			failure = err
			_ = server.Close()
		}
	}
	return failure
}

func (l *listener) serve(w http.ResponseWriter, req *http.Request) {
	l.running.Add(1)
	defer l.running.Add(-1)
	r := &chain.Request{HTTP: req, Writer: w, ReceivedAt: l.now()}
	if l.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	if l.refusing.Load() {
		l.writeRefusal(r, code.New(code.ShuttingDown, "this instance is shutting down").WithRetryAfter(shutdownRetryAfter))
		return
	}
	err := l.callHandler(req.Context(), r)
	if err == nil {
		return
	}
	if r.Outcome.ResponseStarted {
		panic(http.ErrAbortHandler) // the answer must not look complete
	}
	l.writeRefusal(r, toCodeError(err))
}

// callHandler turns a panic of a filter into an error, so that the caller is answered.
func (l *listener) callHandler(ctx context.Context, r *chain.Request) (err error) {
	defer func() {
		if p := recover(); p != nil {
			l.log.Error("panic", "request", r.ID, "value", p, "stack", string(debug.Stack()))
			err = code.New(code.Internal, "unexpected failure")
		}
	}()
	return l.handler(ctx, r)
}

func toCodeError(err error) *code.Error {
	var e *code.Error
	if errors.As(err, &e) {
		return e
	}
	return code.New(code.Internal, "unexpected failure").WithCause(err)
}

// writeRefusal answers with an error of the instance itself.
func (l *listener) writeRefusal(r *chain.Request, e *code.Error) {
	body := e.JSON(r.ID)
	h := r.Writer.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	l.refusalEncoder.EncodeRefusal(h, r.ID, e.RetryAfter)
	r.Writer.WriteHeader(refusalStatus(e))
	_, _ = r.Writer.Write(body) // the caller may have left
}

// refusalStatus returns the status of an error. Statuses that promise that the
// request has not run are kept for errors that know it.
func refusalStatus(e *code.Error) int {
	status := e.Code.Info().Status
	if e.Run == code.NotRun {
		return status
	}
	switch status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusMisdirectedRequest:
		return http.StatusBadGateway
	}
	return status
}

// connListener is a net.Listener that is fed with accepted connections.
type connListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func newConnListener() *connListener {
	return &connListener{conns: make(chan net.Conn), done: make(chan struct{})}
}

func (h *connListener) deliver(conn net.Conn) bool {
	select {
	case h.conns <- conn:
		return true
	case <-h.done:
		return false
	}
}

// Accept implements net.Listener.
func (h *connListener) Accept() (net.Conn, error) {
	select {
	case conn := <-h.conns:
		return conn, nil
	case <-h.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (h *connListener) Close() error {
	h.once.Do(func() { close(h.done) })
	return nil
}

// Addr implements net.Listener.
func (h *connListener) Addr() net.Addr { return &net.TCPAddr{} }

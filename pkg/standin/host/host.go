// Package host serves a stand-in on a loopback address and switches its
// faults at run time.
package host

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
)

// Loopback is the default listen address of stand-ins.
const Loopback = "127.0.0.1:0"

// Server serves one handler until it is closed.
type Server struct {
	addr     string
	srv      *http.Server
	cancel   context.CancelFunc
	done     chan struct{}
	mu       sync.Mutex
	closed   bool
	handlers sync.WaitGroup
}

// Serve listens on addr; an empty addr means Loopback.
func Serve(addr string, handler http.Handler) (*Server, error) {
	if addr == "" {
		addr = Loopback
	}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "stand-in cannot listen")
	}
	s := &Server{addr: listener.Addr().String(), done: make(chan struct{})}
	base, cancel := context.WithCancel(context.Background())
	base = context.WithValue(base, lifetimeKey{}, base)
	s.cancel = cancel
	s.srv = &http.Server{
		Handler:           s.track(handler),
		ReadHeaderTimeout: 10 * time.Second,
		BaseContext:       func(net.Listener) context.Context { return base },
	}
	go func() {
		defer close(s.done)
		_ = s.srv.Serve(listener)
	}()
	return s, nil
}

// track counts running handlers so that Close can wait for them.
func (s *Server) track(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		if s.closed {
			s.mu.Unlock()
			Drop()
		}
		s.handlers.Add(1)
		s.mu.Unlock()
		defer s.handlers.Done()
		handler.ServeHTTP(w, r)
	})
}

// Addr returns the listen address (IP:port).
func (s *Server) Addr() string { return s.addr }

// Close closes the listener and all connections at once, as a crash would,
// and waits for running handlers, whose contexts have ended.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.cancel()
	_ = s.srv.Close()
	<-s.done
	s.handlers.Wait()
}

type lifetimeKey struct{}

// Lifetime returns the context of the server that handles a request. It
// outlives the request and ends when the server closes.
func Lifetime(ctx context.Context) context.Context {
	if base, ok := ctx.Value(lifetimeKey{}).(context.Context); ok {
		return base
	}
	return ctx
}

// NewEcho returns a router without banner that answers errors as JSON.
func NewEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	return e
}

// Drop closes the connection of a request without an answer.
func Drop() {
	panic(http.ErrAbortHandler)
}

// Faults holds the current faults of a stand-in. T is a struct of settings
// whose zero value means no fault.
type Faults[T any] struct {
	mu      sync.Mutex
	current atomic.Pointer[T]
}

// Get returns the current faults.
func (f *Faults[T]) Get() T {
	if p := f.current.Load(); p != nil {
		return *p
	}
	var zero T
	return zero
}

// Set replaces all faults.
func (f *Faults[T]) Set(faults T) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current.Store(&faults)
}

// Update changes faults atomically.
func (f *Faults[T]) Update(change func(*T)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	faults := f.Get()
	change(&faults)
	f.current.Store(&faults)
}

// Use decrements the count that field selects and reports whether it was
// positive. A negative count means always and is left alone.
func (f *Faults[T]) Use(field func(*T) *int) bool {
	faults := f.Get()
	if *field(&faults) == 0 {
		return false
	}
	used := false
	f.Update(func(t *T) {
		n := field(t)
		used = *n != 0
		if *n > 0 {
			*n--
		}
	})
	return used
}

// MaxFaultBytes bounds the body of POST /faults.
const MaxFaultBytes = 64 << 10

// Merge applies a JSON object to the current faults: fields it does not name
// keep their value. An unknown field is an error and changes nothing.
func (f *Faults[T]) Merge(data []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	faults := f.Get()
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		return errors.Wrap(err, "faults are not valid")
	}
	f.current.Store(&faults)
	return nil
}

// Register adds GET and POST /faults; changed, which may be nil, runs after a
// change.
func (f *Faults[T]) Register(e *echo.Echo, changed func()) {
	e.GET("/faults", func(c echo.Context) error { return c.JSON(http.StatusOK, f.Get()) })
	e.POST("/faults", func(c echo.Context) error {
		data, err := io.ReadAll(io.LimitReader(c.Request().Body, MaxFaultBytes))
		if err != nil {
			return echo.NewHTTPError(http.StatusBadRequest, err.Error())
		}
		if err := f.Merge(data); err != nil {
			return echo.NewHTTPError(http.StatusBadRequest, err.Error())
		}
		if changed != nil {
			changed()
		}
		return c.JSON(http.StatusOK, f.Get())
	})
}

// Sleep waits for d or until ctx ends and returns the error of ctx.
func Sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Scale stretches times; 0 means 1. A scale of 0.1 runs ten times faster.
type Scale float64

// Of returns d in scaled time.
func (s Scale) Of(d time.Duration) time.Duration {
	if s == 0 {
		return d
	}
	return time.Duration(float64(d) * float64(s))
}

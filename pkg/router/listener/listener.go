// Package listener is the HTTP server for callers.
//
// It serves the model API, plain services below /<application>/, /healthz and
// /readyz, and answers every error in one JSON shape with Retry-After where
// useful.
//
// A shutdown interrupts no request. First /readyz fails while requests are
// still served, so that the load balancer stops sending; answers close their
// connections. After the drain delay new requests are refused as not run,
// running requests go on to their end, and idle connections are closed.
package listener

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/labstack/echo/v4"

	"github.com/fescuestep/fescuestep/pkg/callerguard"
	"github.com/fescuestep/fescuestep/pkg/chain"
	"github.com/fescuestep/fescuestep/pkg/code"
	"github.com/fescuestep/fescuestep/pkg/config"
)

// RetryShutdown is the Retry-After of refusals during a shutdown: other
// instances take the request at once.
const RetryShutdown = time.Second

// Options of the listener.
type Options struct {
	DrainDelay    time.Duration // from not ready to no new requests; longer than the load balancer's check interval
	HeaderTimeout time.Duration // for the request line and headers
	IdleTimeout   time.Duration // of connections between requests
	MaxHeader     int           // bytes
	Now           func() time.Time
}

// DefaultOptions suit a load balancer that checks /readyz every second.
func DefaultOptions() Options {
	return Options{
		DrainDelay:    3 * time.Second,
		HeaderTimeout: 5 * time.Second,
		IdleTimeout:   time.Minute,
		MaxHeader:     32 << 10,
		Now:           time.Now,
	}
}

// Listener serves callers.
type Listener struct {
	handler  chain.Handler
	snapshot func() *config.Snapshot
	options  Options
	log      hclog.Logger
	server   *http.Server
	draining atomic.Bool // not ready
	closing  atomic.Bool // no new requests
	running  atomic.Int64
}

// New returns a listener that passes requests to handler.
func New(handler chain.Handler, snapshot func() *config.Snapshot, o Options, log hclog.Logger) *Listener {
	l := &Listener{handler: handler, snapshot: snapshot, options: o, log: log}
	e := echo.New()
	e.HTTPErrorHandler = l.unrouted
	e.GET("/healthz", l.healthz)
	e.GET("/readyz", l.readyz)
	e.Any("/*", l.serve)
	l.server = callerguard.Protect(&http.Server{
		Handler:           e,
		ReadHeaderTimeout: o.HeaderTimeout,
		IdleTimeout:       o.IdleTimeout,
		MaxHeaderBytes:    o.MaxHeader,
		ErrorLog:          log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	})
	return l
}

// Serve accepts connections until Shutdown. It returns nil after a shutdown.
func (l *Listener) Serve(ln net.Listener) error {
	err := l.server.Serve(ln)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// StartDrain makes the listener report not ready; it goes on serving.
func (l *Listener) StartDrain() { l.draining.Store(true) }

// Shutdown drains and stops the listener. It returns the error of ctx if
// requests were still running when ctx ended; their connections are then cut.
func (l *Listener) Shutdown(ctx context.Context) error {
	l.StartDrain()
	timer := time.NewTimer(l.options.DrainDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	l.closing.Store(true)
	err := l.server.Shutdown(ctx)
	if err != nil {
		l.log.Warn("requests cut at shutdown", "running", l.running.Load())
		_ = l.server.Close()
	}
	return err
}

// Running returns the number of requests in progress.
func (l *Listener) Running() int64 { return l.running.Load() }

func (l *Listener) healthz(c echo.Context) error {
	return c.String(http.StatusOK, "ok\n")
}

// readyz does not depend on freshness: an instance that cannot confirm its keys
// still serves open routes, and when all instances lose the table, taking all
// of them out of the load balancer helps nobody.
func (l *Listener) readyz(c echo.Context) error {
	if l.draining.Load() {
		return c.String(http.StatusServiceUnavailable, "shutting down\n")
	}
	if len(l.snapshot().Deployments) == 0 {
		return c.String(http.StatusServiceUnavailable, "no configuration\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

func (l *Listener) serve(c echo.Context) error {
	// Counted before the check, so that Running covers every accepted request.
	l.running.Add(1)
	defer l.running.Add(-1)
	req := c.Request()
	r := &chain.Request{
		HTTP:       req,
		Writer:     c.Response().Writer,
		ReceivedAt: l.options.Now(),
		Snapshot:   l.snapshot(),
	}
	if l.draining.Load() {
		r.Writer.Header().Set("Connection", "close")
	}
	if l.closing.Load() {
		WriteError(r, code.New(code.ShuttingDown, "this instance is shutting down").WithRetryAfter(RetryShutdown))
		return nil
	}
	err := l.call(req.Context(), r)
	if err == nil {
		return nil
	}
	e := asError(err)
	if e.Code == code.Internal {
		l.log.Error("unexpected failure", "request", r.ID, "error", err)
	}
	switch {
	case !r.Outcome.ResponseStarted:
		WriteError(r, e)
	case e.Code == code.Internal:
		// Nobody has told the caller that the answer is not complete.
		panic(http.ErrAbortHandler)
	}
	return nil
}

// call turns a panic of a filter into an error, so that the caller is answered.
func (l *Listener) call(ctx context.Context, r *chain.Request) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = errors.Newf("panic: %v\n%s", p, debug.Stack())
		}
	}()
	return l.handler(ctx, r)
}

// unrouted answers what echo itself refuses, such as unusual methods.
func (l *Listener) unrouted(_ error, c echo.Context) {
	r := &chain.Request{HTTP: c.Request(), Writer: c.Response().Writer}
	WriteError(r, code.New(code.MethodNotAllowed, "%s is not allowed here", c.Request().Method))
}

func asError(err error) *code.Error {
	var e *code.Error
	if errors.As(err, &e) {
		return e
	}
	return code.New(code.Internal, "unexpected failure").WithCause(err)
}

// WriteError answers with an error in the shape that callers know.
func WriteError(r *chain.Request, e *code.Error) {
	body := e.JSON(r.ID)
	h := r.Writer.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if e.RetryAfter > 0 {
		seconds := (e.RetryAfter + time.Second - 1) / time.Second // the header has whole seconds
		h.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	r.Writer.WriteHeader(e.Code.Info().Status)
	_, _ = r.Writer.Write(body) // the caller may have left
}

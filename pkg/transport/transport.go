// Package transport sends HTTP requests exactly once. net/http resends some
// requests when a reused connection fails; a non-idempotent request must not
// be sent again, and the caller must know whether any byte was sent.
package transport

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuestep/fescuestep/pkg/netopt"
)

// Defaults of Options.
const (
	DefaultDialTimeout = time.Second
	DefaultIdleTimeout = 30 * time.Second
	DefaultIdlePerHost = 64
)

// Error is a failure of an attempt. Sent is false only if no byte of the
// request can have reached the server.
type Error struct {
	Sent bool
	Err  error
}

func (e *Error) Error() string {
	if e.Sent {
		return fmt.Sprintf("request may have been sent: %v", e.Err)
	}
	return fmt.Sprintf("request not sent: %v", e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// NotSent reports whether err proves that no byte of the request was sent.
func NotSent(err error) bool {
	var failure *Error
	return errors.As(err, &failure) && !failure.Sent
}

// Broken reports whether err is a failure of the connection rather than an
// answer.
func Broken(err error) bool {
	var failure *Error
	return errors.As(err, &failure)
}

// Options configure a Client. Zero values take the defaults.
type Options struct {
	DialTimeout time.Duration
	IdleTimeout time.Duration // after which an unused connection is closed
	IdlePerHost int           // unused connections kept per host
	// Dial replaces the TCP dialer.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Client makes single attempts. It speaks HTTP/1.1 only, follows no redirects
// and decodes no content. Responses are valid and whole or fail, see
// netopt.StrictResponses.
type Client struct {
	pooled http.RoundTripper
	fresh  http.RoundTripper
}

// New returns a client. Close releases its connections.
func New(o Options) *Client {
	if o.DialTimeout == 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = DefaultIdleTimeout
	}
	if o.IdlePerHost == 0 {
		o.IdlePerHost = DefaultIdlePerHost
	}
	if o.Dial == nil {
		o.Dial = (&net.Dialer{Timeout: o.DialTimeout}).DialContext
	}
	return &Client{pooled: newTransport(o, false), fresh: newTransport(o, true)}
}

func newTransport(o Options, disableKeepAlives bool) http.RoundTripper {
	return netopt.StrictResponses(&http.Transport{
		DialContext:         trackedDial(o.Dial),
		DisableCompression:  true,
		DisableKeepAlives:   disableKeepAlives,
		IdleConnTimeout:     o.IdleTimeout,
		MaxIdleConnsPerHost: o.IdlePerHost,
	})
}

// Close closes idle connections.
func (c *Client) Close() {
	netopt.CloseIdle(c.pooled)
	netopt.CloseIdle(c.fresh)
}

// Do makes one attempt and returns a *Error when there is no response. A
// request with Close set or with an idempotency header uses a new connection:
// on a reused one, a server that closes while idle makes the outcome unknown.
// No write starts after the deadline of the context, even when the process was
// paused between a check by the caller and the write.
func (c *Client) Do(req *http.Request) (*http.Response, error) {
	state := &attempt{}
	state.notAfter, _ = req.Context().Deadline()
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{GotConn: state.gotConn})
	resp, err := c.choose(req).RoundTrip(unreplayable(req.WithContext(ctx)))
	if err != nil {
		return nil, &Error{Sent: state.seal(), Err: err}
	}
	return resp, nil
}

func (c *Client) choose(req *http.Request) http.RoundTripper {
	if req.Close || req.Header.Get("Idempotency-Key") != "" || req.Header.Get("X-Idempotency-Key") != "" {
		return c.fresh
	}
	return c.pooled
}

// unreplayable prevents net/http from sending the request again: it resends
// requests without a body or with GetBody when the method or an idempotency
// header marks them as repeatable.
func unreplayable(req *http.Request) *http.Request {
	req.GetBody = nil
	if req.Body == nil || req.Body == http.NoBody {
		req.Body = emptyBody{}
		req.ContentLength = 0
	}
	return req
}

// emptyBody is an empty body that net/http does not recognise as one.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
func (emptyBody) Close() error             { return nil }

// attempt follows the connection that one request uses.
type attempt struct {
	notAfter time.Time // no write may start later; zero: no bound

	mu    sync.Mutex
	conn  *trackedConn
	start int64 // writes on conn before this request
	sent  bool  // on an earlier connection
}

func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*trackedConn)
	a.mu.Lock()
	defer a.mu.Unlock()
	if !ok {
		a.sent = true // an unknown connection: assume the worst
		return
	}
	a.sent = a.sent || (a.conn != nil && a.conn.writesSince(a.start))
	a.conn = conn
	a.start = conn.begin(a.notAfter)
}

// seal stops further writes of the failed request and reports whether any
// byte of it may have been sent.
func (a *attempt) seal() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn == nil {
		return a.sent
	}
	a.conn.seal()
	return a.conn.writesSince(a.start) || a.sent
}

// trackedConn counts writes and can be sealed. The write loop of net/http may
// still be running when RoundTrip returns, so that a count alone could be read
// too early.
type trackedConn struct {
	net.Conn
	mu       sync.Mutex
	writes   int64
	sealed   bool
	notAfter time.Time
}

var (
	errSealed = errors.New("connection of a failed request")
	errLate   = errors.New("deadline passed before the request was written")
)

func trackedDial(dial func(context.Context, string, string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &trackedConn{Conn: conn}, nil
	}
}

// Write counts before writing: a failed write may have sent a part.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if err := c.refusal(); err != nil {
		c.mu.Unlock()
		return 0, err
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// refusal returns why nothing may be written now. The caller holds mu.
func (c *trackedConn) refusal() error {
	if c.sealed {
		return errSealed
	}
	if !c.notAfter.IsZero() && time.Now().After(c.notAfter) {
		return errLate
	}
	return nil
}

// begin starts a request and returns the number of writes before it.
func (c *trackedConn) begin(notAfter time.Time) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notAfter = notAfter
	return c.writes
}

func (c *trackedConn) seal() {
	c.mu.Lock()
	c.sealed = true
	c.mu.Unlock()
	_ = c.Conn.Close()
}

func (c *trackedConn) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

func (c *trackedConn) writesSince(start int64) bool { return c.count() > start }

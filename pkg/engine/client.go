package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuestep/fescuestep/pkg/transport"
)

// Limits of calls other than completions.
const (
	// MaxEventBytes is the maximum size of one batch of cache events. A
	// snapshot of 65,536 blocks takes about 1.4 MB.
	MaxEventBytes = 16 << 20
	// MaxReportBytes is the maximum size of a load report or command result.
	// Client does not enforce it: it applies MaxEventBytes to every response.
	MaxReportBytes = 1 << 20
	// DefaultCallTimeout is the default of Options.CallTimeout.
	DefaultCallTimeout = time.Second
)

// SendError is returned when no complete response arrived. Its field Sent is
// false only if no byte of the request can have reached the upstream.
type SendError = transport.Error

// NotSent reports whether err proves that no byte of the request was sent.
func NotSent(err error) bool { return transport.NotSent(err) }

// StatusError is returned for a response with an unexpected HTTP status.
type StatusError struct {
	Status int
	Body   string // first 200 bytes of the body
}

func (e *StatusError) Error() string {
	return "upstream answered with status " + strconv.Itoa(e.Status) + ": " + e.Body
}

// Options configures a Client. Zero fields select the defaults.
type Options struct {
	Transport   transport.Options
	CallTimeout time.Duration // limit on calls other than completions and KV transfers
}

// Client sends requests to upstreams. It never retries a request.
type Client struct {
	http    *transport.Client
	timeout time.Duration
}

// NewClient returns a client. Call Close to release its idle connections.
func NewClient(o Options) *Client {
	if o.CallTimeout == 0 {
		o.CallTimeout = DefaultCallTimeout
	}
	return &Client{http: transport.New(o.Transport), timeout: o.CallTimeout}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.Close() }

// Do makes one attempt to send req to the upstream at addr (IP:port), keeping
// path, query, headers and body. It returns a *SendError when no response
// arrived. The body of the response ends with an error when ctx ends or when
// the upstream closes the connection early. A request with req.Close set or with
// an Idempotency-Key header uses a new connection, so that an idle connection
// closed by the upstream does not make its outcome unknown.
func (c *Client) Do(ctx context.Context, addr string, req *http.Request) (*http.Response, error) {
	out := req.Clone(ctx)
	out.URL.Scheme = "http"
	out.URL.Host = addr
	out.Host = addr
	out.RequestURI = ""
	return c.http.Do(out)
}

// Events reads the cache events after a position. The zero Position requests a
// snapshot.
func (c *Client) Events(ctx context.Context, addr string, after Position) (EventBatch, error) {
	query := url.Values{}
	if after.Incarnation != "" {
		query.Set("incarnation", after.Incarnation)
		query.Set("after", strconv.FormatUint(after.Seq, 10))
	}
	return call(ctx, c, request{addr: addr, method: http.MethodGet, path: "/events?" + query.Encode()}, DecodeEvents)
}

// Load reads the load report of an engine.
func (c *Client) Load(ctx context.Context, addr string) (LoadReport, error) {
	return call(ctx, c, request{addr: addr, method: http.MethodGet, path: "/load"}, DecodeLoad)
}

// Control sends a command. A command with a stale fencing token returns a result
// with Stale set and no error. If NotSent is false for the error, it is unknown
// whether the upstream accepted the command.
func (c *Client) Control(ctx context.Context, addr string, cmd Command) (CommandResult, error) {
	req := request{addr: addr, method: http.MethodPost, path: "/control", body: cmd, acceptedStatus: http.StatusConflict}
	req.header = http.Header{HeaderFencingToken: {strconv.FormatUint(cmd.FencingToken, 10)}}
	return call(ctx, c, req, DecodeResult)
}

// State reads the weights, adapters and role that an engine currently serves.
func (c *Client) State(ctx context.Context, addr string) (CommandResult, error) {
	return call(ctx, c, request{addr: addr, method: http.MethodGet, path: "/control"}, DecodeResult)
}

// KVExport requests that an engine write cached blocks to the KV store. The
// result lists the blocks written. Only ctx bounds the duration of the call.
func (c *Client) KVExport(ctx context.Context, addr string, kv KVTransfer) (KVTransfer, error) {
	return call(ctx, c, request{addr: addr, method: http.MethodPost, path: "/kv/export", body: kv, noCallTimeout: true}, DecodeTransfer)
}

// KVImport requests that an engine read blocks from the KV store into its cache.
// The result lists the blocks that the engine now holds. Only ctx bounds the
// duration of the call.
func (c *Client) KVImport(ctx context.Context, addr string, kv KVTransfer) (KVTransfer, error) {
	return call(ctx, c, request{addr: addr, method: http.MethodPost, path: "/kv/import", body: kv, noCallTimeout: true}, DecodeTransfer)
}

// request describes one call other than a completion.
type request struct {
	addr, method, path string
	header             http.Header
	body               any
	acceptedStatus     int  // status other than 200 whose body is decoded
	noCallTimeout      bool // only the caller's context bounds the call
}

// call makes one attempt and decodes the response body.
func call[T any](ctx context.Context, c *Client, r request, decode func([]byte) (T, error)) (T, error) {
	var zero T
	if !r.noCallTimeout {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.timeout)
		defer cancel()
	}
	data, err := c.exchange(ctx, r)
	if err != nil {
		return zero, err
	}
	return decode(data)
}

func (c *Client) exchange(ctx context.Context, r request) ([]byte, error) {
	req, err := r.build(ctx)
	if err != nil {
		return nil, &SendError{Err: err}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := readLimited(resp.Body, MaxEventBytes)
	if err != nil {
		return nil, &SendError{Sent: true, Err: err}
	}
	if resp.StatusCode != http.StatusOK && resp.StatusCode != r.acceptedStatus {
		return nil, &StatusError{Status: resp.StatusCode, Body: string(data[:min(len(data), 200)])}
	}
	return data, nil
}

func (r request) build(ctx context.Context) (*http.Request, error) {
	body, err := r.encode()
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+r.addr+r.path, body)
	if err != nil {
		return nil, err
	}
	for name, values := range r.header {
		req.Header[name] = values
	}
	if r.body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	return req, nil
}

func (r request) encode() (io.Reader, error) {
	if r.body == nil {
		return nil, nil
	}
	data, err := json.Marshal(r.body)
	if err != nil {
		return nil, err
	}
	return bytes.NewReader(data), nil
}

// readLimited reads a whole body and returns an error if it exceeds limit bytes.
func readLimited(body io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, errors.Newf("response body exceeds %d bytes", limit)
	}
	return data, nil
}

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

// Limits on answers other than completions.
const (
	// MaxEventBytes bounds one batch of cache events; a snapshot of 65,536
	// blocks takes about 1.4 MB.
	MaxEventBytes = 16 << 20
	// MaxReportBytes bounds load reports and command results.
	MaxReportBytes = 1 << 20
	// DefaultCallTimeout bounds one call other than a completion.
	DefaultCallTimeout = time.Second
)

// SendError is the error of Client.Do when no response arrived. Its field Sent
// is false only if no byte of the request can have reached the upstream.
type SendError = transport.Error

// NotSent reports whether err proves that no byte of the request was sent.
func NotSent(err error) bool { return transport.NotSent(err) }

// StatusError is an answer with an unexpected status.
type StatusError struct {
	Status int
	Body   string // the start of the body
}

func (e *StatusError) Error() string {
	return "upstream answered with status " + strconv.Itoa(e.Status) + ": " + e.Body
}

// Options configure a Client. Zero values take the defaults.
type Options struct {
	Transport   transport.Options
	CallTimeout time.Duration // of calls other than completions
}

// Client speaks to upstreams. It never sends a request twice.
type Client struct {
	http    *transport.Client
	timeout time.Duration
}

// NewClient returns a client. Close releases its connections.
func NewClient(o Options) *Client {
	if o.CallTimeout == 0 {
		o.CallTimeout = DefaultCallTimeout
	}
	return &Client{http: transport.New(o.Transport), timeout: o.CallTimeout}
}

// Close releases idle connections.
func (c *Client) Close() { c.http.Close() }

// Do makes one attempt to send req to the upstream at addr (IP:port), keeping
// path, query, headers and body. It returns a *SendError when no response
// arrived. The body of the response ends with an error when ctx ends or when
// the upstream breaks off. A request with req.Close set or with an
// Idempotency-Key header uses a new connection, so that an idle connection
// closed by the upstream does not make its outcome unknown.
func (c *Client) Do(ctx context.Context, addr string, req *http.Request) (*http.Response, error) {
	out := req.Clone(ctx)
	out.URL.Scheme = "http"
	out.URL.Host = addr
	out.Host = addr
	out.RequestURI = ""
	return c.http.Do(out)
}

// Events reads the cache events after a position. The zero position asks for
// a snapshot.
func (c *Client) Events(ctx context.Context, addr string, after Position) (EventBatch, error) {
	query := url.Values{}
	if after.Incarnation != "" {
		query.Set("incarnation", after.Incarnation)
		query.Set("after", strconv.FormatUint(after.Seq, 10))
	}
	return call(ctx, c, request{addr: addr, method: http.MethodGet, path: "/events?" + query.Encode()}, DecodeEvents)
}

// Load reads the load report.
func (c *Client) Load(ctx context.Context, addr string) (LoadReport, error) {
	return call(ctx, c, request{addr: addr, method: http.MethodGet, path: "/load"}, DecodeLoad)
}

// Control sends a command. A command with a stale fencing token gives a result
// with Stale set and no error. An error that is not NotSent leaves open
// whether the upstream took the command.
func (c *Client) Control(ctx context.Context, addr string, cmd Command) (CommandResult, error) {
	req := request{addr: addr, method: http.MethodPost, path: "/control", body: cmd, alsoOK: http.StatusConflict}
	req.header = http.Header{HeaderFencingToken: {strconv.FormatUint(cmd.FencingToken, 10)}}
	return call(ctx, c, req, DecodeResult)
}

// State reads back what an upstream currently serves.
func (c *Client) State(ctx context.Context, addr string) (CommandResult, error) {
	return call(ctx, c, request{addr: addr, method: http.MethodGet, path: "/control"}, DecodeResult)
}

// KVExport asks an engine to write cached blocks to the KV store. The result
// lists the blocks written.
func (c *Client) KVExport(ctx context.Context, addr string, kv KVTransfer) (KVTransfer, error) {
	return call(ctx, c, request{addr: addr, method: http.MethodPost, path: "/kv/export", body: kv, patient: true}, DecodeTransfer)
}

// KVImport asks an engine to read blocks from the KV store into its cache. The
// result lists the blocks that the engine now holds.
func (c *Client) KVImport(ctx context.Context, addr string, kv KVTransfer) (KVTransfer, error) {
	return call(ctx, c, request{addr: addr, method: http.MethodPost, path: "/kv/import", body: kv, patient: true}, DecodeTransfer)
}

// request is one call with a JSON body.
type request struct {
	addr, method, path string
	header             http.Header
	body               any
	alsoOK             int  // status besides 200 whose body is decoded
	patient            bool // bounded by the caller's context only
}

// call makes one attempt and decodes the answer.
func call[T any](ctx context.Context, c *Client, r request, decode func([]byte) (T, error)) (T, error) {
	var zero T
	if !r.patient {
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
	data, err := readBounded(resp.Body, MaxEventBytes)
	if err != nil {
		return nil, &SendError{Sent: true, Err: err}
	}
	if resp.StatusCode != http.StatusOK && resp.StatusCode != r.alsoOK {
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

// readBounded reads a body whole; a body above limit bytes is an error.
func readBounded(body io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, errors.Newf("answer exceeds %d bytes", limit)
	}
	return data, nil
}

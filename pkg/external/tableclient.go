package external

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

	"github.com/fescuestep/fescuestep/pkg/transport"
	rpc "github.com/fescuestep/fescuestep/rpc/platform"
)

// DefaultTimeout bounds one call of a platform service, connection included.
const DefaultTimeout = 2 * time.Second

// MaxAnswerBytes bounds an answer of a platform service in memory.
const MaxAnswerBytes = 64 << 20

// errAnswerTooLarge is returned for answers above MaxAnswerBytes.
var errAnswerTooLarge = errors.New("answer exceeds the size limit")

// intermediaryMeta marks Twirp errors that the service itself did not send.
const intermediaryMeta = "http_error_from_intermediary"

// TableClient is a Table over Twirp. It makes one attempt per commit and at
// most two per read.
type TableClient struct {
	rpc     rpc.Table
	http    *transport.Client
	timeout time.Duration
}

var _ Table = (*TableClient)(nil)

// NewTableClient returns a client of the table service at addr (IP:port). A
// timeout of 0 means DefaultTimeout.
func NewTableClient(addr string, timeout time.Duration) *TableClient {
	client := transport.New(transport.Options{})
	return &TableClient{
		rpc:     rpc.NewTableProtobufClient(baseURL(addr), boundedClient{client}),
		http:    client,
		timeout: timeoutOrDefault(timeout),
	}
}

func timeoutOrDefault(timeout time.Duration) time.Duration {
	if timeout == 0 {
		return DefaultTimeout
	}
	return timeout
}

// Close releases idle connections.
func (c *TableClient) Close() { c.http.Close() }

// Get implements Table. It fails with ErrUnavailable.
func (c *TableClient) Get(ctx context.Context, keys ...string) ([]Row, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, err := read(ctx, c.rpc.Get, &rpc.GetRequest{Keys: keys})
	if err != nil {
		return nil, classify(ErrUnavailable, err)
	}
	if len(resp.Rows) != len(keys) {
		return nil, classify(ErrUnavailable, errors.Newf("table returned %d rows for %d keys", len(resp.Rows), len(keys)))
	}
	return fromRows(resp.Rows), nil
}

// Scan implements Table. It fails with ErrUnavailable.
func (c *TableClient) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, err := read(ctx, c.rpc.Scan, &rpc.ScanRequest{Prefix: prefix, After: after, Limit: uint32(max(0, limit))})
	if err != nil {
		return nil, classify(ErrUnavailable, err)
	}
	return fromRows(resp.Rows), nil
}

// read calls a read once more when its connection broke: the service may close
// a kept connection at the moment of its reuse, and a read has no effect that
// a second one could repeat. Errors that the service answers are final.
func read[Q, A any](ctx context.Context, call func(context.Context, *Q) (*A, error), req *Q) (*A, error) {
	resp, err := call(ctx, req)
	if transport.Broken(err) && ctx.Err() == nil {
		return call(ctx, req)
	}
	return resp, err
}

// Commit implements Table. It fails with ErrUnavailable or ErrConflict when
// nothing was written and with ErrOutcomeUnknown in all other cases.
func (c *TableClient) Commit(ctx context.Context, txn Txn) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, err := c.rpc.Commit(ctx, toCommit(txn))
	if err != nil {
		return 0, classify(commitError(err), err)
	}
	return resp.Version, nil
}

// commitError returns the typed error for a failed commit.
func commitError(err error) error {
	if transport.NotSent(err) {
		return ErrUnavailable
	}
	var failure twirp.Error
	if !errors.As(err, &failure) || failure.Meta(intermediaryMeta) != "" {
		return ErrOutcomeUnknown
	}
	switch failure.Code() {
	case twirp.Aborted:
		return ErrConflict
	case twirp.Unavailable, twirp.ResourceExhausted, twirp.InvalidArgument, twirp.Malformed, twirp.BadRoute:
		return ErrUnavailable
	}
	return ErrOutcomeUnknown
}

// classify returns an error that is both kind and cause.
func classify(kind, cause error) error { return fmt.Errorf("%w: %w", kind, cause) }

func toCommit(txn Txn) *rpc.CommitRequest {
	req := &rpc.CommitRequest{Token: txn.Token}
	for _, c := range txn.Conditions {
		req.Conditions = append(req.Conditions, &rpc.Condition{Key: c.Key, Version: c.Version})
	}
	for _, w := range txn.Writes {
		req.Writes = append(req.Writes, &rpc.Write{Key: w.Key, Value: w.Value, Delete: w.Delete})
	}
	return req
}

func fromRows(rows []*rpc.Row) []Row {
	out := make([]Row, 0, len(rows))
	for _, r := range rows {
		out = append(out, Row{Key: r.GetKey(), Value: r.GetValue(), Version: r.GetVersion(), Token: r.GetToken()})
	}
	return out
}

// boundedClient limits the size of answers, which Twirp reads whole.
type boundedClient struct{ client *transport.Client }

// Do implements rpc.HTTPClient.
func (b boundedClient) Do(req *http.Request) (*http.Response, error) {
	resp, err := b.client.Do(req)
	if err != nil {
		return nil, err
	}
	resp.Body = &boundedBody{ReadCloser: resp.Body, left: MaxAnswerBytes}
	return resp, nil
}

// boundedBody fails after left bytes instead of ending early, so that a cut
// answer is not taken for a whole one.
type boundedBody struct {
	io.ReadCloser
	left int64
}

func (b *boundedBody) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, errAnswerTooLarge
	}
	n, err := b.ReadCloser.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	return n, err
}

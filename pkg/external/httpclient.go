package external

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuestep/fescuestep/pkg/transport"
)

// httpService is what the HTTP clients have in common.
type httpService struct {
	base    string
	http    *transport.Client
	timeout time.Duration
}

func newHTTPService(addr string, timeout time.Duration) httpService {
	return httpService{
		base:    baseURL(addr),
		http:    transport.New(transport.Options{}),
		timeout: timeoutOrDefault(timeout),
	}
}

// baseURL returns the base URL of a service given as URL or as IP:port.
func baseURL(addr string) string {
	if strings.Contains(addr, "://") {
		return strings.TrimSuffix(addr, "/")
	}
	return "http://" + addr
}

// Close releases idle connections.
func (s httpService) Close() { s.http.Close() }

// call makes one attempt and passes an answer with status 200 to read.
func (s httpService) call(ctx context.Context, method, path string, body []byte, read func(io.Reader) error) error {
	req, err := http.NewRequestWithContext(ctx, method, s.base+path, bytes.NewReader(body))
	if err != nil {
		return classify(ErrUnavailable, err)
	}
	resp, err := boundedClient{s.http}.Do(req)
	if err != nil {
		return classify(sendError(err), err)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := statusError(resp.StatusCode); err != nil {
		return err
	}
	if read == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	} else {
		err = read(resp.Body)
	}
	if err != nil {
		return classify(ErrOutcomeUnknown, err)
	}
	return nil
}

func sendError(err error) error {
	if transport.NotSent(err) {
		return ErrUnavailable
	}
	return ErrOutcomeUnknown
}

// statusError maps a status. 503 and 429 promise that nothing was executed;
// so do the 4xx codes. Other codes promise nothing.
func statusError(status int) error {
	cause := errors.Newf("status %d", status)
	switch {
	case status >= 200 && status < 300:
		return nil
	case status == http.StatusNotFound:
		return classify(ErrNotFound, cause)
	case status == http.StatusServiceUnavailable:
		return classify(ErrUnavailable, cause)
	case status >= 400 && status < 500:
		return classify(ErrUnavailable, cause)
	}
	return classify(ErrOutcomeUnknown, cause)
}

// readCall is a call that changes nothing: its failures are ErrUnavailable or
// ErrNotFound.
func (s httpService) readCall(ctx context.Context, path string, read func(io.Reader) error) error {
	err := s.call(ctx, http.MethodGet, path, nil, read)
	if errors.Is(err, ErrOutcomeUnknown) {
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	return err
}

// ObjectClient is an ObjectStore over HTTP. It makes one attempt per call.
type ObjectClient struct{ httpService }

var _ ObjectStore = (*ObjectClient)(nil)

// NewObjectClient returns a client of the object store at addr (IP:port). A
// timeout of 0 means DefaultTimeout.
func NewObjectClient(addr string, timeout time.Duration) *ObjectClient {
	return &ObjectClient{newHTTPService(addr, timeout)}
}

func objectPath(key string) string { return "/objects/" + url.PathEscape(key) }

// Put implements ObjectStore. It fails with ErrUnavailable when nothing was
// written and with ErrOutcomeUnknown otherwise.
func (c *ObjectClient) Put(ctx context.Context, key string, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return c.call(ctx, http.MethodPut, objectPath(key), value, nil)
}

// Get implements ObjectStore. It fails with ErrNotFound or ErrUnavailable.
func (c *ObjectClient) Get(ctx context.Context, key string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var value []byte
	err := c.readCall(ctx, objectPath(key), func(body io.Reader) (err error) {
		value, err = io.ReadAll(body)
		return err
	})
	return value, err
}

// Delete implements ObjectStore. Deleting a missing object succeeds.
func (c *ObjectClient) Delete(ctx context.Context, key string) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	err := c.call(ctx, http.MethodDelete, objectPath(key), nil, nil)
	if errors.Is(err, ErrNotFound) {
		return nil
	}
	return err
}

// WeightClient is a WeightStore over HTTP. It makes one attempt per call.
type WeightClient struct{ httpService }

var _ WeightStore = (*WeightClient)(nil)

// NewWeightClient returns a client of the weight store at addr (IP:port). The
// timeout bounds Versions only; a transfer is bounded by its context.
func NewWeightClient(addr string, timeout time.Duration) *WeightClient {
	return &WeightClient{newHTTPService(addr, timeout)}
}

// Versions implements WeightStore. It fails with ErrUnavailable.
func (c *WeightClient) Versions(ctx context.Context) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var versions []string
	err := c.readCall(ctx, "/weights", func(body io.Reader) error {
		return json.NewDecoder(body).Decode(&versions)
	})
	if err != nil {
		return nil, err
	}
	return versions, nil
}

// Fetch implements WeightStore. It fails with ErrNotFound or ErrUnavailable.
func (c *WeightClient) Fetch(ctx context.Context, version string, dst io.Writer) (int64, error) {
	var n int64
	err := c.readCall(ctx, "/weights/"+url.PathEscape(version), func(body io.Reader) (err error) {
		n, err = io.Copy(dst, body)
		return err
	})
	return n, err
}

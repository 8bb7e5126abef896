package external

import (
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// ListClient is an InstanceList over HTTP. It makes one attempt per call. It
// names the version that it has, so that an unchanged list is not sent again:
// 2,800 entries take about 260 KB, and an instance may spend 25 KB/s.
type ListClient struct {
	httpService

	mu   sync.Mutex
	tag  string // entity tag of last, empty if there is none
	last []Instance
}

var _ InstanceList = (*ListClient)(nil)

// NewListClient returns a client of the instance list at addr (IP:port). A
// timeout of 0 means DefaultTimeout.
func NewListClient(addr string, timeout time.Duration) *ListClient {
	return &ListClient{httpService: newHTTPService(addr, timeout)}
}

// List implements InstanceList. It fails with ErrUnavailable.
func (c *ListClient) List(ctx context.Context) ([]Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	tag, last := c.cached()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/instances", nil)
	if err != nil {
		return nil, classify(ErrUnavailable, err)
	}
	if tag != "" {
		req.Header.Set("If-None-Match", tag)
	}
	resp, err := boundedClient{c.http}.Do(req)
	if err != nil {
		return nil, classify(ErrUnavailable, err)
	}
	defer func() { _ = resp.Body.Close() }()
	switch {
	case resp.StatusCode == http.StatusNotModified && tag != "":
		return slices.Clone(last), nil
	case resp.StatusCode != http.StatusOK:
		return nil, classify(ErrUnavailable, errors.Newf("status %d", resp.StatusCode))
	}
	return c.read(resp)
}

func (c *ListClient) cached() (string, []Instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tag, c.last
}

// read decodes a list and keeps it for the next call.
func (c *ListClient) read(resp *http.Response) ([]Instance, error) {
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, classify(ErrUnavailable, err)
	}
	instances, err := DecodeInstances(data)
	if err != nil {
		return nil, classify(ErrUnavailable, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tag, c.last = resp.Header.Get("ETag"), slices.Clone(instances)
	return instances, nil
}

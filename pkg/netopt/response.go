package netopt

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// MaxControlHeadBytes bounds the head of a response to a control call in bytes.
const MaxControlHeadBytes = 64 << 10

// ErrResponseTooLarge is returned by reads of a response body that is larger than
// the limit of its transport.
var ErrResponseTooLarge = errors.New("response is larger than allowed")

// LimitResponses returns a transport whose response bodies fail with
// ErrResponseTooLarge after limit bytes, for clients that read bodies whole.
func LimitResponses(next http.RoundTripper, limit int64) http.RoundTripper {
	return limitedTransport{next, limit}
}

type limitedTransport struct {
	next  http.RoundTripper
	limit int64
}

// RoundTrip sends a request and limits the body of its response.
func (t limitedTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.next.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	resp.Body = &limitedBody{resp.Body, t.limit}
	return resp, nil
}

type limitedBody struct {
	io.ReadCloser
	remaining int64
}

// Read returns ErrResponseTooLarge once more than the limit was sent.
func (b *limitedBody) Read(p []byte) (int, error) {
	if b.remaining < 0 {
		return 0, ErrResponseTooLarge
	}
	n, err := b.ReadCloser.Read(p[:min(int64(len(p)), b.remaining+1)])
	b.remaining -= int64(n)
	if b.remaining < 0 {
		return n - 1, ErrResponseTooLarge
	}
	return n, err
}

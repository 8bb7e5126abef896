package netopt

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrEndsEarly is returned by reads of a response body that ended with its connection while
// the request was still being written.
var ErrEndsEarly = errors.Wrap(io.ErrUnexpectedEOF, "response ended before its request was written")

// writeWait is how long the end of a body waits for word that the request was written. The
// goroutine of net/http that writes it may be a little behind the one that reads.
const writeWait = time.Second

// WholeResponses returns a transport whose response bodies fail with ErrEndsEarly if only
// the end of the connection tells that they are whole, and the request was not written to
// its end: a server that resets such a connection has not sent the whole response, and
// net/http may report the reset to the writer of the request only.
func WholeResponses(next http.RoundTripper) http.RoundTripper { return wholeTransport{next} }

type wholeTransport struct{ next http.RoundTripper }

// RoundTrip sends a request and watches the end of its response.
func (t wholeTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	written := newWrittenRequest()
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn:      func(httptrace.GotConnInfo) { written.begin() },
		WroteRequest: func(info httptrace.WroteRequestInfo) { written.end(info.Err) },
	})
	resp, err := t.next.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if endsWithConnection(resp) {
		resp.Body = &unframedBody{resp.Body, ctx, written}
	}
	return resp, nil
}

// CloseIdleConnections closes the idle connections of the transport that is wrapped.
func (t wholeTransport) CloseIdleConnections() { CloseIdle(t.next) }

// CloseIdle closes the idle connections of a transport, if it can.
func CloseIdle(transport http.RoundTripper) {
	if closer, ok := transport.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}

// endsWithConnection reports whether a response has neither a length nor chunks.
func endsWithConnection(resp *http.Response) bool {
	return resp.ProtoMajor == 1 && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// writtenRequest tells whether a request was written to its end on its last connection.
type writtenRequest struct {
	mu    sync.Mutex
	ended chan struct{} // closed when writing has ended
	err   error
}

func newWrittenRequest() *writtenRequest { return &writtenRequest{ended: make(chan struct{})} }

func (w *writtenRequest) begin() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended, w.err = make(chan struct{}), nil
}

func (w *writtenRequest) end(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case <-w.ended:
	default:
		w.err = err
		close(w.ended)
	}
}

// wholly reports whether the request was written, waiting at most writeWait.
func (w *writtenRequest) wholly(ctx context.Context) bool {
	w.mu.Lock()
	ended := w.ended
	w.mu.Unlock()
	timer := time.NewTimer(writeWait)
	defer timer.Stop()
	select {
	case <-ended:
	case <-ctx.Done():
		return false
	case <-timer.C:
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err == nil
}

// unframedBody is a body that ends with its connection.
type unframedBody struct {
	io.ReadCloser
	ctx     context.Context
	written *writtenRequest
}

// Read returns ErrEndsEarly instead of io.EOF if the request was not written to its end.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && !b.written.wholly(b.ctx) {
		err = ErrEndsEarly
	}
	return n, err
}

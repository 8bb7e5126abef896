package edge

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	rpc "github.com/fescuestep/fescuestep/rpc/edge"
)

// StateDirection says which way state went between this instance and another one.
type StateDirection string

// The directions of state.
const (
	StateReceived StateDirection = "received"
	StateSent     StateDirection = "sent"
)

// received counts the bytes of the body of one response.
type received struct{ bytes atomic.Int64 }

type receivedKey struct{}

// countReceived returns a context whose request counts the bytes of its response.
func countReceived(ctx context.Context) (context.Context, *received) {
	r := &received{}
	return context.WithValue(ctx, receivedKey{}, r), r
}

// countingTransport counts the bytes of responses to requests of countReceived.
type countingTransport struct{ next http.RoundTripper }

// RoundTrip sends a request.
func (t countingTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.next.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if r, ok := req.Context().Value(receivedKey{}).(*received); ok {
		resp.Body = &countingBody{resp.Body, r}
	}
	return resp, nil
}

type countingBody struct {
	io.ReadCloser
	received *received
}

// Read reads and counts bytes of the body.
func (b *countingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.received.bytes.Add(int64(n))
	return n, err
}

// sentState is what a response to a State call contains.
type sentState struct{ tables []*rpc.Table }

type sentStateKey struct{}

// noteSent records the content of the response to the call of ctx.
func noteSent(ctx context.Context, resp *rpc.StateResponse) {
	if s, ok := ctx.Value(sentStateKey{}).(*sentState); ok {
		s.tables = resp.Tables
	}
}

// countingWriter counts the bytes of the body of a response.
type countingWriter struct {
	http.ResponseWriter
	bytes int64
}

// Write writes and counts bytes of the body.
func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.ResponseWriter.Write(p)
	w.bytes += int64(n)
	return n, err
}

// meterState returns a handler of State calls that logs and counts the copies of tables
// that were sent.
func meterState(next http.Handler, m ServiceMetrics, log hclog.Logger, now func() time.Time) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		sent, writer, began := &sentState{}, &countingWriter{ResponseWriter: w}, now()
		next.ServeHTTP(writer, r.WithContext(context.WithValue(r.Context(), sentStateKey{}, sent)))
		m.StateTransferred(string(StateSent), writer.bytes)
		for _, t := range sent.tables {
			log.Info("state sent to an instance", "to", r.RemoteAddr, "table", t.Name, "version", t.Version, "whole", t.Whole,
				"rows", len(t.Rows), "bytes", writer.bytes, "ms", now().Sub(began).Milliseconds())
		}
	})
}

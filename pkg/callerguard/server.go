package callerguard

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"time"
)

type connKey struct{}

// discardTime is how long a server waits for the rest of a body that its handler did not
// read, so that it can answer or use the connection again.
const discardTime = 500 * time.Millisecond

// maxDiscard is the length in bytes of a body that is worth reading to its end for the
// sake of the connection.
const maxDiscard = 16 << 10

// Protect makes a server report to the guards of its connections and keeps its handler
// from waiting for bodies that it does not read.
func Protect(server *http.Server) *http.Server {
	connContext, connState := server.ConnContext, server.ConnState
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, conn)
		}
		return context.WithValue(ctx, connKey{}, unwrap(conn))
	}
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if c := unwrap(conn); c != nil {
			switch state {
			case http.StateActive:
				c.started()
			case http.StateIdle:
				c.finished()
			}
		}
		if connState != nil {
			connState(conn, state)
		}
	}
	server.Handler = protectHandler(server.Handler)
	return server
}

func unwrap(conn net.Conn) *Conn {
	if t, ok := conn.(*tls.Conn); ok {
		conn = t.NetConn()
	}
	c, _ := conn.(*Conn)
	return c
}

// FromContext returns the connection of a request, or nil.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

func protectHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 || r.ProtoMajor != 1 {
			next.ServeHTTP(w, r)
			return
		}
		body := &bodyWatch{r.Body, false}
		request := new(http.Request) // the server looks at the body of its own
		*request = *r
		request.Body = body
		watched := &refusalWriter{ResponseWriter: w, body: body, length: r.ContentLength}
		// The server reads the rest of the body after the handler. Without deadline
		// support (tests with a recorder) there is no such server.
		defer func() {
			if !body.ended {
				_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(discardTime))
			}
		}()
		next.ServeHTTP(watched, request)
	})
}

// bodyWatch knows whether a body was read to its end or failed.
type bodyWatch struct {
	body  io.ReadCloser
	ended bool
}

func (b *bodyWatch) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if err != nil {
		b.ended = true
	}
	return n, err
}

func (b *bodyWatch) Close() error { return b.body.Close() }

// refusalWriter closes the connection after an answer that is given before the body was
// read, if much of the body may remain.
type refusalWriter struct {
	http.ResponseWriter
	body   *bodyWatch
	length int64 // -1: not stated
	wrote  bool
}

func (w *refusalWriter) WriteHeader(status int) {
	if !w.wrote && status >= http.StatusOK {
		w.wrote = true
		if !w.body.ended && (w.length < 0 || w.length > maxDiscard) {
			w.Header().Set("Connection", "close")
		}
	}
	w.ResponseWriter.WriteHeader(status)
}

func (w *refusalWriter) Write(p []byte) (int, error) {
	if !w.wrote {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p)
}

// Unwrap is used by http.ResponseController.
func (w *refusalWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Flush is used by handlers that don't know http.ResponseController.
func (w *refusalWriter) Flush() { _ = http.NewResponseController(w.ResponseWriter).Flush() }

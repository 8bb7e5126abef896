// Package httpconn is an HTTP/1.1 client for single exchanges. It never sends a
// request twice and tells whether any byte of a request was sent, which
// net/http does not. A connection carries one request at a time and needs no
// goroutine.
package httpconn

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// readBufferSize bytes hold most answer heads and events.
const readBufferSize = 2 << 10

// maxSkippedResponses bounds answers to other requests that are skipped.
const maxSkippedResponses = 2

// maxSkippedBodyBytes bounds the body of a skipped answer in bytes.
const maxSkippedBodyBytes = 1 << 20

// ErrResponseMismatch is returned when an answer belongs to another request.
var ErrResponseMismatch = errors.New("answer belongs to another request")

// Conn is a connection to an upstream.
type Conn struct {
	net    net.Conn
	reader *bufio.Reader
	reused bool

	idleSince time.Time
	idleLimit time.Duration // after which the upstream may close the connection
}

// Reused reports whether the connection carried a request before.
func (c *Conn) Reused() bool { return c.reused }

// Close closes the connection.
func (c *Conn) Close() { _ = c.net.Close() }

// Request is one request to send.
type Request struct {
	Method string
	Target string // path and query as the caller sent them
	Host   string
	Header http.Header
	Body   []byte
}

// bodyAllowed reports whether a body length must be stated.
func (r *Request) needsContentLength() bool {
	return len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead && r.Method != http.MethodDelete)
}

func (r *Request) head() []byte {
	var b bytes.Buffer
	b.Grow(1 << 10)
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	// Writing to a buffer cannot fail.
	_ = r.Header.Write(&b)
	if r.needsContentLength() {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// Send writes the request. sent is false only if no byte of it can reach the
// upstream.
func (c *Conn) Send(ctx context.Context, r *Request) (sent bool, err error) {
	if err := ctx.Err(); err != nil {
		return false, err
	}
	stop := context.AfterFunc(ctx, c.Close)
	defer stop()
	parts := net.Buffers{r.head()}
	if len(r.Body) > 0 {
		parts = append(parts, r.Body)
	}
	n, err := parts.WriteTo(c.net)
	return n > 0, err
}

// Receive reads the head of the answer to a request of the given method.
// Answers that carry another identifier, as reported by belongs, are skipped.
// The returned stop must be called when the body has been read; until then the
// connection is closed when ctx ends.
func (c *Conn) Receive(ctx context.Context, method string, belongs func(*http.Response) bool) (resp *http.Response, stop func() bool, err error) {
	stop = context.AfterFunc(ctx, c.Close)
	req := &http.Request{Method: method}
	for skipped := 0; ; {
		resp, err = http.ReadResponse(c.reader, req)
		if err != nil {
			stop()
			return nil, nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue // interim answers say nothing about the outcome
		}
		if belongs(resp) {
			return resp, stop, nil
		}
		skipped++
		if skipped > maxSkippedResponses || resp.ContentLength < 0 || !c.reused {
			stop()
			return nil, nil, ErrResponseMismatch
		}
		if _, err := io.CopyN(io.Discard, resp.Body, min(resp.ContentLength, maxSkippedBodyBytes)); err != nil && resp.ContentLength > 0 {
			stop()
			return nil, nil, errors.Wrap(err, "cannot skip an answer to another request")
		}
	}
}

// reusable reports whether the connection is open and has nothing to read. Bytes
// that arrive before a request is sent belong to no request.
func (c *Conn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.net.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

// Package httpconn is an HTTP/1.1 client for single exchanges. It never retries
// a request and reports whether any byte of it was sent, which net/http does
// not. A connection carries one request at a time and needs no goroutine.
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

	"github.com/fescuestep/fescuestep/pkg/netopt"
)

// readBufferSize is in bytes; most response heads and stream events fit.
const readBufferSize = 2 << 10

// maxHeadBytes bounds the head of a response in bytes, together with the interim
// responses before it. An upstream in trouble may send a head that never ends.
const maxHeadBytes = 64 << 10

// maxHeadLines bounds the lines of the same. A decoded field takes many times the bytes of a
// short line.
const maxHeadLines = 256

// maxSkippedResponses is the number of late copies that Receive skips before it
// gives up on the connection.
const maxSkippedResponses = 2

// maxSkippedBodyBytes is the size in bytes up to which the body of a late copy is
// skipped. The connection is given up for a larger one.
const maxSkippedBodyBytes = 1 << 20

var (
	// ErrResponseMismatch is returned when a response belongs to another request.
	ErrResponseMismatch = errors.New("response belongs to another request")
	// ErrHeadTooLarge is returned when a response does not begin within
	// maxHeadBytes and maxHeadLines.
	ErrHeadTooLarge = errors.New("head of the response is too large")
)

// Conn is a connection to an upstream.
type Conn struct {
	net      net.Conn
	head     *headLimiter // what reader reads from
	reader   *bufio.Reader
	reused   bool
	answered answeredRequests

	idleSince time.Time
	idleLimit time.Duration // idle time after which the upstream may close the connection
}

func newConn(conn net.Conn) *Conn {
	head := &headLimiter{source: conn}
	return &Conn{net: conn, head: head, reader: bufio.NewReaderSize(head, readBufferSize)}
}

// headLimiter bounds the bytes and lines that are read while a head is expected.
type headLimiter struct {
	source    io.Reader
	limited   bool
	remaining int // bytes that may still be read if limited
	lines     int // that may still be read if limited
}

// limit allows the bytes and lines of a head until unlimit is called.
func (l *headLimiter) limit() { l.limited, l.remaining, l.lines = true, maxHeadBytes, maxHeadLines }

// exceeded reports whether the limit is used up.
func (l *headLimiter) exceeded() bool { return l.remaining <= 0 || l.lines < 0 }

func (l *headLimiter) unlimit() { l.limited = false }

// Read returns ErrHeadTooLarge when the limit is used up.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.limited {
		return l.source.Read(p)
	}
	if l.exceeded() {
		return 0, ErrHeadTooLarge
	}
	n, err := l.source.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	l.lines -= headLines(p[:n])
	return n, err
}

// headLines returns the number of lines that end in what was read of a head. Those after an
// empty line are of the body, or of the response that follows an interim one.
func headLines(p []byte) int {
	for _, empty := range []string{"\r\n\r\n", "\n\n"} {
		if end := bytes.Index(p, []byte(empty)); end >= 0 {
			p = p[:end]
		}
	}
	return bytes.Count(p, []byte("\n"))
}

// Reused reports whether the connection carried a request before.
func (c *Conn) Reused() bool { return c.reused }

// Close closes the connection. A Send or Receive in progress fails.
func (c *Conn) Close() { _ = c.net.Close() }

// Request is a request to send. Send adds the header Content-Length.
type Request struct {
	Method string
	Target string // request target: path and query as the caller sent them
	Host   string
	Header http.Header
	Body   []byte
}

// needsContentLength reports whether the head must have a Content-Length. GET,
// HEAD and DELETE requests without a body have none.
func (r *Request) needsContentLength() bool {
	return len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead && r.Method != http.MethodDelete)
}

// head encodes the request line and the header fields.
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

// Send writes the request; the connection is closed if ctx ends meanwhile. sent
// is false only if no byte of the request can reach the upstream.
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

// Receive reads the head of the response to the request with the given ID and
// method. idOf returns the ID of the request that a response belongs to. A few small
// late copies of responses that were received on the connection before are skipped.
// Receive fails with ErrResponseMismatch on any other response that does not belong
// to the request, with ErrHeadTooLarge if no head ends within its limits, and with
// netopt.ErrInvalidStatus if no response may have its status. The
// returned stop must be called when the body has been read; until then the connection
// is closed when ctx ends. stop returns false if ctx has ended.
func (c *Conn) Receive(ctx context.Context, method, id string, idOf func(*http.Response) string) (resp *http.Response, stop func() bool, err error) {
	stop = context.AfterFunc(ctx, c.Close)
	for range maxSkippedResponses + 1 {
		resp, err = c.readHead(method)
		if err != nil {
			break
		}
		received := idOf(resp)
		if received == id {
			c.answered.add(id)
			return resp, stop, nil
		}
		if err = c.skipLateCopy(resp, received); err != nil {
			break
		}
	}
	stop()
	if err == nil {
		err = ErrResponseMismatch
	}
	return nil, nil, err
}

// readHead reads the head of the next response that is not interim (1xx).
func (c *Conn) readHead(method string) (*http.Response, error) {
	c.head.limit()
	defer c.head.unlimit()
	for {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		switch {
		case err != nil && c.head.exceeded():
			return nil, ErrHeadTooLarge
		case err != nil:
			return nil, shortened(err)
		}
		if err := netopt.CheckStatus(resp.StatusCode); err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

// maxErrorBytes bounds the text of an error that quotes what an upstream sent.
const maxErrorBytes = 200

func shortened(err error) error {
	if text := err.Error(); len(text) > maxErrorBytes {
		return errors.Newf("%q...", text[:maxErrorBytes])
	}
	return err
}

// skipLateCopy reads the body of a second copy of the response to the request with
// the given ID. It fails if there was no such request, or if the next response cannot
// be told from the rest of that body.
func (c *Conn) skipLateCopy(resp *http.Response, id string) error {
	if !c.answered.contains(id) || resp.ContentLength < 0 || resp.ContentLength > maxSkippedBodyBytes {
		return ErrResponseMismatch
	}
	_, err := io.Copy(io.Discard, resp.Body)
	return errors.Wrap(err, "cannot skip a late copy of a response")
}

// reusable reports whether the connection is open and has no unread data. Data
// that arrives before a request is sent belongs to no request.
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
	empty := false
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = err == syscall.EAGAIN
		return true
	})
	return err == nil && empty
}

//go:build review2

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// lastID makes the IDs of client attempts unique.
var lastID atomic.Uint64

func newID() string { return fmt.Sprintf("%016x", 0x9c41d07b00000000+lastID.Add(1)) }

// request is one client attempt.
type request struct {
	id       string
	method   string
	target   string
	key      string
	deadline time.Duration
	header   map[string]string
	body     string
}

// answer is what a client got for an attempt.
type answer struct {
	status     int
	seal       string
	retryAfter time.Duration
	body       string
	events     []int         // IDs of the events of a stream
	err        error         // the connection ended before the whole answer
	reused     bool          // the connection had carried a request before
	received   bool          // at least one byte of the answer came
	took       time.Duration // until the end
}

// conn is a connection of a client to an instance.
type conn struct {
	net    net.Conn
	reader *bufio.Reader
	used   bool
}

func dial(addr string) (*conn, error) {
	c, err := net.DialTimeout("tcp4", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &conn{net: c, reader: bufio.NewReader(c)}, nil
}

func (c *conn) close() { _ = c.net.Close() }

// do sends a request and reads its answer. onEvent, if not nil, is called for each event.
func (c *conn) do(q *request, onEvent func(n int)) (a answer) {
	began := time.Now()
	a.reused, c.used = c.used, true
	defer func() { a.took = time.Since(began) }()
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", q.method, q.target, host, q.id, q.deadline.Milliseconds())
	if q.key != "" {
		fmt.Fprintf(&head, "Authorization: Bearer %s\r\n", q.key)
	}
	for name, value := range q.header {
		fmt.Fprintf(&head, "%s: %s\r\n", name, value)
	}
	if q.body != "" || q.method == http.MethodPost {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(q.body))
	}
	head.WriteString("\r\n" + q.body)
	_ = c.net.SetDeadline(began.Add(q.deadline + 2*time.Second))
	if _, a.err = io.WriteString(c.net, head.String()); a.err != nil {
		return a
	}
	if _, a.err = c.reader.Peek(1); a.err != nil {
		return a
	}
	a.received = true
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
	if err != nil {
		a.err = err
		return a
	}
	a.status, a.seal = resp.StatusCode, resp.Header.Get("Server-Seal")
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	if resp.Header.Get("Content-Type") == "text/event-stream" {
		a.readEvents(resp.Body, onEvent)
		return a
	}
	raw, err := io.ReadAll(resp.Body)
	a.body, a.err = string(raw), err
	return a
}

func (a *answer) readEvents(body io.Reader, onEvent func(n int)) {
	lines := bufio.NewReader(body)
	for {
		line, err := lines.ReadString('\n')
		if n, ok := strings.CutPrefix(line, "id: "); ok && err == nil {
			id, _ := strconv.Atoi(strings.TrimSpace(n)) // the servers write numbers
			a.events = append(a.events, id)
			if onEvent != nil {
				onEvent(id)
			}
		}
		if err != nil {
			if err != io.EOF {
				a.err = err
			}
			return
		}
	}
}

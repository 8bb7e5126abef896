package callerguard

import (
	"bytes"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuestep/fescuestep/pkg/callerbudget"
	"github.com/fescuestep/fescuestep/pkg/framing"
)

// http2Preface begins HTTP/2 connections (RFC 9113, section 3.4).
const http2Preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"

// Conn is a connection from a caller. net/http answers 400 after a read that fails with
// framing.ErrAmbiguous or ErrTooManyFields, and closes it.
type Conn struct {
	net.Conn
	guard   *Guard
	options ListenerOptions
	holder  *callerbudget.Holder

	evicted atomic.Bool
	closing atomic.Bool  // CloseWrite was called
	closed  atomic.Bool  // Close was called
	writeBy atomic.Int64 // deadline of the server in Unix nanoseconds; 0: none

	// The fields below are used by Read, which is not called concurrently, under guard.mu.
	scanner  framing.Scanner
	preface  []byte // first bytes of a connection that may be HTTP/2
	opaque   bool
	readErr  error
	headHeld int64 // charged for the current head
	served   int   // requests that the server has finished
	inBody   bool
}

// Read reads up to the first request that is refused.
func (c *Conn) Read(p []byte) (int, error) {
	if c.readErr != nil {
		return 0, c.readErr
	}
	n, err := c.Conn.Read(p)
	if c.evicted.Load() {
		return 0, ErrEvicted
	}
	if n == 0 {
		return n, err
	}
	valid, refused := c.received(p[:n])
	if refused == nil {
		return n, err
	}
	c.readErr = refused
	if valid == 0 {
		return 0, refused
	}
	return valid, nil
}

// received checks and counts received bytes. It returns how many may be passed on.
func (c *Conn) received(p []byte) (valid int, refused error) {
	g := c.guard
	now := g.options.Now()
	g.mu.Lock()
	before := c.scanner.Progress()
	valid = len(p)
	if !c.isOpaque(p) {
		valid, refused = c.scanner.Scan(p)
	}
	after := c.scanner.Progress()
	nextBegun := c.holder.Phase() == callerbudget.Receiving && after.Complete != before.Complete && after.Partial
	if nextBegun || c.holder.Phase() == callerbudget.Idle && !c.opaque { // the server tells the phases of opaque ones
		g.budget.Enter(now, c.holder, callerbudget.Receiving)
	}
	if after.Complete > c.served && c.holder.Phase() == callerbudget.Receiving {
		g.budget.Enter(now, c.holder, callerbudget.Running)
	}
	c.inBody = after.InBody
	g.budget.Progress(now, c.holder, len(p))
	evicted, ok := c.chargeHead(now, after)
	victims := g.take(evicted)
	g.mu.Unlock()
	g.end(victims)
	switch {
	case refused != nil:
		g.record(Framing, 1)
	case c.options.Fields != nil && after.Fields > c.options.Fields():
		g.record(Fields, 1)
		return 0, ErrTooManyFields
	case !ok:
		g.record(Refused, 1)
		return 0, ErrEvicted
	}
	return valid, refused
}

// isOpaque reports whether the connection's bytes are not checked. The caller holds mu.
func (c *Conn) isOpaque(p []byte) bool {
	if c.options.Opaque {
		c.opaque = true
	}
	if c.opaque || !c.options.HTTP2 || len(c.preface) >= len(http2Preface) {
		return c.opaque
	}
	// The scanner would take the preface for a request with an unknown version. Bytes that
	// may be its beginning reach the server, which reads requests only after them.
	prefaceHeld := len(c.preface) // were passed on unchecked
	c.preface = append(c.preface, p[:min(len(p), len(http2Preface)-len(c.preface))]...)
	if !bytes.HasPrefix([]byte(http2Preface), c.preface) {
		held := c.preface[:min(len(c.preface), prefaceHeld)]
		c.preface = make([]byte, len(http2Preface))
		_, _ = c.scanner.Scan(held) // these bytes are checked with the next ones
		return false
	}
	c.opaque = len(c.preface) == len(http2Preface)
	return true
}

// chargeHead charges the head so far. The caller holds mu.
func (c *Conn) chargeHead(now time.Time, p framing.Progress) (evicted []*callerbudget.Holder, ok bool) {
	cost := callerbudget.HeadBytes(p.HeadBytes, p.Fields)
	if cost <= c.headHeld {
		return nil, true // the head of a complete request is held until it has been served
	}
	evicted, ok = c.guard.budget.Charge(now, c.holder, cost-c.headHeld)
	if ok {
		c.headHeld = cost
	}
	return evicted, ok
}

// Reserve charges n bytes to the connection. It reports whether they could be had.
func (c *Conn) Reserve(n int64) bool {
	g := c.guard
	g.mu.Lock()
	evicted, ok := g.budget.Charge(g.options.Now(), c.holder, n)
	victims := g.take(evicted)
	g.mu.Unlock()
	g.end(victims)
	return ok
}

// Release gives back bytes that were reserved.
func (c *Conn) Release(n int64) {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.guard.budget.Release(c.holder, n)
}

// Identify records that a request on the connection had the valid key of a customer.
func (c *Conn) Identify(customer string) {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.guard.budget.Identify(c.holder, customer)
}

// started records that the server serves a request. Requests on connections that are not
// checked count as complete, since nothing else is known about them.
func (c *Conn) started() {
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.opaque {
		g.budget.Enter(g.options.Now(), c.holder, callerbudget.Running)
	}
}

// finished records that the server has served a request and waits for the next one.
func (c *Conn) finished() {
	g := c.guard
	now := g.options.Now()
	c.writeBy.Store(0)
	g.mu.Lock()
	defer g.mu.Unlock()
	c.served++
	g.budget.Release(c.holder, c.headHeld)
	c.headHeld = 0
	switch p := c.scanner.Progress(); {
	case p.Complete > c.served:
		g.budget.Enter(now, c.holder, callerbudget.Running)
	case p.Partial:
		g.budget.Enter(now, c.holder, callerbudget.Receiving)
	default:
		g.budget.Enter(now, c.holder, callerbudget.Idle)
	}
}

// Write writes all of p unless the caller takes nothing for WriteStall.
func (c *Conn) Write(p []byte) (int, error) {
	phase := c.enterWriting()
	defer c.leaveWriting(phase)
	written := 0
	for {
		now := time.Now()
		stalledBy := now.Add(c.guard.options.WriteStall)
		limit := stalledBy
		if by := c.writeBy.Load(); by != 0 && time.Unix(0, by).Before(limit) {
			limit = time.Unix(0, by)
		}
		_ = c.Conn.SetWriteDeadline(limit)
		n, err := c.Conn.Write(p[written:])
		written += n
		c.wrote(n)
		stalled := limit.Equal(stalledBy) && errors.Is(err, os.ErrDeadlineExceeded)
		if !stalled || c.evicted.Load() {
			return written, err
		}
		if n == 0 {
			c.guard.record(SlowReader, 1)
			return written, err
		}
	}
}

func (c *Conn) enterWriting() callerbudget.Phase {
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	phase := c.holder.Phase()
	if phase == callerbudget.Running {
		g.budget.Enter(g.options.Now(), c.holder, callerbudget.Writing)
	}
	return phase
}

func (c *Conn) leaveWriting(phase callerbudget.Phase) {
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if phase == callerbudget.Running {
		g.budget.Enter(g.options.Now(), c.holder, phase)
	}
}

func (c *Conn) wrote(n int) {
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.Progress(g.options.Now(), c.holder, n)
}

// SetWriteDeadline sets the deadline of the server, which applies besides WriteStall.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	by := int64(0)
	if !t.IsZero() {
		by = t.UnixNano()
	}
	c.writeBy.Store(by)
	return c.Conn.SetWriteDeadline(t)
}

// SetReadDeadline has no effect once the connection is evicted.
func (c *Conn) SetReadDeadline(t time.Time) error {
	err := c.Conn.SetReadDeadline(t)
	if c.evicted.Load() {
		return c.Conn.SetReadDeadline(past)
	}
	return err
}

// SetDeadline sets both deadlines.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

var past = time.Unix(1, 0)

// evict ends the connection. A handler that reads a body gets an error and may still
// answer.
func (c *Conn) evict() {
	c.evicted.Store(true)
	c.guard.mu.Lock()
	answerable := c.inBody && c.holder.Phase() == callerbudget.Receiving && !c.closing.Load()
	c.guard.mu.Unlock()
	if answerable {
		_ = c.Conn.SetReadDeadline(past)
		return
	}
	c.forget() // the descriptor is free at once; the server notices at its next read or write
	_ = c.Conn.Close()
}

// CloseWrite ends the answer; net/http then waits a moment so that the caller reads it.
func (c *Conn) CloseWrite() error {
	c.closing.Store(true)
	g := c.guard
	g.mu.Lock()
	g.budget.Enter(g.options.Now(), c.holder, callerbudget.Closing)
	g.mu.Unlock()
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close closes the connection and gives back what it holds.
func (c *Conn) Close() error {
	c.forget()
	return c.Conn.Close()
}

func (c *Conn) forget() {
	if c.closed.Swap(true) {
		return
	}
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.Close(c.holder)
	delete(g.conns, c.holder)
}

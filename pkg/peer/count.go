package peer

import (
	"net"
	"sync/atomic"
)

// Counter counts bytes on the wire, including HTTP/2 frames and headers.
type Counter struct {
	read, written atomic.Int64
}

// Wrap returns a connection that adds its traffic to c. It can be passed to
// NewClient.
func (c *Counter) Wrap(conn net.Conn) net.Conn { return &countedConn{conn, c} }

// Bytes returns the number of bytes received and sent so far.
func (c *Counter) Bytes() (received, sent int64) { return c.read.Load(), c.written.Load() }

type countedConn struct {
	net.Conn
	counter *Counter
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.read.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counter.written.Add(int64(n))
	return n, err
}

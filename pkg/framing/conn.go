package framing

import "net"

// Conn is a connection on which reading fails with ErrAmbiguous at the first request with
// ambiguous framing. net/http answers 400 and closes it.
type Conn struct {
	net.Conn
	scanner Scanner
	err     error
}

// NewConn returns a connection that checks what is read from conn.
func NewConn(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// Read reads up to an ambiguous request.
func (c *Conn) Read(p []byte) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	n, err := c.Conn.Read(p)
	valid, ambiguous := c.scanner.Scan(p[:n])
	if ambiguous == nil {
		return n, err
	}
	c.err = ambiguous
	if valid == 0 {
		return 0, ambiguous
	}
	return valid, nil
}

// Listener checks the requests on all connections that it accepts.
type Listener struct{ net.Listener }

// Accept accepts a connection.
func (l Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return NewConn(conn), nil
}

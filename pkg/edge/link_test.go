package edge_test

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/fescuestep/fescuestep/pkg/edge"
	"github.com/fescuestep/fescuestep/pkg/netopt"
)

// linkMode is how the link between an instance and all upstreams behaves.
type linkMode int

const (
	linkUp        linkMode = iota
	linkHangs              // connections and attempts to open one hang
	linkResets             // connections are reset, new ones refused
	linkRefuses            // connections live on, new ones are refused
	linkModeCount = iota
)

func (m linkMode) String() string {
	return [linkModeCount]string{"up", "hangs", "resets", "refuses new connections"}[m]
}

// link is the link between one instance and all upstreams.
type link struct {
	mu      sync.Mutex
	mode    linkMode
	changed chan struct{} // closed when mode changes
	conns   map[*linkConn]bool
}

func newLink() *link { return &link{changed: make(chan struct{}), conns: map[*linkConn]bool{}} }

func (l *link) set(m linkMode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = m
	close(l.changed)
	l.changed = make(chan struct{})
	if m != linkResets {
		return
	}
	for conn := range l.conns {
		_ = conn.Conn.Close()
	}
}

func (l *link) current() (linkMode, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mode, l.changed
}

func (l *link) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	switch mode, _ := l.current(); mode {
	case linkHangs:
		<-ctx.Done()
		return nil, ctx.Err()
	case linkResets, linkRefuses:
		return nil, syscall.ECONNREFUSED
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	wrapped := &linkConn{Conn: conn, link: l, closed: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[wrapped] = true
	return wrapped, nil
}

// linkConn is a connection over a link.
type linkConn struct {
	net.Conn
	link   *link
	once   sync.Once
	closed chan struct{}
}

// Read holds what has arrived while the link hangs. After netopt.UserTimeout the kernel
// would close the connection.
func (c *linkConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for {
		mode, changed := c.link.current()
		if mode != linkHangs {
			return n, err
		}
		select {
		case <-changed:
		case <-c.closed:
			return 0, net.ErrClosed
		case <-time.After(netopt.UserTimeout):
			return 0, syscall.ETIMEDOUT
		}
	}
}

// Write loses what is written while the link hangs.
func (c *linkConn) Write(p []byte) (int, error) {
	if mode, _ := c.link.current(); mode == linkHangs {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection.
func (c *linkConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.link.mu.Lock()
	delete(c.link.conns, c)
	c.link.mu.Unlock()
	return c.Conn.Close()
}

// digestConn is a socket for digests that loses all of them while a link hangs.
type digestConn struct {
	*net.UDPConn
	link *link
}

func (l *link) listenDigests(addr netip.AddrPort) (edge.DigestConn, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	return digestConn{conn, l}, err
}

func (c digestConn) ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error) {
	for {
		n, from, err := c.UDPConn.ReadFromUDPAddrPort(b)
		if mode, _ := c.link.current(); mode != linkHangs || err != nil {
			return n, from, err
		}
	}
}

func (c digestConn) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	if mode, _ := c.link.current(); mode == linkHangs {
		return len(b), nil
	}
	return c.UDPConn.WriteToUDPAddrPort(b, to)
}

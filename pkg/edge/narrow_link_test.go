package edge_test

import (
	"context"
	"net"
	"sync"

	"golang.org/x/time/rate"
)

const (
	// narrowMbps is the rate of a narrow link in Mbit/s, and narrowRate in bytes per second.
	narrowMbps = 10.0 / slowness
	narrowRate = 1_250_000 / slowness
	// narrowPiece is the size in bytes of the pieces that pass a narrow link.
	narrowPiece = 8 << 10
	// narrowBurst is how many bytes a link makes up for when its timers fire late.
	narrowBurst = 64 << 10
)

// narrowLink is the link of one instance, which all its connections share.
type narrowLink struct{ up, down *rate.Limiter }

func newNarrowLink() *narrowLink {
	return &narrowLink{rate.NewLimiter(narrowRate, narrowBurst), rate.NewLimiter(narrowRate, narrowBurst)}
}

// narrowNetwork holds the links of instances by their control addresses. What they read
// from the store passes their own link only.
type narrowNetwork struct {
	mu    sync.Mutex
	links map[string]*narrowLink
}

func newNarrowNetwork() *narrowNetwork { return &narrowNetwork{links: map[string]*narrowLink{}} }

// add gives the instance with a control address a link, and returns what it dials with.
func (n *narrowNetwork) add(controlAddr string) func(ctx context.Context, network, addr string) (net.Conn, error) {
	own := newNarrowLink()
	n.mu.Lock()
	n.links[controlAddr] = own
	n.mu.Unlock()
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		if err := conn.(*net.TCPConn).SetReadBuffer(2 * narrowPiece); err != nil {
			return nil, err
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		return &narrowConn{conn, own, n.links[addr]}, nil
	}
}

// narrowConn is a connection whose responses pass the link of the instance that sends them,
// if it has one, and that of the one that receives them.
type narrowConn struct {
	net.Conn
	receiver, sender *narrowLink
}

// Read returns bytes when both links have passed them.
func (c *narrowConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p[:min(len(p), narrowPiece)])
	if n > 0 && c.sender != nil {
		_ = c.sender.up.WaitN(context.Background(), n)
	}
	if n > 0 {
		_ = c.receiver.down.WaitN(context.Background(), n)
	}
	return n, err
}

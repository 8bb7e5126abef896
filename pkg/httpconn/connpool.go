package httpconn

import (
	"context"
	"net"
	"sync"
	"time"
)

const (
	// defaultIdleLimit applies when an upstream does not state how long it
	// keeps a connection.
	defaultIdleLimit = 4 * time.Second
	// idleMargin is subtracted from the idle timeout that an upstream states, so
	// that it does not close a connection while a request is on its way.
	idleMargin = 500 * time.Millisecond
	// sweepInterval is the interval at which Run closes expired connections.
	sweepInterval = time.Second
)

// DialFunc opens a network connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// ConnPool keeps idle connections for reuse, by address. It is safe for
// concurrent use.
type ConnPool struct {
	dial           DialFunc
	now            func() time.Time
	maxIdlePerAddr int

	mu   sync.Mutex
	idle map[string][]*Conn // most recently used last
}

// NewConnPool returns an empty pool that keeps at most maxIdlePerAddr idle
// connections per address. Run must be called to close expired ones.
func NewConnPool(dial DialFunc, maxIdlePerAddr int, now func() time.Time) *ConnPool {
	return &ConnPool{dial: dial, now: now, maxIdlePerAddr: maxIdlePerAddr, idle: map[string][]*Conn{}}
}

// Get returns a connection that has been idle for at most maxIdle, or dials a
// new one. Callers pass a maxIdle of 0 to get a new one.
func (p *ConnPool) Get(ctx context.Context, addr string, maxIdle time.Duration) (*Conn, error) {
	for {
		c := p.takeIdle(addr, maxIdle)
		if c == nil {
			break
		}
		if c.reusable() {
			c.reused = true
			return c, nil
		}
		c.Close()
	}
	conn, err := p.dial(ctx, "tcp4", addr)
	if err != nil {
		return nil, err
	}
	return newConn(conn), nil
}

func (p *ConnPool) takeIdle(addr string, maxIdle time.Duration) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	last := list[len(list)-1]
	if p.now().Sub(last.idleSince) > min(maxIdle, last.idleLimit) {
		return nil // the others have been idle for longer
	}
	p.idle[addr] = list[:len(list)-1]
	return last
}

// Put returns a connection whose last response was read to its end. It closes
// the connection if it cannot be reused or the pool is full for the address.
// keepAlive is the idle timeout that the upstream stated, or 0.
func (p *ConnPool) Put(addr string, c *Conn, keepAlive time.Duration) {
	c.idleLimit = defaultIdleLimit
	if keepAlive > 0 {
		c.idleLimit = max(0, keepAlive-idleMargin)
	}
	c.idleSince = p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.reader.Buffered() > 0 || c.idleLimit <= 0 || len(p.idle[addr]) >= p.maxIdlePerAddr {
		c.Close()
		return
	}
	p.idle[addr] = append(p.idle[addr], c)
}

// Run closes connections that have been idle for too long until ctx ends, and
// then all idle ones.
func (p *ConnPool) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			p.sweep(func(*Conn) bool { return true })
			return
		case <-ticker.C:
			now := p.now()
			p.sweep(func(c *Conn) bool { return now.Sub(c.idleSince) > c.idleLimit })
		}
	}
}

// CloseIdle closes the idle connections to an address.
func (p *ConnPool) CloseIdle(addr string) {
	p.mu.Lock()
	list := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()
	for _, c := range list {
		c.Close()
	}
}

// sweep closes the idle connections for which expired returns true.
func (p *ConnPool) sweep(expired func(*Conn) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if expired(c) {
				c.Close()
				continue
			}
			kept = append(kept, c)
		}
		clear(list[len(kept):])
		if len(kept) == 0 {
			delete(p.idle, addr)
			continue
		}
		p.idle[addr] = kept
	}
}

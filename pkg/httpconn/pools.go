package httpconn

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"
)

const (
	// defaultIdleLimit applies when an upstream does not state how long it
	// keeps a connection.
	defaultIdleLimit = 4 * time.Second
	// idleMargin is left before the stated time, for requests on their way.
	idleMargin = 500 * time.Millisecond
	// sweepInterval is between removals of connections that were idle too long.
	sweepInterval = time.Second
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// ConnPool keep idle connections by address.
type ConnPool struct {
	dial           DialFunc
	now            func() time.Time
	maxIdlePerAddr int // idle connections kept per address

	mu   sync.Mutex
	idle map[string][]*Conn // most recently used last
}

// NewConnPool returns empty pools.
func NewConnPool(dial DialFunc, perAddr int, now func() time.Time) *ConnPool {
	return &ConnPool{dial: dial, now: now, maxIdlePerAddr: perAddr, idle: map[string][]*Conn{}}
}

// Get returns an idle connection that was used less than maxIdle ago, or a new
// one. fresh asks for a new one.
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
	return &Conn{net: conn, reader: bufio.NewReaderSize(conn, readBufferSize)}, nil
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
		return nil // the others are idle for longer still
	}
	p.idle[addr] = list[:len(list)-1]
	return last
}

// Put keeps a connection whose answer was read to its end. keepAlive is the
// time that the upstream stated, 0 if none.
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

// Run closes connections that were idle too long until ctx ends, and then all.
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

// CloseIdle closes idle connections to an address.
func (p *ConnPool) CloseIdle(addr string) {
	p.mu.Lock()
	list := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()
	for _, c := range list {
		c.Close()
	}
}

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

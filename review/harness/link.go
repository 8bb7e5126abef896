//go:build review

package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// link is the way of one instance to the platform's store.
type link struct {
	ln     net.Listener
	target string

	mu       sync.Mutex
	cut      bool
	conns    map[net.Conn]bool
	refusals []time.Time // connections that were refused during the last cut
}

func newLink(target string) (*link, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{ln: ln, target: target, conns: map[net.Conn]bool{}}
	go l.accept()
	return l, nil
}

func (l *link) accept() {
	for {
		conn, err := l.ln.Accept()
		if err != nil {
			return
		}
		l.mu.Lock()
		cut := l.cut
		if cut {
			l.refusals = append(l.refusals, time.Now())
		}
		l.mu.Unlock()
		if cut {
			reset(conn)
			continue
		}
		go l.carry(conn)
	}
}

func (l *link) carry(conn net.Conn) {
	store, err := net.Dial("tcp4", l.target)
	if err != nil {
		reset(conn)
		return
	}
	l.mu.Lock()
	l.conns[conn], l.conns[store] = true, true
	l.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { _, _ = io.Copy(store, conn); _ = store.Close() })
	wg.Go(func() { _, _ = io.Copy(conn, store); _ = conn.Close() })
	wg.Wait()
	l.mu.Lock()
	delete(l.conns, conn)
	delete(l.conns, store)
	l.mu.Unlock()
}

// setCut cuts the link, so that connections are reset and new ones refused, or heals it.
func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	if !cut {
		return
	}
	l.refusals = nil
	for conn := range l.conns {
		reset(conn)
	}
}

// open reports whether the link carries a connection.
func (l *link) open() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.cut && len(l.conns) > 0
}

// refused returns the times at which connections were refused during the last cut.
func (l *link) refused() []time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refusals
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

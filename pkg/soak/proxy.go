package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// mode is what a proxy does with bytes.
type mode int

const (
	pass    mode = iota
	delay        // every read waits
	silence      // nothing passes, either way, without a reset
	oneWay       // nothing passes towards the server
	refuse       // connections are reset
)

// proxyDelay is added to every read in mode delay.
const proxyDelay = 150 * time.Millisecond

// proxy stands between one side and a server on loopback.
type proxy struct {
	ln     net.Listener
	target string

	mu      sync.Mutex
	mode    mode
	changed chan struct{}
	conns   map[net.Conn]bool
}

func newProxy(listen, target string) (*proxy, error) {
	ln, err := net.Listen("tcp4", listen)
	if err != nil {
		return nil, errors.Wrap(err, "proxy")
	}
	p := &proxy{ln: ln, target: target, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) addr() string { return p.ln.Addr().String() }

func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	close(p.changed)
	p.changed = make(chan struct{})
	if m == refuse {
		p.resetAll()
	}
}

// resetAll resets open connections. The caller holds mu.
func (p *proxy) resetAll() {
	for c := range p.conns {
		reset(c)
	}
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *proxy) state() (mode, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.changed
}

func (p *proxy) close() {
	_ = p.ln.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resetAll()
}

func (p *proxy) accept() {
	for {
		in, err := p.ln.Accept()
		if err != nil {
			return
		}
		go p.serve(in)
	}
}

func (p *proxy) serve(in net.Conn) {
	p.track(in, true)
	defer p.track(in, false)
	if m, _ := p.state(); m == refuse {
		reset(in)
		return
	}
	out, err := net.Dial("tcp4", p.target)
	if err != nil {
		reset(in)
		return
	}
	p.track(out, true)
	defer p.track(out, false)
	var wg sync.WaitGroup
	wg.Go(func() { p.copy(out, in, true) })
	wg.Go(func() { p.copy(in, out, false) })
	wg.Wait()
}

func (p *proxy) track(c net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[c] = true
		return
	}
	delete(p.conns, c)
	_ = c.Close()
}

// copy passes bytes on as the mode says until either side ends.
func (p *proxy) copy(dst, src net.Conn, towardsServer bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := src.Read(buffer)
		if n > 0 {
			p.hold(towardsServer)
			if _, err := dst.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err == io.EOF {
			if tcp, ok := dst.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
		if err != nil {
			break
		}
	}
	reset(dst)
	reset(src)
}

// hold waits while bytes of this direction do not pass.
func (p *proxy) hold(towardsServer bool) {
	for {
		m, changed := p.state()
		switch {
		case m == delay:
			time.Sleep(proxyDelay)
			return
		case m == silence, m == oneWay && towardsServer:
			<-changed
		default:
			return
		}
	}
}

// Package callerguard bounds what the callers of a process may hold: it wraps the
// connections of all its listeners, counts what they hold in one callerbudget.Budget and
// closes those that must give way. It rejects requests whose framing is ambiguous or that
// have too many header fields, and ends connections whose readers take nothing.
package callerguard

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/fescuestep/fescuestep/pkg/callerbudget"
)

var (
	// ErrEvicted is returned by reads on a connection that gave way to others.
	ErrEvicted = errors.New("the connection gave way to those of other callers")
	// ErrTooManyFields is returned by reads after a header field beyond the limit.
	ErrTooManyFields = errors.New("the request has too many header fields")
)

// Reason says why a connection was refused or ended.
type Reason string

// Reasons.
const (
	Refused    Reason = "refused"     // no room for another connection
	Evicted    Reason = "evicted"     // gave way to others
	Fields     Reason = "fields"      // too many header fields
	Framing    Reason = "framing"     // ambiguous framing
	SlowReader Reason = "slow_reader" // took nothing for WriteStall
)

// Options of a Guard.
type Options struct {
	Bytes       int64
	Connections int
	// WriteStall is how long a caller may take no byte of an answer that waits for it.
	WriteStall time.Duration
	Count      func(Reason) // counts connections that are refused or ended; nil: not counted
	Log        hclog.Logger
	Now        func() time.Time
}

const (
	// memoryShare and connectionShare of what the process has are for callers. The rest of
	// the memory is for the process itself, for buffered responses (an eighth) and for the
	// garbage collector; the rest of the descriptors for connections to upstreams.
	memoryShare     = 3.0 / 8
	connectionShare = 5.0 / 8
	// reservedDivisor gives each listener this part of the connections for itself.
	reservedDivisor = 16
	// minConnections keeps a process with few descriptors usable.
	minConnections = 16
	// DefaultWriteStall is longer than the pauses of callers on slow links; a caller that
	// takes a byte in that time is not ended.
	DefaultWriteStall = 10 * time.Second
	// logInterval is the least time between two log lines.
	logInterval = 10 * time.Second
)

// DefaultBytes returns the memory for callers of a process with so much memory.
func DefaultBytes(memory int64) int64 { return int64(float64(memory) * memoryShare) }

// DefaultConnections returns the connections from callers of a process with so many
// descriptors.
func DefaultConnections(descriptors int) int {
	return max(minConnections, int(float64(descriptors)*connectionShare))
}

// minFieldBytes is the size of the smallest header field, such as "a:" and its line end.
const minFieldBytes = 4

// DefaultFields returns the number of header fields of a request with a head of at most so
// many bytes: as many as fit, so that no request within the limit of size is refused for
// them. What they cost in memory is counted, and bounded by the budget of all connections.
func DefaultFields(headerBytes int) int { return headerBytes / minFieldBytes }

// Guard bounds the connections of a process.
type Guard struct {
	options Options

	mu     sync.Mutex
	budget *callerbudget.Budget
	conns  map[*callerbudget.Holder]*Conn
	ended  map[Reason]int // since the last log line
	logged time.Time
}

// New returns a guard without connections.
func New(o Options) *Guard {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Log == nil {
		o.Log = hclog.NewNullLogger()
	}
	if o.WriteStall <= 0 {
		o.WriteStall = DefaultWriteStall
	}
	limits := callerbudget.Limits{Bytes: o.Bytes, Connections: o.Connections, Reserved: o.Connections / reservedDivisor}
	return &Guard{options: o, budget: callerbudget.New(limits), conns: map[*callerbudget.Holder]*Conn{}, ended: map[Reason]int{}}
}

// Held returns the bytes and connections that callers hold.
func (g *Guard) Held() (bytes int64, connections int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget.Held()
}

// ListenerOptions are the limits of one listener.
type ListenerOptions struct {
	Name   string
	Fields func() int // most header fields of a request
	// Opaque connections are only counted: what they carry is encrypted below this layer.
	Opaque bool
	// HTTP2 connections may be opened by prior knowledge; their framing is not ambiguous.
	HTTP2 bool
}

// Listener is a net.Listener whose connections the guard bounds.
type Listener struct {
	net.Listener
	guard   *Guard
	options ListenerOptions
}

// Listen wraps a listener.
func (g *Guard) Listen(ln net.Listener, o ListenerOptions) *Listener { return &Listener{ln, g, o} }

// Accept returns the next connection for which there is room; it closes others.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.guard.Wrap(conn, l.options); c != nil {
			return c, nil
		}
		_ = conn.Close()
	}
}

// Wrap admits a connection. It returns nil if there is no room for it.
func (g *Guard) Wrap(conn net.Conn, o ListenerOptions) *Conn {
	c := &Conn{Conn: conn, guard: g, options: o}
	host, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	if err != nil {
		host = conn.RemoteAddr().String()
	}
	g.mu.Lock()
	var evicted []*callerbudget.Holder
	c.holder, evicted = g.budget.Open(g.options.Now(), o.Name, host)
	if c.holder != nil {
		g.conns[c.holder] = c
	}
	victims := g.take(evicted)
	g.mu.Unlock()
	g.end(victims)
	if c.holder == nil {
		g.record(Refused, 1)
		return nil
	}
	return c
}

// take returns the connections of holders that were evicted. The caller holds mu.
func (g *Guard) take(evicted []*callerbudget.Holder) []*Conn {
	var victims []*Conn
	for _, h := range evicted {
		if c := g.conns[h]; c != nil {
			victims = append(victims, c)
		}
	}
	return victims
}

// end ends evicted connections.
func (g *Guard) end(victims []*Conn) {
	for _, c := range victims {
		c.evict()
	}
	if len(victims) > 0 {
		g.record(Evicted, len(victims))
	}
}

// record counts ended connections and logs their sums at most once in logInterval.
func (g *Guard) record(r Reason, n int) {
	if g.options.Count != nil {
		for range n {
			g.options.Count(r)
		}
	}
	now := g.options.Now()
	g.mu.Lock()
	g.ended[r] += n
	if now.Sub(g.logged) < logInterval {
		g.mu.Unlock()
		return
	}
	sums := g.ended
	g.ended, g.logged = map[Reason]int{}, now
	bytes, connections := g.budget.Held()
	g.mu.Unlock()
	g.options.Log.Warn("connections of callers refused or ended", "refused", sums[Refused], "evicted", sums[Evicted], "fields", sums[Fields],
		"framing", sums[Framing], "slow_reader", sums[SlowReader], "held_bytes", bytes, "connections", connections)
}

// EvictReaders ends connections whose readers take nothing, and reports whether there were
// any. It is called when the memory for buffered responses is short.
func (g *Guard) EvictReaders() bool {
	g.mu.Lock()
	victims := g.take(g.budget.Stalled(g.options.Now()))
	g.mu.Unlock()
	g.end(victims)
	return len(victims) > 0
}

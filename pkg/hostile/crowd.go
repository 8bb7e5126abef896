// Package hostile plays callers that misbehave: bodies that stall, bodies that are too
// large, heads of very many fields, pipelined requests, slow senders and slow readers. It
// is used by tests and by the fault soak, against the project's own processes only.
package hostile

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Target is where a crowd sends its requests.
type Target struct {
	Addr   string // IP:port
	Host   string // empty: hostile.example
	Method string // of requests with a body
	Path   string
	Header string // header lines, each with CR LF
	Body   int    // size of a body of legal size in bytes
	Fields int    // number of header fields of a request with very many of them
}

const (
	// connectTimeout bounds one dial; a listener with a full queue may not answer.
	connectTimeout = time.Second
	// reconnectPause is between the end of a connection and the next one of its client.
	reconnectPause = 100 * time.Millisecond
	// readerBuffer is the receive buffer of clients that read slowly, in bytes.
	readerBuffer = 4 << 10
)

// Crowd is a number of clients that misbehave until Close.
type Crowd struct {
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	clients int64
	played  atomic.Int64 // clients that have played their first connection, or failed to
	ended   atomic.Int64 // connections that the other side has ended
}

// Start starts clients that play one kind of misbehaviour, spread evenly over the
// targets. A client whose connection is ended opens another one.
func Start(ctx context.Context, k Kind, clients int, targets ...Target) (*Crowd, error) {
	play, ok := plays[k]
	if !ok || len(targets) == 0 {
		return nil, errors.Newf("no kind %q, or no targets", k)
	}
	ctx, cancel := context.WithCancel(ctx)
	c := &Crowd{cancel: cancel, clients: int64(clients)}
	for i := range clients {
		c.wg.Go(func() { c.client(ctx, play, targets[i%len(targets)]) })
	}
	return c, nil
}

// Close ends all clients and their connections.
func (c *Crowd) Close() {
	c.cancel()
	c.wg.Wait()
}

// Ended returns the number of connections that the other side has ended.
func (c *Crowd) Ended() int64 { return c.ended.Load() }

// AwaitPlayed waits until every client has sent what its first connection sends, or was
// cut off, or limit has passed.
func (c *Crowd) AwaitPlayed(limit time.Duration) {
	for end := time.Now().Add(limit); c.played.Load() < c.clients && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
}

func (c *Crowd) client(ctx context.Context, play player, t Target) {
	first := sync.OnceFunc(func() { c.played.Add(1) })
	defer first()
	dialer := net.Dialer{Timeout: connectTimeout}
	for ctx.Err() == nil {
		conn, err := dialer.DialContext(ctx, "tcp4", t.Addr)
		if err == nil {
			c.playOne(ctx, conn, play, t, first)
		}
		first()
		select {
		case <-ctx.Done():
		case <-time.After(reconnectPause):
		}
	}
}

// playOne plays on one connection until it or ctx ends.
func (c *Crowd) playOne(ctx context.Context, conn net.Conn, play player, t Target, played func()) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer func() {
		if stop() {
			c.ended.Add(1)
			_ = conn.Close()
		}
	}()
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(readerBuffer)
	}
	play(&client{Conn: conn, ctx: ctx, played: played}, t)
}

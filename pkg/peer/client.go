package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/fescuestep/fescuestep/pkg/netopt"
	rpc "github.com/fescuestep/fescuestep/rpc/peer"
)

// Limits of the client. Waiting longer for a call is of no use: freshness and
// quota both have fallbacks that take effect sooner.
const (
	dialTimeout   = 300 * time.Millisecond
	callTimeout   = 600 * time.Millisecond
	idleTimeout   = 30 * time.Second
	pingAfter     = time.Second // time without received frames after which a ping is sent
	pingTimeout   = time.Second
	maxHeaderSize = 16 << 10 // bytes
)

// Client calls other instances. It is safe for concurrent use. It never retries
// a request.
type Client struct {
	http *http.Client
	tls  bool

	mu    sync.Mutex
	peers map[string]rpc.Peer
}

// NewClient returns a client that presents the credential. TLS is used when
// tlsConfig is not nil. wrap, when not nil, wraps each new connection.
func NewClient(credential string, tlsConfig *tls.Config, wrap func(net.Conn) net.Conn) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		Protocols:              protocols(tlsConfig),
		TLSClientConfig:        tlsConfig,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderSize,
		HTTP2:                  &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if err == nil && wrap != nil {
				conn = wrap(conn)
			}
			return conn, err
		},
	}
	return &Client{
		http:  newHTTPClient(transport, credential),
		tls:   tlsConfig != nil,
		peers: map[string]rpc.Peer{},
	}
}

func newHTTPClient(transport http.RoundTripper, credential string) *http.Client {
	return &http.Client{Transport: singleAttemptTransport{netopt.StrictResponses(transport), credential}, Timeout: callTimeout}
}

// Peer returns an RPC client for the instance at the address (IP:port). Clients
// are cached by address.
func (c *Client) Peer(addr string) rpc.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.peers[addr]
	if !ok {
		p = rpc.NewPeerProtobufClient(c.scheme()+addr, c.http)
		c.peers[addr] = p
	}
	return p
}

// Retain removes the cached RPC clients of all addresses for which keep returns
// false.
func (c *Client) Retain(keep func(addr string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr := range c.peers {
		if !keep(addr) {
			delete(c.peers, addr)
		}
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

func (c *Client) scheme() string {
	if c.tls {
		return "https://"
	}
	return "http://"
}

// singleAttemptTransport sets the credential and sends each request at most
// once: without GetBody the transport cannot replay a body on another
// connection. A repeated Acquire would waste a grant.
type singleAttemptTransport struct {
	next       http.RoundTripper
	credential string
}

func (t singleAttemptTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	req = req.Clone(req.Context())
	req.GetBody = nil
	req.Header.Set("Authorization", bearerPrefix+t.credential)
	return t.next.RoundTrip(req)
}

// CloseIdleConnections closes idle connections.
func (t singleAttemptTransport) CloseIdleConnections() { netopt.CloseIdle(t.next) }

// Package peer implements the client and server for calls between router
// instances: Twirp over HTTP/2, in cleartext on loopback or with TLS.
package peer

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	rpc "github.com/fescuestep/fescuestep/rpc/peer"
)

// Syncer handles the calls that exchange configuration revisions and freshness.
type Syncer interface {
	Sync(context.Context, *rpc.SyncRequest) (*rpc.SyncResponse, error)
	Acknowledgements(context.Context, *rpc.AcknowledgementsRequest) (*rpc.AcknowledgementsResponse, error)
}

// Joiner handles requests to add or remove members.
type Joiner interface {
	Join(context.Context, *rpc.JoinRequest) (*rpc.JoinResponse, error)
}

// QuotaGranter handles the calls that acquire and return quota tokens.
type QuotaGranter interface {
	Acquire(context.Context, *rpc.AcquireRequest) (*rpc.AcquireResponse, error)
	Return(context.Context, *rpc.ReturnRequest) (*rpc.ReturnResponse, error)
}

// Services combines the handlers that implement the peer service.
type Services struct {
	Syncer
	Joiner
	QuotaGranter
}

// readHeaderTimeout closes connections that do not send complete request
// headers in time.
const readHeaderTimeout = 5 * time.Second

const bearerPrefix = "Bearer "

// NewServer returns a server for the peer service. Callers must present the
// credential. TLS is used when tlsConfig is not nil; otherwise the server
// speaks HTTP/2 in cleartext and must listen on loopback.
func NewServer(s Services, credential string, tlsConfig *tls.Config) *http.Server {
	return &http.Server{
		Handler:           authenticate(credential, rpc.NewPeerServer(s)),
		Protocols:         protocols(tlsConfig),
		TLSConfig:         tlsConfig,
		ReadHeaderTimeout: readHeaderTimeout,
	}
}

// ErrCleartext is returned by Serve for a cleartext server that would be
// reachable from other hosts.
var ErrCleartext = errors.New("peer listener without TLS must be on loopback")

// Serve accepts connections on l until the server is shut down or closed, then
// returns http.ErrServerClosed. The error wraps ErrCleartext if the server has no
// TLS configuration and l does not listen on a loopback address.
func Serve(server *http.Server, l net.Listener) error {
	if server.TLSConfig != nil {
		return server.ServeTLS(l, "", "")
	}
	if addr, ok := l.Addr().(*net.TCPAddr); !ok || !addr.IP.IsLoopback() {
		return errors.Wrapf(ErrCleartext, "listening on %s", l.Addr())
	}
	return server.Serve(l)
}

func protocols(tlsConfig *tls.Config) *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP2(tlsConfig != nil)
	p.SetUnencryptedHTTP2(tlsConfig == nil)
	return p
}

func authenticate(credential string, next http.Handler) http.Handler {
	want := sha256.Sum256([]byte(credential))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		secret, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
		got := sha256.Sum256([]byte(secret))
		if !ok || subtle.ConstantTimeCompare(got[:], want[:]) != 1 {
			http.Error(w, "peer credential missing or wrong", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

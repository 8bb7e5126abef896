package peer_test

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http/httptest"
	"testing"

	"github.com/fescuestep/fescuestep/pkg/peer"
	rpc "github.com/fescuestep/fescuestep/rpc/peer"
)

// Guards against a client that accepts any certificate, and against TLS without
// HTTP/2.
func TestTLS(t *testing.T) {
	issuer := httptest.NewUnstartedServer(nil)
	issuer.StartTLS()
	certificate := issuer.TLS.Certificates[0]
	issuer.Close()
	roots := x509.NewCertPool()
	roots.AddCert(issuer.Certificate())

	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &service{}
	server := peer.NewServer(peer.Services{Syncer: s, Joiner: s, QuotaGranter: s}, "secret", &tls.Config{Certificates: []tls.Certificate{certificate}})
	done := make(chan error, 1)
	go func() { done <- peer.Serve(server, l) }()
	defer func() {
		_ = server.Close()
		<-done
	}()
	for _, c := range []struct {
		roots *x509.CertPool
		ok    bool
	}{{roots, true}, {x509.NewCertPool(), false}} {
		client := peer.NewClient("secret", &tls.Config{RootCAs: c.roots}, nil)
		_, err := client.Peer(l.Addr().String()).Sync(t.Context(), &rpc.SyncRequest{})
		client.Close()
		if (err == nil) != c.ok {
			t.Errorf("error %v, want success: %v", err, c.ok)
		}
	}
}

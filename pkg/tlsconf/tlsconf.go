// Package tlsconf builds TLS configurations from PEM files and loads the files
// again when they change, so that certificates are renewed without a restart.
package tlsconf

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Files are PEM files. ClientCA is optional.
type Files struct {
	Cert     string // certificate chain
	Key      string // private key
	ClientCA string // authorities of the other side's certificates
}

// checkInterval bounds how often handshakes look at the files.
const checkInterval = time.Second

// Reloader holds the configurations made from the files. It looks at them
// when a handshake starts, without a goroutine of its own.
type Reloader struct {
	files    Files
	onReload func(error)

	mu      sync.Mutex
	checked time.Time
	stamps  [3]stamp
	server  *tls.Config
	client  *tls.Config
}

// stamp recognises a changed file.
type stamp struct {
	modified time.Time
	size     int64
}

// Load reads the files. onReload is called after each later reload, with an
// error when the files could not be used and the previous ones stay in use,
// for example because only one of certificate and key was replaced so far. It
// may be nil.
func Load(files Files, onReload func(error)) (*Reloader, error) {
	if onReload == nil {
		onReload = func(error) {}
	}
	r := &Reloader{files: files, onReload: onReload, checked: time.Now()}
	r.stamps = stampsOf(files)
	if err := r.load(); err != nil {
		return nil, err
	}
	return r, nil
}

// Server returns the configuration of a listener. With ClientCA, clients must
// present a certificate that one of its authorities signed.
func (r *Reloader) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: []string{"h2", "http/1.1"},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			server, _ := r.current(time.Now())
			return server, nil
		},
	}
}

// current returns the newest usable configurations. A failed reload is tried
// again once the files change again.
func (r *Reloader) current(now time.Time) (server, client *tls.Config) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.checked) < checkInterval {
		return r.server, r.client
	}
	r.checked = now
	if stamps := stampsOf(r.files); stamps != r.stamps {
		r.stamps = stamps
		r.onReload(r.load())
	}
	return r.server, r.client
}

// load replaces both configurations, or none when a file can't be used. New
// server configurations have new session ticket keys, so a client whose
// authority was removed can't resume an old session.
func (r *Reloader) load() error {
	cert, err := tls.LoadX509KeyPair(r.files.Cert, r.files.Key)
	if err != nil {
		return errors.Wrapf(err, "loading %s and %s", r.files.Cert, r.files.Key)
	}
	server := &tls.Config{
		MinVersion:   tls.VersionTLS12,
		NextProtos:   []string{"h2", "http/1.1"},
		Certificates: []tls.Certificate{cert},
	}
	client := server.Clone()
	if r.files.ClientCA != "" {
		pool, err := loadPool(r.files.ClientCA)
		if err != nil {
			return err
		}
		server.ClientCAs = pool
		server.ClientAuth = tls.RequireAndVerifyClientCert
		client.RootCAs = pool
	}
	r.server, r.client = server, client
	return nil
}

func loadPool(path string) (*x509.CertPool, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "loading authorities")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, errors.Newf("%s holds no PEM certificate", path)
	}
	return pool, nil
}

func stampsOf(files Files) (stamps [3]stamp) {
	for i, path := range []string{files.Cert, files.Key, files.ClientCA} {
		if info, err := os.Stat(path); err == nil {
			stamps[i] = stamp{info.ModTime(), info.Size()}
		}
	}
	return stamps
}

// Client returns a configuration for clients that present the certificate and,
// with ClientCA, trust only its authorities. A renewed certificate is used from
// the next handshake on; changed authorities need a restart of the process.
func (r *Reloader) Client() *tls.Config {
	_, client := r.current(time.Now())
	client = client.Clone()
	client.Certificates = nil
	client.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
		_, now := r.current(time.Now())
		return &now.Certificates[0], nil
	}
	return client
}

package tlsconf

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// authority signs certificates for 127.0.0.1.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	a.cert, a.key = a.sign(t, template)
	return a
}

func (a *authority) sign(t *testing.T, template *x509.Certificate) (*x509.Certificate, *ecdsa.PrivateKey) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	parent, signer := a.cert, a.key
	if parent == nil {
		parent, signer = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return cert, key
}

// write issues a certificate and writes all files, dated so that the change
// is seen whatever the resolution of the file system's clock is.
func (a *authority) write(t *testing.T, dir string, serial int64) Files {
	t.Helper()
	cert, key := a.sign(t, &x509.Certificate{
		SerialNumber: big.NewInt(serial), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	})
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	files := Files{filepath.Join(dir, "cert"), filepath.Join(dir, "key"), filepath.Join(dir, "ca")}
	for path, block := range map[string]*pem.Block{
		files.Cert:     {Type: "CERTIFICATE", Bytes: cert.Raw},
		files.Key:      {Type: "PRIVATE KEY", Bytes: keyDER},
		files.ClientCA: {Type: "CERTIFICATE", Bytes: a.cert.Raw},
	} {
		if err := os.WriteFile(path, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
		date := time.Unix(serial, 0)
		if err := os.Chtimes(path, date, date); err != nil {
			t.Fatal(err)
		}
	}
	return files
}

// handshake connects dial to a listener with the server's configuration.
func handshake(t *testing.T, server *Reloader, dial func(addr string) (net.Conn, error)) error {
	t.Helper()
	l, err := tls.Listen("tcp", "127.0.0.1:0", server.Server())
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	result := make(chan error, 1)
	go func() {
		conn, err := l.Accept()
		if err == nil {
			err = conn.(*tls.Conn).Handshake()
			conn.Close()
		}
		result <- err
	}()
	conn, err := dial(l.Addr().String())
	if err == nil {
		defer conn.Close()
	}
	if serverErr := <-result; serverErr != nil {
		return serverErr
	}
	return err
}

// TestMutual guards against a listener that lets clients in without a
// certificate or with one of another authority.
func TestMutual(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	server, err := Load(ours.write(t, t.TempDir(), 1), nil)
	if err != nil {
		t.Fatal(err)
	}
	peer, err := Load(ours.write(t, t.TempDir(), 2), nil)
	if err != nil {
		t.Fatal(err)
	}
	stranger, err := Load(theirs.write(t, t.TempDir(), 3), nil)
	if err != nil {
		t.Fatal(err)
	}
	dialer := func(r *Reloader) func(string) (net.Conn, error) {
		return func(addr string) (net.Conn, error) { return tls.Dial("tcp", addr, r.Client()) }
	}
	if err := handshake(t, server, dialer(peer)); err != nil {
		t.Errorf("peer: %v", err)
	}
	if err := handshake(t, server, dialer(stranger)); err == nil {
		t.Error("a stranger's certificate was accepted")
	}
	anonymous := func(addr string) (net.Conn, error) {
		return tls.Dial("tcp", addr, &tls.Config{InsecureSkipVerify: true})
	}
	if err := handshake(t, server, anonymous); err == nil {
		t.Error("a client without certificate was accepted")
	}
}

// TestClientOfOtherAuthority guards against a peer that calls an impostor.
func TestClientOfOtherAuthority(t *testing.T) {
	impostor, err := Load(newAuthority(t).write(t, t.TempDir(), 1), nil)
	if err != nil {
		t.Fatal(err)
	}
	impostor.server.ClientAuth = tls.NoClientCert
	peer, err := Load(newAuthority(t).write(t, t.TempDir(), 2), nil)
	if err != nil {
		t.Fatal(err)
	}
	dial := func(addr string) (net.Conn, error) { return tls.Dial("tcp", addr, peer.Client()) }
	if err := handshake(t, impostor, dial); err == nil {
		t.Error("the client accepted a certificate of another authority")
	}
}

// TestReload guards against certificates that stay in use after renewal, and
// against an outage while only some files have been replaced.
func TestReload(t *testing.T) {
	dir := t.TempDir()
	a := newAuthority(t)
	files := a.write(t, dir, 1)
	var reloads []error
	r, err := Load(files, func(err error) { reloads = append(reloads, err) })
	if err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	serial := func() int64 {
		now = now.Add(2 * checkInterval)
		server, _ := r.current(now)
		return server.Certificates[0].Leaf.SerialNumber.Int64()
	}
	if got := serial(); got != 1 || len(reloads) != 0 {
		t.Errorf("serial %d, reloads %v before any change", got, reloads)
	}
	if err := os.WriteFile(files.Key, []byte("half"), 0o600); err != nil {
		t.Fatal(err)
	}
	if got := serial(); got != 1 || len(reloads) != 1 || reloads[0] == nil {
		t.Errorf("serial %d, reloads %v with a broken key", got, reloads)
	}
	a.write(t, dir, 2)
	if got := serial(); got != 2 || len(reloads) != 2 || reloads[1] != nil {
		t.Errorf("serial %d, reloads %v after renewal", got, reloads)
	}
}

// TestLoadErrors guards against a start with files that can't be used.
func TestLoadErrors(t *testing.T) {
	files := newAuthority(t).write(t, t.TempDir(), 1)
	for _, wrong := range []Files{
		{Cert: files.Cert, Key: "missing"},
		{Cert: files.Key, Key: files.Key},
		{Cert: files.Cert, Key: files.Key, ClientCA: files.Key},
	} {
		if _, err := Load(wrong, nil); err == nil {
			t.Errorf("%+v was accepted", wrong)
		}
	}
}

package settings

import (
	"flag"
	"net/netip"
	"net/url"
	"os"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// Secret is a credential. It prints as a placeholder so that it never reaches
// a log line or an error by accident.
type Secret string

// String implements fmt.Stringer without the credential.
func (s Secret) String() string {
	if s == "" {
		return ""
	}
	return "[redacted]"
}

// GoString implements fmt.GoStringer without the credential.
func (s Secret) GoString() string { return s.String() }

// MarshalText implements encoding.TextMarshaler without the credential.
func (s Secret) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Reveal returns the credential itself.
func (s Secret) Reveal() string { return string(s) }

// minCredential is the shortest accepted credential in bytes; 16 random bytes
// in hexadecimal are twice as long.
const minCredential = 16

// credential is read from a variable or a file and never from a flag, because
// other users of the machine can read a process's arguments.
type credential struct {
	name string // of the variable without prefix, in flag form
	file string
}

func (c *credential) register(fs *flag.FlagSet, name, use string) {
	c.name = name
	fs.StringVar(&c.file, name+"-file", "", "file with "+use+"; alternatively the variable "+EnvName(name))
}

// load returns the credential, or the empty secret when none is set.
func (c *credential) load() (Secret, error) {
	text := strings.TrimSpace(os.Getenv(EnvName(c.name)))
	if text != "" && c.file != "" {
		return "", errors.Newf("%s and -%s-file: give only one of them", EnvName(c.name), c.name)
	}
	if c.file != "" {
		var err error
		if text, err = readFile(c.file); err != nil {
			return "", errors.Newf("-%s-file (%s): %v", c.name, EnvName(c.name+"-file"), err)
		}
		if text == "" {
			return "", errors.Newf("-%s-file (%s): the file is empty", c.name, EnvName(c.name+"-file"))
		}
	}
	if text != "" && len(text) < minCredential {
		return "", errors.Newf("%s: the credential is shorter than %d bytes", EnvName(c.name), minCredential)
	}
	return Secret(text), nil
}

// Size is a number of bytes, written plain or with KiB, MiB or GiB.
type Size int64

var units = []struct {
	suffix string
	factor int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"", 1}}

// Set parses a number of bytes with an optional unit.
func (s *Size) Set(text string) error {
	for _, u := range units {
		digits, ok := strings.CutSuffix(text, u.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 64)
		if err != nil || n < 0 || n > (1<<62)/u.factor {
			return errors.New("expects a size such as 65536, 512KiB or 8MiB")
		}
		*s = Size(n * u.factor)
		return nil
	}
	return nil
}

// String returns the number of bytes in the largest unit that divides it.
func (s *Size) String() string {
	if s == nil {
		return "0"
	}
	for i := len(units) - 2; i >= 0; i-- {
		if u := units[i]; *s > 0 && int64(*s)%u.factor == 0 {
			return strconv.FormatInt(int64(*s)/u.factor, 10) + u.suffix
		}
	}
	return strconv.FormatInt(int64(*s), 10)
}

// TLSFiles are the PEM files of one listener.
type TLSFiles struct {
	Cert     string // certificate chain
	Key      string // private key
	ClientCA string // authorities whose client certificates are accepted
}

// Enabled reports whether the listener uses TLS.
func (f TLSFiles) Enabled() bool { return f.Cert != "" }

func (f *TLSFiles) register(fs *flag.FlagSet, listener string) {
	fs.StringVar(&f.Cert, listener+"-tls-cert", "", "PEM certificate chain of the "+listener+" listener")
	fs.StringVar(&f.Key, listener+"-tls-key", "", "PEM private key of the "+listener+" listener")
	fs.StringVar(&f.ClientCA, listener+"-client-ca", "", "PEM authorities; the "+listener+" listener then requires a client certificate")
}

func (f *TLSFiles) validate(listener string) error {
	switch {
	case (f.Cert == "") != (f.Key == ""):
		return errors.Newf("-%s-tls-cert and -%s-tls-key: give both or none", listener, listener)
	case f.ClientCA != "" && f.Cert == "":
		return errors.Newf("-%s-client-ca: needs -%s-tls-cert and -%s-tls-key", listener, listener, listener)
	}
	for _, path := range []string{f.Cert, f.Key, f.ClientCA} {
		if path == "" {
			continue
		}
		if _, err := readFile(path); err != nil {
			return errors.Newf("-%s-tls-cert, -%s-tls-key or -%s-client-ca: %v", listener, listener, listener, err)
		}
	}
	return nil
}

// address checks an IP:port. Names are refused: instances must be able to
// start without a resolver.
func address(name, text string) (netip.AddrPort, error) {
	addr, err := netip.ParseAddrPort(text)
	if err != nil {
		return addr, errors.Newf("-%s (%s): %q is not an address such as 127.0.0.1:8080", name, EnvName(name), text)
	}
	return addr, nil
}

// service checks the address of a platform service.
func service(name, text string) error {
	addr, err := address(name, text)
	if err == nil && (addr.Port() == 0 || addr.Addr().IsUnspecified()) {
		return errors.Newf("-%s (%s): %q can't be connected to", name, EnvName(name), text)
	}
	return err
}

// endpoint checks a base URL.
func endpoint(name, text string) error {
	u, err := url.Parse(text)
	if err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.User == nil && u.RawQuery == "" {
		if _, err = netip.ParseAddrPort(u.Host); err == nil {
			return nil
		}
	}
	return errors.Newf("-%s (%s): %q is not a URL such as http://127.0.0.1:9000", name, EnvName(name), text)
}

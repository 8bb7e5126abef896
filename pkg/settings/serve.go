package settings

import (
	"flag"
	"net/netip"
	"regexp"
	"time"

	"github.com/cockroachdb/errors"
)

// Serve holds the settings of one router instance.
type Serve struct {
	InstanceID string
	Domain     string // failure domain

	Callers   Listener
	Peers     Listener
	Admin     Listener
	Metrics   Listener
	Advertise string // address under which peers reach this instance

	Table   string // IP:port
	Objects string // IP:port
	List    string // IP:port

	BodyLimit         Size
	BodyTimeout       time.Duration // to receive a request body
	HeaderTimeout     time.Duration // to receive a request's headers
	IdleTimeout       time.Duration // of a connection without request
	PeerTimeout       time.Duration // of one call to a peer
	PlatformTimeout   time.Duration // of one call to the table, object store or list
	DrainDelay        time.Duration // how long it accepts requests while not ready
	ShutdownTimeout   time.Duration // how long running requests may take after that
	LogLevel          string
	LogFormat         string
	MemoryLimit       Size // of the process
	DescriptorLimit   int  // of the process; 0: as the system says
	Limits            CallerLimits
	RecordFile        string // empty: nothing is recorded
	PeerCredential    Secret
	AdminCredential   Secret
	peerCredential    credential
	adminCredential   credential
	advertiseOverride string
}

// Listener is one address that an instance listens on.
type Listener struct {
	Addr string // IP:port; empty: not started
	TLS  TLSFiles
}

// Register declares the flags.
func (s *Serve) Register(fs *flag.FlagSet) {
	fs.StringVar(&s.InstanceID, "instance-id", "", "unique name of this instance (required)")
	fs.StringVar(&s.Domain, "failure-domain", "", "failure domain of this instance as named in the questionnaire (required)")
	s.registerListeners(fs)
	fs.StringVar(&s.Table, "table", "127.0.0.1:9000", "address of the table service")
	fs.StringVar(&s.Objects, "objects", "127.0.0.1:9001", "address of the object store")
	fs.StringVar(&s.List, "list", "127.0.0.1:9002", "address of the instance list")
	s.registerLimits(fs)
	s.peerCredential.register(fs, "peer-credential", "the credential that instances show each other")
	s.adminCredential.register(fs, "admin-credential", "the credential of the administration service")
	fs.StringVar(&s.LogLevel, "log-level", "info", "trace, debug, info, warn or error")
	fs.StringVar(&s.LogFormat, "log-format", "text", "text or json")
	fs.StringVar(&s.RecordFile, "record-file", "", "file to which requests are recorded for replay, without prompts and keys; empty records nothing")
}

func (s *Serve) registerListeners(fs *flag.FlagSet) {
	fs.StringVar(&s.Callers.Addr, "listen-callers", "127.0.0.1:8080", "address for callers")
	fs.StringVar(&s.Peers.Addr, "listen-peers", "127.0.0.1:8081", "address for other instances")
	fs.StringVar(&s.Admin.Addr, "listen-admin", "127.0.0.1:8082", "address of the administration service; empty: not started")
	fs.StringVar(&s.Metrics.Addr, "listen-metrics", "127.0.0.1:8083", "address of the scrape endpoint /metrics; empty: not started")
	fs.StringVar(&s.advertiseOverride, "advertise-peers", "", "address under which other instances reach -listen-peers; default: the same")
	s.Callers.TLS.register(fs, "callers")
	s.Peers.TLS.register(fs, "peers")
	s.Admin.TLS.register(fs, "admin")
	s.Metrics.TLS.register(fs, "metrics")
}

func (s *Serve) registerLimits(fs *flag.FlagSet) {
	s.BodyLimit = 8 << 20 // a family history of 1 M tokens takes about 4 MiB
	fs.Var(&s.BodyLimit, "body-limit", "largest request body")
	s.MemoryLimit = 256 << 20
	fs.Var(&s.MemoryLimit, "memory-limit", "memory of the instance, from which the limits for callers are derived")
	fs.IntVar(&s.DescriptorLimit, "descriptor-limit", 0, "file descriptors of the instance; 0: the limit that the process has")
	s.Limits.Register(fs)
	fs.DurationVar(&s.BodyTimeout, "body-timeout", 30*time.Second, "time to receive a request body")
	fs.DurationVar(&s.HeaderTimeout, "header-timeout", 5*time.Second, "time to receive the headers of a request")
	fs.DurationVar(&s.IdleTimeout, "idle-timeout", 2*time.Minute, "time after which an unused connection is closed")
	fs.DurationVar(&s.PeerTimeout, "peer-timeout", 500*time.Millisecond, "time of one call to another instance; below the freshness window of 2s")
	fs.DurationVar(&s.PlatformTimeout, "platform-timeout", time.Second, "time of one call to the table, object store or list; below the freshness window of 2s")
	fs.DurationVar(&s.DrainDelay, "drain-delay", 5*time.Second, "time during which a stopping instance still accepts requests although /readyz fails")
	fs.DurationVar(&s.ShutdownTimeout, "shutdown-timeout", 2*time.Minute, "time that running requests get after the drain delay")
}

// names are instance IDs and failure domains.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// Validate checks all settings, loads the credentials and returns everything
// that is wrong.
func (s *Serve) Validate() Errors {
	var wrong Errors
	add := func(err error) {
		if err != nil {
			wrong = append(wrong, err)
		}
	}
	add(name("instance-id", s.InstanceID))
	add(name("failure-domain", s.Domain))
	add(service("table", s.Table))
	add(service("objects", s.Objects))
	add(service("list", s.List))
	add(oneOf("log-level", s.LogLevel, "trace", "debug", "info", "warn", "error"))
	add(oneOf("log-format", s.LogFormat, "text", "json"))
	var err error
	s.PeerCredential, err = s.peerCredential.load()
	add(err)
	s.AdminCredential, err = s.adminCredential.load()
	add(err)
	wrong = append(wrong, s.validateLimits()...)
	return append(wrong, s.validateListeners()...)
}

func (s *Serve) validateLimits() (wrong Errors) {
	wrong = s.Limits.Validate()
	if s.MemoryLimit < 64<<20 {
		wrong = append(wrong, errors.New("-memory-limit: must be at least 64MiB"))
	}
	if s.DescriptorLimit != 0 && s.DescriptorLimit < 64 {
		wrong = append(wrong, errors.New("-descriptor-limit: must be 0 or at least 64"))
	}
	if s.BodyLimit < 1<<10 || s.BodyLimit > 1<<30 {
		wrong = append(wrong, errors.New("-body-limit: must be between 1KiB and 1GiB"))
	}
	for _, d := range []struct {
		name      string
		value     time.Duration
		low, high time.Duration
	}{
		{"body-timeout", s.BodyTimeout, 100 * time.Millisecond, time.Hour},
		{"header-timeout", s.HeaderTimeout, 100 * time.Millisecond, time.Hour},
		{"idle-timeout", s.IdleTimeout, time.Second, time.Hour},
		{"peer-timeout", s.PeerTimeout, 10 * time.Millisecond, 2 * time.Second},
		{"platform-timeout", s.PlatformTimeout, 10 * time.Millisecond, 2 * time.Second},
		{"drain-delay", s.DrainDelay, 0, time.Hour},
		{"shutdown-timeout", s.ShutdownTimeout, time.Second, time.Hour},
	} {
		if d.value < d.low || d.value > d.high {
			wrong = append(wrong, errors.Newf("-%s (%s): %v is not between %v and %v", d.name, EnvName(d.name), d.value, d.low, d.high))
		}
	}
	return wrong
}

func name(flagName, text string) error {
	if text == "" {
		return errors.Newf("-%s (%s): required", flagName, EnvName(flagName))
	}
	if !namePattern.MatchString(text) {
		return errors.Newf("-%s (%s): %q: only small letters, digits, dots and dashes, at most 63", flagName, EnvName(flagName), text)
	}
	return nil
}

func oneOf(flagName, text string, allowed ...string) error {
	for _, a := range allowed {
		if text == a {
			return nil
		}
	}
	return errors.Newf("-%s (%s): %q is not one of %v", flagName, EnvName(flagName), text, allowed)
}

// validateListeners also applies the rule that the peer and administration
// listeners leave the loopback interface only with TLS and a way to recognise
// the other side. A credential without TLS could be read on the network.
func (s *Serve) validateListeners() (wrong Errors) {
	add := func(err error) {
		if err != nil {
			wrong = append(wrong, err)
		}
	}
	used := map[netip.AddrPort]string{}
	add(s.Callers.validate("callers", true, used))
	add(s.Peers.validate("peers", true, used))
	add(s.Admin.validate("admin", false, used))
	add(s.Metrics.validate("metrics", false, used))
	add(s.Peers.protected("peers", s.PeerCredential != "" || s.Peers.TLS.ClientCA != ""))
	add(s.Admin.protected("admin", s.AdminCredential != ""))
	if s.Admin.Addr != "" && s.AdminCredential == "" {
		add(errors.Newf("-listen-admin: needs a credential in %s or -admin-credential-file", EnvName("admin-credential")))
	}
	add(s.validateAdvertise())
	return wrong
}

func (l *Listener) validate(listener string, required bool, used map[netip.AddrPort]string) error {
	flagName := "listen-" + listener
	if l.Addr == "" && !required {
		return nil
	}
	addr, err := address(flagName, l.Addr)
	if err != nil {
		return err
	}
	if other, ok := used[addr]; ok && addr.Port() != 0 {
		return errors.Newf("-%s (%s): %s is also the address of -%s", flagName, EnvName(flagName), addr, other)
	}
	used[addr] = flagName
	return l.TLS.validate(listener)
}

func (l *Listener) protected(listener string, recognises bool) error {
	addr, err := netip.ParseAddrPort(l.Addr)
	if err != nil || addr.Addr().Unmap().IsLoopback() || l.TLS.Enabled() && recognises {
		return nil
	}
	return errors.Newf("-listen-%s: %s is beyond loopback; it needs -%s-tls-cert, -%s-tls-key and a credential", listener, addr, listener, listener)
}

func (s *Serve) validateAdvertise() error {
	s.Advertise = s.advertiseOverride
	if s.Advertise == "" {
		s.Advertise = s.Peers.Addr
	}
	addr, err := netip.ParseAddrPort(s.Advertise)
	switch {
	case err != nil && s.advertiseOverride == "":
		return nil // -listen-peers is reported already
	case err != nil:
		_, err = address("advertise-peers", s.Advertise)
		return err
	case addr.Addr().IsUnspecified():
		return errors.Newf("-advertise-peers (%s): required when -listen-peers is %s, which other instances can't reach", EnvName("advertise-peers"), s.Peers.Addr)
	}
	return nil
}

// DefaultServe returns the settings with every flag at its default.
func DefaultServe() *Serve {
	s := new(Serve)
	s.Register(flag.NewFlagSet("serve", flag.ContinueOnError))
	return s
}

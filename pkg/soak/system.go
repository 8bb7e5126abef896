// Package soak runs edge instances as separate processes against the stand-in
// platform and injects faults from outside: proxies that delay, reset, silence
// or cut one way, signals, and a store and servers that misbehave. Meanwhile it
// checks the promises that callers and upstreams can see.
package soak

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuestep/fescuestep/pkg/routing"
	"github.com/fescuestep/fescuestep/platform"
	"github.com/fescuestep/fescuestep/platform/standin"
)

// Names in the configuration that the soak writes.
const (
	host      = "soak.example"
	model     = "m"
	keyKept   = "key-that-stays"
	keyTaken  = "key-to-be-withdrawn"
	pathLong  = "/long/"
	pathShort = "/short/"
	pathOrder = "/orders/"
	pathRead  = "/read/"
	events    = 6
)

// process is one edge instance.
type process struct {
	name    string
	ip      string
	file    string // settings
	storeAt *proxy

	mu      sync.Mutex
	cmd     *exec.Cmd
	ended   chan struct{}
	stopped time.Time // when it got SIGTERM; zero: it did not
}

// upstream is a server behind a proxy.
type upstream struct {
	*standin.Upstream
	proxy *proxy
}

// system is everything that one run starts.
type system struct {
	binary    string
	oldBinary string // that instances run first; empty: binary
	dir       string
	store     *standin.Store
	storeHTTP *http.Server
	processes []*process
	engines   []*upstream
	services  []*upstream

	mu      sync.Mutex
	config  routing.Config
	version int // of the weights
}

func newSystem(o Options, network string) (*system, error) {
	dir, err := os.MkdirTemp("", "fescuestep-soak-")
	if err != nil {
		return nil, errors.Wrap(err, "soak")
	}
	s := &system{binary: o.Binary, oldBinary: o.OldBinary, dir: dir, store: standin.NewStore(), version: 1}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "soak store")
	}
	s.storeHTTP = &http.Server{Handler: s.store}
	go func() { _ = s.storeHTTP.Serve(ln) }()
	for i := range 4 {
		o := standin.Options{
			ID: fmt.Sprintf("engine-%d", i), Service: "llm", Zone: "z1", Model: model,
			EventsPerStream: events, EventGap: 15 * time.Millisecond, WeightsLoadTime: 200 * time.Millisecond, PrefillTokensPerMS: 60,
		}
		if err := s.addServer(&s.engines, o); err != nil {
			return nil, err
		}
	}
	for i := range 2 {
		o := standin.Options{ID: fmt.Sprintf("order-%d", i), Service: "orders", Zone: "z1", ServiceTime: 10 * time.Millisecond}
		if err := s.addServer(&s.services, o); err != nil {
			return nil, err
		}
	}
	s.config = initialConfig()
	if err := s.apply(func(*routing.Config) {}); err != nil {
		return nil, err
	}
	for i := range o.Instances {
		p := &process{name: fmt.Sprintf("edge-%d", i), ip: fmt.Sprintf("%s.%d", network, i+1)}
		if p.storeAt, err = newProxy(p.ip+":0", ln.Addr().String()); err != nil {
			return nil, err
		}
		s.processes = append(s.processes, p)
	}
	for _, p := range s.processes {
		if err := s.start(p); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func initialConfig() routing.Config {
	route := func(name, path, service string, kind routing.Kind) routing.Route {
		return routing.Route{
			Name: name, Host: host, Prefix: path, Kind: kind, Split: []routing.WeightedService{{Service: service, Weight: 1}},
			Timeout: 6 * time.Second, TargetLatency: time.Second, MaxAttempts: 1,
		}
	}
	long := route("long", pathLong, "llm", routing.Stream)
	short := route("short", pathShort, "llm", routing.Stream)
	long.HasPrompt, short.HasPrompt = true, true
	short.Resumable, short.MaxAttempts = true, 2
	read := route("read", pathRead, "orders", routing.Safe)
	read.MaxAttempts = 2
	return routing.Config{
		Version: 1,
		Routes:  []routing.Route{long, short, read, route("order", pathOrder, "orders", routing.Unsafe)},
		Services: []routing.Service{
			{Name: "llm", ConnLimit: 200, Engine: &routing.Engine{Slots: 64, KVTokens: 148000, Models: []string{model}}},
			{Name: "orders", ConnLimit: 200},
		},
		Customers: []routing.Customer{{Name: "kept"}, {Name: "taken", Isolated: true}},
		Keys:      map[string]string{keyKept: "kept", keyTaken: "taken"},
		Limits:    routing.DefaultLimits(),
	}
}

// addServer starts a server and lists it under the address of its proxy.
func (s *system) addServer(list *[]*upstream, o standin.Options) error {
	server, err := standin.StartUpstream(s.store, "127.0.0.1:0", o)
	if err != nil {
		return err
	}
	p, err := newProxy("127.0.0.1:0", server.Addr)
	if err != nil {
		return err
	}
	server.Addr = p.addr()
	server.Register()
	*list = append(*list, &upstream{server, p})
	return nil
}

// apply changes the configuration and writes it under the next version.
func (s *system) apply(change func(c *routing.Config)) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.config)
	s.config.Version += 2
	return s.writeConfig()
}

// writeConfig writes the configuration. The caller holds mu.
func (s *system) writeConfig() error {
	raw, err := platform.EncodeConfig(s.config)
	if err != nil {
		return err
	}
	s.store.Put(platform.TableOperator, "config", raw)
	return nil
}

// nameWeights names the next version of the weights.
func (s *system) nameWeights() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	for _, e := range s.engines {
		e.AllowVersion(s.version)
	}
	s.writeWeights()
}

// writeWeights writes the named version of the weights. The caller holds mu.
func (s *system) writeWeights() {
	s.store.Put(platform.TableOperator, "version/"+model, []byte(fmt.Sprintf(`{"model":%q,"version":%d}`, model, s.version)))
}

// writeAgain writes everything that the operator and the servers have in the store.
func (s *system) writeAgain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.writeConfig(); err != nil {
		panic(err) // it was written before
	}
	if s.version > 1 {
		s.writeWeights()
	}
	for _, u := range append(append([]*upstream(nil), s.engines...), s.services...) {
		u.RegisterAgain()
	}
}

// restart ends the leaving of a server: its entry goes, and it is listed again as the
// next process with its ID.
func (u *upstream) restart() {
	u.Unregister()
	time.Sleep(rewriteDelay)
	u.SetLeaving(false)
	u.Register()
}

// start starts the process of an instance.
func (s *system) start(p *process) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	settings := standin.Settings{Name: p.name, Zone: "z1", IP: p.ip, Store: p.storeAt.addr()}
	for _, other := range s.processes[:min(3, len(s.processes))] {
		settings.Seeds = append(settings.Seeds, fmt.Sprintf("%s:%d", other.ip, standin.PortControl))
	}
	p.file = filepath.Join(s.dir, p.name+".toml")
	if err := os.WriteFile(p.file, []byte(settings.TOML()), 0o600); err != nil {
		return errors.Wrap(err, "soak settings")
	}
	log, err := os.OpenFile(filepath.Join(s.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "soak log")
	}
	defer func() { _ = log.Close() }()
	binary := s.binary
	if p.cmd == nil && s.oldBinary != "" {
		binary = s.oldBinary
	}
	cmd := exec.Command(binary, "edge", "-settings-file", p.file)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "soak process")
	}
	ended := make(chan struct{})
	p.cmd, p.ended, p.stopped = cmd, ended, time.Time{}
	go func() {
		_ = cmd.Wait() // killed on purpose, most of the time
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process of an instance.
func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if sig == syscall.SIGTERM {
		p.stopped = time.Now()
	}
	_ = p.cmd.Process.Signal(sig) // it may have ended
}

func (p *process) end() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

func (p *process) running() bool {
	select {
	case <-p.end():
		return false
	default:
		return true
	}
}

func (p *process) callers() string { return fmt.Sprintf("%s:%d", p.ip, standin.PortFront) }

func (p *process) ready() bool {
	resp, err := http.Get(fmt.Sprintf("http://%s:%d%s", p.ip, standin.PortReady, platform.ReadinessPath))
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// close ends everything that the run started.
func (s *system) close(keep bool) {
	for _, p := range s.processes {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.end()
		p.storeAt.close()
	}
	for _, u := range append(s.engines, s.services...) {
		u.proxy.close()
		u.Stop()
	}
	_ = s.storeHTTP.Close()
	if !keep {
		_ = os.RemoveAll(s.dir)
	}
}

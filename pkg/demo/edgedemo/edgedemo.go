// Package edgedemo shows the request path on the users' platform: it starts the
// stand-in of the platform and edge instances in one process, makes real calls
// in the platform's dialect and checks each outcome.
package edgedemo

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/fescuestep/fescuestep/pkg/demo/script"
	"github.com/fescuestep/fescuestep/pkg/routing"
	"github.com/fescuestep/fescuestep/platform"
	"github.com/fescuestep/fescuestep/platform/standin"
)

// Instance is an edge instance that runs until its context ends.
type Instance interface {
	Run(ctx context.Context) error
}

// Starter assembles an instance from the settings that the platform fills in.
type Starter func(s *platform.Settings, log hclog.Logger) (Instance, error)

const (
	// network holds the loopback addresses of the instances.
	network = "127.60.0"
	// prefillPerMS makes the computation of a long prompt visible.
	prefillPerMS = 40
	// loadTime of new weights.
	loadTime = 250 * time.Millisecond
	// awaitLimit ends the wait for something that does not happen.
	awaitLimit = 10 * time.Second
	awaitStep  = 10 * time.Millisecond
)

// node is a running instance.
type node struct {
	name string
	ip   string
	stop context.CancelFunc
	done chan error
	gate *gate
}

// gate stands between an instance and the store.
type gate struct {
	store  http.Handler
	server *http.Server
	closed atomic.Bool // the store turns the instance away
}

func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if g.closed.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	g.store.ServeHTTP(w, r)
}

// newGate returns a gate and its address.
func newGate(store http.Handler) (*gate, string, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, "", errors.Wrap(err, "demo store")
	}
	g := &gate{store: store}
	g.server = &http.Server{Handler: g}
	go func() { _ = g.server.Serve(ln) }()
	return g, ln.Addr().String(), nil
}

// Demo is a running demonstration.
type Demo struct {
	start   Starter
	out     io.Writer
	log     hclog.Logger
	store   *standin.Store
	engines []*standin.Upstream
	orders  *standin.Upstream
	nodes   []*node
	config  routing.Config
	calls   int
}

// Start starts the platform's stand-in and three instances.
func Start(ctx context.Context, start Starter, out io.Writer, log hclog.Logger) (*Demo, error) {
	d := &Demo{start: start, out: out, log: log, store: standin.NewStore(), config: configuration()}
	if err := d.startPlatform(); err != nil {
		d.Close()
		return nil, err
	}
	for i := range 3 {
		if _, err := d.addNode(ctx, fmt.Sprintf("edge-%d", i)); err != nil {
			d.Close()
			return nil, err
		}
	}
	return d, nil
}

func (d *Demo) startPlatform() error {
	for i := range 4 {
		e, err := standin.StartUpstream(d.store, "127.0.0.1:0", standin.Options{
			ID: fmt.Sprintf("engine-%d", i), Service: "llm", Zone: "z1", Model: model,
			EventsPerStream: events, EventGap: 10 * time.Millisecond, WeightsLoadTime: loadTime, PrefillTokensPerMS: prefillPerMS,
		})
		if err != nil {
			return err
		}
		d.engines = append(d.engines, e)
	}
	var err error
	d.orders, err = standin.StartUpstream(d.store, "127.0.0.1:0", standin.Options{ID: "order-0", Service: "orders", Zone: "z1"})
	if err != nil {
		return err
	}
	return d.apply(func(*routing.Config) {})
}

// apply changes the configuration and writes it under the next version.
func (d *Demo) apply(change func(*routing.Config)) error {
	change(&d.config)
	d.config.Version++
	raw, err := platform.EncodeConfig(d.config)
	if err != nil {
		return err
	}
	d.store.Put(platform.TableOperator, "config", raw)
	return nil
}

// addNode starts an instance and waits until it is ready.
func (d *Demo) addNode(ctx context.Context, name string) (*node, error) {
	n := &node{name: name, ip: fmt.Sprintf("%s.%d", network, len(d.nodes)+1), done: make(chan error, 1)}
	g, storeAt, err := newGate(d.store)
	if err != nil {
		return nil, err
	}
	n.gate = g
	file := standin.Settings{Name: name, Zone: "z1", IP: n.ip, Store: storeAt}
	for _, other := range d.nodes {
		file.Seeds = append(file.Seeds, fmt.Sprintf("%s:%d", other.ip, standin.PortControl))
	}
	settings, err := platform.ParseSettings([]byte(file.TOML()))
	if err != nil {
		return nil, err
	}
	instance, err := d.start(settings, d.log.Named(name))
	if err != nil {
		return nil, err
	}
	running, cancel := context.WithCancel(ctx)
	n.stop = cancel
	go func() { n.done <- instance.Run(running) }()
	d.nodes = append(d.nodes, n)
	return n, await(ctx, name+" is ready", n.ready)
}

func (n *node) ready() bool {
	resp, err := http.Get(fmt.Sprintf("http://%s:%d%s", n.ip, standin.PortReady, platform.ReadinessPath))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// await waits for a condition.
func await(ctx context.Context, what string, ok func() bool) error {
	for end := time.Now().Add(awaitLimit); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(awaitStep) {
		if ok() {
			return nil
		}
	}
	return errors.Newf("gave up waiting: %s", what)
}

// Close stops everything.
func (d *Demo) Close() {
	for _, n := range d.nodes {
		n.stop()
		if err := <-n.done; err != nil {
			d.log.Warn("instance ended", "instance", n.name, "error", err)
		}
		_ = n.gate.server.Close()
	}
	for _, e := range d.engines {
		e.Stop()
	}
	if d.orders != nil {
		d.orders.Stop()
	}
}

// Run makes all calls and prints an account of them.
func (d *Demo) Run(ctx context.Context) error { return script.Run(ctx, d.out, d, steps) }

// Describe prints the addresses and a line for curl.
func (d *Demo) Describe() {
	for _, n := range d.nodes {
		fmt.Fprintf(d.out, "%-8s callers %s:%d  readiness and metrics %s:%d\n", n.name, n.ip, standin.PortFront, n.ip, standin.PortReady)
	}
	fmt.Fprintf(d.out, `
  curl -sN http://%s:%d%s -X POST -H 'Host: %s' -H 'Authorization: Bearer %s' \
    -H 'Request-Id: 1' -H 'Deadline-Ms: 4000' -H 'Model-Name: %s' -H 'Token-Count: 9000,20' -H 'Prompt-Prefix: a1:8000,b2:1000'

`, d.nodes[0].ip, standin.PortFront, pathLong, host, keyBig, model)
}

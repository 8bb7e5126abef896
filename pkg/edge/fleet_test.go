package edge_test

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/fescuestep/fescuestep/pkg/edge"
	"github.com/fescuestep/fescuestep/pkg/httpconn"
	"github.com/fescuestep/fescuestep/pkg/metrics"
	"github.com/fescuestep/fescuestep/pkg/metrics/collect"
	"github.com/fescuestep/fescuestep/pkg/netopt"
	"github.com/fescuestep/fescuestep/pkg/release"
	"github.com/fescuestep/fescuestep/pkg/routing"
	"github.com/fescuestep/fescuestep/platform"
	"github.com/fescuestep/fescuestep/platform/standin"
)

// testFleet is a stand-in of the platform and its upstreams, with instances that run
// in the test process.
type testFleet struct {
	t         *testing.T
	store     *standin.Store
	storeAddr string
	storeLink *link          // of instances that start, to the store; nil: TCP
	coreLink  *link          // of instances that start, to the store and to other instances; nil: TCP and UDP
	network   *narrowNetwork // of instances that start, for what they read; nil: TCP
	domain    string         // failure domain of instances that start; empty: z1
	instances []*testInstance
	engines   []*standin.Upstream
	orders    *standin.Upstream
	admission edge.AdmissionMode // of instances that start
	config    routing.Config
	profiles  bool           // of instances that start
	retries   int            // that instances which start may make in 10 s, besides a fifth of their requests
	bounds    release.Bounds // of rollouts of software
}

const (
	keyBig   = "key-of-big"
	keySmall = "key-of-small"
)

func newTestFleet(t *testing.T, engines int) *testFleet {
	fleet := &testFleet{t: t, store: standin.NewStore(), bounds: release.DefaultBounds(), retries: 50}
	server := &http.Server{Handler: fleet.store}
	ln := listen(t)
	fleet.storeAddr = ln.Addr().String()
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = server.Close() })
	for i := range engines {
		fleet.engines = append(fleet.engines, fleet.startUpstream(standin.Options{
			ID: fmt.Sprintf("e%d", i), Service: "llm", Zone: "z1", Model: "m", EventsPerStream: 5, WeightsLoadTime: 50 * time.Millisecond,
		}))
	}
	fleet.orders = fleet.startUpstream(standin.Options{ID: "o0", Service: "orders", Zone: "z1"})
	fleet.config = routing.Config{
		Version: 1,
		Routes: []routing.Route{
			{
				Name: "long", Host: "a.example", Prefix: "/long/", Kind: routing.Stream, HasPrompt: true, MaxAttempts: 1,
				Split: []routing.WeightedService{{Service: "llm", Weight: 1}}, Timeout: 5 * time.Second, TargetLatency: 2 * time.Second,
			},
			{
				Name: "short", Host: "a.example", Prefix: "/short/", Kind: routing.Stream, HasPrompt: true, MaxAttempts: 2, Resumable: true,
				Split: []routing.WeightedService{{Service: "llm", Weight: 1}}, Timeout: 5 * time.Second, TargetLatency: 2 * time.Second,
			},
			{
				Name: "order", Host: "a.example", Prefix: "/orders/", Kind: routing.Unsafe, MaxAttempts: 1,
				Split: []routing.WeightedService{{Service: "orders", Weight: 1}}, Timeout: 5 * time.Second,
			},
			{
				Name: "read", Host: "a.example", Prefix: "/read/", Kind: routing.Safe, MaxAttempts: 2, Public: true,
				Split: []routing.WeightedService{{Service: "orders", Weight: 1}}, Timeout: 5 * time.Second, TargetLatency: 2 * time.Second,
			},
		},
		Services: []routing.Service{
			{Name: "llm", ConnLimit: 100, Engine: &routing.Engine{Slots: 64, KVTokens: 100000, Models: []string{"m"}}},
			{Name: "orders", ConnLimit: 100},
		},
		Customers: []routing.Customer{{Name: "big", Isolated: true}, {Name: "small", Rate: 1000, Burst: 1000}},
		Keys:      map[string]string{keyBig: "big", keySmall: "small"},
		Limits:    routing.DefaultLimits(),
	}
	fleet.applyConfig()
	return fleet
}

func (fleet *testFleet) startUpstream(o standin.Options) *standin.Upstream {
	s, err := standin.StartUpstream(fleet.store, "127.0.0.1:0", o)
	if err != nil {
		fleet.t.Fatal(err)
	}
	fleet.t.Cleanup(s.Stop)
	return s
}

// applyConfig writes the configuration to the store under the next version.
func (fleet *testFleet) applyConfig() {
	fleet.config.Version++
	raw, err := platform.EncodeConfig(fleet.config)
	if err != nil {
		fleet.t.Fatal(err)
	}
	fleet.store.Put("op", "config", raw)
}

func listen(t *testing.T) net.Listener {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return ln
}

// freeAddr returns an address whose port is free for TCP and UDP. The IP belongs to this
// process, since the packages' tests run side by side.
func freeAddr(t *testing.T) netip.AddrPort {
	pid := os.Getpid()
	host := netip.AddrFrom4([4]byte{127, byte(100 + pid>>16), byte(pid >> 8), byte(pid)})
	for {
		ln, err := net.Listen("tcp4", netip.AddrPortFrom(host, 0).String())
		if err != nil {
			t.Fatal(err)
		}
		addr := netip.MustParseAddrPort(ln.Addr().String())
		udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
		_ = ln.Close()
		if err == nil {
			_ = udp.Close()
		}
		if _, used := usedAddrs.LoadOrStore(addr, true); err == nil && !used {
			return addr
		}
	}
}

// usedAddrs holds the addresses that freeAddr has returned.
var usedAddrs sync.Map

// testInstance is a running instance.
type testInstance struct {
	options edge.Options
	stop    context.CancelFunc
	done    chan error
	log     *syncBuffer
}

// syncBuffer is a bytes.Buffer that is safe for concurrent use.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

func (fleet *testFleet) startInstance(name string, seeds ...string) *testInstance {
	return fleet.startInstanceBehind(nil, name, seeds...)
}

// startInstanceBehind starts an instance that dials upstreams over a link; nil: by TCP.
func (fleet *testFleet) startInstanceBehind(l *link, name string, seeds ...string) *testInstance {
	o := edge.Options{
		Admission: fleet.admission,
		Name:      name, Domain: cmp.Or(fleet.domain, "z1"), CallerAddr: freeAddr(fleet.t), ReadinessAddr: freeAddr(fleet.t), ReadinessPath: platform.ReadinessPath,
		ControlAddr: freeAddr(fleet.t), PeerAddr: freeAddr(fleet.t), Seeds: seeds, MemoryBytes: 128 << 20,
		ShutdownGrace: 3 * time.Second, WeightsDeadline: 6 * time.Second, StartupGrace: 3 * time.Second, LeaderOrderGap: 3 * time.Second, EnginesCheckFencing: true,
		Retries:       edge.RetryBounds{Ratio: 0.2, Window: 10 * time.Second, Extra: fleet.retries},
		Profiles:      fleet.profiles,
		Releases:      fleet.bounds,
		InstanceTable: platform.TableInstances, QuarantineTable: platform.TableQuarantines, VersionTable: platform.TableVersions,
	}
	dial := netopt.Dialer(time.Second).DialContext
	m := metrics.New()
	out := &syncBuffer{}
	dialStore := dial
	var listenDigests func(netip.AddrPort) (edge.DigestConn, error)
	if fleet.storeLink != nil {
		dialStore = fleet.storeLink.dial
	}
	if fleet.coreLink != nil {
		dialStore, listenDigests = fleet.coreLink.dial, fleet.coreLink.listenDigests
	}
	var dialUpstream, dialInstance httpconn.DialFunc
	if fleet.network != nil {
		dialInstance = fleet.network.add(o.ControlAddr.String())
		dialStore = dialInstance
		o.LinkMbps = narrowMbps
	}
	dialEngine := dial
	if l != nil {
		dialUpstream, dialEngine = l.dial, l.dial
	}
	i, err := edge.New(o, edge.Dependencies{
		DialUpstream: dialUpstream, DialInstance: dialInstance, ListenDigests: listenDigests,
		Dialect: platform.HeaderCodec{}, Store: platform.NewStore(fleet.storeAddr, dialStore), Decoder: platform.Decoder{},
		Engines: platform.NewEngineClient(name, dialEngine), RequestMetrics: collect.Requests(m), ServiceMetrics: m, MetricsHandler: m.Handler(),
		Log: hclog.New(&hclog.LoggerOptions{Output: out, JSONFormat: true}),
	})
	if err != nil {
		fleet.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	instance := &testInstance{options: o, stop: cancel, done: make(chan error, 1), log: out}
	go func() { instance.done <- i.Run(ctx) }()
	fleet.t.Cleanup(func() {
		cancel()
		select {
		case <-instance.done:
		default:
			<-instance.done
		}
		_ = m.Close()
	})
	fleet.await("the instance is ready", instance.ready)
	return instance
}

func (instance *testInstance) ready() bool {
	resp, err := http.Get("http://" + instance.options.ReadinessAddr.String() + platform.ReadinessPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// await polls a condition and fails the test after 15 s. The limit is far above the
// expected time.
func (fleet *testFleet) await(what string, ok func() bool) {
	fleet.t.Helper()
	for range 1500 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	fleet.t.Fatalf("timed out waiting until %s", what)
}

// reply is the response that a caller received.
type reply struct {
	status int
	header http.Header
	body   string
	err    error // from sending the request or reading the response
}

var ids int
var idsMu sync.Mutex

func nextID() string {
	idsMu.Lock()
	defer idsMu.Unlock()
	ids++
	return fmt.Sprintf("r%d", ids)
}

func (instance *testInstance) request(method, path, key, body string, header ...string) (string, reply) {
	return requestAt(instance.options.CallerAddr, method, path, key, body, header...)
}

// requestAt sends a request to an address.
func requestAt(addr netip.AddrPort, method, path, key, body string, header ...string) (string, reply) {
	id := nextID()
	req, err := http.NewRequest(method, "http://"+addr.String()+path, strings.NewReader(body))
	if err != nil {
		return id, reply{err: err}
	}
	req.Host = "a.example"
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", "5000")
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	transport := &http.Transport{DisableCompression: true, DisableKeepAlives: true}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return id, reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	return id, reply{resp.StatusCode, resp.Header, string(raw), err}
}

func (instance *testInstance) prompt(path, key string) (string, reply) {
	return instance.request(http.MethodPost, path, key, "prompt", "Model-Name", "m", "Token-Count", "300,20", "Prompt-Prefix", "aa:200,bb:100")
}

// streamBody returns the body that an engine sends for a request.
func streamBody(id string, events int) string {
	var b strings.Builder
	for i := 1; i <= events; i++ {
		b.WriteString(standin.Event(id, i))
	}
	return b.String()
}

// countRuns returns how often the upstreams executed a request.
func countRuns(upstreams []*standin.Upstream, id string) int {
	n := 0
	for _, s := range upstreams {
		for _, a := range s.ReceivedRequests() {
			if a.ID == id && a.Executed {
				n++
			}
		}
	}
	return n
}

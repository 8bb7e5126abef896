package hostile

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuestep/fescuestep/pkg/routing"
	"github.com/fescuestep/fescuestep/platform"
	"github.com/fescuestep/fescuestep/platform/standin"
)

const (
	// edgeMemory and edgeDescriptors are what the settings file gives the instance, and
	// so the bounds of the tests. The crowds are larger than the first allows to hold and,
	// in one test, larger than the second.
	edgeMemoryMB    = 64
	edgeDescriptors = 1024
	edgeClients     = 360
	edgeFields      = 3200
	edgeBody        = 256 << 10
	largeAnswer     = 1 << 20
	keyOrdinary     = "key-of-an-ordinary-caller"
	keyHostile      = "key-of-a-hostile-caller"
)

// edge is an instance of `fescuestep edge` with its platform.
type edge struct {
	*process
	ip string
}

func startEdge(t *testing.T, memoryMB, descriptors int) *edge {
	t.Helper()
	store := standin.NewStore()
	server := &http.Server{Handler: store}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = server.Close() })
	orders, err := standin.StartUpstream(store, "127.0.0.1:0", standin.Options{ID: "o0", Service: "orders", Zone: "z1"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(orders.Stop)
	large, err := standin.StartUpstream(store, "127.0.0.1:0", standin.Options{ID: "l0", Service: "large", Zone: "z1"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(large.Stop)
	answer := []byte(strings.Repeat("l", largeAnswer))
	large.SetHandler(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Server-Seal", standin.Seal("l0", r.Header.Get("Request-Id")))
		_, _ = w.Write(answer)
	})
	raw, err := platform.EncodeConfig(edgeConfig())
	if err != nil {
		t.Fatal(err)
	}
	store.Put(platform.TableOperator, "config", raw)
	pid := os.Getpid()
	e := &edge{ip: fmt.Sprintf("127.%d.%d.77", 210+pid%20, pid/20%250)}
	text := standin.Settings{Name: "edge-0", Zone: "z1", IP: e.ip, Store: ln.Addr().String()}.TOML()
	text = strings.Replace(text, "memory_mb = 128", fmt.Sprintf("memory_mb = %d", memoryMB), 1)
	text = strings.Replace(text, "fd_limit = 4100", fmt.Sprintf("fd_limit = %d", descriptors), 1)
	file := filepath.Join(t.TempDir(), "settings.toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	e.process = startProcess(t, nil, "edge", "-settings-file", file)
	await(t, "the instance is ready", func() bool { return e.get(standin.PortReady, platform.ReadinessPath) == nil && e.order() == nil })
	return e
}

func edgeConfig() routing.Config {
	limits := routing.DefaultLimits()
	limits.BodyBytes = edgeBody
	route := func(name, service string) routing.Route {
		return routing.Route{
			Name: name, Host: "hostile.example", Prefix: "/" + name + "/", Kind: routing.Safe, MaxAttempts: 1,
			Split: []routing.WeightedService{{Service: service, Weight: 1}}, Timeout: 20 * time.Second, TargetLatency: time.Second,
		}
	}
	return routing.Config{
		Version: 1, Routes: []routing.Route{route("orders", "orders"), route("large", "large")},
		Services:  []routing.Service{{Name: "orders", ConnLimit: 100}, {Name: "large", ConnLimit: 400}},
		Customers: []routing.Customer{{Name: "ordinary"}, {Name: "hostile"}},
		Keys:      map[string]string{keyOrdinary: "ordinary", keyHostile: "hostile"},
		Limits:    limits,
	}
}

func (e *edge) addr(port int) string { return fmt.Sprintf("%s:%d", e.ip, port) }

// order sends an ordinary request with a body.
func (e *edge) order() error {
	return ordinary(http.MethodPost, "http://"+e.addr(standin.PortFront)+"/orders/", keyOrdinary, "x", http.StatusOK)
}

func (e *edge) get(port int, path string) error {
	return ordinary(http.MethodGet, "http://"+e.addr(port)+path, "", "", http.StatusOK)
}

// ordinary sends a request on a connection of its own.
func ordinary(method, url, key, body string, want int) error {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Host = "hostile.example"
	req.Header.Set("Request-Id", "ordinary")
	req.Header.Set("Deadline-Ms", "2000")
	req.Header.Set("Authorization", "Bearer "+key)
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	if resp.StatusCode != want {
		return errors.Newf("status %d", resp.StatusCode)
	}
	return nil
}

// targets returns every place that a caller of the instance can reach.
func (e *edge) targets(k Kind) []Target {
	header := "Authorization: Bearer " + keyHostile + "\r\nDeadline-Ms: 20000\r\n"
	routed := "/orders/"
	if k == SlowReader || k == Pipelined {
		routed = "/large/"
	}
	at := func(port int, path string) Target {
		return Target{Addr: e.addr(port), Method: http.MethodPost, Path: path, Header: header, Body: edgeBody, Fields: edgeFields}
	}
	const portForwards = 7600
	withoutKey := at(standin.PortFront, routed)
	withoutKey.Header = "Deadline-Ms: 20000\r\n"
	return []Target{
		at(standin.PortFront, routed), withoutKey, at(standin.PortFront, "/nowhere/"), at(portForwards, routed),
		at(standin.PortReady, platform.ReadinessPath), at(standin.PortReady, "/metrics"), at(standin.PortControl, "/twirp/fescuestep.edge.Edge/State"),
	}
}

// survive plays a crowd and checks that the instance lives within its settings and answers.
func survive(t *testing.T, k Kind, descriptors int) {
	t.Helper()
	e := startEdge(t, edgeMemoryMB, descriptors)
	crowd, err := Start(t.Context(), k, edgeClients, e.targets(k)...)
	if err != nil {
		t.Fatal(err)
	}
	defer crowd.Close()
	crowd.AwaitPlayed(playLimit)
	time.Sleep(holdTime)
	try(t, "an ordinary request", e.order)
	try(t, "a readiness check", func() error { return e.get(standin.PortReady, platform.ReadinessPath) })
	try(t, "a look at the metrics", func() error { return e.get(standin.PortReady, "/metrics") })
	e.check(edgeMemoryMB<<20, descriptors)
}

// TestEdgeSurvivesStalledBody guards against bodies of legal size that lack their last byte and hold all memory for bodies.
func TestEdgeSurvivesStalledBody(t *testing.T) { survive(t, StalledBody, edgeDescriptors) }

// TestEdgeSurvivesStalledPieces guards against the same in small pieces.
func TestEdgeSurvivesStalledPieces(t *testing.T) { survive(t, StalledPieces, edgeDescriptors) }

// TestEdgeSurvivesStalledChunks guards against the same in chunks, whose length is not known before.
func TestEdgeSurvivesStalledChunks(t *testing.T) { survive(t, StalledChunks, edgeDescriptors) }

// TestEdgeSurvivesHugeBody guards against bodies that are read although they are far over the limit.
func TestEdgeSurvivesHugeBody(t *testing.T) { survive(t, HugeBody, edgeDescriptors) }

// TestEdgeSurvivesHugeChunks guards against the same in chunks.
func TestEdgeSurvivesHugeChunks(t *testing.T) { survive(t, HugeChunks, edgeDescriptors) }

// TestEdgeSurvivesManyFields guards against header fields that take many times their size in memory.
func TestEdgeSurvivesManyFields(t *testing.T) { survive(t, ManyFields, edgeDescriptors) }

// TestEdgeSurvivesPipelined guards against answers that pile up because nobody reads them.
func TestEdgeSurvivesPipelined(t *testing.T) { survive(t, Pipelined, edgeDescriptors) }

// TestEdgeSurvivesSlowSender guards against connections that send a byte now and then.
func TestEdgeSurvivesSlowSender(t *testing.T) { survive(t, SlowSender, edgeDescriptors) }

// TestEdgeSurvivesSlowReader guards against large answers that are read a few bytes at a time.
func TestEdgeSurvivesSlowReader(t *testing.T) { survive(t, SlowReader, edgeDescriptors) }

// TestEdgeSurvivesHalfHead guards against more connections than there are descriptors.
func TestEdgeSurvivesHalfHead(t *testing.T) { survive(t, HalfHead, edgeClients-60) }

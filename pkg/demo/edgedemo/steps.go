package edgedemo

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuestep/fescuestep/pkg/demo/script"
	"github.com/fescuestep/fescuestep/pkg/routing"
	"github.com/fescuestep/fescuestep/platform/standin"
)

// Names in the configuration.
const (
	host      = "demo.example"
	model     = "m"
	keyBig    = "key-of-big"
	keySmall  = "key-of-small"
	pathLong  = "/long/"
	pathOrder = "/orders/"
	events    = 5
	// smallRate is in tokens per second.
	smallRate = 500
)

func configuration() routing.Config {
	return routing.Config{
		Version: 1,
		Routes: []routing.Route{
			{
				Name: "long", Host: host, Prefix: pathLong, Kind: routing.Stream, HasPrompt: true, MaxAttempts: 1,
				Split: []routing.WeightedService{{Service: "llm", Weight: 1}}, Timeout: 5 * time.Second, TargetLatency: 2 * time.Second,
			},
			{
				Name: "order", Host: host, Prefix: pathOrder, Kind: routing.Unsafe, MaxAttempts: 1,
				Split: []routing.WeightedService{{Service: "orders", Weight: 1}}, Timeout: 5 * time.Second,
			},
		},
		Services: []routing.Service{
			{Name: "llm", ConnLimit: 100, Engine: &routing.Engine{
				Slots: 64, KVTokens: 148_000, TokenBytes: 163_840, LinkMbps: 1_100_000, Models: []string{model},
			}},
			{Name: "orders", ConnLimit: 100},
		},
		Customers: []routing.Customer{{Name: "big"}, {Name: "small", Rate: smallRate, Burst: smallRate}},
		Keys:      map[string]string{keyBig: "big", keySmall: "small"},
		Limits:    routing.DefaultLimits(),
	}
}

var steps = []script.Step[*Demo]{
	{Name: "A long prompt is computed once for all instances", Run: (*Demo).sharedPrompt},
	{Name: "An order reaches its service once, with the proof of the server", Run: (*Demo).order},
	{Name: "A customer over its rate is refused and told when to come back", Run: (*Demo).overRate},
	{Name: "New weights reach every engine and the next request", Run: (*Demo).newWeights},
	{Name: "A leaving engine gets nothing more", Run: (*Demo).leavingEngine},
	{Name: "A withdrawn key stops working while the store turns an instance away", Run: (*Demo).withdrawnKey},
	{Name: "An instance starts and serves while the store is away", Run: (*Demo).storeAway},
}

// reply is what a caller got.
type reply struct {
	status int
	header http.Header
	body   string
	first  time.Duration // until the first byte of the body
}

// call sends a request to an instance.
func (d *Demo) call(ctx context.Context, n *node, path, key string, header ...string) (string, reply, error) {
	d.calls++
	id := fmt.Sprintf("call-%d", d.calls)
	url := fmt.Sprintf("http://%s:%d%s", n.ip, standin.PortFront, path)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(nil))
	if err != nil {
		return id, reply{}, err
	}
	req.Host = host
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", "4000")
	req.Header.Set("Authorization", "Bearer "+key)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	started := time.Now()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return id, reply{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	one := make([]byte, 1)
	_, err = io.ReadFull(resp.Body, one)
	first := time.Since(started)
	if errors.Is(err, io.EOF) {
		return id, reply{resp.StatusCode, resp.Header, "", first}, nil
	}
	rest, err := io.ReadAll(resp.Body)
	return id, reply{resp.StatusCode, resp.Header, string(one) + string(rest), first}, err
}

func (d *Demo) prompt(ctx context.Context, n *node, key, prefix string, tokens int) (string, reply, error) {
	return d.call(ctx, n, pathLong, key, "Model-Name", model, "Token-Count", fmt.Sprintf("%d,20", tokens), "Prompt-Prefix", prefix)
}

// served checks that a stream is whole.
func served(id string, r reply, err error) error {
	want := ""
	for i := range events {
		want += standin.Event(id, i+1)
	}
	switch {
	case err != nil:
		return err
	case r.status != http.StatusOK || r.body != want:
		return errors.Newf("%s: status %d, %d of %d bytes: %.200s", id, r.status, len(r.body), len(want), r.body)
	case !strings.Contains(r.header.Get("Server-Seal"), id):
		return errors.New("the answer carries no proof")
	}
	return nil
}

func (d *Demo) sharedPrompt(ctx context.Context) (string, error) {
	var took []time.Duration
	for i, n := range d.nodes {
		id, r, err := d.prompt(ctx, n, keyBig, fmt.Sprintf("a1:12000,b%d:400", i), 12_400)
		if err := served(id, r, err); err != nil {
			return "", errors.Wrap(err, n.name)
		}
		took = append(took, r.first.Round(time.Millisecond))
	}
	computed := 0
	for _, e := range d.engines {
		computed += e.ComputedTokens()
	}
	const once = 12_000 + 3*400
	if computed != once {
		return "", errors.Newf("the engines computed %d tokens, expected %d", computed, once)
	}
	return fmt.Sprintf("12,400 tokens, 12,000 of them shared: %d computed; first bytes at three instances after %v", computed, took), nil
}

func (d *Demo) order(ctx context.Context) (string, error) {
	id, r, err := d.call(ctx, d.nodes[1], pathOrder, keyBig)
	if err != nil {
		return "", err
	}
	if r.body != standin.PlainBody(id) || r.header.Get("Server-Seal") != standin.Seal("order-0", id) {
		return "", errors.Newf("status %d, body %q", r.status, r.body)
	}
	ran := 0
	for _, a := range d.orders.ReceivedRequests() {
		if a.ID == id && a.Executed {
			ran++
		}
	}
	if ran != 1 {
		return "", errors.Newf("the order ran %d times", ran)
	}
	return fmt.Sprintf("%s ran once; proof %s", id, r.header.Get("Server-Seal")), nil
}

func (d *Demo) overRate(ctx context.Context) (string, error) {
	for range 20 {
		_, r, err := d.prompt(ctx, d.nodes[0], keySmall, "c1:400", 400)
		if err != nil {
			return "", err
		}
		if r.status == http.StatusTooManyRequests {
			return fmt.Sprintf("status 429, Retry-After: %s", r.header.Get("Retry-After")), nil
		}
	}
	return "", errors.Newf("20 requests of 420 tokens pass at %d tokens a second", smallRate)
}

func (d *Demo) newWeights(ctx context.Context) (string, error) {
	started := time.Now()
	const version = 2
	for _, e := range d.engines {
		e.AllowVersion(version)
	}
	d.store.Put("op", "version/"+model, fmt.Appendf(nil, `{"model":%q,"version":%d}`, model, version))
	err := await(ctx, "all engines have the new weights", func() bool {
		for _, e := range d.engines {
			if e.Version() != version {
				return false
			}
		}
		return true
	})
	if err != nil {
		return "", err
	}
	took := time.Since(started).Round(time.Millisecond)
	id, r, err := d.prompt(ctx, d.nodes[2], keyBig, "a1:12000,b9:400", 12_400)
	if err := served(id, r, err); err != nil {
		return "", err
	}
	if got := r.header.Get("Weight-Versions"); got != fmt.Sprint(version) {
		return "", errors.Newf("answered with weights %q", got)
	}
	return fmt.Sprintf("%d engines in %v; the next answer has Weight-Versions: %d", len(d.engines), took, version), nil
}

func (d *Demo) leavingEngine(ctx context.Context) (string, error) {
	leaving := d.engines[0]
	leaving.Drain()
	time.Sleep(500 * time.Millisecond) // two changes of state between instances
	before := len(leaving.ReceivedRequests())
	for i := range 12 {
		id, r, err := d.prompt(ctx, d.nodes[i%len(d.nodes)], keyBig, fmt.Sprintf("d%d:200", i), 200)
		if err := served(id, r, err); err != nil {
			return "", err
		}
	}
	if got := len(leaving.ReceivedRequests()) - before; got > 0 {
		return "", errors.Newf("the leaving engine got %d of 12 requests", got)
	}
	return "12 requests served by the others", nil
}

func (d *Demo) withdrawnKey(ctx context.Context) (string, error) {
	cut := d.nodes[2]
	cut.gate.closed.Store(true)
	defer cut.gate.closed.Store(false)
	started := time.Now()
	if err := d.apply(func(c *routing.Config) { delete(c.Keys, keySmall) }); err != nil {
		return "", err
	}
	status := 0
	err := await(ctx, "the key is refused", func() bool {
		_, r, err := d.prompt(ctx, cut, keySmall, "e1:10", 10)
		status = r.status
		return err == nil && status == http.StatusUnauthorized
	})
	if err != nil {
		return "", errors.Wrapf(err, "last status %d", status)
	}
	return fmt.Sprintf("status 401 at %s after %v", cut.name, time.Since(started).Round(time.Millisecond)), nil
}

func (d *Demo) storeAway(ctx context.Context) (string, error) {
	d.store.SetDown(true)
	defer d.store.SetDown(false)
	started := time.Now()
	n, err := d.addNode(ctx, "edge-late")
	if err != nil {
		return "", err
	}
	id, r, err := d.prompt(ctx, n, keyBig, "f1:500", 500)
	if err := served(id, r, err); err != nil {
		return "", err
	}
	return fmt.Sprintf("%s is ready and serves after %v, with state from %s", n.name, time.Since(started).Round(time.Millisecond), d.nodes[0].name), nil
}

package router

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/fescuestep/fescuestep/pkg/chain"
	"github.com/fescuestep/fescuestep/pkg/code"
	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/engine"
	"github.com/fescuestep/fescuestep/pkg/filter/accounting"
	"github.com/fescuestep/fescuestep/pkg/filter/endpoint"
	"github.com/fescuestep/fescuestep/pkg/filter/ratelimit"
	"github.com/fescuestep/fescuestep/pkg/keys"
	"github.com/fescuestep/fescuestep/pkg/order"
	"github.com/fescuestep/fescuestep/pkg/upstream"
)

// Secrets of the two customers.
var (
	testKey, mairieKey = keys.Create("mairie", "", time.Unix(0, 0))
	otherKey, otherRow = keys.Create("other", "", time.Unix(0, 0))
)

func deployment() *config.Deployment {
	return &config.Deployment{
		Name: "ucab",
		Customers: []config.Customer{
			{ID: "mairie", CacheScope: "scope-mairie", Applications: []string{"plume", "atelier"}},
			{ID: "other", CacheScope: "scope-other", WhenUnconfirmed: config.ServeLastKnown, Applications: []string{"plume"}},
		},
		Applications: []config.Application{
			{ID: "plume", Kind: config.Model, Pool: "plume", Model: "greeting-1", Adapter: "cards", Timeout: 30 * time.Second},
			{ID: "atelier", Kind: config.Service, Pool: "atelier", Timeout: 30 * time.Second, Routes: []config.Route{
				{Method: http.MethodGet, Path: "/status", Open: true, Idempotent: true},
				{Method: http.MethodGet, Path: "/orders", Idempotent: true},
				{Method: http.MethodPost, Path: "/orders", OrderField: "order_no"},
			}},
		},
		Pools: []config.Pool{
			{Name: "plume", Kind: config.Model, Weights: "w1", BlockTokens: 16},
			{Name: "atelier", Kind: config.Service},
		},
	}
}

// state is a configuration that tests change.
type state struct {
	mu      sync.Mutex
	snap    *config.Snapshot
	changed chan struct{}
	stale   atomic.Bool
}

func newState() *state {
	snap := config.Restore(1, []*config.Deployment{deployment()}, []*config.Key{&mairieKey, &otherRow}, config.Membership{})
	return &state{snap: snap, changed: make(chan struct{})}
}

func (s *state) Fresh() bool { return !s.stale.Load() }

func (s *state) Snapshot() *config.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snap
}

func (s *state) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

func (s *state) revoke(secret string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := *s.snap.Keys[config.DigestOf(secret)]
	key.Revoked = true
	next, err := s.snap.Apply(config.Change{Revision: s.snap.Revision + 1, Key: &key})
	if err != nil {
		panic(err)
	}
	s.snap = next
	close(s.changed)
	s.changed = make(chan struct{})
}

// limiter grants everything and sums what was settled.
type limiter struct {
	taken, used atomic.Int64
}

type charge struct{ l *limiter }

func (l *limiter) Take(_ context.Context, _ *config.Customer, tokens int) (ratelimit.Charge, error) {
	l.taken.Add(int64(tokens))
	return charge{l}, nil
}

func (c charge) Settle(used int) { c.l.used.Add(int64(used)) }

// pools offers fixed upstreams in order.
type pools struct {
	mu      sync.Mutex
	targets map[string][]chain.Target
	open    atomic.Int64 // slots not yet done
	results []upstream.Result
}

type slot struct {
	p *pools
	t chain.Target
}

func (p *pools) Acquire(_ context.Context, q upstream.Query) (endpoint.Slot, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range p.targets[q.Pool] {
		if !slices.Contains(q.Exclude, t.ID) {
			p.open.Add(1)
			return slot{p, t}, nil
		}
	}
	return nil, code.New(code.NoUpstream, "no upstream is left")
}

func (s slot) Target() chain.Target { return s.t }
func (s slot) FirstToken(int)       {}

func (s slot) Done(r upstream.Result) {
	s.p.mu.Lock()
	s.p.results = append(s.p.results, r)
	s.p.mu.Unlock()
	s.p.open.Add(-1)
}

// metrics keeps the result codes.
type metrics struct {
	mu    sync.Mutex
	codes []code.Code
}

func (m *metrics) Count(c accounting.Counter, l accounting.Labels, _ int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c == accounting.Requests {
		m.codes = append(m.codes, l.Code)
	}
}

func (m *metrics) Observe(accounting.Histogram, accounting.Labels, time.Duration) {}

// directOrders sends orders without a table.
type directOrders struct{}

func (directOrders) Do(ctx context.Context, _ order.Request, send func(context.Context) order.Outcome) (*chain.Response, error) {
	o := send(context.WithoutCancel(ctx))
	if o.Err != nil {
		return nil, o.Err
	}
	return o.Response, nil
}

// instance is a running router with the fakes around it.
type instance struct {
	state   *state
	limiter *limiter
	pools   *pools
	metrics *metrics
	url     string
	stop    func() error // graceful, waits for the end
}

// start runs a router in front of upstreams given per pool.
func start(t testing.TB, upstreams map[string][]http.Handler, adjust func(*Parts, *Options)) *instance {
	t.Helper()
	in := &instance{state: newState(), limiter: &limiter{}, pools: &pools{targets: map[string][]chain.Target{}}, metrics: &metrics{}}
	for pool, handlers := range upstreams {
		for i, h := range handlers {
			srv := httptest.NewServer(h)
			t.Cleanup(srv.Close)
			target := chain.Target{ID: fmt.Sprintf("%s-%d", pool, i), Addr: srv.Listener.Addr().String()}
			in.pools.targets[pool] = append(in.pools.targets[pool], target)
		}
	}
	client := engine.NewClient(engine.Options{})
	p := Parts{
		State: in.state, Limiter: in.limiter, Pools: in.pools, Orders: directOrders{}, Client: client,
		Metrics: in.metrics, Log: hclog.NewNullLogger(),
	}
	o := DefaultOptions("rennes")
	o.Listener.DrainDelay = 0
	if adjust != nil {
		adjust(&p, &o)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	in.url = "http://" + ln.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	result := make(chan error, 1)
	go func() { result <- New(p, o).Serve(ctx, ln) }()
	in.stop = sync.OnceValue(func() error {
		cancel()
		err := <-result
		client.Close()
		return err
	})
	t.Cleanup(func() { _ = in.stop() })
	return in
}

// engineFake streams the words of a greeting as an engine does.
type engineFake struct {
	words int
	event func(seq int, id string) // called before each event
	edit  func(seq int, line string) string
	seen  func(*http.Request)
}

func (e *engineFake) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if e.seen != nil {
		e.seen(req)
	}
	var body struct{ Stream bool }
	_ = json.NewDecoder(req.Body).Decode(&body)
	id := req.Header.Get(engine.HeaderRequestID)
	w.Header().Set(engine.HeaderRequestID, id)
	w.Header().Set(engine.HeaderIncarnation, "inc-1")
	if !body.Stream {
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"id":%q,"object":"chat.completion","choices":[{"index":0,"message":{"role":"assistant","content":"bonjour"}}],"usage":{"prompt_tokens":5,"completion_tokens":1}}`, id)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(req.Header.Get(engine.HeaderResumeAfter))
	for seq := after + 1; seq <= e.words+1; seq++ {
		if e.event != nil {
			e.event(seq, id)
		}
		line := fmt.Sprintf("id: %d\ndata: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"w%d \"}}]}\n\n", seq, id, seq)
		if seq == e.words+1 {
			line = fmt.Sprintf("id: %d\ndata: {\"id\":%q,\"choices\":[],\"usage\":{\"prompt_tokens\":5,\"completion_tokens\":%d}}\n\nid: %d\ndata: [DONE]\n\n", seq, id, e.words, seq+1)
		}
		if e.edit != nil {
			line = e.edit(seq, line)
		}
		_, _ = fmt.Fprint(w, line)
		_ = http.NewResponseController(w).Flush()
	}
}

package collect

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"github.com/fescuestep/fescuestep/pkg/chain"
	"github.com/fescuestep/fescuestep/pkg/code"
	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/controller/rollout"
	"github.com/fescuestep/fescuestep/pkg/controller/upstreams"
	"github.com/fescuestep/fescuestep/pkg/engine"
	"github.com/fescuestep/fescuestep/pkg/external"
	"github.com/fescuestep/fescuestep/pkg/filter/endpoint"
	"github.com/fescuestep/fescuestep/pkg/filter/ratelimit"
	"github.com/fescuestep/fescuestep/pkg/metrics"
	"github.com/fescuestep/fescuestep/pkg/order"
	"github.com/fescuestep/fescuestep/pkg/upstream"
	rpc "github.com/fescuestep/fescuestep/rpc/peer"
)

var ctx = context.Background()

// expect closes m and checks that the scrape endpoint serves the lines.
func expect(t *testing.T, m *metrics.Metrics, lines ...string) {
	t.Helper()
	if err := m.Close(); err != nil {
		t.Fatal(err)
	}
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	for _, line := range lines {
		if !strings.Contains(w.Body.String(), "\n"+metrics.Prefix+line+"\n") {
			t.Errorf("not served: %s", line)
		}
	}
	if t.Failed() {
		t.Log(w.Body.String())
	}
}

type fakeTable struct {
	external.Table
	err error
}

func (f fakeTable) Commit(context.Context, external.Txn) (uint64, error) { return 7, f.err }

type fakeObjects struct{ external.ObjectStore }

func (fakeObjects) Get(context.Context, string) ([]byte, error) { return nil, external.ErrNotFound }

type fakePeers struct{ err error }

func (f fakePeers) Peer(string) rpc.Peer { return fakePeer{err: f.err} }

type fakePeer struct {
	rpc.Peer
	err error
}

func (f fakePeer) Sync(context.Context, *rpc.SyncRequest) (*rpc.SyncResponse, error) {
	return nil, f.err
}

// TestCalls guards against calls to the platform or to peers that are counted
// with the wrong outcome or whose answer is changed.
func TestCalls(t *testing.T) {
	m := metrics.New()
	unknown := errors.Wrap(external.ErrOutcomeUnknown, "no answer")
	for _, err := range []error{nil, external.ErrConflict, external.ErrUnavailable, unknown} {
		version, got := Table(fakeTable{err: err}, m).Commit(ctx, external.Txn{})
		if version != 7 || !errors.Is(got, err) {
			t.Errorf("answer %d, %v", version, got)
		}
	}
	_, _ = Objects(fakeObjects{}, m).Get(ctx, "x")
	_, _ = PeerCalls(fakePeers{}, m).Peer("x").Sync(ctx, nil)
	_, _ = PeerCalls(fakePeers{err: unknown}, m).Peer("x").Sync(ctx, nil)
	expect(t, m,
		`platform_calls_total{outcome="ok",service="table"} 1`,
		`platform_calls_total{outcome="conflict",service="table"} 1`,
		`platform_calls_total{outcome="unavailable",service="table"} 1`,
		`platform_calls_total{outcome="unknown",service="table"} 1`,
		`platform_seconds_count{service="table"} 4`,
		`platform_calls_total{outcome="ok",service="objects"} 1`,
		`peer_calls_total{call="sync",outcome="ok"} 1`,
		`peer_calls_total{call="sync",outcome="failed"} 1`,
	)
}

type fakeLimiter struct{}

func (fakeLimiter) Take(context.Context, *config.Customer, int) (ratelimit.Charge, error) {
	return nil, nil
}

type fakePools struct{ err error }

func (f fakePools) Acquire(context.Context, upstream.Query) (endpoint.Slot, error) {
	if f.err != nil {
		return nil, f.err
	}
	return &fakeSlot{}, nil
}

type fakeSlot struct{ done int }

func (*fakeSlot) Target() chain.Target   { return chain.Target{HitTokens: 2000} }
func (*fakeSlot) FirstToken(int)         {}
func (s *fakeSlot) Done(upstream.Result) { s.done++ }

// TestSlots guards against slots that are not given back, attempts without
// outcome and a queue gauge that stays up.
func TestSlots(t *testing.T) {
	m := metrics.New()
	p := Pools(fakePools{}, m)
	for _, r := range []upstream.Result{upstream.OK, upstream.Unreachable, upstream.Failed, upstream.Cancelled} {
		s, err := p.Acquire(ctx, upstream.Query{Pool: "plume"})
		if err != nil {
			t.Fatal(err)
		}
		s.Done(r)
		if n := s.(slot).Slot.(*fakeSlot).done; n != 1 {
			t.Errorf("Done was passed on %d times", n)
		}
	}
	if s, err := Pools(fakePools{code.New(code.QueueFull, "full")}, m).Acquire(ctx, upstream.Query{Pool: "plume"}); s != nil || err == nil {
		t.Errorf("refused: %v, %v", s, err)
	}
	_, _ = Limiter(fakeLimiter{}, m).Take(ctx, nil, 1)
	expect(t, m,
		`upstream_attempts_total{outcome="ok",pool="plume"} 1`,
		`upstream_attempts_total{outcome="unreachable",pool="plume"} 1`,
		`upstream_attempts_total{outcome="failed",pool="plume"} 1`,
		`upstream_attempts_total{outcome="cancelled",pool="plume"} 1`,
		`expected_cached_tokens_total{pool="plume"} 8000`,
		`queue_wait_seconds_count{pool="plume"} 5`,
		`queued{pool="plume"} 0`,
		`quota_wait_seconds_count 1`,
	)
}

type fakeOrders struct {
	sends bool
	err   error
}

func (f fakeOrders) Do(ctx context.Context, _ order.Request, send func(context.Context) order.Outcome) (*chain.Response, error) {
	if f.sends {
		send(ctx)
	}
	return nil, f.err
}

// TestOrders guards against an order of unknown outcome that is counted as
// anything else.
func TestOrders(t *testing.T) {
	m := metrics.New()
	send := func(context.Context) order.Outcome { return order.Outcome{} }
	for _, f := range []fakeOrders{
		{true, nil},
		{false, nil},
		{false, code.New(code.OrderRunning, "")},
		{false, code.New(code.OrderKeyReused, "")},
		{true, code.New(code.OrderOutcomeUnknown, "")},
		{true, errors.New("unexpected")},
		{true, code.New(code.UpstreamUnreachable, "")},
		{false, code.New(code.OrderStoreDown, "")},
	} {
		_, _ = Orders(f, m).Do(ctx, order.Request{}, send)
	}
	expect(t, m,
		`orders_total{outcome="done"} 1`,
		`orders_total{outcome="replayed"} 1`,
		`orders_total{outcome="running"} 1`,
		`orders_total{outcome="reused"} 1`,
		`orders_total{outcome="unknown"} 2`,
		`orders_total{outcome="released"} 1`,
		`orders_total{outcome="refused"} 1`,
	)
}

type fakeFeed struct {
	upstreams.Pools
	at     engine.Position
	events int
}

func (f *fakeFeed) OnList([]external.Instance)             {}
func (f *fakeFeed) OnReport(string, engine.LoadReport)     {}
func (f *fakeFeed) OnEvents(_ string, _ engine.EventBatch) { f.events++ }
func (f *fakeFeed) Position(string) engine.Position        { return f.at }

// TestFeed guards against lost events that no metric shows, ejections counted
// once per look, and gauges that stay up after the last upstream of a pool.
func TestFeed(t *testing.T) {
	m := metrics.New()
	next := &fakeFeed{at: engine.Position{Incarnation: "a", Seq: 10}}
	f := NewFeed(next, m)
	f.OnList([]external.Instance{{ID: "u1", Pool: "plume"}})
	f.OnEvents("u1", engine.EventBatch{Incarnation: "a", Events: []engine.Event{{Seq: 11}, {Seq: 12}}})
	f.OnEvents("u1", engine.EventBatch{Incarnation: "a", Events: []engine.Event{{Seq: 13}, {Seq: 15}}})
	f.OnEvents("u1", engine.EventBatch{Incarnation: "b", Events: []engine.Event{{Seq: 90}}})
	f.OnEvents("u1", engine.EventBatch{Snapshot: true})
	f.OnEvents("u2", engine.EventBatch{Snapshot: true}) // not listed any more
	if next.events != 5 {
		t.Errorf("%d batches were passed on, want 5", next.events)
	}
	start := time.Now()
	f.OnReport("u1", engine.LoadReport{Age: time.Hour})
	live := upstream.Status{ID: "u1", Pool: "plume", State: upstream.StateLive, InFlight: 3, Blocks: 4}
	out := upstream.Status{ID: "u1", Pool: "plume", State: upstream.StateEjected}
	f.Observe(start, []upstream.Status{live, {ID: "a1", Pool: "atelier", State: upstream.StateLive}})
	for range 3 {
		f.Observe(start, []upstream.Status{out})
	}
	expect(t, m,
		`cache_events_total{pool="plume"} 5`,
		`cache_event_gaps_total{pool="plume"} 2`, // after the position 10 and inside the batch
		`cache_resyncs_total{pool="plume"} 1`,
		`ejections_total{pool="plume"} 1`,
		`upstreams{pool="plume",state="ejected"} 1`,
		`upstreams{pool="plume",state="live"} 0`,
		`upstreams{pool="atelier",state="live"} 0`,
		`in_flight{pool="plume"} 0`,
	)
}

type fakeEngines struct {
	rollout.Upstreams
	result engine.CommandResult
}

func (f fakeEngines) Control(context.Context, string, engine.Command) (engine.CommandResult, error) {
	return f.result, nil
}

// TestCommands guards against a refused command that counts as done.
func TestCommands(t *testing.T) {
	m := metrics.New()
	for _, r := range []engine.CommandResult{{Accepted: true}, {Stale: true}, {}} {
		if got, _ := Commands(fakeEngines{result: r}, m).Control(ctx, "", engine.Command{}); !cmp.Equal(got, r) {
			t.Errorf("the result was changed to %+v", got)
		}
	}
	expect(t, m,
		`control_commands_total{outcome="done"} 1`,
		`control_commands_total{outcome="stale"} 1`,
		`control_commands_total{outcome="failed"} 1`,
	)
}

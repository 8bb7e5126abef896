package rollout_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/control"
	"github.com/fescuestep/fescuestep/pkg/controller/rollout"
	"github.com/fescuestep/fescuestep/pkg/engine"
	"github.com/fescuestep/fescuestep/pkg/external"
	"github.com/fescuestep/fescuestep/pkg/standin"
	"github.com/fescuestep/fescuestep/pkg/standin/table"
	"github.com/fescuestep/fescuestep/pkg/transport"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeState is a configuration with one pool of each kind of upstream.
type fakeState struct {
	mu       sync.Mutex
	snapshot *config.Snapshot
	stale    bool
}

func newState(weights string) *fakeState {
	s := &fakeState{}
	s.want(weights)
	return s
}

func (s *fakeState) want(weights string) {
	d := &config.Deployment{Name: "d", Pools: []config.Pool{
		{Name: "checks", Kind: config.Model, Weights: weights, ChecksFencing: true},
		{Name: "ignores", Kind: config.Model, Weights: weights},
	}}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshot = config.Restore(1, []*config.Deployment{d}, nil, config.Membership{})
}

func (s *fakeState) Snapshot() *config.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshot
}

func (s *fakeState) Fresh() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.stale
}

func (s *fakeState) setStale(stale bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stale = stale
}

type fakeList []external.Instance

func (l fakeList) List(context.Context) ([]external.Instance, error) { return l, nil }

// fakeEngines are upstreams in memory; their names tell whether they check
// tokens.
type fakeEngines struct {
	mu      sync.Mutex
	state   map[string]*engine.CommandResult
	loading int
	peak    int
	calls   []call
}

type call struct {
	addr     string
	token    uint64
	at       time.Time
	deadline time.Time
}

func newEngines(n int) (*fakeEngines, fakeList) {
	f := &fakeEngines{state: map[string]*engine.CommandResult{}}
	var list fakeList
	for i := range n {
		pool := []string{"checks", "ignores"}[i%2]
		id := fmt.Sprintf("%d-%s", i, pool)
		f.state[id] = &engine.CommandResult{Weights: "1"}
		list = append(list, external.Instance{ID: id, Addr: id, Pool: pool, State: external.Live})
	}
	return f, list
}

func checksTokens(addr string) bool { return strings.HasSuffix(addr, "checks") }

func (f *fakeEngines) State(_ context.Context, addr string) (engine.CommandResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return *f.state[addr], nil
}

func (f *fakeEngines) Control(ctx context.Context, addr string, cmd engine.Command) (engine.CommandResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.state[addr]
	deadline, _ := ctx.Deadline()
	f.calls = append(f.calls, call{addr, cmd.FencingToken, time.Now(), deadline})
	if checksTokens(addr) && cmd.FencingToken < s.FencingToken {
		out := *s
		out.Stale = true
		return out, nil
	}
	s.FencingToken = max(s.FencingToken, cmd.FencingToken)
	if cmd.Weights != s.Weights && !s.Loading {
		s.Loading = true
		f.loading++
		f.peak = max(f.peak, f.loading)
		time.AfterFunc(300*time.Millisecond, func() { f.loaded(s, cmd.Weights) })
	}
	return *s, nil
}

func (f *fakeEngines) loaded(s *engine.CommandResult, weights string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.Loading = false
	s.Weights = weights
	f.loading--
}

func (f *fakeEngines) serving(weights string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, s := range f.state {
		if s.Weights == weights && !s.Loading {
			n++
		}
	}
	return n
}

// pausable holds the commands of one controller back, as a pause of its
// process between the check of the lease and the write would.
type pausable struct {
	*fakeEngines
	mu    sync.Mutex
	until time.Time
	held  int // commands held back
}

func (p *pausable) pause(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.until = time.Now().Add(d)
}

func (p *pausable) Control(ctx context.Context, addr string, cmd engine.Command) (engine.CommandResult, error) {
	p.mu.Lock()
	wait := time.Until(p.until)
	if wait > 0 {
		p.held++
	}
	p.mu.Unlock()
	if wait > 0 {
		time.Sleep(wait)
		// pkg/transport starts no write after the deadline. Upstreams that
		// check tokens must reject the command even if it is written.
		if !checksTokens(addr) && ctx.Err() != nil {
			return engine.CommandResult{}, &transport.Error{Err: ctx.Err()}
		}
	}
	return p.fakeEngines.Control(ctx, addr, cmd)
}

func run(ctx context.Context, name string, seed int64, t external.Table, l external.InstanceList, s rollout.State, u rollout.Upstreams) (c *rollout.Controller, done chan struct{}) {
	c = rollout.New(rollout.Options{
		Self: name, Name: name, Table: t, List: l, State: s, Calls: u, Rand: rand.New(rand.NewPCG(uint64(seed), 0)),
	})
	done = make(chan struct{})
	go func() {
		defer close(done)
		_ = c.Run(ctx) // always nil
	}()
	return c, done
}

// TestRolloutWithTableFaults guards against a rollout that stops or exceeds
// the limit when table answers are lost and the table is down for a while.
func TestRolloutWithTableFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := table.NewStore(table.Options{})
		engines, list := newEngines(10)
		ctx, cancel := context.WithCancel(t.Context())
		store.Faults.Set(table.Faults{LoseAnswers: 3, LoseCommits: 1, Latency: 10 * time.Millisecond})
		c, done := run(ctx, "a", 1, store, list, newState("2"), engines)
		time.Sleep(time.Second)
		store.Faults.Set(table.Faults{Down: true})
		time.Sleep(10 * time.Second)
		if c.Status().Leader {
			t.Error("still the leader after 10 s without table")
		}
		store.Faults.Set(table.Faults{LoseAnswers: -1})
		time.Sleep(20 * time.Second)
		cancel()
		<-done
		if got := engines.serving("2"); got != 10 || engines.peak > 2 {
			t.Errorf("%d of 10 engines serve the version, at most %d loads at once", got, engines.peak)
		}
	})
}

// TestPausedLeader guards against commands of a paused leader taking effect
// after another took over.
func TestPausedLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := table.NewStore(table.Options{})
		engines, list := newEngines(10)
		paused := &pausable{fakeEngines: engines}
		old, next := newState("2"), newState("3")
		ctxA, cancelA := context.WithCancel(t.Context())
		ctxB, cancelB := context.WithCancel(t.Context())
		a, doneA := run(ctxA, "a", 1, store, list, old, paused)
		time.Sleep(300 * time.Millisecond)
		if !a.Status().Leader {
			t.Fatal("the first controller does not lead")
		}
		paused.pause(30 * time.Second)
		time.Sleep(500 * time.Millisecond)
		old.setStale(true) // it neither renews nor sends
		b, doneB := run(ctxB, "b", 2, store, list, next, engines)
		time.Sleep(29 * time.Second)
		if !b.Status().Leader || engines.serving("3") != 10 {
			t.Fatalf("status %+v, %d of 10 engines serve the version of the second leader", b.Status(), engines.serving("3"))
		}
		time.Sleep(20 * time.Second) // the held-back commands go out now
		cancelA()
		cancelB()
		<-doneA
		<-doneB
		if paused.held != 2 {
			t.Errorf("%d commands were held back, want one to each kind of upstream", paused.held)
		}
		if late := engines.calls[len(engines.calls)-1]; late.token != 1 {
			t.Errorf("the last command carries token %d, want the paused leader's", late.token)
		}
		if got := engines.serving("3"); got != 10 || engines.peak > 2 {
			t.Errorf("%d of 10 engines serve the version, at most %d loads at once", got, engines.peak)
		}
	})
}

// TestTwoLeaders guards against commands of two controllers overlapping at
// upstreams that ignore tokens while they race over takeovers, and against a
// planned stop that leaves the rollout without a leader.
func TestTwoLeaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := table.NewStore(table.Options{})
		store.Faults.Set(table.Faults{Latency: 20 * time.Millisecond})
		engines, list := newEngines(10)
		states := []*fakeState{newState("1"), newState("1")}
		var controllers []*rollout.Controller
		var dones []chan struct{}
		ctxs, cancels := make([]context.Context, 2), make([]context.CancelFunc, 2)
		for i, name := range []string{"a", "b"} {
			ctxs[i], cancels[i] = context.WithCancel(t.Context())
			c, done := run(ctxs[i], name, int64(i), store, list, states[i], engines)
			controllers, dones = append(controllers, c), append(dones, done)
		}
		for round := range 20 {
			for _, s := range states {
				s.want(fmt.Sprint(round))
			}
			time.Sleep(time.Duration(round) * 150 * time.Millisecond)
			states[round%2].setStale(true)
			time.Sleep(5 * time.Second)
			states[round%2].setStale(false)
			if controllers[0].Status().Leader && controllers[1].Status().Leader {
				t.Fatal("two leaders")
			}
		}
		time.Sleep(5 * time.Second)
		leader := 0
		if controllers[1].Status().Leader {
			leader = 1
		}
		cancels[leader]()
		<-dones[leader]
		time.Sleep(control.DefaultLeaseConfig().ReadInterval * 2)
		if !controllers[1-leader].Status().Leader {
			t.Error("no leader right after a planned stop")
		}
		cancels[1-leader]()
		<-dones[1-leader]
		checkOverlap(t, engines.calls)
		if engines.peak > 2 {
			t.Errorf("%d loads at once", engines.peak)
		}
	})
}

// checkOverlap checks that commands to upstreams that ignore tokens end before
// those with a higher token start.
func checkOverlap(t *testing.T, calls []call) {
	t.Helper()
	tokens := map[uint64]bool{}
	var last call
	for _, c := range calls {
		if checksTokens(c.addr) {
			continue
		}
		tokens[c.token] = true
		if c.token < last.token || (c.token > last.token && c.at.Before(last.deadline)) {
			t.Errorf("token %d at %v after token %d with deadline %v", c.token, c.at, last.token, last.deadline)
		}
		last = c
	}
	if len(tokens) < 2 {
		t.Errorf("only %d leaders sent commands, the run proves nothing", len(tokens))
	}
}

// TestFleet guards against a controller that works with fakes only: it rolls
// weights out to stand-ins over real connections.
func TestFleet(t *testing.T) {
	cfg := standin.Skovgaard()
	cfg.Scale = 0.1
	cfg.PlatformOptions.List.Lag = -1
	fleet, err := standin.Start(cfg)
	if err != nil {
		t.Fatal(err)
	}
	defer fleet.Close()
	d := &config.Deployment{Name: "d", Pools: []config.Pool{{Name: "lm-desk", Kind: config.Model, Weights: "2"}}}
	state := &fakeState{snapshot: config.Restore(1, []*config.Deployment{d}, nil, config.Membership{})}
	client := engine.NewClient(engine.Options{})
	defer client.Close()
	rows := external.NewTableClient(fleet.Platform.Table.Addr(), 0)
	defer rows.Close()
	list := external.NewListClient(fleet.Platform.List.Addr(), 0)
	defer list.Close()
	ctx, cancel := context.WithCancel(t.Context())
	c, done := run(ctx, "a", 1, rows, list, state, client)
	for p := c.Status().Progress; p.Total != 12 || p.Done != 12; p = c.Status().Progress {
		time.Sleep(10 * time.Millisecond)
	}
	cancel()
	<-done
	for _, e := range fleet.Engines("") {
		if e.Weights() != "2" {
			t.Errorf("an engine serves %q", e.Weights())
		}
	}
	if _, peak := fleet.Platform.Weights.Store.Loads(); peak > 2 {
		t.Errorf("%d loads at once, want at most 2", peak)
	}
}

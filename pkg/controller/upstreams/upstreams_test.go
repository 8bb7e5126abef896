package upstreams

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/engine"
	"github.com/fescuestep/fescuestep/pkg/external"
	"github.com/fescuestep/fescuestep/pkg/upstream"
)

// noWorkAfter is the bound of invariant 11.
const noWorkAfter = 2 * time.Second

// fleet is the platform's list and the upstreams' answers.
type fleet struct {
	mu     sync.Mutex
	list   []external.Instance
	listed bool            // the list answers
	silent map[string]bool // addresses that accept connections and don't answer
	refuse map[string]bool // addresses that refuse connections
	leave  map[string]bool // addresses that report that they leave
}

func newFleet(n int) *fleet {
	f := &fleet{listed: true, silent: map[string]bool{}, refuse: map[string]bool{}, leave: map[string]bool{}}
	for i := range n {
		id := fmt.Sprintf("e%d", i)
		f.list = append(f.list, external.Instance{ID: id, Addr: id, Pool: "lm", State: external.Live})
	}
	return f
}

func (f *fleet) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fleet) List(context.Context) ([]external.Instance, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.listed {
		return nil, external.ErrUnavailable
	}
	return append([]external.Instance(nil), f.list...), nil
}

func (f *fleet) Load(ctx context.Context, addr string) (engine.LoadReport, error) {
	f.mu.Lock()
	silent, refuse, leave := f.silent[addr], f.refuse[addr], f.leave[addr]
	f.mu.Unlock()
	if refuse {
		return engine.LoadReport{}, errors.New("connection refused")
	}
	if silent {
		<-ctx.Done()
		return engine.LoadReport{}, ctx.Err()
	}
	time.Sleep(time.Millisecond)
	return engine.LoadReport{Incarnation: "1", Leaving: leave}, nil
}

func (f *fleet) Events(ctx context.Context, addr string, _ engine.Position) (engine.EventBatch, error) {
	_, err := f.Load(ctx, addr)
	return engine.EventBatch{Incarnation: "1"}, err
}

// TestNoWorkForDeadOrLeaving guards against an upstream that gets new work more
// than 2 s after it left or died, also while the platform's list is down or many
// upstreams die at once.
func TestNoWorkForDeadOrLeaving(t *testing.T) {
	for name, c := range map[string]struct {
		size  int
		event func(f *fleet)
	}{
		"listed as leaving":              {8, func(f *fleet) { f.list[0].State = external.Leaving }},
		"gone from the list":             {8, func(f *fleet) { f.list = f.list[1:] }},
		"reports that it leaves":         {8, func(f *fleet) { f.leave["e0"] = true; f.listed = false }},
		"refuses connections, list down": {8, func(f *fleet) { f.refuse["e0"] = true; f.listed = false }},
		"silent, list down":              {8, func(f *fleet) { f.silent["e0"] = true; f.listed = false }},
		"failure domain silent": {2800, func(f *fleet) {
			for i := range 400 { // one of seven at the size to design for
				f.silent[fmt.Sprintf("e%d", i)] = true
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { noWork(t, c.size, c.event) })
		})
	}
}

func noWork(t *testing.T, size int, event func(f *fleet)) {
	f := newFleet(size)
	d := &config.Deployment{Name: "test", Pools: []config.Pool{{Name: "lm", Kind: config.Model, MaxInFlight: 1000, BlockTokens: 2000, PrefillPerSec: 20000}}}
	snapshot := config.Restore(1, []*config.Deployment{d}, nil, config.Membership{})
	pools := upstream.NewPools(upstream.Options{Seed: 1})
	pools.OnSnapshot(snapshot)
	c := New(Options{List: f, Pools: pools, Client: f, Snapshot: func() *config.Snapshot { return snapshot }, Seed: 1, Log: hclog.NewNullLogger()})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- c.Run(ctx) }()
	time.Sleep(3 * time.Second)
	takesNone := map[string]bool{}
	for _, x := range f.list {
		takesNone[x.ID] = true // unless it is still listed
	}
	f.set(func() { event(f) })
	time.Sleep(noWorkAfter)
	for _, x := range f.list {
		takesNone[x.ID] = x.State != external.Live || f.silent[x.Addr] || f.refuse[x.Addr] || f.leave[x.Addr]
	}
	for range 200 {
		s, err := pools.Acquire(ctx, upstream.Query{Pool: "lm", Customer: "c", Tokens: 100, MaxOutput: 10, Deadline: time.Now().Add(time.Second)})
		if err != nil {
			t.Fatal(err)
		}
		if takesNone[s.Target().ID] {
			t.Fatalf("%s got new work", s.Target().ID)
		}
		defer s.Done(upstream.OK) // held, so that all upstreams are tried
		time.Sleep(10 * time.Millisecond)
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}

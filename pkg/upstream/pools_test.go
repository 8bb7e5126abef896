package upstream

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fescuestep/fescuestep/pkg/block"
	"github.com/fescuestep/fescuestep/pkg/code"
	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/engine"
	"github.com/fescuestep/fescuestep/pkg/external"
)

func snapshot(slots int) *config.Snapshot {
	d := &config.Deployment{Name: "test", Priority: config.TailLatency, Pools: []config.Pool{{
		Name: "lm", Kind: config.Model, MaxInFlight: slots, BlockTokens: 2000, PrefillPerSec: 20000,
	}}}
	return config.Restore(1, []*config.Deployment{d}, nil, config.Membership{})
}

func instances(states ...external.State) []external.Instance {
	var out []external.Instance
	for i, s := range states {
		id := string(rune('a' + i))
		out = append(out, external.Instance{ID: id, Addr: "127.0.0.1:" + id, Pool: "lm", State: s})
	}
	return out
}

func testPools(slots int, states ...external.State) *Pools {
	p := NewPools(Options{Seed: 1})
	p.OnSnapshot(snapshot(slots))
	p.OnList(instances(states...))
	return p
}

func query(after time.Duration) Query {
	return Query{Pool: "lm", Customer: "c", Tokens: 100, MaxOutput: 10, Deadline: time.Now().Add(after)}
}

func wantNotRun(t *testing.T, err error, want code.Code) {
	t.Helper()
	var e *code.Error
	if !errors.As(err, &e) || e.Code != want || e.Run != code.NotRun {
		t.Fatalf("got %v, want code %d with run state not_run", err, want)
	}
}

// TestNoWorkAfterEvidence guards against sending new requests to an upstream
// that is leaving, is no longer listed, refuses connections or failed a poll.
func TestNoWorkAfterEvidence(t *testing.T) {
	evidence := map[string]func(p *Pools){
		"listed leaving":   func(p *Pools) { p.OnList(instances(external.Leaving, external.Live)) },
		"no longer listed": func(p *Pools) { p.OnList(instances(external.Leaving, external.Live)[1:]) },
		"reported leaving": func(p *Pools) { p.OnReport("a", engine.LoadReport{Incarnation: "1", Leaving: true}) },
		"failed poll":      func(p *Pools) { p.OnPollFailed("a") },
		"refused": func(p *Pools) {
			for {
				s, _ := p.Acquire(context.Background(), query(time.Second))
				if s.Target().ID == "a" {
					s.Done(Unreachable)
					return
				}
				defer s.Done(OK)
			}
		},
	}
	for name, apply := range evidence {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := testPools(20, external.Live, external.Live)
				apply(p)
				for range 10 {
					s, err := p.Acquire(t.Context(), query(time.Second))
					if err != nil {
						t.Fatal(err)
					}
					if s.Target().ID == "a" {
						t.Fatal("an unavailable upstream got a new request")
					}
					defer s.Done(OK)
				}
			})
		})
	}
}

// TestRefusalsNotRun guards against rejections without run state not_run and
// against requests that wait for a slot past their deadline.
func TestRefusalsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := testPools(1, external.Live)
		s, err := p.Acquire(t.Context(), query(time.Second))
		if err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		_, err = p.Acquire(t.Context(), query(300*time.Millisecond))
		wantNotRun(t, err, code.DeadlineUnreachable)
		if waited := time.Since(start); waited != 300*time.Millisecond {
			t.Errorf("waited %s", waited)
		}
		s.Done(OK)
		p.OnPollFailed("a")
		s, err = p.Acquire(t.Context(), query(time.Second))
		if err != nil {
			t.Fatalf("one failed poll of the only upstream: %v", err)
		}
		s.Done(OK)
		p.OnPollFailed("a")
		_, err = p.Acquire(t.Context(), query(time.Second))
		wantNotRun(t, err, code.NoUpstream)
		q := query(time.Second)
		q.Pool = "other"
		_, err = p.Acquire(t.Context(), q)
		wantNotRun(t, err, code.NoUpstream)
	})
}

// TestCancelledWaitLeaksNoSlot guards against a slot that is granted to a
// request whose caller has cancelled and is never freed.
func TestCancelledWaitLeaksNoSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := testPools(1, external.Live)
		first, _ := p.Acquire(t.Context(), query(time.Second))
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() {
			_, err := p.Acquire(ctx, query(time.Minute))
			done <- err
		}()
		synctest.Wait()
		cancel()
		if err := <-done; !errors.Is(err, context.Canceled) {
			t.Fatalf("got %v", err)
		}
		first.Done(OK)
		again, err := p.Acquire(t.Context(), query(time.Second))
		if err != nil {
			t.Fatal(err)
		}
		again.Done(OK)
	})
}

// TestCoalesceColdPrefix guards against concurrent cold requests that all
// prefill the same long prefix.
func TestCoalesceColdPrefix(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := testPools(20, external.Live, external.Live, external.Live)
		for _, id := range []string{"a", "b", "c"} {
			p.OnReport(id, engine.LoadReport{Incarnation: "1"})
		}
		q := query(time.Minute)
		q.Tokens, q.Blocks = 8100, []block.Hash{11, 12, 13, 14}
		first, err := p.Acquire(t.Context(), q)
		if err != nil {
			t.Fatal(err)
		}
		slots := make(chan *Slot, 4)
		for range 4 {
			go func() {
				s, _ := p.Acquire(t.Context(), q)
				slots <- s
			}()
		}
		synctest.Wait()
		if len(slots) != 0 {
			t.Fatalf("%d followers were not held", len(slots))
		}
		first.FirstToken(0)
		for range 4 {
			s := <-slots
			if s.Target().HitTokens != 8000 {
				t.Errorf("%d cached tokens expected for a follower, want 8000", s.Target().HitTokens)
			}
			s.Done(OK)
		}
		first.Done(OK)
	})
}

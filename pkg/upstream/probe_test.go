package upstream

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fescuestep/fescuestep/pkg/engine"
	"github.com/fescuestep/fescuestep/pkg/external"
)

// fakeLoad is a LoadClient that answers after a delay. Engines at the addresses
// in busy report a queue.
type fakeLoad struct {
	delay time.Duration
	busy  map[string]bool
}

func (f *fakeLoad) Load(ctx context.Context, addr string) (engine.LoadReport, error) {
	select {
	case <-ctx.Done():
		return engine.LoadReport{}, ctx.Err()
	case <-time.After(f.delay):
	}
	r := engine.LoadReport{Incarnation: "1"}
	if f.busy[addr] {
		r.Running, r.QueuedTokens = 1, 20000
	}
	return r, nil
}

// TestProbe guards against sending a long prefill to an engine that became busy
// after its last report, against probes for short prefills, and against a
// request that waits for a probe that is never answered.
func TestProbe(t *testing.T) {
	for name, c := range map[string]struct {
		delay   time.Duration
		tokens  int
		longest time.Duration
		avoids  bool
	}{
		"long":      {delay: time.Millisecond, tokens: 8100, longest: 2 * time.Millisecond, avoids: true},
		"short":     {delay: time.Millisecond, tokens: 100},
		"no answer": {delay: time.Hour, tokens: 8100, longest: maxProbeWait},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := NewPools(Options{Seed: 1, Load: &fakeLoad{c.delay, map[string]bool{"127.0.0.1:a": true, "127.0.0.1:c": true}}})
				defer p.Close()
				p.OnSnapshot(snapshot(20))
				p.OnList(instances(external.Live, external.Live, external.Live))
				for _, id := range []string{"a", "b", "c"} {
					p.OnReport(id, engine.LoadReport{Incarnation: "1"})
				}
				time.Sleep(time.Second)
				q := query(time.Minute)
				q.Tokens = c.tokens
				start := time.Now()
				s, err := p.Acquire(t.Context(), q)
				if err != nil {
					t.Fatal(err)
				}
				if waited := time.Since(start); waited > c.longest {
					t.Errorf("waited %s", waited)
				}
				if c.avoids && s.Target().ID != "b" {
					t.Errorf("sent to the busy engine %s", s.Target().ID)
				}
				s.Done(OK)
			})
		})
	}
}

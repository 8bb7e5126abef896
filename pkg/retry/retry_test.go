package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fescuestep/fescuestep/pkg/code"
)

var t0 = time.Unix(1000, 0)

func rng() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// TestRetryOnlyWhenSafe guards against running a request twice that is not idempotent,
// and against retries after the deadline or after the response has started.
func TestRetryOnlyWhenSafe(t *testing.T) {
	deadline := t0.Add(time.Second)
	cases := []struct {
		a    FailedAttempt
		want bool
	}{
		{FailedAttempt{RunState: code.NotRun, Deadline: deadline}, true},
		{FailedAttempt{RunState: code.MayHaveRun, Deadline: deadline}, false},
		{FailedAttempt{RunState: code.Ran, Deadline: deadline}, false},
		{FailedAttempt{RunState: code.MayHaveRun, Idempotent: true, Deadline: deadline}, true},
		{FailedAttempt{RunState: code.MayHaveRun, Idempotent: true, ResponseStarted: true, Deadline: deadline}, false},
		{FailedAttempt{RunState: code.NotRun, Deadline: t0.Add(time.Millisecond)}, false},
	}
	for _, c := range cases {
		if _, got := NewPolicy().Retry(t0, c.a, rng()); got != c.want {
			t.Errorf("%+v: got %v", c.a, got)
		}
	}
}

// TestBudgets guards against retries that multiply the load of failing upstreams.
func TestBudgets(t *testing.T) {
	p, random, retries := NewPolicy(), rng(), 0
	for range 1000 {
		p.RecordRequest(t0, "c", "u")
		if _, ok := p.Retry(t0, FailedAttempt{Customer: "c", Upstream: "u", RunState: code.NotRun, Deadline: t0.Add(time.Hour)}, random); ok {
			retries++
		}
	}
	if retries < 100 || retries > 111 {
		t.Errorf("%d retries for 1000 failed requests, want 100 plus the burst of 10", retries)
	}
}

// TestOutlier guards against requests to an upstream that keeps failing, against an
// ejection that never ends and against full load on an upstream with a cold cache.
func TestOutlier(t *testing.T) {
	var o OutlierState
	cfg, random := &DefaultOutlierConfig, rng()
	o.RecordFailure(t0, cfg, random)
	o.RecordFailure(t0, cfg, random)
	if o.Ejected(t0) {
		t.Error("ejected after two failures")
	}
	o.RecordSuccess()
	o.RecordFailure(t0, cfg, random)
	if o.Ejected(t0) {
		t.Error("a success does not reset the count of failures")
	}
	o.RecordUnreachable(t0, cfg, random)
	first := o.EjectedUntil().Sub(t0)
	if !o.Ejected(t0) || first < cfg.BaseEjection || first > cfg.BaseEjection*5/4 {
		t.Errorf("ejected for %s", first)
	}
	now := o.EjectedUntil()
	if o.Ejected(now) || o.Capacity(now, cfg) != minSlowStartCapacity || o.Capacity(now.Add(cfg.SlowStartDuration/2), cfg) != 0.5 || o.Capacity(now.Add(cfg.SlowStartDuration), cfg) != 1 {
		t.Error("no slow start after the ejection")
	}
	o.RecordUnreachable(now, cfg, random)
	if second := o.EjectedUntil().Sub(now); second < 2*cfg.BaseEjection {
		t.Errorf("second ejection lasts only %s", second)
	}
	o.EndEjection(now)
	if o.Ejected(now) || o.Capacity(now, cfg) == 1 {
		t.Error("a successful poll must end the ejection with a slow start")
	}
}

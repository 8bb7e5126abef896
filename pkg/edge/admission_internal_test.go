package edge

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/fescuestep/fescuestep/pkg/admission"
	"github.com/fescuestep/fescuestep/pkg/code"
	"github.com/fescuestep/fescuestep/pkg/concurrency"
	"github.com/fescuestep/fescuestep/pkg/metrics"
	rpc "github.com/fescuestep/fescuestep/rpc/edge"
)

// newTestAdmitter returns an admitter of a service whose only place is taken.
func newTestAdmitter(t *testing.T, mode AdmissionMode, now func() time.Time) (a *admitter, end func()) {
	room := func(string) concurrency.Room { return concurrency.Room{Total: 1, Free: 1} }
	a = newAdmitter(mode, "i", room, metrics.New(), hclog.NewNullLogger(), now)
	end, err := a.Admit(context.Background(), admission.Request{Service: "llm", Customer: "a", Deadline: now().Add(time.Minute)})
	if err != nil {
		t.Fatal(err)
	}
	return a, end
}

// admitOne asks for admission until ctx ends.
func admitOne(ctx context.Context, a *admitter) chan error {
	result := make(chan error, 1)
	go func() {
		_, err := a.Admit(ctx, admission.Request{Service: "llm", Customer: "a", Deadline: a.now().Add(time.Minute)})
		result <- err
	}()
	return result
}

func (a *admitter) awaitWaiting(n int) {
	for {
		a.mu.Lock()
		waiting := a.controller.Waiting("llm")
		a.mu.Unlock()
		if waiting == n {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// TestAdmissionOnlyWhereStated guards against admission in deployments whose upstreams do
// not state how long work takes, and long after they ceased to.
func TestAdmissionOnlyWhereStated(t *testing.T) {
	now := time.Unix(1000, 0)
	a, _ := newTestAdmitter(t, AdmissionAuto, func() time.Time { return now })
	if len(a.nextUsage()) != 0 {
		t.Error("usage is told although no upstream states how long work takes")
	}
	a.recordWorkTime("llm")
	_, _ = a.Admit(context.Background(), admission.Request{Service: "llm", Deadline: now.Add(time.Minute)})
	if len(a.nextUsage()) != 1 {
		t.Error("no usage is told although upstreams state how long work takes")
	}
	now = now.Add(workTimeMemory + time.Second)
	if a.decides(a.service("llm"), now) {
		t.Error("still in use long after the last statement")
	}
}

// TestCancelledCallerLeavesQueue guards against callers that have left and keep a place in
// the queue, and TestShutdownRefusesWaiting against callers that wait at an instance which
// ends.
func TestCancelledCallerLeavesQueue(t *testing.T) {
	a, end := newTestAdmitter(t, AdmissionOn, time.Now)
	ctx, cancel := context.WithCancel(context.Background())
	first, second := admitOne(ctx, a), admitOne(context.Background(), a)
	a.awaitWaiting(2)
	cancel()
	if err := <-first; !errors.Is(err, context.Canceled) {
		t.Errorf("cancelled: %v", err)
	}
	a.awaitWaiting(1)
	go a.run(t.Context())
	a.wake <- struct{}{}
	end()
	if err := <-second; err != nil {
		t.Errorf("after the place became free: %v", err)
	}
}

func TestShutdownRefusesWaiting(t *testing.T) {
	a, _ := newTestAdmitter(t, AdmissionOn, time.Now)
	waiting := admitOne(context.Background(), a)
	a.awaitWaiting(1)
	a.stop()
	for name, result := range map[string]chan error{"waiting": waiting, "arriving": admitOne(context.Background(), a)} {
		var refusal *code.Error
		if err := <-result; !errors.As(err, &refusal) || refusal.Code != code.ShuttingDown || refusal.Run != code.NotRun || refusal.RetryAfter <= 0 {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// TestUsageInDigests guards against usage that is lost, doubled or kept after its sender
// was removed on its way between instances.
func TestUsageInDigests(t *testing.T) {
	a, _ := newTestAdmitter(t, AdmissionOn, time.Now)
	b, _ := newTestAdmitter(t, AdmissionOn, time.Now)
	d := &rpc.Digest{}
	usageState{a}.encode(d, true)
	if d.Usage != nil {
		t.Error("a partial digest tells usage")
	}
	usageState{a}.encode(d, false)
	for range 2 {
		usageState{b}.apply("a", 1, d)
	}
	if used := b.controller.Used("llm"); used != 2 {
		t.Errorf("%d of two requests are known", used)
	}
	usageState{b}.forget("a")
	if used := b.controller.Used("llm"); used != 1 {
		t.Errorf("%d requests are known of an instance that runs one", used)
	}
}

package orders

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/fescuestep/fescuestep/pkg/chain"
	"github.com/fescuestep/fescuestep/pkg/code"
	"github.com/fescuestep/fescuestep/pkg/order"
	"github.com/fescuestep/fescuestep/pkg/standin/objects"
	"github.com/fescuestep/fescuestep/pkg/standin/table"
)

// fixture is a table, an object store and two instances.
type fixture struct {
	table   *table.Store
	objects *objects.Store
	a, b    *Service
	ran     atomic.Int64
}

// run runs f under virtual time with a fresh fixture.
func run(t *testing.T, f func(t *testing.T, x *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		x := &fixture{
			table:   table.NewStore(table.Options{AlwaysLatency: 2 * time.Millisecond}),
			objects: objects.NewStore(objects.Options{}),
		}
		x.a = New(x.table, x.objects, DefaultOptions("a"), hclog.NewNullLogger())
		x.b = New(x.table, x.objects, DefaultOptions("b"), hclog.NewNullLogger())
		f(t, x)
		stopped, cancel := context.WithCancel(t.Context())
		cancel()
		x.a.Close(stopped)
		x.b.Close(stopped)
	})
}

func req(key string) order.Request {
	return order.Request{KeySpace: "s", Key: key, Timeout: 10 * time.Second, Fingerprint: order.Fingerprint{1}}
}

// answers runs the order with an answer of size bytes.
func (x *fixture) answers(size int) func(context.Context) order.Outcome {
	return func(context.Context) order.Outcome {
		n := x.ran.Add(1)
		body := append([]byte(fmt.Sprint(n)), bytes.Repeat([]byte("."), size)...)
		return order.Outcome{Response: &chain.Response{Status: 200, Body: body}}
	}
}

func (x *fixture) cut(context.Context) order.Outcome {
	x.ran.Add(1)
	return order.Outcome{Err: code.New(code.UpstreamFailed, "cut")}
}

func refused(context.Context) order.Outcome {
	return order.Outcome{NotSent: true, Err: code.New(code.UpstreamUnreachable, "refused")}
}

// wants checks an error's code and run state.
func wants(t *testing.T, err error, c code.Code, run code.RunState) {
	t.Helper()
	var e *code.Error
	if !errors.As(err, &e) || e.Code != c || e.Run != run {
		t.Errorf("got %v, want code %d, %s", err, c, run)
	}
}

// TestTableFaults guards against an order sent without a claim, sent twice or
// answered with "not run" although it ran, for each fault of the table.
func TestTableFaults(t *testing.T) {
	for name, c := range map[string]struct {
		faults table.Faults
		sent   bool
	}{
		"down before the claim":        {table.Faults{Down: true}, false},
		"answer lost after the commit": {table.Faults{LoseAnswers: 1}, true},
		"all answers lost":             {table.Faults{LoseAnswers: -1}, true},
		"commit lost":                  {table.Faults{LoseCommits: 1}, true},
		"all commits lost":             {table.Faults{LoseCommits: -1}, false},
		"slow":                         {table.Faults{Latency: 300 * time.Millisecond}, true},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, func(t *testing.T, x *fixture) {
				x.table.Faults.Set(c.faults)
				resp, err := x.a.Do(t.Context(), req("1"), x.answers(0))
				if c.sent && (err != nil || string(resp.Body) != "1") {
					t.Fatalf("got %+v, %v", resp, err)
				}
				if !c.sent {
					wants(t, err, code.OrderStoreDown, code.NotRun)
				}
				x.table.Faults.Set(table.Faults{})
				time.Sleep(time.Minute) // background work is done
				again, err := x.b.Do(t.Context(), req("1"), x.answers(0))
				if err != nil || string(again.Body) != "1" || x.ran.Load() != 1 {
					t.Errorf("repeat: %+v, %v; ran %d times", again, err, x.ran.Load())
				}
			})
		})
	}
}

// TestOutageAfterSending guards against an answer lost to the caller, and an
// order forgotten, because the table went down between claim and record.
func TestOutageAfterSending(t *testing.T) {
	run(t, func(t *testing.T, x *fixture) {
		down := func(ctx context.Context) order.Outcome {
			x.table.Faults.Set(table.Faults{Down: true})
			return x.answers(0)(ctx)
		}
		resp, err := x.a.Do(t.Context(), req("1"), down)
		if err != nil || string(resp.Body) != "1" {
			t.Fatalf("got %+v, %v", resp, err)
		}
		_, err = x.b.Do(t.Context(), req("1"), x.answers(0))
		wants(t, err, code.OrderStoreDown, code.NotRun)
		time.Sleep(time.Hour)
		x.table.Faults.Set(table.Faults{})
		time.Sleep(time.Minute)
		resp, err = x.b.Do(t.Context(), req("1"), x.answers(0))
		if err != nil || string(resp.Body) != "1" || x.ran.Load() != 1 {
			t.Errorf("repeat: %+v, %v; ran %d times", resp, err, x.ran.Load())
		}
	})
}

// TestSecondCaller guards against an order that runs again for a second
// instance, and against a second caller that waits without bound.
func TestSecondCaller(t *testing.T) {
	run(t, func(t *testing.T, x *fixture) {
		slow := func(ctx context.Context) order.Outcome { time.Sleep(time.Second); return x.answers(0)(ctx) }
		slower := func(ctx context.Context) order.Outcome { time.Sleep(8 * time.Second); return x.answers(0)(ctx) }
		var wg sync.WaitGroup
		wg.Go(func() { _, _ = x.a.Do(t.Context(), req("1"), slow) })
		wg.Go(func() { _, _ = x.a.Do(t.Context(), req("2"), slower) })
		time.Sleep(100 * time.Millisecond)
		resp, err := x.b.Do(t.Context(), req("1"), x.answers(0))
		if err != nil || string(resp.Body) != "1" {
			t.Errorf("got %+v, %v", resp, err)
		}
		_, err = x.b.Do(t.Context(), req("2"), x.answers(0))
		wants(t, err, code.OrderRunning, code.MayHaveRun)
		other := req("1")
		other.Fingerprint = order.Fingerprint{2}
		_, err = x.b.Do(t.Context(), other, x.answers(0))
		wants(t, err, code.OrderKeyReused, code.NotRun)
		wg.Wait()
		if x.ran.Load() != 2 {
			t.Errorf("2 orders ran %d times", x.ran.Load())
		}
	})
}

// TestRevokedBeforeSending guards against an order that is sent although its key
// was revoked while the claim waited for the table.
func TestRevokedBeforeSending(t *testing.T) {
	run(t, func(t *testing.T, x *fixture) {
		x.table.Faults.Set(table.Faults{Latency: 500 * time.Millisecond})
		ctx, cancel := context.WithCancelCause(t.Context())
		time.AfterFunc(100*time.Millisecond, func() { cancel(code.New(code.KeyRevoked, "revoked")) })
		_, err := x.a.Do(ctx, req("1"), x.answers(0))
		wants(t, err, code.KeyRevoked, code.NotRun)
		if _, err := x.b.Do(t.Context(), req("1"), x.answers(0)); err != nil || x.ran.Load() != 1 {
			t.Errorf("with another key: %v; ran %d times", err, x.ran.Load())
		}
	})
}

// TestOperator guards against an unknown order that is not listed, that can be
// resolved while it may run, or that stays blocked after its resolution.
func TestOperator(t *testing.T) {
	run(t, func(t *testing.T, x *fixture) {
		crashed := order.NewCall(req("crashed"), "token", "c", order.DefaultLimits()) // claims and never sends
		claim := crashed.Start(time.Now())
		if _, err := x.a.commit(t.Context(), claim.Condition, claim.Write); err != nil {
			t.Fatal(err)
		}
		_, err := x.a.Do(t.Context(), req("cut"), x.cut)
		wants(t, err, code.OrderOutcomeUnknown, code.MayHaveRun)
		_, err = x.a.Do(t.Context(), req("refused"), refused)
		wants(t, err, code.UpstreamUnreachable, code.NotRun)
		reference := order.Reference(crashed.RowKey())
		if err := x.b.Resolve(t.Context(), reference, false, "op", ""); !errors.Is(err, order.ErrStillRunning) {
			t.Errorf("resolved while it may run: %v", err)
		}
		time.Sleep(5 * time.Minute)
		_, err = x.b.Do(t.Context(), req("crashed"), x.answers(0))
		wants(t, err, code.OrderOutcomeUnknown, code.MayHaveRun)
		list, err := x.b.Unresolved(t.Context(), 10)
		if err != nil || len(list) != 2 {
			t.Fatalf("listed %+v, %v; want the crashed and the cut order", list, err)
		}
		if err := x.b.Resolve(t.Context(), reference, false, "op", "never reached the press"); err != nil {
			t.Fatal(err)
		}
		resp, err := x.b.Do(t.Context(), req("crashed"), x.answers(0))
		if err != nil || string(resp.Body) != "2" {
			t.Errorf("after the resolution: %+v, %v", resp, err)
		}
		if err := x.b.Resolve(t.Context(), order.Reference(req("cut").RowKey()), true, "op", ""); err != nil {
			t.Fatal(err)
		}
		_, err = x.a.Do(t.Context(), req("cut"), x.answers(0))
		wants(t, err, code.OrderOutcomeUnknown, code.Ran)
	})
}

// TestLargeAnswersAndSweep guards against large answers in the table, answers
// lost with the object store that are not reported, and rows or objects that
// stay after the retention.
func TestLargeAnswersAndSweep(t *testing.T) {
	run(t, func(t *testing.T, x *fixture) {
		const size = 1 << 20
		_, _ = x.a.Do(t.Context(), req("large"), x.answers(size))
		x.objects.Faults.Set(objects.Faults{Down: true})
		_, _ = x.a.Do(t.Context(), req("lost"), x.answers(size))
		_, err := x.b.Do(t.Context(), req("large"), x.answers(0))
		wants(t, err, code.OrderStoreDown, code.Ran)
		x.objects.Faults.Set(objects.Faults{})
		resp, err := x.b.Do(t.Context(), req("large"), x.answers(0))
		if err != nil || len(resp.Body) != size+1 {
			t.Errorf("large answer: %v", err)
		}
		_, err = x.b.Do(t.Context(), req("lost"), x.answers(0))
		wants(t, err, code.OrderOutcomeUnknown, code.Ran)
		rows, _ := x.table.Scan(t.Context(), order.RowPrefix, "", 10)
		for _, row := range rows {
			if len(row.Value) > 2<<10 {
				t.Errorf("row of %d bytes", len(row.Value))
			}
		}
		_, _ = x.a.Do(t.Context(), req("unknown"), x.cut)
		time.Sleep(25 * time.Hour)
		if err := x.a.Sweep(t.Context()); err != nil {
			t.Fatal(err)
		}
		rows, _ = x.table.Scan(t.Context(), order.RowPrefix, "", 10)
		if len(rows) != 1 || rows[0].Key != req("unknown").RowKey() {
			t.Errorf("%d rows stay, want the unresolved order only", len(rows))
		}
	})
}

// TestTableWrites guards against one transaction per write under load, against
// more transactions than the instance's share of the table's writes, and against
// orders refused because they wait for that share.
func TestTableWrites(t *testing.T) {
	for _, c := range []struct {
		instances int
		n         int // orders
		every     time.Duration
	}{
		{9, 400, 5 * time.Millisecond},
		{60, 400, 5 * time.Millisecond},
		{700, 100, 500 * time.Millisecond}, // 1,400 orders/s in the fleet
	} {
		run(t, func(t *testing.T, x *fixture) {
			x.a.SetInstances(c.instances)
			begin := time.Now()
			took := make([]time.Duration, c.n)
			var wg sync.WaitGroup
			for i := range c.n {
				wg.Go(func() {
					time.Sleep(time.Duration(i) * c.every)
					start := time.Now()
					if _, err := x.a.Do(t.Context(), req(fmt.Sprint(i)), x.answers(0)); err != nil {
						t.Errorf("%d instances: %v", c.instances, err)
					}
					took[i] = time.Since(start)
				})
			}
			wg.Wait()
			commits, seconds := float64(x.table.Counts().Commits), time.Since(begin).Seconds()
			t.Logf("%d instances: %d orders in %.0f transactions, %.2f per order, slowest %s",
				c.instances, c.n, commits, commits/float64(c.n), slices.Max(took))
			if most := commitBurst + 300/float64(c.instances)*seconds + 1; commits > most {
				t.Errorf("%.0f transactions, more than %.0f", commits, most)
			}
		})
	}
}

// TestRandomFaults guards against an order that runs twice, or that two callers
// see differently, while two instances and the faults of the table interleave.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(20) {
		run(t, func(t *testing.T, x *fixture) {
			rng := rand.New(rand.NewPCG(seed, 1))
			var mu sync.Mutex
			ran := map[string]int{}
			var wg sync.WaitGroup
			for i := range 60 {
				key := fmt.Sprint(rng.IntN(8))
				service := []*Service{x.a, x.b}[rng.IntN(2)]
				delay := time.Duration(rng.IntN(2000)) * time.Millisecond
				kind := rng.IntN(6)
				wg.Go(func() {
					time.Sleep(delay)
					resp, err := service.Do(t.Context(), req(key), func(ctx context.Context) order.Outcome {
						time.Sleep(50 * time.Millisecond)
						if kind == 0 {
							return refused(ctx)
						}
						mu.Lock()
						defer mu.Unlock()
						ran[key]++
						if kind == 1 {
							return order.Outcome{Err: code.New(code.UpstreamFailed, "cut")}
						}
						return order.Outcome{Response: &chain.Response{Body: []byte(key)}}
					})
					if err == nil && string(resp.Body) != key {
						t.Errorf("call %d of order %s got answer %q", i, key, resp.Body)
					}
				})
			}
			for range 10 {
				time.Sleep(200 * time.Millisecond)
				x.table.Faults.Set([]table.Faults{
					{}, {Down: true}, {LoseAnswers: 3}, {LoseCommits: 2}, {Latency: 700 * time.Millisecond}, {AnswerDelay: 2 * time.Second},
				}[rng.IntN(6)])
			}
			x.table.Faults.Set(table.Faults{})
			wg.Wait()
			for key, n := range ran {
				if n != 1 {
					t.Errorf("seed %d: order %s ran %d times", seed, key, n)
				}
			}
		})
	}
}

package orders

import (
	"context"
	"runtime"
	"testing"
	"time"

	"github.com/fescuestep/fescuestep/pkg/code"
	"github.com/fescuestep/fescuestep/pkg/order"
	"github.com/fescuestep/fescuestep/pkg/standin/table"
)

// pair is two failures of one order: of the table and of the upstream or the
// instance.
type pair struct {
	claim  table.Faults // while the order is claimed
	record table.Faults // from sending on
	send   func(x *fixture) func(context.Context) order.Outcome
	ran    int64     // executions of the first call
	first  code.Code // of the first call; 0 for an answer or a crashed instance
	run    code.RunState
	again  code.Code // of the repeat once the table answers; 0 for an answer
	total  int64     // executions after the repeat
}

// crashed ends the instance's goroutine after the order ran.
func crashed(x *fixture) func(context.Context) order.Outcome {
	return func(context.Context) order.Outcome {
		x.ran.Add(1)
		runtime.Goexit()
		return order.Outcome{}
	}
}

func answered(x *fixture) func(context.Context) order.Outcome { return x.answers(0) }
func cutOff(x *fixture) func(context.Context) order.Outcome   { return x.cut }
func notSent(*fixture) func(context.Context) order.Outcome    { return refused }

// TestOrderFaultPairs guards against an order that runs twice, is lost silently
// or is answered with a false "not run" when two failures coincide.
func TestOrderFaultPairs(t *testing.T) {
	var none table.Faults
	down, slow := table.Faults{Down: true}, table.Faults{Latency: 700 * time.Millisecond}
	lost, lostAll := table.Faults{LoseAnswers: 1}, table.Faults{LoseAnswers: -1}
	never := table.Faults{LoseCommits: -1}
	for name, c := range map[string]pair{
		"claim's answer lost, instance crash":   {lost, none, crashed, 1, 0, "", code.OrderOutcomeUnknown, 1},
		"table slow, instance crash":            {slow, slow, crashed, 1, 0, "", code.OrderOutcomeUnknown, 1},
		"table down, instance crash":            {none, down, crashed, 1, 0, "", code.OrderOutcomeUnknown, 1},
		"upstream cut, table slow":              {slow, slow, cutOff, 1, code.OrderOutcomeUnknown, code.MayHaveRun, code.OrderOutcomeUnknown, 1},
		"upstream cut, table down":              {none, down, cutOff, 1, code.OrderOutcomeUnknown, code.MayHaveRun, code.OrderOutcomeUnknown, 1},
		"upstream cut, record's answer lost":    {none, lostAll, cutOff, 1, code.OrderOutcomeUnknown, code.MayHaveRun, code.OrderOutcomeUnknown, 1},
		"upstream refuses, table down":          {none, down, notSent, 0, code.UpstreamUnreachable, code.NotRun, 0, 1},
		"upstream refuses, table slow":          {slow, slow, notSent, 0, code.UpstreamUnreachable, code.NotRun, 0, 1},
		"upstream refuses, release's answer":    {lost, lost, notSent, 0, code.UpstreamUnreachable, code.NotRun, 0, 1},
		"both answers lost":                     {lost, lost, answered, 1, 0, "", 0, 1},
		"claim's answer lost, then table down":  {lost, down, answered, 1, 0, "", 0, 1},
		"table slow, record's commits get lost": {slow, never, answered, 1, 0, "", 0, 1},
	} {
		t.Run(name, func(t *testing.T) { run(t, c.test) })
	}
}

func (c pair) test(t *testing.T, x *fixture) {
	x.table.Faults.Set(c.claim)
	send := c.send(x)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, err := x.a.Do(t.Context(), req("1"), func(ctx context.Context) order.Outcome {
			x.table.Faults.Set(c.record)
			return send(ctx)
		})
		c.check(t, err, c.first, c.run)
	}()
	<-ended
	if n := x.ran.Load(); n != c.ran {
		t.Errorf("ran %d times, want %d", n, c.ran)
	}
	// A repeat during the failure may say "not run" of itself only.
	_, _ = x.b.Do(t.Context(), req("1"), x.answers(0))
	if n := x.ran.Load(); n > max(c.ran, c.total) {
		t.Errorf("ran %d times after a repeat during the failure", n)
	}
	time.Sleep(time.Minute)
	x.table.Faults.Set(table.Faults{})
	time.Sleep(5 * time.Minute) // background work is done, claims have expired
	_, err := x.b.Do(t.Context(), req("1"), x.answers(0))
	c.check(t, err, c.again, code.MayHaveRun)
	if n := x.ran.Load(); n != c.total {
		t.Errorf("ran %d times after the repeat, want %d", n, c.total)
	}
	listed, err := x.b.Unresolved(t.Context(), 10)
	if want := c.again == code.OrderOutcomeUnknown; err != nil || (len(listed) == 1) != want {
		t.Errorf("listed for the operator: %+v, %v; want it listed: %v", listed, err, want)
	}
}

func (c pair) check(t *testing.T, err error, want code.Code, run code.RunState) {
	t.Helper()
	if want != 0 {
		wants(t, err, want, run)
	} else if err != nil {
		t.Errorf("got %v, want an answer", err)
	}
}

package router

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/fescuestep/fescuestep/pkg/chain"
	"github.com/fescuestep/fescuestep/pkg/code"
	"github.com/fescuestep/fescuestep/pkg/controller/orders"
	"github.com/fescuestep/fescuestep/pkg/standin/objects"
	orderserver "github.com/fescuestep/fescuestep/pkg/standin/orders"
	"github.com/fescuestep/fescuestep/pkg/standin/table"
)

// desk is two instances in front of one order server, sharing one table.
type desk struct {
	a, b   *instance
	server *orderserver.Server
	table  *table.Store
}

func newDesk(t *testing.T) *desk {
	server, err := orderserver.Start("", orderserver.Options{KeyFields: []string{"order_no"}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	d := &desk{server: server, table: table.NewStore(table.Options{})}
	store := objects.NewStore(objects.Options{})
	instances := []**instance{&d.a, &d.b}
	for i, name := range []string{"a", "b"} {
		in := start(t, nil, func(p *Parts, _ *Options) {
			service := orders.New(d.table, store, orders.DefaultOptions(name), hclog.NewNullLogger())
			p.Orders = service
			p.OnStopped = func(context.Context) {
				stopped, cancel := context.WithCancel(context.Background())
				cancel() // background work of the faults need not finish
				service.Close(stopped)
			}
		})
		in.pools.targets["atelier"] = []chain.Target{{ID: "press", Addr: server.Addr()}}
		*instances[i] = in
	}
	return d
}

func press(number, cards string) call {
	return call{http.MethodPost, "/atelier/orders", testKey, `{"order_no":"` + number + `","cards":"` + cards + `"}`, nil}
}

// TestOrdersThroughListener guards against orders that run twice or are answered
// untruthfully anywhere between a caller and the order server.
func TestOrdersThroughListener(t *testing.T) {
	d := newDesk(t)
	for name, c := range map[string]struct {
		faults orderserver.Faults
		want   code.Code // 0: the answer
		again  code.Code // of a repeat at the other instance
		runs   int
	}{
		"answered":       {orderserver.Faults{}, 0, 0, 1},
		"answer cut":     {orderserver.Faults{DropAfter: 1}, code.OrderOutcomeUnknown, code.OrderOutcomeUnknown, 1},
		"request cut":    {orderserver.Faults{DropBefore: 1}, code.OrderOutcomeUnknown, code.OrderOutcomeUnknown, 0},
		"failed after":   {orderserver.Faults{FailAfter: 1}, code.OrderOutcomeUnknown, code.OrderOutcomeUnknown, 1},
		"refused before": {orderserver.Faults{RefuseBefore: 1}, code.OrderOutcomeUnknown, code.OrderOutcomeUnknown, 0},
		"large answer":   {orderserver.Faults{AnswerBytes: 1 << 20}, 0, 0, 1},
	} {
		d.server.Faults.Set(c.faults)
		_, first, answer := d.a.do(t, press(name, "7"))
		_, again, repeated := d.b.do(t, press(name, "7"))
		if first.Error.ResultCode != c.want || again.Error.ResultCode != c.again || d.server.Ledger.Count(name) != c.runs {
			t.Errorf("%s: codes %d and %d, ran %d times", name, first.Error.ResultCode, again.Error.ResultCode, d.server.Ledger.Count(name))
		}
		if c.want == 0 && answer != repeated {
			t.Errorf("%s: answers %.100q and %.100q", name, answer, repeated)
		}
		if c.want != 0 && (first.Error.Run != code.MayHaveRun || first.Error.Reference == "" || first.Error.Reference != again.Error.Reference) {
			t.Errorf("%s: %+v, then %+v", name, first.Error, again.Error)
		}
	}
	d.server.Faults.Set(orderserver.Faults{})
	if _, body, _ := d.b.do(t, press("answered", "8")); body.Error.ResultCode != code.OrderKeyReused {
		t.Errorf("reused key: %+v", body)
	}
	d.table.Faults.Set(table.Faults{Down: true})
	if _, body, _ := d.a.do(t, press("down", "7")); body.Error.ResultCode != code.OrderStoreDown || body.Error.Run != code.NotRun {
		t.Errorf("table down: %+v", body)
	}
	d.table.Faults.Set(table.Faults{})
	d.a.pools.targets["atelier"][0].Addr = closedAddr(t)
	if _, body, _ := d.a.do(t, press("refused", "7")); body.Error.ResultCode != code.UpstreamUnreachable || body.Error.Run != code.NotRun {
		t.Errorf("refused connection: %+v", body)
	}
	for _, number := range []string{"down", "refused"} {
		if resp, _, data := d.b.do(t, press(number, "7")); resp.StatusCode != http.StatusCreated {
			t.Errorf("%s, repeated: %s", number, data)
		}
	}
	if d.server.Ledger.Duplicates() != 0 || d.server.Ledger.Leaks() != 0 {
		t.Errorf("%d duplicates, %d leaked keys", d.server.Ledger.Duplicates(), d.server.Ledger.Leaks())
	}
}

// TestOrderOutlivesKeyAndCaller guards against an order that is sent and then
// forgotten because its key is revoked, and against a second run of an order
// that two instances receive at once.
func TestOrderOutlivesKeyAndCaller(t *testing.T) {
	d := newDesk(t)
	d.server.Faults.Set(orderserver.Faults{Delay: 100 * time.Millisecond})
	var wg sync.WaitGroup
	answers := make([]string, 2)
	for i, in := range []*instance{d.a, d.b} {
		wg.Go(func() { _, _, answers[i] = in.do(t, press("at once", "7")) })
	}
	wg.Wait()
	if answers[0] != answers[1] || !strings.Contains(answers[0], "at once") {
		t.Errorf("answers %q", answers)
	}
	var sent string
	wg.Go(func() { _, _, sent = d.a.do(t, press("revoked", "7")) })
	for d.a.pools.open.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	d.a.state.revoke(testKey)
	wg.Wait()
	_, _, recorded := d.b.do(t, press("revoked", "7"))
	if !strings.Contains(sent, `"key":"revoked"`) || sent != recorded {
		t.Errorf("the caller got %q, recorded is %q", sent, recorded)
	}
	if d.server.Ledger.Duplicates() != 0 {
		t.Errorf("runs %+v", d.server.Ledger.Runs())
	}
}

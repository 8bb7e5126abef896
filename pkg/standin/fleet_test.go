package standin_test

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"github.com/fescuestep/fescuestep/pkg/engine"
	"github.com/fescuestep/fescuestep/pkg/external"
	"github.com/fescuestep/fescuestep/pkg/standin"
	"github.com/fescuestep/fescuestep/pkg/standin/objects"
	"github.com/fescuestep/fescuestep/pkg/standin/orders"
	"github.com/fescuestep/fescuestep/pkg/standin/weights"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func startFleet(t *testing.T) *standin.Fleet {
	t.Helper()
	c := standin.UCAB()
	c.Scale = 0.01
	c.PlatformOptions.List.Lag = -1
	fleet, err := standin.Start(c)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	return fleet
}

// TestFleetList guards against a fleet whose list and servers differ, against
// goroutines that outlive it, and against an unchanged list that is sent again
// or read wrongly.
func TestFleetList(t *testing.T) {
	fleet := startFleet(t)
	client := external.NewListClient(fleet.Platform.List.Addr(), 0)
	defer client.Close()
	fleet.Leave("plume-2")
	fleet.Stop("plume-3")
	listed, err := client.List(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	count := map[string]int{}
	for _, instance := range listed {
		count[instance.Pool+" "+string(instance.State)]++
	}
	want := map[string]int{"plume live": 10, "plume leaving": 1, "atelier live": 4, "memoire live": 1}
	if diff := cmp.Diff(want, count); diff != "" {
		t.Error(diff)
	}
	again, err := client.List(context.Background())
	if diff := cmp.Diff(listed, again); diff != "" || err != nil || fleet.Platform.List.Store.Unchanged() != 1 {
		t.Errorf("second read: error %v, %d not modified, %s", err, fleet.Platform.List.Store.Unchanged(), diff)
	}
	engines := engine.NewClient(engine.Options{})
	defer engines.Close()
	report, err := engines.Load(context.Background(), fleet.Engine("plume-2").Addr())
	if err != nil || !report.Leaving {
		t.Errorf("got %+v, %v, want a report with leaving", report, err)
	}
}

// TestObjects guards against keys with special characters being mixed up and
// against store failures with the wrong error.
func TestObjects(t *testing.T) {
	fleet := startFleet(t)
	client := external.NewObjectClient(fleet.Platform.Objects.Addr(), 0)
	defer client.Close()
	ctx := context.Background()
	keys := []string{"order/a%2Fb/1", "order/a/b/1", "../x", "å?#"}
	for _, key := range keys {
		if err := client.Put(ctx, key, []byte(key)); err != nil {
			t.Fatal(err)
		}
	}
	for _, key := range keys {
		if value, err := client.Get(ctx, key); err != nil || string(value) != key {
			t.Errorf("key %q: got %q, %v", key, value, err)
		}
	}
	if _, err := client.Get(ctx, "absent"); !errors.Is(err, external.ErrNotFound) {
		t.Errorf("got %v, want ErrNotFound", err)
	}
	faults := &fleet.Platform.Objects.Store.Faults
	faults.Set(objects.Faults{LoseAnswers: 1})
	if err := client.Put(ctx, "lost", nil); !errors.Is(err, external.ErrOutcomeUnknown) {
		t.Errorf("got %v, want ErrOutcomeUnknown", err)
	}
	faults.Set(objects.Faults{Down: true})
	if err := client.Put(ctx, "down", nil); !errors.Is(err, external.ErrUnavailable) {
		t.Errorf("got %v, want ErrUnavailable", err)
	}
}

// TestWeightClient guards against a transfer that broke off being taken for
// a whole one.
func TestWeightClient(t *testing.T) {
	fleet := startFleet(t)
	client := external.NewWeightClient(fleet.Platform.Weights.Addr(), 0)
	defer client.Close()
	var sink strings.Builder
	if n, err := client.Fetch(context.Background(), "2", &sink); err != nil || n != weights.DefaultSize {
		t.Errorf("got %d bytes, %v", n, err)
	}
	fleet.Platform.Weights.Store.Faults.Set(weights.Faults{BreakOff: 1})
	if _, err := client.Fetch(context.Background(), "2", &sink); !errors.Is(err, external.ErrUnavailable) {
		t.Errorf("got %v, want ErrUnavailable", err)
	}
}

// TestOrders guards against runs that the ledger misses or counts twice, and
// against a refusal that ran.
func TestOrders(t *testing.T) {
	fleet := startFleet(t)
	client := engine.NewClient(engine.Options{})
	defer client.Close()
	servers := fleet.Services("atelier")
	cases := []struct {
		key    string
		faults orders.Faults
		status int // 0: no answer
		runs   int
	}{
		{"ok", orders.Faults{}, http.StatusCreated, 1},
		{"refused", orders.Faults{RefuseBefore: 1}, http.StatusServiceUnavailable, 0},
		{"dropped before", orders.Faults{DropBefore: 1}, 0, 0},
		{"failed after", orders.Faults{FailAfter: 1}, http.StatusInternalServerError, 1},
		{"dropped after", orders.Faults{DropAfter: 1}, 0, 1},
	}
	for i, c := range cases {
		server := servers[i%len(servers)]
		server.Faults.Set(c.faults)
		req, _ := http.NewRequest(http.MethodPost, "http://x/orders", strings.NewReader(`{"order_id":"`+c.key+`"}`))
		resp, err := client.Do(context.Background(), server.Addr(), req)
		status := 0
		if err == nil {
			status = resp.StatusCode
			_ = resp.Body.Close()
		} else if engine.NotSent(err) {
			t.Errorf("%s: %v, but it was sent", c.key, err)
		}
		if runs := fleet.Ledger("atelier").Count(c.key); status != c.status || runs != c.runs {
			t.Errorf("%s: status %d, %d runs, want %d and %d", c.key, status, runs, c.status, c.runs)
		}
	}
	req, _ := http.NewRequest(http.MethodPost, "http://x/orders", strings.NewReader(`{"order_id":"ok"}`))
	req.Header.Set("Authorization", "Bearer secret")
	resp, err := client.Do(context.Background(), servers[3].Addr(), req)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	ledger := fleet.Ledger("atelier")
	if ledger.Duplicates() != 1 || ledger.Leaks() != 1 {
		t.Errorf("%d duplicates, %d leaks, want 1 and 1", ledger.Duplicates(), ledger.Leaks())
	}
}

// TestFaultsOverHTTP guards against a misspelt fault that is accepted without
// effect.
func TestFaultsOverHTTP(t *testing.T) {
	fleet := startFleet(t)
	server := fleet.Services("")[0]
	post := func(body string) int {
		resp, err := http.Post("http://"+server.Addr()+"/faults", "application/json", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		http.DefaultClient.CloseIdleConnections()
		return resp.StatusCode
	}
	if got := post(`{"fail_after":-1}`); got != http.StatusOK || server.Faults.Get().FailAfter != -1 {
		t.Errorf("status %d, faults %+v", got, server.Faults.Get())
	}
	if got := post(`{"fail_afterwards":1}`); got != http.StatusBadRequest {
		t.Errorf("status %d, want 400", got)
	}
}

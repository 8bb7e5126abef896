package engine_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/fescuestep/fescuestep/pkg/block"
	wire "github.com/fescuestep/fescuestep/pkg/engine"
	"github.com/fescuestep/fescuestep/pkg/standin/engine"
	"github.com/fescuestep/fescuestep/pkg/standin/kv"
	"github.com/fescuestep/fescuestep/pkg/standin/weights"
)

// TestFencing guards against a stand-in that treats both kinds of upstreams
// alike, which would leave the stale-leader case untested.
func TestFencing(t *testing.T) {
	for _, checks := range []bool{true, false} {
		o := testOptions()
		o.ChecksFencing = checks
		server, client := start(t, o)
		loadWeights(t, server, client, 7, "2")
		result, err := client.Control(context.Background(), server.Addr(), wire.Command{FencingToken: 6, Role: "decode"})
		if err != nil {
			t.Fatal(err)
		}
		if result.Stale != checks || result.Accepted == checks {
			t.Errorf("checks %v: got %+v", checks, result)
		}
		if executed := result.Role == "decode"; executed == checks {
			t.Errorf("checks %v: stale command executed: %v", checks, executed)
		}
	}
}

// TestWeightsVersionRefused guards against a request being computed with
// other weights than it names.
func TestWeightsVersionRefused(t *testing.T) {
	server, client := start(t, testOptions())
	a := ask{id: "r", prompt: long, header: map[string]string{wire.HeaderWeightsVersion: "2"}}
	if resp := a.send(t, client, server.Addr()); resp.StatusCode != http.StatusConflict {
		t.Errorf("status %d, want 409", resp.StatusCode)
	}
	if got := server.Stats().PrefilledTokens; got != 0 {
		t.Errorf("%d tokens were prefilled for a refused request", got)
	}
}

// TestFailedLoad guards against an engine that serves nothing, or claims the
// new version, after the weight store broke off.
func TestFailedLoad(t *testing.T) {
	store, err := weights.Start("", weights.Options{Scale: 0.01, Versions: []string{"1", "2"}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	store.Store.Faults.Set(weights.Faults{BreakOff: 1})
	o := testOptions()
	o.WeightsAddr = store.Addr()
	server, client := start(t, o)
	ctx := context.Background()
	if _, err := client.Control(ctx, server.Addr(), wire.Command{FencingToken: 1, Weights: "2"}); err != nil {
		t.Fatal(err)
	}
	state := wire.CommandResult{Loading: true}
	for state.Loading {
		if state, err = client.State(ctx, server.Addr()); err != nil {
			t.Fatal(err)
		}
	}
	if state.Weights != "1" {
		t.Errorf("serves %q after a failed load, want 1", state.Weights)
	}
	loadWeights(t, server, client, 1, "2")
	if total, peak := store.Store.Loads(); total != 2 || peak != 1 {
		t.Errorf("%d loads, at most %d at once, want 2 and 1", total, peak)
	}
}

// TestKVTransfer guards against an import that reports blocks which the KV
// store does not hold, or that survives a change of weights.
func TestKVTransfer(t *testing.T) {
	store, err := kv.Start("", kv.Options{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	o := testOptions()
	o.KVAddr = store.Addr()
	from, client := start(t, o)
	to, _ := start(t, o)
	ctx := context.Background()
	run(t, client, from.Addr(), ask{id: "r1", prompt: long, salt: "a"})
	id := block.Identity{CacheScope: "a", Model: "m", WeightsVersion: "1"}
	chain := block.AppendChain(nil, id.Seed(), []byte(long), 40)
	transfer := wire.KVTransfer{Weights: "1", Parent: id.Seed(), Blocks: chain[:3]}
	if _, err := client.KVExport(ctx, from.Addr(), transfer); err != nil {
		t.Fatal(err)
	}
	transfer.Blocks = chain
	got, err := client.KVImport(ctx, to.Addr(), transfer)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(chain[:3], got.Blocks); diff != "" {
		t.Error(diff)
	}
	usage := run(t, client, to.Addr(), ask{id: "r2", prompt: long, salt: "a"})
	if usage.Details.CachedTokens != 30 {
		t.Errorf("%d cached tokens after the import, want 30", usage.Details.CachedTokens)
	}
	transfer.Weights = "2"
	if _, err := client.KVImport(ctx, to.Addr(), transfer); err == nil {
		t.Error("import for other weights succeeded")
	}
}

// TestPriorities guards against a batch that serves urgent requests in order
// of arrival.
func TestPriorities(t *testing.T) {
	o := testOptions()
	o.MaxRunning = 1
	server, client := start(t, o)
	server.Faults.Set(engine.Faults{SlowFactor: 1e4}) // the first request holds the only place
	finished := make(chan string, 3)
	send := func(id, priority string) {
		a := ask{id: id, prompt: id, header: map[string]string{wire.HeaderPriority: priority}}
		resp, err := client.Do(context.Background(), server.Addr(), a.request())
		if err == nil {
			_ = resp.Body.Close()
		}
		finished <- id
	}
	await := func(n int) {
		for {
			report, err := client.Load(context.Background(), server.Addr())
			if err != nil {
				t.Error(err)
				return
			}
			if report.Running == 1 && report.Waiting >= n {
				return
			}
		}
	}
	go send("first", "0")
	await(0)
	go send("later", "5")
	await(1)
	go send("urgent", "1")
	await(2)
	server.Faults.Set(engine.Faults{})
	got := []string{<-finished, <-finished, <-finished}
	if diff := cmp.Diff([]string{"first", "urgent", "later"}, got); diff != "" {
		t.Error(diff)
	}
}

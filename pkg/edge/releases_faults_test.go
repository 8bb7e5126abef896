package edge_test

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuestep/fescuestep/pkg/control"
	"github.com/fescuestep/fescuestep/pkg/external"
	"github.com/fescuestep/fescuestep/pkg/netopt"
	"github.com/fescuestep/fescuestep/pkg/release"
	"github.com/fescuestep/fescuestep/platform"
	"github.com/fescuestep/fescuestep/platform/standin"
)

// TestCutOffInstanceLeavesTheOldVersion guards against an instance that reaches neither the store nor the others and sends to upstreams that are stopped meanwhile.
func TestCutOffInstanceLeavesTheOldVersion(t *testing.T) {
	trial := newReleaseTrial(t, 2)
	trial.coreLink = newLink()
	cut := trial.startInstance("c")
	trial.store.OrderRollout("orders", "v2", releaseTime)
	trial.awaitState("running")
	if _, got := cut.request(http.MethodGet, "/read/x", keyBig, ""); got.status != http.StatusOK {
		t.Fatalf("got %+v before the cut", got)
	}
	trial.coreLink.set(linkHangs)
	time.Sleep(releaseTime/2 + release.PermitLife)
	before := trial.executed("v1")
	for range 40 {
		if _, got := cut.request(http.MethodGet, "/read/x", keyBig, ""); got.status != http.StatusServiceUnavailable && got.status != http.StatusOK {
			t.Errorf("got %+v", got)
		}
	}
	if n := trial.executed("v1") - before; n > 0 {
		t.Errorf("%d requests went to the old version", n)
	}
}

// TestSecondOrderReplacesTheFirst guards against two orders for a service that go on side by side.
func TestSecondOrderReplacesTheFirst(t *testing.T) {
	trial := newReleaseTrial(t, 2)
	trial.order()
	trial.awaitState("running")
	trial.store.OrderRollout("orders", "v3", time.Minute)
	want := []standin.RolloutStatus{{State: "running", To: "v2"}, {State: "running", To: "v3"}}
	trial.await("the second order runs", func() bool { return len(trial.store.RolloutHistory("orders")) == 2 })
	time.Sleep(time.Second)
	trial.end()
	if got := trial.store.RolloutHistory("orders"); !slices.Equal(got, want) {
		t.Errorf("status history %v, want %v", got, want)
	}
	if len(trial.failed) > 0 {
		t.Errorf("%d requests were not served, the first one: %+v", len(trial.failed), trial.failed[0])
	}
}

// TestMalformedOrderHarmsNothing guards against an order that is carried out although it contradicts itself, and one that ends a running rollout.
func TestMalformedOrderHarmsNothing(t *testing.T) {
	trial := newReleaseTrial(t, 1)
	trial.store.Put("op", "rollout/orders", []byte(`{"service":"llm","to":"v2","duration_s":8}`))
	trial.await("the order is rejected", func() bool { return trial.instances[0].logged("row rejected") })
	trial.order()
	trial.awaitState("running")
	trial.store.Put("op", "rollout/orders", []byte(`{"service":"orders","to":"v2","duration_s":0}`))
	trial.awaitState("completed")
	trial.checkHistory("running", "completed")
}

// TestOnlyTheHolderOfTheLeaseWritesTheStatus guards against a status that an earlier leader, or a second one, overwrites.
func TestOnlyTheHolderOfTheLeaseWritesTheStatus(t *testing.T) {
	fleet := newTestFleet(t, 1)
	store := platform.NewStore(fleet.storeAddr, netopt.Dialer(time.Second).DialContext)
	take := func(version uint64) external.Condition {
		at, err := store.Commit(t.Context(), external.Txn{
			Conditions: []external.Condition{{Key: control.LeaseKey, Version: version}},
			Writes:     []external.Write{{Key: control.LeaseKey, Value: []byte("{}")}},
		})
		if err != nil {
			t.Fatal(err)
		}
		return external.Condition{Key: control.LeaseKey, Version: at.Version}
	}
	first := take(0)
	at, err := store.WriteRelease(t.Context(), "orders", release.Record{To: "v2"}, first, 0)
	if err != nil {
		t.Fatal(err)
	}
	second := take(first.Version)
	for name, write := range map[string]struct {
		lease   external.Condition
		version uint64
	}{"earlier leader": {first, at.Version}, "record changed": {second, 0}} {
		_, err := store.WriteRelease(t.Context(), "orders", release.Record{To: "v2", Phase: release.Completed}, write.lease, write.version)
		if !errors.Is(err, external.ErrConflict) {
			t.Errorf("%s: error %v", name, err)
		}
	}
	if _, err := store.WriteRelease(t.Context(), "orders", release.Record{To: "v2", Phase: release.RolledBack}, second, at.Version); err != nil {
		t.Error(err)
	}
	want := []standin.RolloutStatus{{State: "running", To: "v2"}, {State: "rolled_back", To: "v2"}}
	if got := fleet.store.RolloutHistory("orders"); !slices.Equal(got, want) {
		t.Errorf("status history %v, want %v", got, want)
	}
}

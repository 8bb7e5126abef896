package edge_test

import (
	"net/http"
	"testing"
	"time"
)

// TestIsolatedCustomerLeavesNothingToOthers guards against using what the requests of a customer have read before it was isolated.
func TestIsolatedCustomerLeavesNothingToOthers(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 1)
	fleet.config.Customers[0].Isolated = false
	fleet.applyConfig()
	instance := fleet.startInstance("n0")
	scopeOf := func(key string) string {
		id, got := instance.prompt("/short/", key)
		if got.status != http.StatusOK {
			t.Fatalf("%+v", got)
		}
		for _, r := range fleet.engines[0].ReceivedRequests() {
			if r.ID == id {
				return r.Header.Get("Cache-Salt")
			}
		}
		return ""
	}
	isolate := func(isolated bool) {
		fleet.config.Customers[0].Isolated = isolated
		fleet.applyConfig()
		time.Sleep(settleTime)
	}
	shared := scopeOf(keyBig)
	if scopeOf(keySmall) != shared {
		t.Error("two customers that share have different scopes")
	}
	isolate(true)
	apart := scopeOf(keySmall)
	if apart == shared || scopeOf(keyBig) == apart || scopeOf(keyBig) == shared {
		t.Errorf("scopes after a customer was isolated: %q and %q; before: %q", apart, scopeOf(keyBig), shared)
	}
	if fleet.applyConfig(); scopeOf(keySmall) != apart {
		t.Error("the scope changes with a configuration that isolates the same customers")
	}
	isolate(false)
	if scopeOf(keySmall) != shared || scopeOf(keyBig) != shared {
		t.Error("customers that share again do not use what they shared before")
	}
}

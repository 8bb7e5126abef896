package list_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/fescuestep/fescuestep/pkg/external"
	"github.com/fescuestep/fescuestep/pkg/standin/list"
)

// TestLag guards against a list that shows changes at once or out of order,
// which would hide the router's dependence on other evidence.
func TestLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := list.NewStore(list.Options{Lag: time.Second})
		states := func() (out []string) {
			instances, err := store.List(context.Background())
			if err != nil {
				t.Fatal(err)
			}
			for _, i := range instances {
				out = append(out, i.ID+" "+string(i.State))
			}
			return out
		}
		check := func(name string, want ...string) {
			t.Helper()
			if diff := cmp.Diff(want, states()); diff != "" {
				t.Errorf("%s: %s", name, diff)
			}
		}
		store.Put(external.Instance{ID: "a", State: external.Live})
		check("before the lag")
		time.Sleep(time.Second)
		check("after the lag", "a live")
		store.Put(external.Instance{ID: "a", State: external.Leaving})
		time.Sleep(500 * time.Millisecond)
		store.Remove("a")
		check("change not visible", "a live")
		time.Sleep(500 * time.Millisecond)
		check("first change visible", "a leaving")
		time.Sleep(500 * time.Millisecond)
		check("second change visible")
		store.Put(external.Instance{ID: "b", State: external.Live})
		store.Faults.Set(list.Faults{Frozen: true})
		time.Sleep(time.Minute)
		check("frozen")
		store.Faults.Set(list.Faults{Omit: []string{"b"}})
		check("omitted")
	})
}

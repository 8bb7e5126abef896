package local_test

import (
	"context"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/fescuestep/fescuestep/pkg/local"
	"github.com/fescuestep/fescuestep/pkg/standin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestRolloutOverStops guards against a rollout that ends, or that loads more
// than two engines at once, when its leader stops: engines of both kinds start
// with older weights, and the first instances stop while they load.
func TestRolloutOverStops(t *testing.T) {
	deployments := []standin.Config{standin.UCAB(), standin.Skovgaard()}
	for i := range deployments {
		deployments[i].Pools[0].Engine.Weights = "older"
	}
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute) // ends a test that hangs
	defer cancel()
	cluster, err := local.Start(ctx, local.Options{
		Deployments: deployments,
		Sites:       []local.Site{{ID: "a", Domain: "rennes"}, {ID: "b", Domain: "ribe"}, {ID: "c", Domain: "brest"}},
		Platform:    standin.PlatformOptions{},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer cluster.Close()
	want := map[string]string{"plume": "plume-7", "lm-desk": "desk-12"}
	for _, n := range cluster.Nodes()[:2] {
		before := older(cluster, want)
		for older(cluster, want) == before && before > 0 && ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
		if err := n.Stop(); err != nil {
			t.Error(err)
		}
	}
	for older(cluster, want) > 0 && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	if n := older(cluster, want); n > 0 {
		t.Errorf("%d engines serve older weights", n)
	}
	if total, peak := cluster.Platform.Weights.Store.Loads(); total != 24 || peak > 2 {
		t.Errorf("%d loads, at most %d at once, want 24 and 2", total, peak)
	}
}

// older counts engines that do not serve the wanted weights of their pool.
func older(c *local.Cluster, want map[string]string) (n int) {
	for _, fleet := range c.Fleets {
		for pool, weights := range want {
			for _, e := range fleet.Engines(pool) {
				if e.Weights() != weights {
					n++
				}
			}
		}
	}
	return n
}

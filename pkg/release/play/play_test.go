package play

import (
	"testing"
	"time"

	"github.com/fescuestep/fescuestep/pkg/release"
)

// TestKindsOfVersions guards against a bad version that completes or gets too many requests, and against a good one that is rolled back or left with requests at the old upstreams.
func TestKindsOfVersions(t *testing.T) {
	for _, kind := range Kinds() {
		t.Run(kind.String(), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(2) {
				result := Play(Options{Kind: kind, Instances: 9, Upstreams: 40, Rate: 500, Duration: 40 * time.Second, Seed: seed})
				want := release.RolledBack
				if kind == (Kind{When: "good"}) {
					want = release.Completed
				}
				if result.Phase != want || !result.Final || result.OldAtEnd > 0 {
					t.Errorf("seed %d: %+v", seed, result)
				}
				if bound := 0.1*float64(result.Requests) + 50; want == release.RolledBack && float64(result.Exposed) > bound/2 {
					t.Errorf("seed %d: %d requests went to the bad version, half of the bound is %.0f", seed, result.Exposed, bound/2)
				}
			}
		})
	}
}

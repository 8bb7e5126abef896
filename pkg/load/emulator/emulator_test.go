package emulator

import (
	"os"
	"testing"
	"time"
)

func play(t *testing.T, d *Deployment, length time.Duration, policies ...string) map[string]*Result {
	t.Helper()
	results, err := Play(d, policies, 1, length)
	if err != nil {
		t.Fatal(err)
	}
	if testing.Verbose() {
		Write(os.Stdout, results)
	}
	out := map[string]*Result{}
	for _, r := range results {
		out[r.Policy] = r
	}
	return out
}

// TestCallersAreServedBetter guards against a placement that serves callers of a
// class, or of its largest tenth, worse than simple ones do, or that computes
// shared prompts again more often.
func TestCallersAreServedBetter(t *testing.T) {
	for name, load := range map[string]float64{"calm": 0.6, "usual": 1, "heavy": 1.6} {
		t.Run(name, func(t *testing.T) {
			results := play(t, Small(load), 30*time.Second, Policies()...)
			ours := results[Fescuestep]
			for _, other := range []string{LeastRequests, PrefixHash} {
				for i, c := range ours.Classes {
					if c.InTime < results[other].Classes[i].InTime {
						t.Errorf("%s: %d in time, %s has %d", c.Name, c.InTime, other, results[other].Classes[i].InTime)
					}
				}
			}
			if least := results[LeastRequests].Reread; ours.Reread > least {
				t.Errorf("%d tokens computed again, without affinity %d", ours.Reread, least)
			}
		})
	}
}

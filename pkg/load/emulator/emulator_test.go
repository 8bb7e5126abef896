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

var loads = map[string]float64{"calm": 0.6, "usual": 1, "heavy": 1.6}

// atLeast reports each class and its largest tenth that is in time less often
// than with another placement.
func atLeast(t *testing.T, ours, other *Result) {
	t.Helper()
	for i, c := range ours.Classes {
		if c.InTime < other.Classes[i].InTime {
			t.Errorf("%s: %d of %d in time, %s has %d", c.Name, c.InTime, c.Requests, other.Policy, other.Classes[i].InTime)
		}
	}
}

// TestPlacementAgainstSimpleOnes guards against a placement that serves a class,
// or its largest tenth, worse than simple ones with the same information, or that
// computes shared prompts again more often.
func TestPlacementAgainstSimpleOnes(t *testing.T) {
	for name, load := range loads {
		t.Run(name, func(t *testing.T) {
			results := play(t, Small(load), 30*time.Second, Fescuestep, LeastRequests, PrefixHash)
			ours := results[Fescuestep]
			atLeast(t, ours, results[LeastRequests])
			atLeast(t, ours, results[PrefixHash])
			if least := results[LeastRequests].Reread; ours.Reread > least {
				t.Errorf("%d tokens computed again, without affinity %d", ours.Reread, least)
			}
		})
	}
}

// TestManyInstancesServeAsFew guards against instances that all choose the same engine
// because what they know of each other is old: many of them must serve 0.95 of what a
// few serve on the same load. The load is a fifth above the usual one, as when a fifth
// of the engines are down.
func TestManyInstancesServeAsFew(t *testing.T) {
	few := play(t, Grown(1.2, 6), 20*time.Second, Fescuestep)[Fescuestep]
	many := play(t, Grown(1.2, 65), 20*time.Second, Fescuestep)[Fescuestep]
	for i, c := range many.Classes {
		if want := few.Classes[i].InTime * 95 / 100; c.InTime < want {
			t.Errorf("%s: %d of %d in time with 65 instances, want %d", c.Name, c.InTime, c.Requests, want)
		}
	}
}

// TestOldKnowledgeCostsLittle guards against few instances that choose among too few
// engines, or too many, because what they know of short requests is old: they must
// serve 0.95 of what they serve when each hears of every request at once.
func TestOldKnowledgeCostsLittle(t *testing.T) {
	late := Small(loads["usual"])
	late.Exchange = Exchange{News: 9 * time.Millisecond, Interval: 200 * time.Millisecond, Refresh: 25 * time.Millisecond}
	at := play(t, Small(loads["usual"]), 30*time.Second, Fescuestep)[Fescuestep]
	old := play(t, late, 30*time.Second, Fescuestep)[Fescuestep]
	for i, c := range old.Classes {
		if want := at.Classes[i].InTime * 95 / 100; c.InTime < want {
			t.Errorf("%s: %d of %d in time, want %d", c.Name, c.InTime, c.Requests, want)
		}
	}
}

// againstInstantCounts guards against a placement that loses by what it knows
// late, or by its affinity, more than it gains.
func againstInstantCounts(t *testing.T, load string) {
	results := play(t, Small(loads[load]), 30*time.Second, Fescuestep, InstantCounts)
	atLeast(t, results[Fescuestep], results[InstantCounts])
}

func TestPlacementAgainstInstantCountsCalm(t *testing.T)  { againstInstantCounts(t, "calm") }
func TestPlacementAgainstInstantCountsUsual(t *testing.T) { againstInstantCounts(t, "usual") }
func TestPlacementAgainstInstantCountsHeavy(t *testing.T) { againstInstantCounts(t, "heavy") }

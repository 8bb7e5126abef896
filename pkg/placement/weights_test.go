package placement

import (
	"fmt"
	"testing"
	"time"
)

// TestIsolationAndWeightsSeparateCaches guards against a cache scope that two isolated
// customers, customers that share before and after another was isolated, or two versions
// of the weights share.
func TestIsolationAndWeightsSeparateCaches(t *testing.T) {
	scopes := map[string]string{}
	for _, who := range [][2]string{{"", ""}, {"", "1f"}, {"", "2e"}, {"a", "1f"}, {"b", "1f"}, {"a/1", "1f"}} {
		for weights := 1; weights <= 12; weights++ {
			scope := cacheScope(who[0], who[1], weights)
			if other, ok := scopes[scope]; ok {
				t.Errorf("%v/%d has the same scope as %s", who, weights, other)
			}
			scopes[scope] = fmt.Sprint(who, "/", weights)
		}
	}
}

// TestReplacedWeightsAreLeftInTime guards against starting requests on weights whose
// replacement was set too long ago, also when later versions were set since.
func TestReplacedWeightsAreLeftInTime(t *testing.T) {
	b := newTestBalancer(2, 1)
	b.SetTargetVersion("m", 2, start)
	b.SetTargetVersion("m", 3, start.Add(4*time.Second))
	b.RecordWeights("e00", "m", 2, start)
	for at := time.Duration(0); at < 12*time.Second; at += 100 * time.Millisecond {
		attempt, _, err := b.Pick(start.Add(at), longQuery(fmt.Sprint("c", at)))
		switch {
		case err == nil && attempt.WeightsVersion == 1 && at > 6*time.Second:
			t.Fatalf("version 1 is used %v after version 2 became the target", at)
		case err == nil && attempt.WeightsVersion == 2 && at > 10*time.Second:
			t.Fatalf("version 2 is used %v after version 3 became the target", at-4*time.Second)
		case err == nil && attempt.BeginBy.IsZero():
			t.Fatal("a request on replaced weights has no deadline for its start")
		case err != nil && at < 4*time.Second:
			t.Fatalf("no upstream at %v: %v", at, err)
		}
	}
}

// TestWeightsAreLeftInTimeHoweverManyTargetsFollow guards against starting requests on weights that were replaced long ago, since many versions were named after the one that replaced them.
func TestWeightsAreLeftInTimeHoweverManyTargetsFollow(t *testing.T) {
	const period = 6 * time.Second // OldWeightsPeriod of newTestBalancer
	for _, gap := range []time.Duration{5 * time.Millisecond, 20 * time.Millisecond, 250 * time.Millisecond, 7 * time.Second} {
		b := newTestBalancer(1, 1)
		e := b.view.ByID("e00")
		setAt := map[int]time.Time{}
		for version := 2; version < 2000; version++ {
			now := start.Add(time.Duration(version) * gap)
			b.SetTargetVersion("m", version, now)
			setAt[version] = now
			if len(b.targets["m"]) > maxTargets {
				t.Fatalf("%d targets are remembered", len(b.targets["m"]))
			}
			for _, has := range []int{1, 2, version / 2, version - 1} {
				if has < 1 {
					continue
				}
				e.Weights = map[string]int{"m": has}
				replaced, allowed := now.Sub(setAt[has+1]), b.weightsAllowed(now, e, "m")
				if has < version && allowed && replaced >= period {
					t.Fatalf("a version each %v: version %d is used %v after it was replaced", gap, has, replaced)
				}
				if few := int(period/gap) < maxTargets; few && has < version && !allowed && replaced < period-weightsMargin {
					t.Fatalf("a version each %v: version %d is refused %v after it was replaced", gap, has, replaced)
				}
			}
		}
	}
}

// TestRefusedVersionLeadsToTheNext guards against requesting a version that an engine
// has not loaded yet: after a refusal it has the next target version, not the latest.
func TestRefusedVersionLeadsToTheNext(t *testing.T) {
	b := newTestBalancer(1, 1)
	for version := 2; version <= 4; version++ {
		b.SetTargetVersion("m", version, start)
	}
	b.RecordWeightsMismatch("e00", "m", 1)
	b.RecordWeightsMismatch("e00", "m", 1) // the refusal of another request that was sent earlier
	e := b.view.ByID("e00")
	if got := b.WeightsVersion(e, "m"); got != 2 {
		t.Errorf("version %d after version 1 was refused", got)
	}
	b.SetView(testView(1, 1)) // a newer listing
	if got := b.WeightsVersion(b.view.ByID("e00"), "m"); got != 1 {
		t.Errorf("the inferred version %d outlives a newer listing", got)
	}
	b.RecordWeights("e00", "m", 3, start)
	b.RecordWeights("e00", "m", 2, start) // late
	if got := b.WeightsVersion(b.view.ByID("e00"), "m"); got != 3 {
		t.Errorf("version %d after the upstream reported 3", got)
	}
}

// TestListingDecidesInTheEnd guards against requesting a version forever that an upstream
// no longer has, because it executed a delayed load order after a restart.
func TestListingDecidesInTheEnd(t *testing.T) {
	b := newTestBalancer(1, 1)
	e := b.view.ByID("e00")
	b.RecordWeights("e00", "m", 2, start)
	b.RecordWeights("e00", "m", 2, start.Add(2*time.Second)) // reported again
	b.SetView(testView(1, 1))
	b.ExpireObservedWeights(start.Add(4 * time.Second))
	if got := b.WeightsVersion(e, "m"); got != 2 {
		t.Errorf("version %d, but 2 was reported two seconds ago", got)
	}
	b.ExpireObservedWeights(start.Add(6 * time.Second))
	if got := b.WeightsVersion(e, "m"); got != 2 {
		t.Errorf("version %d from a listing that is too old to replace the reported one", got)
	}
	b.SetView(testView(1, 1))
	b.ExpireObservedWeights(start.Add(6 * time.Second))
	if got := b.WeightsVersion(e, "m"); got != 1 {
		t.Errorf("version %d, but 1 is listed and 2 was last reported four seconds ago", got)
	}
}

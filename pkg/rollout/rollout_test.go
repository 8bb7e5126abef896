package rollout

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

var start = time.Unix(1000, 0)

// engines returns n engines with the given current and target versions.
func engines(n, current, target int) []Engine {
	out := make([]Engine, n)
	for i := range out {
		out[i] = Engine{ID: fmt.Sprintf("e%02d", i), Addr: fmt.Sprintf("10.0.0.%d:80", i), Model: "m", CurrentVersion: current, TargetVersion: target}
	}
	return out
}

// fakeFleet is a set of simulated engines that perform the steps of a plan.
type fakeFleet struct {
	versions     map[string]int // loaded or loading
	sequence     map[string]int // number of accepted commands
	loadingUntil map[string]time.Time
	down         map[string]bool
}

func newFakeFleet(list []Engine) *fakeFleet {
	f := &fakeFleet{versions: map[string]int{}, sequence: map[string]int{}, loadingUntil: map[string]time.Time{}, down: map[string]bool{}}
	for _, e := range list {
		f.versions[e.ID] = e.CurrentVersion
	}
	return f
}

const loadTime = 400 * time.Millisecond

func (f *fakeFleet) perform(p *Plan, now time.Time, s Step) {
	id := s.Engine.ID
	if f.down[id] {
		if s.Load {
			p.HandleLoadResult(now, id, errors.New("connection refused"))
			return
		}
		p.HandleReport(now, id, Report{}, errors.New("connection refused"))
		return
	}
	if !s.Load {
		p.HandleReport(now, id, Report{Sequence: f.sequence[id], Loading: now.Before(f.loadingUntil[id]), Weights: map[string]int{"m": f.currentVersion(now, id)}}, nil)
		return
	}
	if s.Sequence != f.sequence[id] || now.Before(f.loadingUntil[id]) {
		p.HandleLoadResult(now, id, ErrConflict)
		return
	}
	f.sequence[id]++
	f.loadingUntil[id] = now.Add(loadTime)
	f.versions[id] = s.Version
	p.HandleLoadResult(now, id, nil)
}

func (f *fakeFleet) currentVersion(now time.Time, id string) int {
	if now.Before(f.loadingUntil[id]) {
		return f.versions[id] - 1
	}
	return f.versions[id]
}

// runPlan runs the plan until it is done or the limit is reached and returns the
// elapsed time. It calls check, if not nil, before each step.
func runPlan(p *Plan, f *fakeFleet, limit time.Duration, check func(now time.Time)) time.Duration {
	for t := time.Duration(0); t < limit; t += 20 * time.Millisecond {
		now := start.Add(t)
		if check != nil {
			check(now)
		}
		for _, s := range p.Next(now, true) {
			f.perform(p, now, s)
		}
		if p.Done() {
			return t
		}
	}
	return limit
}

// TestAllEnginesLoad guards against engines that keep old weights, and against more
// concurrent loads than allowed.
func TestAllEnginesLoad(t *testing.T) {
	list := engines(12, 1, 2)
	p, f := NewPlan(&LoadLimiter{}), newFakeFleet(list)
	p.SetEngines(start, list)
	took := runPlan(p, f, 10*time.Second, func(time.Time) {
		if n := len(p.Loading()); n > InitialLoadLimit(12) {
			t.Fatalf("%d engines load at once", n)
		}
	})
	if took > 4*time.Second {
		t.Errorf("rollout took %v, want at most 4s", took)
	}
	for id, n := range f.sequence {
		if n != 1 {
			t.Errorf("%s accepted %d load commands, want 1", id, n)
		}
	}
}

// TestCrashedEnginesDoNotBlock guards against a rollout that waits for engines
// that crash while they load: the crashed ones hold all places of the limit on
// concurrent loads, and stay listed.
func TestCrashedEnginesDoNotBlock(t *testing.T) {
	list := engines(12, 1, 2)
	p, f := NewPlan(&LoadLimiter{}), newFakeFleet(list)
	p.SetEngines(start, list)
	crashes := InitialLoadLimit(len(list))
	crashAt := map[string]time.Time{}
	runPlan(p, f, 6*time.Second, func(now time.Time) {
		for id, until := range f.loadingUntil {
			if _, known := crashAt[id]; !known && len(crashAt) < crashes {
				crashAt[id] = until.Add(-loadTime / 2)
			}
		}
		for id, at := range crashAt {
			f.down[id] = !now.Before(at)
		}
	})
	if len(crashAt) != crashes {
		t.Fatalf("%d engines crashed while they loaded, want %d", len(crashAt), crashes)
	}
	for id, version := range f.versions {
		if !f.down[id] && version != 2 {
			t.Errorf("%s still has version %d", id, version)
		}
	}
}

// TestLostLoadCommandIsRepeatedOnce guards against an engine that keeps old weights
// because a load command was lost, and against a second load when only the response
// was lost.
func TestLostLoadCommandIsRepeatedOnce(t *testing.T) {
	for _, executed := range []bool{false, true} {
		list := engines(1, 1, 2)
		p, f := NewPlan(&LoadLimiter{}), newFakeFleet(list)
		p.SetEngines(start, list)
		lost := 0
		for at := time.Duration(0); at < 5*time.Second; at += 20 * time.Millisecond {
			now := start.Add(at)
			for _, s := range p.Next(now, true) {
				if s.Load && lost == 0 {
					lost++
					if executed {
						f.sequence[s.Engine.ID]++
						f.loadingUntil[s.Engine.ID] = now.Add(loadTime)
						f.versions[s.Engine.ID] = s.Version
					}
					p.HandleLoadResult(now, s.Engine.ID, errors.New("no response"))
					continue
				}
				f.perform(p, now, s)
			}
		}
		if f.versions["e00"] != 2 || f.sequence["e00"] != 1 {
			t.Errorf("executed %v: version %d after %d load commands", executed, f.versions["e00"], f.sequence["e00"])
		}
	}
}

// TestStaleTokenEndsLeadership guards against a leader that continues after an
// engine has rejected its fencing token.
func TestStaleTokenEndsLeadership(t *testing.T) {
	p := NewPlan(&LoadLimiter{})
	p.SetEngines(start, engines(1, 1, 2))
	if p.HandleLoadResult(start, "e00", errors.Wrap(ErrStaleToken, "status")) {
		t.Error("still leader after a stale token")
	}
}

// TestListedWeightsEndALoad guards against an engine that still counts as loading
// after its load because the listing showed the new version before the next read
// of its report.
func TestListedWeightsEndALoad(t *testing.T) {
	p, f := NewPlan(&LoadLimiter{}), newFakeFleet(engines(4, 1, 2))
	p.SetEngines(start, engines(4, 1, 2))
	now := start
	var loading string // ID of the engine
	for loading == "" {
		now = now.Add(20 * time.Millisecond)
		for _, s := range p.Next(now, true) {
			f.perform(p, now, s)
			if s.Load {
				loading = s.Engine.ID
			}
		}
	}
	list := engines(4, 1, 2)
	for i := range list {
		if list[i].ID == loading {
			list[i].CurrentVersion = 2
		}
	}
	p.SetEngines(start, list)
	if ids := p.Loading(); slices.Contains(ids, loading) {
		t.Errorf("%s is listed with the new weights and still counts as loading", loading)
	}
}

package rollout

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

var start = time.Unix(1000, 0)

func engines(n, has, wants int) []Engine {
	out := make([]Engine, n)
	for i := range out {
		out[i] = Engine{ID: fmt.Sprintf("e%02d", i), Addr: fmt.Sprintf("10.0.0.%d:80", i), Model: "m", CurrentVersion: has, TargetVersion: wants}
	}
	return out
}

// fakeFleet is a set of engines that answer the steps of a plan.
type fakeFleet struct {
	versions     map[string]int
	sequence     map[string]int
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

// runPlan runs the plan until it is done or the time is over.
func runPlan(p *Plan, f *fakeFleet, most time.Duration, each func(now time.Time)) time.Duration {
	for t := time.Duration(0); t < most; t += 20 * time.Millisecond {
		now := start.Add(t)
		if each != nil {
			each(now)
		}
		for _, s := range p.Next(now, true) {
			f.perform(p, now, s)
		}
		if p.Done() {
			return t
		}
	}
	return most
}

// TestAllEnginesLoad guards against engines that are left on old weights, and
// against more loads at once than allowed.
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
		t.Errorf("rollout took %v", took)
	}
	for id, n := range f.sequence {
		if n != 1 {
			t.Errorf("%s got %d orders", id, n)
		}
	}
}

// TestCrashedEnginesDoNotBlock guards against a rollout that waits for engines
// that crashed while they loaded.
func TestCrashedEnginesDoNotBlock(t *testing.T) {
	list := engines(12, 1, 2)
	p, f := NewPlan(&LoadLimiter{}), newFakeFleet(list)
	p.SetEngines(start, list)
	for _, s := range p.Next(start, true) {
		f.perform(p, start, s) // reads
	}
	now := start.Add(20 * time.Millisecond)
	for _, s := range p.Next(now, true) {
		f.perform(p, now, s)
		if s.Load {
			f.down[s.Engine.ID] = true
		}
	}
	runPlan(p, f, 6*time.Second, nil)
	for id, version := range f.versions {
		if !f.down[id] && version != 2 {
			t.Errorf("%s still has version %d", id, version)
		}
	}
}

// TestLostOrderIsRepeatedOnce guards against an engine left behind when an
// order got lost, and against a second load when only its answer did.
func TestLostOrderIsRepeatedOnce(t *testing.T) {
	for _, arrives := range []bool{false, true} {
		list := engines(1, 1, 2)
		p, f := NewPlan(&LoadLimiter{}), newFakeFleet(list)
		p.SetEngines(start, list)
		lost := 0
		for at := time.Duration(0); at < 5*time.Second; at += 20 * time.Millisecond {
			now := start.Add(at)
			for _, s := range p.Next(now, true) {
				if s.Load && lost == 0 {
					lost++
					if arrives {
						f.sequence[s.Engine.ID]++
						f.loadingUntil[s.Engine.ID] = now.Add(loadTime)
						f.versions[s.Engine.ID] = s.Version
					}
					p.HandleLoadResult(now, s.Engine.ID, errors.New("no answer"))
					continue
				}
				f.perform(p, now, s)
			}
		}
		if f.versions["e00"] != 2 || f.sequence["e00"] != 1 {
			t.Errorf("arrives %v: version %d after %d orders", arrives, f.versions["e00"], f.sequence["e00"])
		}
	}
}

// TestStaleTokenEndsLeadership guards against a leader that goes on after an
// engine has seen its successor.
func TestStaleTokenEndsLeadership(t *testing.T) {
	p := NewPlan(&LoadLimiter{})
	p.SetEngines(start, engines(1, 1, 2))
	if p.HandleLoadResult(start, "e00", errors.Wrap(ErrStaleToken, "status")) {
		t.Error("still leader after a stale token")
	}
}

// TestListedWeightsEndALoad guards against an engine that is kept free of work
// after it has loaded, because its listing says so before it was read.
func TestListedWeightsEndALoad(t *testing.T) {
	p, f := NewPlan(&LoadLimiter{}), newFakeFleet(engines(4, 1, 2))
	p.SetEngines(start, engines(4, 1, 2))
	now := start
	var ordered string
	for ordered == "" {
		now = now.Add(20 * time.Millisecond)
		for _, s := range p.Next(now, true) {
			f.perform(p, now, s)
			if s.Load {
				ordered = s.Engine.ID
			}
		}
	}
	list := engines(4, 1, 2)
	for i := range list {
		if list[i].ID == ordered {
			list[i].CurrentVersion = 2
		}
	}
	p.SetEngines(start, list)
	if loading := p.Loading(); slices.Contains(loading, ordered) {
		t.Errorf("%s is listed with the new weights and still counts as loading", ordered)
	}
}

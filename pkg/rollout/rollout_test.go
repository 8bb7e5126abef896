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
		out[i] = Engine{ID: fmt.Sprintf("e%02d", i), Addr: fmt.Sprintf("10.0.0.%d:80", i), Model: "m", Has: has, Wants: wants}
	}
	return out
}

// engineSet is a set of engines that answer the steps of a plan.
type engineSet struct {
	weights map[string]int
	orders  map[string]int
	until   map[string]time.Time
	down    map[string]bool
}

func newFleet(list []Engine) *engineSet {
	f := &engineSet{weights: map[string]int{}, orders: map[string]int{}, until: map[string]time.Time{}, down: map[string]bool{}}
	for _, e := range list {
		f.weights[e.ID] = e.Has
	}
	return f
}

const loadTime = 400 * time.Millisecond

func (f *engineSet) perform(p *Plan, now time.Time, s Step) {
	id := s.Engine.ID
	if f.down[id] {
		if s.Order {
			p.Ordered(now, id, errors.New("connection refused"))
			return
		}
		p.Reported(now, id, Report{}, errors.New("connection refused"))
		return
	}
	if !s.Order {
		p.Reported(now, id, Report{Orders: f.orders[id], Loading: now.Before(f.until[id]), Weights: map[string]int{"m": f.has(now, id)}}, nil)
		return
	}
	if s.Orders != f.orders[id] || now.Before(f.until[id]) {
		p.Ordered(now, id, ErrConflict)
		return
	}
	f.orders[id]++
	f.until[id] = now.Add(loadTime)
	f.weights[id] = s.Version
	p.Ordered(now, id, nil)
}

func (f *engineSet) has(now time.Time, id string) int {
	if now.Before(f.until[id]) {
		return f.weights[id] - 1
	}
	return f.weights[id]
}

// play runs the plan until it is done or the time is over.
func play(p *Plan, f *engineSet, most time.Duration, each func(now time.Time)) time.Duration {
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
	p, f := NewPlan(&Loads{}), newFleet(list)
	p.SetEngines(start, list)
	took := play(p, f, 10*time.Second, func(time.Time) {
		if n := len(p.Loading()); n > MaxLoads(12) {
			t.Fatalf("%d engines load at once", n)
		}
	})
	if took > 4*time.Second {
		t.Errorf("rollout took %v", took)
	}
	for id, n := range f.orders {
		if n != 1 {
			t.Errorf("%s got %d orders", id, n)
		}
	}
}

// TestCrashedEnginesDoNotBlock guards against a rollout that waits for engines
// that crashed while they loaded.
func TestCrashedEnginesDoNotBlock(t *testing.T) {
	list := engines(12, 1, 2)
	p, f := NewPlan(&Loads{}), newFleet(list)
	p.SetEngines(start, list)
	for _, s := range p.Next(start, true) {
		f.perform(p, start, s) // reads
	}
	now := start.Add(20 * time.Millisecond)
	for _, s := range p.Next(now, true) {
		f.perform(p, now, s)
		if s.Order {
			f.down[s.Engine.ID] = true
		}
	}
	play(p, f, 6*time.Second, nil)
	for id, version := range f.weights {
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
		p, f := NewPlan(&Loads{}), newFleet(list)
		p.SetEngines(start, list)
		lost := 0
		for at := time.Duration(0); at < 5*time.Second; at += 20 * time.Millisecond {
			now := start.Add(at)
			for _, s := range p.Next(now, true) {
				if s.Order && lost == 0 {
					lost++
					if arrives {
						f.orders[s.Engine.ID]++
						f.until[s.Engine.ID] = now.Add(loadTime)
						f.weights[s.Engine.ID] = s.Version
					}
					p.Ordered(now, s.Engine.ID, errors.New("no answer"))
					continue
				}
				f.perform(p, now, s)
			}
		}
		if f.weights["e00"] != 2 || f.orders["e00"] != 1 {
			t.Errorf("arrives %v: version %d after %d orders", arrives, f.weights["e00"], f.orders["e00"])
		}
	}
}

// TestStaleTokenEndsLeadership guards against a leader that goes on after an
// engine has seen its successor.
func TestStaleTokenEndsLeadership(t *testing.T) {
	p := NewPlan(&Loads{})
	p.SetEngines(start, engines(1, 1, 2))
	if p.Ordered(start, "e00", errors.Wrap(ErrStale, "status")) {
		t.Error("still leader after a stale token")
	}
}

// TestListedWeightsEndALoad guards against an engine that is kept free of work
// after it has loaded, because its listing says so before it was read.
func TestListedWeightsEndALoad(t *testing.T) {
	p, f := NewPlan(&Loads{}), newFleet(engines(4, 1, 2))
	p.SetEngines(start, engines(4, 1, 2))
	now := start
	var ordered string
	for ordered == "" {
		now = now.Add(20 * time.Millisecond)
		for _, s := range p.Next(now, true) {
			f.perform(p, now, s)
			if s.Order {
				ordered = s.Engine.ID
			}
		}
	}
	list := engines(4, 1, 2)
	for i := range list {
		if list[i].ID == ordered {
			list[i].Has = 2
		}
	}
	p.SetEngines(start, list)
	if loading := p.Loading(); slices.Contains(loading, ordered) {
		t.Errorf("%s is listed with the new weights and still counts as loading", ordered)
	}
}

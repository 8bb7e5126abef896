package control_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/fescuestep/fescuestep/pkg/control"
	"github.com/fescuestep/fescuestep/pkg/engine"
	"github.com/fescuestep/fescuestep/pkg/transport"
)

// simEngine is a simulated engine that takes loadTime to load weights.
type simEngine struct {
	state    engine.CommandResult
	target   string
	loadedAt time.Duration
	clock    time.Duration // time of the last finishLoad
}

const loadTime = 300 * time.Millisecond

func (e *simEngine) finishLoad(now time.Duration) {
	e.clock = now
	if e.state.Loading && now >= e.loadedAt {
		e.state.Loading = false
		e.state.Weights = e.target
	}
}

func (e *simEngine) command(now time.Duration, cmd engine.Command) engine.CommandResult {
	e.finishLoad(now)
	e.state.FencingToken = max(e.state.FencingToken, cmd.FencingToken)
	if cmd.Adapters != nil {
		e.state.Adapters = cmd.Adapters
	}
	if cmd.Weights != "" && cmd.Weights != e.state.Weights && !e.state.Loading {
		e.state.Loading, e.target, e.loadedAt = true, cmd.Weights, now+loadTime
	}
	return e.state
}

func alwaysCovered(bool) bool { return true }

// fleet is a set of simulated engines controlled by one plan.
type fleet struct {
	rng     *rand.Rand
	engines map[string]*simEngine
	plan    *control.Plan
	pending []func()
	late    []event
}

// newFleet returns n engines, half of which check fencing tokens. An earlier
// leader has started loads on the two that are read last.
func newFleet(seed uint64, n int) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 0)), engines: map[string]*simEngine{}}
	var upstreams []control.Upstream
	for i := range n {
		id := fmt.Sprint("e", i)
		f.engines[id] = &simEngine{state: engine.CommandResult{Weights: "1"}}
		if i >= n-2 {
			f.engines[id].command(0, engine.Command{FencingToken: 4, Weights: "2"})
		}
		upstreams = append(upstreams, control.Upstream{
			ID: id, Addr: id, ChecksFencing: i%2 == 0,
			Desired: control.DesiredState{Weights: "2", Adapters: []string{"x"}},
		})
	}
	f.plan = control.NewPlan(control.DefaultPlanConfig(), 5, 0)
	f.plan.SetUpstreams(upstreams)
	return f
}

// advance runs the plan once at the time now. It returns the number of engines
// that load and whether the rollout is complete.
func (f *fleet) advance(now time.Duration) (loading int, done bool) {
	for _, e := range f.engines {
		e.finishLoad(now)
		if e.state.Loading {
			loading++
		}
	}
	for _, run := range f.pending {
		run()
	}
	f.pending = f.pending[:0]
	f.late = slices.DeleteFunc(f.late, func(e event) bool {
		if e.at > now {
			return false
		}
		e.run()
		return true
	})
	for _, s := range f.plan.Next(now, alwaysCovered) {
		f.pending = append(f.pending, func() {
			if run := executeStep(f.plan, f.rng, now, s, f.engines[s.ID]); run != nil {
				f.late = append(f.late, event{now + time.Duration(f.rng.Int64N(int64(2*time.Second))), run})
			}
		})
	}
	p := f.plan.Progress(now)
	return loading, p.Done == p.Total && p.Loading == 0
}

// TestRolloutLimit guards against more than two concurrent loads, also right after
// a takeover and when commands are late, lost or unanswered, and against a rollout
// that never completes.
func TestRolloutLimit(t *testing.T) {
	for seed := range uint64(200) {
		f := newFleet(seed, 10)
		now := time.Duration(0)
		for done := false; !done && now < 5*time.Minute; now += step {
			var loading int
			if loading, done = f.advance(now); loading > control.DefaultPlanConfig().MaxConcurrentLoads {
				t.Fatalf("seed %d: %d loads at %v", seed, loading, now)
			}
		}
		for id, e := range f.engines {
			if e.state.Weights != "2" || len(e.state.Adapters) != 1 {
				t.Errorf("seed %d: engine %s is %+v after %v", seed, id, e.state, now)
			}
			if e.state.FencingToken != 5 && id[1]%2 == 0 {
				t.Errorf("seed %d: engine %s has seen token %d, want 5", seed, id, e.state.FencingToken)
			}
		}
	}
}

// executeStep executes a step with a randomly drawn fault and passes the result to
// the plan. It returns the function that executes a late command, or nil.
func executeStep(plan *control.Plan, rng *rand.Rand, now time.Duration, s control.PlanStep, e *simEngine) (late func()) {
	var result engine.CommandResult
	var err error
	fault := rng.IntN(8)
	switch {
	case fault == 0:
		err = &transport.Error{Err: context.DeadlineExceeded}
	case s.Command == nil:
		e.finishLoad(now)
		result = e.state
	case fault == 1: // accepted without effect
		result = e.state
	case fault == 2: // lost before execution
		err = &transport.Error{Sent: true, Err: context.DeadlineExceeded}
	case fault == 4: // unanswered, executed late
		err = &transport.Error{Sent: true, Err: context.DeadlineExceeded}
		late = func() { e.command(e.clock, *s.Command) }
	default:
		result = e.command(now, *s.Command)
	}
	if fault == 3 { // executed, answer lost
		err = &transport.Error{Sent: true, Err: context.DeadlineExceeded}
	}
	plan.HandleResult(now, s, result, err)
	return late
}

// TestUncoveredCommands guards against sending a command that the lease does not
// cover.
func TestUncoveredCommands(t *testing.T) {
	plan := control.NewPlan(control.DefaultPlanConfig(), 2, 0)
	plan.SetUpstreams([]control.Upstream{
		{ID: "a", Addr: "a", ChecksFencing: true, Desired: control.DesiredState{Weights: "2"}},
		{ID: "b", Addr: "b", Desired: control.DesiredState{Weights: "2"}},
	})
	coversOnlyChecking := func(checks bool) bool { return checks }
	for now := time.Duration(0); now < time.Second; now += step {
		for _, s := range plan.Next(now, coversOnlyChecking) {
			if s.Command != nil && !s.ChecksFencing {
				t.Fatalf("command to %s is not covered by the lease", s.ID)
			}
			result := engine.CommandResult{Weights: "1", Accepted: true}
			if stillLeader := plan.HandleResult(now, s, result, nil); !stillLeader {
				t.Error("lost leadership without a stale result")
			}
		}
	}
}

// TestStaleResult guards against a leader that keeps sending commands after an
// upstream has seen a newer token.
func TestStaleResult(t *testing.T) {
	plan := control.NewPlan(control.DefaultPlanConfig(), 2, 0)
	plan.SetUpstreams([]control.Upstream{{ID: "a", Addr: "a", ChecksFencing: true, Desired: control.DesiredState{Weights: "2"}}})
	steps := plan.Next(0, alwaysCovered)
	plan.HandleResult(0, steps[0], engine.CommandResult{Weights: "1"}, nil)
	steps = plan.Next(0, alwaysCovered)
	if len(steps) != 1 || steps[0].Command == nil {
		t.Fatalf("got %+v, want one command", steps)
	}
	if plan.HandleResult(0, steps[0], engine.CommandResult{Weights: "1", Stale: true, FencingToken: 3}, nil) {
		t.Error("still the leader after a stale result")
	}
}

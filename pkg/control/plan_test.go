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

// simEngine is an engine whose commands may be lost, late or without effect.
type simEngine struct {
	state    engine.CommandResult
	target   string
	loadedAt time.Duration
	clock    time.Duration // of the last settle
}

const loadTime = 300 * time.Millisecond

func (e *simEngine) settle(now time.Duration) {
	e.clock = now
	if e.state.Loading && now >= e.loadedAt {
		e.state.Loading = false
		e.state.Weights = e.target
	}
}

func (e *simEngine) command(now time.Duration, cmd engine.Command) engine.CommandResult {
	e.settle(now)
	e.state.FencingToken = max(e.state.FencingToken, cmd.FencingToken)
	if cmd.Adapters != nil {
		e.state.Adapters = cmd.Adapters
	}
	if cmd.Weights != "" && cmd.Weights != e.state.Weights && !e.state.Loading {
		e.state.Loading, e.target, e.loadedAt = true, cmd.Weights, now+loadTime
	}
	return e.state
}

func always(bool) bool { return true }

// TestRolloutLimit guards against more than two loads at once, also right
// after a takeover and when commands are late, lost or unanswered, and against
// a rollout that never ends.
func TestRolloutLimit(t *testing.T) {
	for seed := range int64(200) {
		rng := rand.New(rand.NewPCG(uint64(seed), 0))
		engines := map[string]*simEngine{}
		var upstreams []control.Upstream
		for i := range 10 {
			id := fmt.Sprint("e", i)
			engines[id] = &simEngine{state: engine.CommandResult{Weights: "1"}}
			upstreams = append(upstreams, control.Upstream{ID: id, Addr: id, ChecksFencing: i%2 == 0, Want: control.Target{Weights: "2", Adapters: []string{"x"}}})
		}
		for i := range 2 { // an earlier leader has started two loads
			engines[fmt.Sprint("e", 8+i)].command(0, engine.Command{FencingToken: 4, Weights: "2"})
		}
		cfg := control.DefaultPlanConfig()
		plan := control.NewPlan(cfg, 5, 0)
		plan.SetUpstreams(upstreams)
		var pending []func()
		var late []event
		now := time.Duration(0)
		for ; now < 5*time.Minute; now += step {
			loading := 0
			for _, e := range engines {
				e.settle(now)
				if e.state.Loading {
					loading++
				}
			}
			if loading > cfg.MaxLoads {
				t.Fatalf("seed %d: %d loads at %v", seed, loading, now)
			}
			for _, run := range pending {
				run()
			}
			late = slices.DeleteFunc(late, func(e event) bool {
				if due := e.at <= now; due {
					e.run()
					return true
				}
				return false
			})
			pending = pending[:0]
			for _, s := range plan.Next(now, always) {
				pending = append(pending, func() {
					if run := answer(plan, rng, now, s, engines[s.ID]); run != nil {
						late = append(late, event{now + time.Duration(rng.Int64N(int64(2*time.Second))), run})
					}
				})
			}
			if p := plan.Progress(now); p.Done == p.Total && p.Loading == 0 {
				break
			}
		}
		for id, e := range engines {
			if e.state.Weights != "2" || len(e.state.Adapters) != 1 {
				t.Errorf("seed %d: engine %s is %+v after %v", seed, id, e.state, now)
			}
			if e.state.FencingToken != 5 && id[1]%2 == 0 {
				t.Errorf("seed %d: engine %s has seen token %d, want 5", seed, id, e.state.FencingToken)
			}
		}
	}
}

// answer executes a step with one of several faults. It returns what a late
// command does when it arrives, or nil.
func answer(plan *control.Plan, rng *rand.Rand, now time.Duration, s control.Step, e *simEngine) (late func()) {
	var result engine.CommandResult
	var err error
	fault := rng.IntN(8)
	switch {
	case fault == 0:
		err = &transport.Error{Err: context.DeadlineExceeded}
	case s.Command == nil:
		e.settle(now)
		result = e.state
	case fault == 1: // accepted without effect
		result = e.state
	case fault == 2: // lost on the way
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
	plan.Done(now, s, result, err)
	return late
}

// TestUncoveredCommands guards against commands that the lease does not cover.
func TestUncoveredCommands(t *testing.T) {
	plan := control.NewPlan(control.DefaultPlanConfig(), 2, 0)
	plan.SetUpstreams([]control.Upstream{
		{ID: "a", Addr: "a", ChecksFencing: true, Want: control.Target{Weights: "2"}},
		{ID: "b", Addr: "b", Want: control.Target{Weights: "2"}},
	})
	checksOnly := func(checks bool) bool { return checks }
	for now := time.Duration(0); now < time.Second; now += step {
		for _, s := range plan.Next(now, checksOnly) {
			if s.Command != nil && !s.ChecksFencing {
				t.Fatalf("command to %s without cover", s.ID)
			}
			result := engine.CommandResult{Weights: "1", Accepted: true}
			if still := plan.Done(now, s, result, nil); !still {
				t.Error("not the leader any more without a stale result")
			}
		}
	}
}

// TestStaleResult guards against a leader that goes on although an upstream
// has seen a newer token.
func TestStaleResult(t *testing.T) {
	plan := control.NewPlan(control.DefaultPlanConfig(), 2, 0)
	plan.SetUpstreams([]control.Upstream{{ID: "a", Addr: "a", ChecksFencing: true, Want: control.Target{Weights: "2"}}})
	steps := plan.Next(0, always)
	plan.Done(0, steps[0], engine.CommandResult{Weights: "1"}, nil)
	steps = plan.Next(0, always)
	if len(steps) != 1 || steps[0].Command == nil {
		t.Fatalf("got %+v, want one command", steps)
	}
	if plan.Done(0, steps[0], engine.CommandResult{Weights: "1", Stale: true, FencingToken: 3}, nil) {
		t.Error("still the leader after a stale result")
	}
}

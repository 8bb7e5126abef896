package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"
)

// loadCommand is a load command sent by a leader.
type loadCommand struct {
	step  Step
	token uint64    // fencing token of the leader
	at    time.Time // when the engine executes it
}

// simEngine is the true state of a simulated engine.
type simEngine struct {
	version        int // of the weights that are loaded or loading
	sequence       int // number of accepted commands
	token          uint64
	loadingUntil   time.Time
	loadedVersions []int // in the order in which they were loaded
	restarts       int
}

// execute executes a load command. Like a real engine, it rejects stale tokens and
// unexpected sequence numbers.
func (e *simEngine) execute(now time.Time, c loadCommand) error {
	switch {
	case c.token < e.token:
		return ErrStaleToken
	case c.step.Sequence != e.sequence || now.Before(e.loadingUntil):
		return ErrConflict
	case c.step.Version == e.version:
		return nil // already loaded
	}
	e.token = c.token
	e.sequence++
	e.version = c.step.Version
	e.loadingUntil = now.Add(loadTime)
	e.loadedVersions = append(e.loadedVersions, c.step.Version)
	return nil
}

func (e *simEngine) report(now time.Time) Report {
	loaded := e.version
	if now.Before(e.loadingUntil) {
		loaded--
	}
	return Report{Sequence: e.sequence, Loading: now.Before(e.loadingUntil), Weights: map[string]int{"m": loaded}}
}

// TestFaultsNeverRevertWeights drives the plans of successive leaders with lost
// responses, commands that are executed seconds late, engine restarts, and old
// leaders that continue without knowing of their successor. It guards against an
// engine that loads an older version after a newer one, or the same version twice,
// and against engines that never get the newest version.
func TestFaultsNeverRevertWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const step = 40 * time.Millisecond
		n := rapid.IntRange(1, 6).Draw(t, "engines")
		simEngines := make(map[string]*simEngine, n)
		for i := range n {
			simEngines[fmt.Sprintf("e%02d", i)] = &simEngine{version: 1}
		}
		type leader struct {
			plan  *Plan
			token uint64
		}
		leaders := []leader{{NewPlan(&LoadLimiter{}), 1}}
		target := 2
		var delayed []loadCommand
		now := start
		steps := rapid.IntRange(10, 150).Draw(t, "steps")
		faultFree := 400 // steps without faults at the end
		for s := range steps + faultFree {
			now = now.Add(step)
			faults := s < steps
			if faults {
				switch rapid.IntRange(0, 60).Draw(t, "event") {
				case 0:
					target++
				case 1: // a new leader; the previous one may continue for a while
					leaders = append(leaders[len(leaders)-1:], leader{NewPlan(&LoadLimiter{}), leaders[len(leaders)-1].token + 1})
				case 2: // an engine restarts under its ID
					e := simEngines[fmt.Sprintf("e%02d", rapid.IntRange(0, n-1).Draw(t, "crashed"))]
					e.sequence, e.token, e.loadingUntil = 0, 0, time.Time{}
					e.restarts++
				}
			} else {
				leaders = leaders[len(leaders)-1:]
			}
			kept := delayed[:0]
			for _, c := range delayed {
				if c.at.After(now) {
					kept = append(kept, c)
					continue
				}
				_ = simEngines[c.step.Engine.ID].execute(now, c) // the response is lost
			}
			delayed = kept
			for _, l := range leaders {
				list := engines(n, 1, target)
				for i := range list {
					list[i].CurrentVersion = simEngines[list[i].ID].report(now).Weights["m"]
				}
				l.plan.SetEngines(now, list)
				for _, call := range l.plan.Next(now, true) {
					id := call.Engine.ID
					fate := 0
					if faults {
						fate = rapid.IntRange(0, 9).Draw(t, "fate")
					}
					switch {
					case fate == 1 && call.Load: // executed late, without a response
						delay := time.Duration(rapid.IntRange(1, 60).Draw(t, "late")) * step
						delayed = append(delayed, loadCommand{call, l.token, now.Add(delay)})
						l.plan.HandleLoadResult(now, id, errors.New("no response"))
					case fate == 2 && call.Load: // executed, the response is lost
						_ = simEngines[id].execute(now, loadCommand{call, l.token, now})
						l.plan.HandleLoadResult(now, id, errors.New("no response"))
					case fate == 3 && !call.Load:
						l.plan.HandleReport(now, id, Report{}, errors.New("no response"))
					case call.Load:
						l.plan.HandleLoadResult(now, id, simEngines[id].execute(now, loadCommand{call, l.token, now}))
					default:
						l.plan.HandleReport(now, id, simEngines[id].report(now), nil)
					}
				}
			}
		}
		for id, e := range simEngines {
			if e.version != target {
				p := leaders[0].plan
				t.Fatalf("%s has version %d, want %d; plan: %+v", id, e.version, target, *p.engines[id])
			}
			for i := 1; i < len(e.loadedVersions) && e.restarts == 0; i++ {
				if e.loadedVersions[i] <= e.loadedVersions[i-1] {
					t.Fatalf("%s loaded versions %v, want each once and in ascending order", id, e.loadedVersions)
				}
			}
		}
	})
}

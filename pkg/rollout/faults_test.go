package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"
)

// delayedLoad is an order on its way to an engine.
type delayedLoad struct {
	step  Step
	token uint64
	at    time.Time // when it is carried out
}

// simEngine is an engine as it is, whatever a leader knows of it.
type simEngine struct {
	version        int
	sequence       int
	token          uint64
	loadingUntil   time.Time // loads
	loadedVersions []int     // versions in the order in which they were loaded
	restarts       int       // restarts
}

// execute carries an order out as engines do: stale tokens and unexpected counts
// fail.
func (e *simEngine) execute(now time.Time, o delayedLoad) error {
	switch {
	case o.token < e.token:
		return ErrStaleToken
	case o.step.Sequence != e.sequence || now.Before(e.loadingUntil):
		return ErrConflict
	case o.step.Version == e.version:
		return nil // holds already
	}
	e.token = o.token
	e.sequence++
	e.version = o.step.Version
	e.loadingUntil = now.Add(loadTime)
	e.loadedVersions = append(e.loadedVersions, o.step.Version)
	return nil
}

func (e *simEngine) report(now time.Time) Report {
	has := e.version
	if now.Before(e.loadingUntil) {
		has--
	}
	return Report{Sequence: e.sequence, Loading: now.Before(e.loadingUntil), Weights: map[string]int{"m": has}}
}

// TestFaultsNeverBringWeightsBack drives plans of successive leaders with lost,
// late and repeated answers, orders that are carried out seconds later, crashed
// engines and leaders that go on without knowing of their successor. It guards
// against an engine that loads an older version after a newer one, or the same
// one twice, and against engines that never get the newest.
func TestFaultsNeverBringWeightsBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const step = 40 * time.Millisecond
		n := rapid.IntRange(1, 6).Draw(t, "engines")
		world := make(map[string]*simEngine, n)
		for i := range n {
			world[fmt.Sprintf("e%02d", i)] = &simEngine{version: 1}
		}
		type leader struct {
			plan  *Plan
			token uint64
		}
		leaders := []leader{{NewPlan(&LoadLimiter{}), 1}}
		wanted := 2
		var late []delayedLoad
		now := start
		steps := rapid.IntRange(10, 150).Draw(t, "steps")
		calm := 400 // steps without faults at the end
		for s := range steps + calm {
			now = now.Add(step)
			faults := s < steps
			if faults {
				switch rapid.IntRange(0, 60).Draw(t, "event") {
				case 0:
					wanted++
				case 1: // a new leader; the one before may go on for a while
					leaders = append(leaders[len(leaders)-1:], leader{NewPlan(&LoadLimiter{}), leaders[len(leaders)-1].token + 1})
				case 2: // an engine restarts under its ID
					e := world[fmt.Sprintf("e%02d", rapid.IntRange(0, n-1).Draw(t, "crashed"))]
					e.sequence, e.token, e.loadingUntil = 0, 0, time.Time{}
					e.restarts++
				}
			} else {
				leaders = leaders[len(leaders)-1:]
			}
			kept := late[:0]
			for _, o := range late {
				if o.at.After(now) {
					kept = append(kept, o)
					continue
				}
				_ = world[o.step.Engine.ID].execute(now, o) // nobody hears the answer
			}
			late = kept
			for _, l := range leaders {
				list := engines(n, 1, wanted)
				for i := range list {
					list[i].CurrentVersion = world[list[i].ID].report(now).Weights["m"]
				}
				l.plan.SetEngines(now, list)
				for _, call := range l.plan.Next(now, true) {
					id := call.Engine.ID
					fate := 0
					if faults {
						fate = rapid.IntRange(0, 9).Draw(t, "fate")
					}
					switch {
					case fate == 1 && call.Load: // lost, and carried out late
						wait := time.Duration(rapid.IntRange(1, 60).Draw(t, "late")) * step
						late = append(late, delayedLoad{call, l.token, now.Add(wait)})
						l.plan.HandleLoadResult(now, id, errors.New("no answer"))
					case fate == 2 && call.Load: // carried out, the answer is lost
						_ = world[id].execute(now, delayedLoad{call, l.token, now})
						l.plan.HandleLoadResult(now, id, errors.New("no answer"))
					case fate == 3 && !call.Load:
						l.plan.HandleReport(now, id, Report{}, errors.New("no answer"))
					case call.Load:
						l.plan.HandleLoadResult(now, id, world[id].execute(now, delayedLoad{call, l.token, now}))
					default:
						l.plan.HandleReport(now, id, world[id].report(now), nil)
					}
				}
			}
		}
		for id, e := range world {
			if e.version != wanted {
				p := leaders[0].plan
				t.Fatalf("%s has version %d, %d was named; plan: %+v", id, e.version, wanted, *p.engines[id])
			}
			for i := 1; i < len(e.loadedVersions) && e.restarts == 0; i++ {
				if e.loadedVersions[i] <= e.loadedVersions[i-1] {
					t.Fatalf("%s loaded %v", id, e.loadedVersions)
				}
			}
		}
	})
}

package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"
)

// sentOrder is an order on its way to an engine.
type sentOrder struct {
	step  Step
	token uint64
	at    time.Time // when it is carried out
}

// remote is an engine as it is, whatever a leader knows of it.
type remote struct {
	weights int
	orders  int
	token   uint64
	until   time.Time // loads
	loads   []int     // versions in the order in which they were loaded
	born    int       // restarts
}

// take carries an order out as engines do: stale tokens and unexpected counts
// fail.
func (e *remote) take(now time.Time, o sentOrder) error {
	switch {
	case o.token < e.token:
		return ErrStale
	case o.step.Orders != e.orders || now.Before(e.until):
		return ErrConflict
	case o.step.Version == e.weights:
		return nil // holds already
	}
	e.token = o.token
	e.orders++
	e.weights = o.step.Version
	e.until = now.Add(loadTime)
	e.loads = append(e.loads, o.step.Version)
	return nil
}

func (e *remote) report(now time.Time) Report {
	has := e.weights
	if now.Before(e.until) {
		has--
	}
	return Report{Orders: e.orders, Loading: now.Before(e.until), Weights: map[string]int{"m": has}}
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
		world := make(map[string]*remote, n)
		for i := range n {
			world[fmt.Sprintf("e%02d", i)] = &remote{weights: 1}
		}
		type leader struct {
			plan  *Plan
			token uint64
		}
		leaders := []leader{{NewPlan(&Loads{}), 1}}
		wanted := 2
		var late []sentOrder
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
					leaders = append(leaders[len(leaders)-1:], leader{NewPlan(&Loads{}), leaders[len(leaders)-1].token + 1})
				case 2: // an engine restarts under its ID
					e := world[fmt.Sprintf("e%02d", rapid.IntRange(0, n-1).Draw(t, "crashed"))]
					e.orders, e.token, e.until = 0, 0, time.Time{}
					e.born++
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
				_ = world[o.step.Engine.ID].take(now, o) // nobody hears the answer
			}
			late = kept
			for _, l := range leaders {
				list := engines(n, 1, wanted)
				for i := range list {
					list[i].Has = world[list[i].ID].report(now).Weights["m"]
				}
				l.plan.SetEngines(now, list)
				for _, call := range l.plan.Next(now, true) {
					id := call.Engine.ID
					fate := 0
					if faults {
						fate = rapid.IntRange(0, 9).Draw(t, "fate")
					}
					switch {
					case fate == 1 && call.Order: // lost, and carried out late
						wait := time.Duration(rapid.IntRange(1, 60).Draw(t, "late")) * step
						late = append(late, sentOrder{call, l.token, now.Add(wait)})
						l.plan.Ordered(now, id, errors.New("no answer"))
					case fate == 2 && call.Order: // carried out, the answer is lost
						_ = world[id].take(now, sentOrder{call, l.token, now})
						l.plan.Ordered(now, id, errors.New("no answer"))
					case fate == 3 && !call.Order:
						l.plan.Reported(now, id, Report{}, errors.New("no answer"))
					case call.Order:
						l.plan.Ordered(now, id, world[id].take(now, sentOrder{call, l.token, now}))
					default:
						l.plan.Reported(now, id, world[id].report(now), nil)
					}
				}
			}
		}
		for id, e := range world {
			if e.weights != wanted {
				p := leaders[0].plan
				t.Fatalf("%s has version %d, %d was named; plan: %+v", id, e.weights, wanted, *p.engines[id])
			}
			for i := 1; i < len(e.loads) && e.born == 0; i++ {
				if e.loads[i] <= e.loads[i-1] {
					t.Fatalf("%s loaded %v", id, e.loads)
				}
			}
		}
	})
}

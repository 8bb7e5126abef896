package rollout

import (
	"fmt"
	"testing"
	"time"
)

// contended is a fleet whose engines share what bears of them can load at once.
type contended struct {
	*engineSet
	bears int
	left  map[string]time.Duration // of loads, with nothing else loading
}

// never is later than any load ends.
var never = start.Add(24 * time.Hour)

func (f contended) perform(p *Plan, now time.Time, s Step) {
	f.engineSet.perform(p, now, s)
	if s.Order && f.until[s.Engine.ID].After(now) && f.left[s.Engine.ID] == 0 {
		f.left[s.Engine.ID], f.until[s.Engine.ID] = loadTime, never
	}
}

// advance lets the engines load for a time.
func (f contended) advance(now time.Time, step time.Duration) {
	share := min(1, float64(f.bears)/float64(len(f.left)))
	for id := range f.left {
		f.left[id] -= time.Duration(share * float64(step))
		if f.left[id] <= 0 {
			delete(f.left, id)
			f.until[id] = now
		}
	}
}

// TestNumberOfLoadsIsLearned guards against a fleet whose loads slow each other
// down for good, and against a rollout that is slower than the fleet bears.
func TestNumberOfLoadsIsLearned(t *testing.T) {
	for _, c := range []struct{ engines, bears, least, most int }{
		{12, 1, 1, 2}, {12, 2, 1, 3}, {12, 12, 3, 3}, {71, 6, 4, 10}, {71, 71, 16, 18},
	} {
		t.Run(fmt.Sprintf("%d of %d", c.bears, c.engines), func(t *testing.T) {
			const step = 20 * time.Millisecond
			loads := &Loads{}
			f := contended{newFleet(engines(c.engines, 1, 1)), c.bears, map[string]time.Duration{}}
			now := start
			for version := 2; version < 16; version++ {
				p := NewPlan(loads)
				for range 3000 {
					now = now.Add(step)
					f.advance(now, step)
					list := engines(c.engines, 1, version)
					for i := range list {
						list[i].Has = f.has(now, list[i].ID)
					}
					p.SetEngines(now, list)
					for _, s := range p.Next(now, true) {
						f.perform(p, now, s)
					}
					if p.Done() {
						break
					}
				}
				if !p.Done() {
					t.Fatalf("version %d is not loaded everywhere after a minute", version)
				}
			}
			if got := loads.Limit(c.engines); got < c.least || got > c.most {
				t.Errorf("%d load at once, want %d to %d", got, c.least, c.most)
			}
		})
	}
}

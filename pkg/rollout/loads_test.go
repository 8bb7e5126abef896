package rollout

import (
	"fmt"
	"testing"
	"time"
)

// contendedFleet is a fleet whose engines share what bears of them can load at once.
type contendedFleet struct {
	*fakeFleet
	capacity  int
	remaining map[string]time.Duration // of loads, with nothing else loading
}

// never is later than any load ends.
var never = start.Add(24 * time.Hour)

func (f contendedFleet) perform(p *Plan, now time.Time, s Step) {
	f.fakeFleet.perform(p, now, s)
	if s.Load && f.loadingUntil[s.Engine.ID].After(now) && f.remaining[s.Engine.ID] == 0 {
		f.remaining[s.Engine.ID], f.loadingUntil[s.Engine.ID] = loadTime, never
	}
}

// advance lets the engines load for a time.
func (f contendedFleet) advance(now time.Time, step time.Duration) {
	share := min(1, float64(f.capacity)/float64(len(f.remaining)))
	for id := range f.remaining {
		f.remaining[id] -= time.Duration(share * float64(step))
		if f.remaining[id] <= 0 {
			delete(f.remaining, id)
			f.loadingUntil[id] = now
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
			loads := &LoadLimiter{}
			f := contendedFleet{newFakeFleet(engines(c.engines, 1, 1)), c.bears, map[string]time.Duration{}}
			now := start
			for version := 2; version < 16; version++ {
				p := NewPlan(loads)
				for range 3000 {
					now = now.Add(step)
					f.advance(now, step)
					list := engines(c.engines, 1, version)
					for i := range list {
						list[i].CurrentVersion = f.currentVersion(now, list[i].ID)
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

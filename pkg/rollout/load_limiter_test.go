package rollout

import (
	"fmt"
	"testing"
	"time"
)

// contendedFleet is a fleet whose loads slow each other down when more than
// capacity engines load at once.
type contendedFleet struct {
	*fakeFleet
	capacity  int
	remaining map[string]time.Duration // by engine: time left of its load at full speed
}

// never is later than the end of any load.
var never = start.Add(24 * time.Hour)

func (f contendedFleet) perform(p *Plan, now time.Time, s Step) {
	f.fakeFleet.perform(p, now, s)
	if s.Load && f.loadingUntil[s.Engine.ID].After(now) && f.remaining[s.Engine.ID] == 0 {
		f.remaining[s.Engine.ID], f.loadingUntil[s.Engine.ID] = loadTime, never
	}
}

// advance lets the engines load for one step.
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

// TestNumberOfLoadsIsLearned guards against a load limit that stays above the
// capacity of the fleet for concurrent loads, and against one that stays too far
// below it.
func TestNumberOfLoadsIsLearned(t *testing.T) {
	for _, c := range []struct{ engines, capacity, minLimit, maxLimit int }{
		{12, 1, 1, 2}, {12, 2, 1, 3}, {12, 12, 3, 3}, {71, 6, 4, 10}, {71, 71, 16, 18},
	} {
		t.Run(fmt.Sprintf("capacity %d of %d engines", c.capacity, c.engines), func(t *testing.T) {
			const step = 20 * time.Millisecond
			limiter := &LoadLimiter{}
			f := contendedFleet{newFakeFleet(engines(c.engines, 1, 1)), c.capacity, map[string]time.Duration{}}
			now := start
			for version := 2; version < 16; version++ {
				p := NewPlan(limiter)
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
					t.Fatalf("version %d is not loaded on all engines after a minute", version)
				}
			}
			if got := limiter.Limit(c.engines); got < c.minLimit || got > c.maxLimit {
				t.Errorf("limit of %d loads at once, want %d to %d", got, c.minLimit, c.maxLimit)
			}
		})
	}
}

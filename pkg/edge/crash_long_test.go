package edge_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// longPrompts are prompts with many shared parts, one of which ends upstreams.
type longPrompts struct {
	shared   int // parts besides the last one
	position int // of the part that ends upstreams, from 1
	fresh    int // of the shared parts, those that no two prompts have in common
}

// parts returns the shared parts of a prompt. crashing says whether one ends upstreams.
func (l longPrompts) parts(n int, crashing bool) []string {
	var out []string
	for i := 1; i <= l.shared; i++ {
		switch {
		case crashing && i == l.position:
			out = append(out, crashPart)
		case i <= l.fresh:
			out = append(out, fmt.Sprintf("f%x.%x", n, i))
		default:
			out = append(out, fmt.Sprintf("p%x", i))
		}
	}
	return out
}

// TestCrashingPartOfLongPromptsReachesFewEngines guards against a part that ends upstreams for as long as it comes, since it stands behind many others or among many that were never seen before.
func TestCrashingPartOfLongPromptsReachesFewEngines(t *testing.T) {
	t.Parallel()
	for name, l := range map[string]longPrompts{
		"the 32nd of 40":             {shared: 40, position: 32},
		"the last of 64":             {shared: 64, position: 64},
		"the 600th of 1,023":         {shared: 1023, position: 600},
		"one of 200, 150 are new":    {shared: 200, position: 120, fresh: 150},
		"behind the 1,200th of 1250": {shared: 1250, position: 1200},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fleet := newCrashFleet(t, 8, 3)
			prompts := 0
			send := func(crashing bool) reply {
				prompts++
				return fleet.send("/long/", l.parts(prompts, crashing)...)
			}
			for prompts < 80 && fleet.crashes() < crashesCounted {
				send(true)
				send(false)
			}
			time.Sleep(settleTime)
			before := fleet.reached()
			served := 0
			for range 20 {
				send(true)
				if got := send(false); got.status == http.StatusOK && got.err == nil {
					served++
				}
			}
			if n := fleet.reached() - before; n > mayReachLater {
				t.Errorf("%d prompts with the part reached engines later, want at most %d; %d crashes in all", n, mayReachLater, fleet.crashes())
			}
			if served < 10 {
				t.Errorf("%d of 20 sound prompts served, want half at least", served)
			}
		})
	}
}

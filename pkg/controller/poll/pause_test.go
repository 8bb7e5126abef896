package poll

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// TestPause guards against polls whose number grows without bound with the
// targets, and against intervals too long for the evidence of a dead upstream.
func TestPause(t *testing.T) {
	l := Loop{Interval: 100 * time.Millisecond, Spacing: 6 * time.Millisecond, MaxInterval: time.Second}
	for n, want := range map[int]time.Duration{
		0: 100 * time.Millisecond, 2: 50 * time.Millisecond, 50: 6 * time.Millisecond, 1000: time.Millisecond,
	} {
		if got := l.pause(n); got != want {
			t.Errorf("%d targets: pause %s, want %s", n, got, want)
		}
	}
	if got := (&Loop{Interval: time.Second}).pause(10); got != 100*time.Millisecond {
		t.Errorf("without spacing: %s", got)
	}
}

// TestEvenGaps guards against a target that waits for two intervals because the
// order of the targets changes: its death would be noticed too late.
func TestEvenGaps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var targets []Target
		for i := range 200 {
			targets = append(targets, Target{ID: fmt.Sprint(i)})
		}
		var mu sync.Mutex
		last, longest := map[string]time.Time{}, time.Duration(0)
		l := Loop{
			Interval: time.Second, Timeout: time.Second, Concurrency: 8, Rand: rand.New(rand.NewPCG(1, 1)),
			Targets: func() []Target { return slices.Clone(targets) },
			Poll: func(_ context.Context, x Target) {
				mu.Lock()
				defer mu.Unlock()
				if before, ok := last[x.ID]; ok {
					longest = max(longest, time.Since(before))
				}
				last[x.ID] = time.Now()
			},
		}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		if err := l.Run(ctx); err != nil {
			t.Fatal(err)
		}
		if longest > l.Interval+l.pause(len(targets)) || len(last) != len(targets) {
			t.Errorf("%d targets polled, longest gap %v, want at most the interval", len(last), longest)
		}
	})
}

package movingrate

import (
	"math"
	"testing"
	"time"
)

// TestRateFollowsWhatOccurs guards against a rate that misses its steady value or never falls.
func TestRateFollowsWhatOccurs(t *testing.T) {
	now := time.Unix(1000, 0)
	var r Rate
	if got := r.PerSecond(now); got != 0 {
		t.Errorf("%v before anything occurred", got)
	}
	for range 1000 {
		now = now.Add(20 * time.Millisecond)
		r.Add(2, now)
	}
	if got := r.PerSecond(now); math.Abs(got-100) > 1 {
		t.Errorf("%v a second, want about 100", got)
	}
	if got := r.PerSecond(now.Add(10 * Decay)); got > 0.01 {
		t.Errorf("%v a second long after the last", got)
	}
}

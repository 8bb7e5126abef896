package poll

import (
	"testing"
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

package edge

import (
	"testing"
	"time"
)

// TestPauseMakesNewsOld guards against counting the age of what arrived while the process stood still from when it goes on, and against taking later news for old.
func TestPauseMakesNewsOld(t *testing.T) {
	start := time.Unix(1000, 0)
	now := start
	p := newPauses(func() time.Time { return now })
	run := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(pauseTick) {
			p.note()
		}
	}
	run(10 * time.Second)
	if got := p.earliest(); got != now {
		t.Errorf("news of a running process is %v old", now.Sub(got))
	}
	began := now
	now = now.Add(4 * time.Second)
	if got := p.earliest(); began.Sub(got).Abs() > pauseTick {
		t.Errorf("news after a pause of 4 s counts from %v after its begin", got.Sub(began))
	}
	p.note()
	now = now.Add(pauseTick)
	if got := p.earliest(); began.Sub(got).Abs() > pauseTick {
		t.Errorf("news just after a pause counts from %v after its begin", got.Sub(began))
	}
	run(pauseMemory)
	if got := p.earliest(); got != now {
		t.Errorf("news long after a pause is %v old", now.Sub(got))
	}
}

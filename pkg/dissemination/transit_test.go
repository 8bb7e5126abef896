package dissemination

import (
	"testing"
	"time"
)

// TestQueuedDatagramIsDelayed guards against taking what a datagram tells for as new as its arrival, although it waited behind a full link.
func TestQueuedDatagramIsDelayed(t *testing.T) {
	var transit Transit
	start := time.Unix(1000, 0)
	for second := range 20 {
		sent := time.Hour + time.Duration(second)*time.Second
		queued := time.Duration(0)
		if second >= 10 {
			queued = 4 * time.Second
		}
		delay := transit.Delay(sent, start.Add(sent+queued))
		if delay > queued || delay < queued-10*time.Millisecond {
			t.Errorf("second %d: delay %v, want %v", second, delay, queued)
		}
	}
}

// TestDriftingClockDelaysNothing guards against delays that grow for as long as a process runs, since its clock is slower.
func TestDriftingClockDelaysNothing(t *testing.T) {
	var transit Transit
	start := time.Unix(1000, 0)
	for second := range 24 * 3600 {
		elapsed := time.Duration(second) * time.Second
		if delay := transit.Delay(elapsed-elapsed/10_000, start.Add(elapsed)); delay > 10*time.Millisecond {
			t.Fatalf("after %v: delay %v", elapsed, delay)
		}
	}
}

// TestClockThatStoodStillIsForgiven guards against a process whose datagrams all look late for good after its machine was suspended.
func TestClockThatStoodStillIsForgiven(t *testing.T) {
	var transit Transit
	start := time.Unix(1000, 0)
	const suspended = 5 * time.Second
	transit.Delay(0, start)
	end := suspended + 2*transitWindow
	for elapsed := suspended; elapsed < end; elapsed += time.Second {
		transit.Delay(elapsed-suspended, start.Add(elapsed))
	}
	if delay := transit.Delay(end-suspended, start.Add(end)); delay > 0 {
		t.Errorf("delay %v, %v after the clock stood still", delay, 2*transitWindow)
	}
}

package dissemination

import "time"

// transitWindow is how long the quickest datagram counts. A clock that stood still, as that of
// a suspended machine, must not make all later datagrams look delayed.
const transitWindow = 30 * time.Second

// Transit estimates how long datagrams of one process were on their way, beyond the
// quickest one of the last transitWindow or two. Its zero value is ready for use. The
// clocks of the two processes need not agree.
type Transit struct {
	first         time.Time     // when the first datagram was received; zero: none
	windowEnd     time.Time     // of the current window
	quickest      time.Duration // least time from sending, by the sender's clock, to receipt, since first; in the current window
	quickestPrior time.Duration // in the window before it
}

// Delay returns by how much longer than the quickest datagram one was on its way that was
// sent at a time since the start of its sender and is received now.
func (t *Transit) Delay(sent time.Duration, now time.Time) time.Duration {
	if t.first.IsZero() {
		t.first = now
	}
	taken := now.Sub(t.first) - sent
	switch {
	case t.windowEnd.IsZero():
		t.quickest, t.quickestPrior = taken, taken
		t.windowEnd = now.Add(transitWindow)
	case !now.Before(t.windowEnd):
		t.quickest, t.quickestPrior = taken, t.quickest
		t.windowEnd = now.Add(transitWindow)
	}
	t.quickest = min(t.quickest, taken)
	return taken - min(t.quickest, t.quickestPrior)
}

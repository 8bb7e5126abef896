package load

import (
	"container/heap"
	"time"
)

// clock runs events in virtual time, in the order of their times and, at the
// same time, in the order in which they were scheduled.
type clock struct {
	origin time.Time
	now    time.Duration
	seq    uint64
	events eventHeap
}

type scheduled struct {
	at  time.Duration
	seq uint64
	run func()
}

func newClock() *clock { return &clock{origin: time.Unix(1_000_000_000, 0)} }

// time returns the virtual time as a time.Time.
func (c *clock) time() time.Time { return c.origin.Add(c.now) }

// since converts a time.Time to virtual time.
func (c *clock) since(t time.Time) time.Duration { return t.Sub(c.origin) }

// at schedules run; times in the past are now.
func (c *clock) at(when time.Duration, run func()) {
	c.seq++
	heap.Push(&c.events, scheduled{max(when, c.now), c.seq, run})
}

func (c *clock) after(d time.Duration, run func()) { c.at(c.now+d, run) }

// run processes events up to the end time.
func (c *clock) run(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		e := heap.Pop(&c.events).(scheduled)
		c.now = e.at
		e.run()
	}
	c.now = end
}

type eventHeap []scheduled

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(scheduled)) }

func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = scheduled{}
	*h = old[:len(old)-1]
	return e
}

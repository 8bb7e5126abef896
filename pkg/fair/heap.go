package fair

import "time"

// itemHeap orders the items of one customer by priority, then by arrival.
type itemHeap[T any] []*Item[T]

func (h itemHeap[T]) Len() int { return len(h) }

func (h itemHeap[T]) Less(i, j int) bool {
	if h[i].Priority != h[j].Priority {
		return h[i].Priority < h[j].Priority
	}
	return h[i].seq < h[j].seq
}

func (h itemHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *itemHeap[T]) Push(x any) {
	it := x.(*Item[T])
	it.index = len(*h)
	*h = append(*h, it)
}

func (h *itemHeap[T]) Pop() any {
	old := *h
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return it
}

// flowHeap orders customers with waiting items by start tag.
type flowHeap[T any] []*flow[T]

func (h flowHeap[T]) Len() int { return len(h) }

func (h flowHeap[T]) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
	}
	return h[i].items[0].seq < h[j].items[0].seq
}

func (h flowHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *flowHeap[T]) Push(x any) {
	f := x.(*flow[T])
	f.index = len(*h)
	*h = append(*h, f)
}

func (h *flowHeap[T]) Pop() any {
	old := *h
	f := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	f.index = -1
	return f
}

// rateWindow is long enough to average over single long prompts and short
// enough to follow a fleet that loses upstreams.
const rateWindow = 2 * time.Second

// rateMeter measures the cost served per second while items wait.
type rateMeter struct {
	since time.Time
	sum   float64
	rate  float64
}

func (m *rateMeter) add(now time.Time, cost float64, backlog bool) {
	if !backlog || m.since.IsZero() || now.Sub(m.since) > 2*rateWindow {
		m.since, m.sum = now, 0
		return
	}
	m.sum += cost
	if elapsed := now.Sub(m.since); elapsed >= rateWindow {
		m.rate = m.sum / elapsed.Seconds()
		m.since, m.sum = now, 0
	}
}

// perSecond returns the current estimate, which falls while nothing is served.
func (m *rateMeter) perSecond(now time.Time) float64 {
	elapsed := now.Sub(m.since)
	if m.rate > 0 && elapsed > rateWindow && !m.since.IsZero() {
		return min(m.rate, m.sum/elapsed.Seconds()+m.rate*rateWindow.Seconds()/elapsed.Seconds())
	}
	return m.rate
}

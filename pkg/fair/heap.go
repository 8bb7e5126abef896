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
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *itemHeap[T]) Push(x any) {
	it := x.(*Item[T])
	it.heapIndex = len(*h)
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
	if h[i].startTag != h[j].startTag {
		return h[i].startTag < h[j].startTag
	}
	return h[i].items[0].seq < h[j].items[0].seq
}

func (h flowHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *flowHeap[T]) Push(x any) {
	f := x.(*flow[T])
	f.heapIndex = len(*h)
	*h = append(*h, f)
}

func (h *flowHeap[T]) Pop() any {
	old := *h
	f := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	f.heapIndex = -1
	return f
}

// rateWindow is long enough to average out single long prompts and short enough to
// follow the loss of upstreams.
const rateWindow = 2 * time.Second

// rateMeter measures the cost served per second while items are waiting, in
// consecutive windows of rateWindow.
type rateMeter struct {
	windowStart time.Time
	windowCost  float64
	lastRate    float64
}

// record adds the cost of a served item. Without a backlog the rate is limited by
// arrivals, not by capacity, so the current window is discarded.
func (m *rateMeter) record(now time.Time, cost float64, backlog bool) {
	if !backlog || m.windowStart.IsZero() || now.Sub(m.windowStart) > 2*rateWindow {
		m.windowStart, m.windowCost = now, 0
		return
	}
	m.windowCost += cost
	if elapsed := now.Sub(m.windowStart); elapsed >= rateWindow {
		m.lastRate = m.windowCost / elapsed.Seconds()
		m.windowStart, m.windowCost = now, 0
	}
}

// perSecond returns the estimated cost served per second, 0 if unknown. The estimate
// falls while nothing is served.
func (m *rateMeter) perSecond(now time.Time) float64 {
	elapsed := now.Sub(m.windowStart)
	if m.lastRate > 0 && elapsed > rateWindow && !m.windowStart.IsZero() {
		return min(m.lastRate, m.windowCost/elapsed.Seconds()+m.lastRate*rateWindow.Seconds()/elapsed.Seconds())
	}
	return m.lastRate
}

package engine

import (
	"container/heap"
	"context"
	"sync"
)

// gate admits a limited number of holders; the others wait by priority, then
// by arrival.
type gate struct {
	mu      sync.Mutex
	limit   int
	held    int
	arrived uint64
	queue   waitQueue
}

type waiter struct {
	priority int
	arrival  uint64
	admitted chan struct{}
	index    int
}

func newGate(limit int) *gate { return &gate{limit: limit} }

// acquire waits for admission. On an error nothing is held.
func (g *gate) acquire(ctx context.Context, priority int) error {
	g.mu.Lock()
	if g.held < g.limit {
		g.held++
		g.mu.Unlock()
		return nil
	}
	g.arrived++
	w := &waiter{priority: priority, arrival: g.arrived, admitted: make(chan struct{})}
	heap.Push(&g.queue, w)
	g.mu.Unlock()
	select {
	case <-w.admitted:
		return nil
	case <-ctx.Done():
		g.abandon(w)
		return ctx.Err()
	}
}

// abandon removes a waiter; if it was admitted meanwhile, its place goes on.
func (g *gate) abandon(w *waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if w.index >= 0 {
		heap.Remove(&g.queue, w.index)
		return
	}
	g.pass()
}

func (g *gate) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pass()
}

// pass hands a place to the next waiter or frees it.
func (g *gate) pass() {
	if len(g.queue) == 0 {
		g.held--
		return
	}
	w := heap.Pop(&g.queue).(*waiter)
	close(w.admitted)
}

// waitQueue implements heap.Interface.
type waitQueue []*waiter

func (q waitQueue) Len() int { return len(q) }

func (q waitQueue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority < q[j].priority
	}
	return q[i].arrival < q[j].arrival
}

func (q waitQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index = i
	q[j].index = j
}

func (q *waitQueue) Push(x any) {
	w := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}

func (q *waitQueue) Pop() any {
	old := *q
	w := old[len(old)-1]
	*q = old[:len(old)-1]
	w.index = -1
	return w
}

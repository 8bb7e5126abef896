// Package fair orders waiting requests by customer: a start-time fair queue
// with one weight per customer and bounded length. It decides order and early
// refusal only; the caller owns the slots that requests wait for.
package fair

import (
	"container/heap"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of Push.
var (
	ErrCustomerFull = errors.New("the customer's queue is full")
	ErrFull         = errors.New("the queue is full")
)

// Limits bounds a queue. A customer's bound keeps one customer from filling
// the total bound that all customers share.
type Limits struct {
	PerCustomer int
	Total       int
}

// DefaultLimits holds a few seconds of arrivals of one instance.
var DefaultLimits = Limits{PerCustomer: 256, Total: 4096}

// Item is one waiting request.
type Item[T any] struct {
	Customer string
	Weight   float64 // share under contention; not positive counts as 1
	Priority int     // among the customer's own items, lower is first
	Cost     float64 // expected work, in any unit common to all items
	Value    T

	seq       uint64
	heapIndex int
	flow      *flow[T]
}

// Queue is a weighted fair queue. It is not safe for concurrent use.
type Queue[T any] struct {
	limits      Limits
	flows       map[string]*flow[T]
	active      flowHeap[T]
	virtualTime float64 // start tag of the last item taken
	seq         uint64
	length      int
	queuedCost  float64
	serviceRate rateMeter
	popped      []*flow[T]
}

// flow holds the waiting items and the tags of one customer.
type flow[T any] struct {
	customer   string
	weight     float64
	startTag   float64 // virtual time at which the flow's next item is due
	items      itemHeap[T]
	queuedCost float64
	heapIndex  int // in the heap of active flows, -1 when idle
}

// New returns an empty queue.
func New[T any](limits Limits) *Queue[T] {
	return &Queue[T]{limits: limits, flows: map[string]*flow[T]{}}
}

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int { return q.length }

// Waiting returns the number of waiting items of a customer.
func (q *Queue[T]) Waiting(customer string) int {
	if f := q.flows[customer]; f != nil {
		return len(f.items)
	}
	return 0
}

// Push adds an item. It returns ErrCustomerFull or ErrFull when a bound is
// reached.
func (q *Queue[T]) Push(it *Item[T]) error {
	f := q.flowFor(it)
	if len(f.items) >= q.limits.PerCustomer {
		return ErrCustomerFull
	}
	if q.length >= q.limits.Total {
		return ErrFull
	}
	q.seq++
	it.seq = q.seq
	it.flow = f
	heap.Push(&f.items, it)
	f.queuedCost += it.Cost
	q.queuedCost += it.Cost
	q.length++
	if f.heapIndex < 0 {
		f.startTag = max(f.startTag, q.virtualTime)
		heap.Push(&q.active, f)
	}
	return nil
}

func (q *Queue[T]) flowFor(it *Item[T]) *flow[T] {
	f := q.flows[it.Customer]
	if f == nil {
		f = &flow[T]{customer: it.Customer, heapIndex: -1}
		q.flows[it.Customer] = f
	}
	f.weight = it.Weight
	if f.weight <= 0 {
		f.weight = 1
	}
	return f
}

// Remove takes an item out that will not be served. It reports whether the
// item was waiting.
func (q *Queue[T]) Remove(it *Item[T]) bool {
	f := it.flow
	if f == nil {
		return false
	}
	heap.Remove(&f.items, it.heapIndex)
	q.detach(f, it)
	if len(f.items) == 0 {
		heap.Remove(&q.active, f.heapIndex)
	}
	return true
}

// Scan offers the first item of up to limit customers in fair order until take
// accepts one by returning true and the cost to charge. It reports whether an
// item was taken.
func (q *Queue[T]) Scan(now time.Time, limit int, take func(*Item[T]) (cost float64, ok bool)) bool {
	q.popped = q.popped[:0]
	taken := false
	for limit > 0 && len(q.active) > 0 && !taken {
		limit--
		f := heap.Pop(&q.active).(*flow[T])
		q.popped = append(q.popped, f)
		it := f.items[0]
		cost, ok := take(it)
		if !ok {
			continue
		}
		taken = true
		q.serve(now, f, it, cost)
	}
	for _, f := range q.popped {
		if len(f.items) > 0 {
			heap.Push(&q.active, f)
		}
	}
	return taken
}

func (q *Queue[T]) serve(now time.Time, f *flow[T], it *Item[T], cost float64) {
	heap.Remove(&f.items, it.heapIndex)
	q.serviceRate.record(now, it.Cost, q.length > 1)
	q.detach(f, it)
	q.virtualTime = max(q.virtualTime, f.startTag)
	f.startTag = max(f.startTag, q.virtualTime) + cost/f.weight
}

func (q *Queue[T]) detach(f *flow[T], it *Item[T]) {
	f.queuedCost -= it.Cost
	q.queuedCost -= it.Cost
	q.length--
	it.flow = nil
	if q.length == 0 {
		q.queuedCost = 0 // removes the rounding error of many additions
	}
}

// Charge adds cost to a customer's account for work that bypassed the queue.
func (q *Queue[T]) Charge(now time.Time, it *Item[T], cost float64) {
	f := q.flowFor(it)
	f.startTag = max(f.startTag, q.virtualTime) + cost/f.weight
	if f.heapIndex >= 0 {
		heap.Fix(&q.active, f.heapIndex)
		return
	}
	q.dropIdleFlows()
}

// dropIdleFlows bounds the number of remembered idle customers.
func (q *Queue[T]) dropIdleFlows() {
	if len(q.flows) <= 4096 {
		return
	}
	for name, f := range q.flows {
		if f.heapIndex < 0 && len(f.items) == 0 && f.startTag <= q.virtualTime {
			delete(q.flows, name)
		}
	}
}

// EstimateWait returns how long a new item of the customer would wait, from
// the recent service rate: all of the customer's own backlog and at most its
// weighted share of the others'. It returns 0 while the rate is unknown.
func (q *Queue[T]) EstimateWait(now time.Time, customer string, weight float64) time.Duration {
	rate := q.serviceRate.perSecond(now)
	if rate <= 0 || q.length == 0 {
		return 0
	}
	if weight <= 0 {
		weight = 1
	}
	own, others, weights := 0.0, 0.0, weight
	for _, f := range q.active {
		if f.customer == customer {
			own = f.queuedCost
			continue
		}
		weights += f.weight
		others += f.queuedCost
	}
	share := own * weights / weight
	ahead := min(own+others, share)
	return time.Duration(ahead / rate * float64(time.Second))
}

// Package fair implements a start-time fair queue of waiting requests with one
// weight per customer and bounded length. It decides only in which order requests
// are served and which are refused at once; the caller manages the slots that they
// wait for.
package fair

import (
	"container/heap"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors that Push returns.
var (
	ErrCustomerFull = errors.New("the customer's queue is full")
	ErrFull         = errors.New("the queue is full")
)

// Limits bounds the number of waiting items. The limit per customer keeps one
// customer from using up the total that all customers share.
type Limits struct {
	PerCustomer int
	Total       int
}

// DefaultLimits has room for the requests that arrive at one instance within a few
// seconds.
var DefaultLimits = Limits{PerCustomer: 256, Total: 4096}

// Item is one waiting request.
type Item[T any] struct {
	Customer string
	Weight   float64 // relative share of the capacity while others wait; 1 if not positive
	Priority int     // order among the customer's own items, lowest first
	Cost     float64 // expected work, in the same unit for all items
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
	virtualTime float64 // start tag of the item served last
	seq         uint64
	length      int
	queuedCost  float64
	serviceRate rateMeter
	popped      []*flow[T]
}

// flow holds the waiting items and the start tag of one customer.
type flow[T any] struct {
	customer   string
	weight     float64
	startTag   float64 // virtual time from which the flow's next item may be served
	items      itemHeap[T]
	queuedCost float64
	heapIndex  int // position in the heap of active flows, -1 when idle
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

// Push adds an item. It returns ErrCustomerFull or ErrFull if a limit has been
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

// flowFor returns the flow of the item's customer, which it creates if there is none,
// and sets its weight to that of the item.
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

// Remove removes an item that will not be served. It reports whether the item was
// waiting.
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

// Scan calls take for the first item of up to limit customers, in fair order, until
// take accepts one by returning true and the cost to charge to its customer. It
// reports whether an item was accepted.
func (q *Queue[T]) Scan(now time.Time, limit int, take func(*Item[T]) (cost float64, ok bool)) bool {
	q.popped = q.popped[:0]
	accepted := false
	for limit > 0 && len(q.active) > 0 && !accepted {
		limit--
		f := heap.Pop(&q.active).(*flow[T])
		q.popped = append(q.popped, f)
		it := f.items[0]
		cost, ok := take(it)
		if !ok {
			continue
		}
		accepted = true
		q.serve(now, f, it, cost)
	}
	for _, f := range q.popped {
		if len(f.items) > 0 {
			heap.Push(&q.active, f)
		}
	}
	return accepted
}

// serve removes an accepted item and advances the virtual time and the start tag of
// its flow.
func (q *Queue[T]) serve(now time.Time, f *flow[T], it *Item[T], cost float64) {
	heap.Remove(&f.items, it.heapIndex)
	q.serviceRate.record(now, it.Cost, q.length > 1)
	q.detach(f, it)
	q.virtualTime = max(q.virtualTime, f.startTag)
	f.startTag = max(f.startTag, q.virtualTime) + cost/f.weight
}

// detach updates the totals for an item that has been removed from its flow's heap.
func (q *Queue[T]) detach(f *flow[T], it *Item[T]) {
	f.queuedCost -= it.Cost
	q.queuedCost -= it.Cost
	q.length--
	it.flow = nil
	if q.length == 0 {
		q.queuedCost = 0 // discards accumulated rounding errors
	}
}

// Charge charges cost to the item's customer for work that bypassed the queue.
func (q *Queue[T]) Charge(now time.Time, it *Item[T], cost float64) {
	f := q.flowFor(it)
	f.startTag = max(f.startTag, q.virtualTime) + cost/f.weight
	if f.heapIndex >= 0 {
		heap.Fix(&q.active, f.heapIndex)
		return
	}
	q.dropIdleFlows()
}

// dropIdleFlows deletes idle flows without a remaining charge when there are more
// than 4096 flows.
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

// EstimateWait returns the estimated time that a new item of the customer would
// wait at the recent service rate. The work ahead of it is the customer's own
// backlog and as much of the other customers' backlog as their weights allow to be
// served meanwhile. EstimateWait returns 0 while the rate is unknown.
func (q *Queue[T]) EstimateWait(now time.Time, customer string, weight float64) time.Duration {
	rate := q.serviceRate.perSecond(now)
	if rate <= 0 || q.length == 0 {
		return 0
	}
	if weight <= 0 {
		weight = 1
	}
	own, others, totalWeight := 0.0, 0.0, weight
	for _, f := range q.active {
		if f.customer == customer {
			own = f.queuedCost
			continue
		}
		totalWeight += f.weight
		others += f.queuedCost
	}
	weighted := own * totalWeight / weight
	ahead := min(own+others, weighted)
	return time.Duration(ahead / rate * float64(time.Second))
}

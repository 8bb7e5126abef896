package fair

import (
	"fmt"
	"testing"
	"time"
)

func newItem(customer string, weight, cost float64) *Item[int] {
	return &Item[int]{Customer: customer, Weight: weight, Cost: cost}
}

func serveItems(q *Queue[int], n int) map[string]int {
	got := map[string]int{}
	for range n {
		q.Scan(time.Time{}, 8, func(it *Item[int]) (float64, bool) {
			got[it.Customer]++
			return it.Cost, true
		})
	}
	return got
}

// TestWeights guards against a customer that gets more than its weighted share
// of the work because more requests, or smaller ones, of it are waiting.
func TestWeights(t *testing.T) {
	q := New[int](DefaultLimits)
	for range 200 {
		_ = q.Push(newItem("many", 1, 10))
		_ = q.Push(newItem("double", 2, 10))
	}
	for range 50 {
		_ = q.Push(newItem("long", 1, 40))
	}
	got := serveItems(q, 180)
	want := map[string]int{"many": 55, "double": 111, "long": 14} // work 1:2:1
	for c, n := range want {
		if d := got[c] - n; d < -2 || d > 2 {
			t.Errorf("%s got %d, want about %d", c, got[c], n)
		}
	}
}

// TestBurstDoesNotDelayOthers guards against a burst of one customer that delays the
// next request of a customer within its share.
func TestBurstDoesNotDelayOthers(t *testing.T) {
	q := New[int](DefaultLimits)
	for range 100 {
		_ = q.Push(newItem("burst", 1, 10))
	}
	serveItems(q, 5)
	_ = q.Push(newItem("calm", 1, 10))
	if got := serveItems(q, 2); got["calm"] != 1 {
		t.Errorf("after the burst: %v", got)
	}
}

// TestBounds guards against an unbounded queue and against one customer that uses up
// the total limit.
func TestBounds(t *testing.T) {
	q := New[int](Limits{PerCustomer: 2, Total: 3})
	var errs []error
	for _, c := range []string{"a", "a", "a", "b", "c"} {
		errs = append(errs, q.Push(newItem(c, 1, 1)))
	}
	if got := fmt.Sprint(errs); got != fmt.Sprint([]error{nil, nil, ErrCustomerFull, nil, ErrFull}) {
		t.Errorf("got %v", got)
	}
}

// TestRemoveAndPriority guards against serving a removed item and against serving an
// urgent item after less urgent ones of the same customer.
func TestRemoveAndPriority(t *testing.T) {
	q := New[int](DefaultLimits)
	lowPriority, removed, urgent := newItem("a", 1, 1), newItem("b", 1, 1), newItem("a", 1, 1)
	lowPriority.Priority, urgent.Priority = 5, 1
	for _, it := range []*Item[int]{lowPriority, removed, urgent} {
		_ = q.Push(it)
	}
	if !q.Remove(removed) || q.Remove(removed) {
		t.Error("an item must be removed exactly once")
	}
	var order []*Item[int]
	for q.Scan(time.Time{}, 8, func(it *Item[int]) (float64, bool) { order = append(order, it); return 1, true }) {
	}
	if len(order) != 2 || order[0] != urgent || q.Len() != 0 {
		t.Errorf("served %d items, %d left", len(order), q.Len())
	}
}

// TestEstimateWait guards against refusing a customer with few waiting requests
// because another customer's queue is long.
func TestEstimateWait(t *testing.T) {
	q := New[int](DefaultLimits)
	now := time.Unix(0, 0)
	for range 400 {
		_ = q.Push(newItem("heavy", 1, 10))
		if q.Waiting("heavy") == 250 {
			break
		}
	}
	for range 100 { // a cost of 10 every 50 ms
		now = now.Add(50 * time.Millisecond)
		q.Scan(now, 8, func(it *Item[int]) (float64, bool) { return it.Cost, true })
	}
	heavy, calm := q.EstimateWait(now, "heavy", 1), q.EstimateWait(now, "calm", 1)
	if heavy < 7*time.Second || heavy > 8*time.Second || calm != 0 {
		t.Errorf("heavy %s, calm %s", heavy, calm)
	}
}

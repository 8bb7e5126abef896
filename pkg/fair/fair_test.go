package fair

import (
	"fmt"
	"testing"
	"time"
)

func item(customer string, weight, cost float64) *Item[int] {
	return &Item[int]{Customer: customer, Weight: weight, Cost: cost}
}

func drain(q *Queue[int], n int) map[string]int {
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
// of the work because it has more or smaller requests waiting.
func TestWeights(t *testing.T) {
	q := New[int](DefaultLimits)
	for range 200 {
		_ = q.Push(item("many", 1, 10))
		_ = q.Push(item("double", 2, 10))
	}
	for range 50 {
		_ = q.Push(item("long", 1, 40))
	}
	got := drain(q, 180)
	want := map[string]int{"many": 55, "double": 111, "long": 14} // work 1:2:1
	for c, n := range want {
		if d := got[c] - n; d < -2 || d > 2 {
			t.Errorf("%s got %d, want about %d", c, got[c], n)
		}
	}
}

// TestBurstDoesNotDelayOthers guards against a customer that sends a burst and
// thereby delays the next request of one that keeps to its share.
func TestBurstDoesNotDelayOthers(t *testing.T) {
	q := New[int](DefaultLimits)
	for range 100 {
		_ = q.Push(item("burst", 1, 10))
	}
	drain(q, 5)
	_ = q.Push(item("calm", 1, 10))
	if got := drain(q, 2); got["calm"] != 1 {
		t.Errorf("after the burst: %v", got)
	}
}

// TestBounds guards against unbounded queues and against one customer that
// uses up the bound of all.
func TestBounds(t *testing.T) {
	q := New[int](Limits{PerCustomer: 2, Total: 3})
	var errs []error
	for _, c := range []string{"a", "a", "a", "b", "c"} {
		errs = append(errs, q.Push(item(c, 1, 1)))
	}
	if got := fmt.Sprint(errs); got != fmt.Sprint([]error{nil, nil, ErrCustomerFull, nil, ErrFull}) {
		t.Errorf("got %v", got)
	}
}

// TestRemoveAndPriority guards against removed items that are still served and
// against an urgent item behind the customer's own less urgent ones.
func TestRemoveAndPriority(t *testing.T) {
	q := New[int](DefaultLimits)
	slow, gone, urgent := item("a", 1, 1), item("b", 1, 1), item("a", 1, 1)
	slow.Priority, urgent.Priority = 5, 1
	for _, it := range []*Item[int]{slow, gone, urgent} {
		_ = q.Push(it)
	}
	if !q.Remove(gone) || q.Remove(gone) {
		t.Error("an item must be removed exactly once")
	}
	var order []*Item[int]
	for q.Scan(time.Time{}, 8, func(it *Item[int]) (float64, bool) { order = append(order, it); return 1, true }) {
	}
	if len(order) != 2 || order[0] != urgent || q.Len() != 0 {
		t.Errorf("served %d items, %d left", len(order), q.Len())
	}
}

// TestEstimateWait guards against refusals of a customer with little waiting
// because another customer's queue is long.
func TestEstimateWait(t *testing.T) {
	q := New[int](DefaultLimits)
	now := time.Unix(0, 0)
	for range 400 {
		_ = q.Push(item("heavy", 1, 10))
		if q.Waiting("heavy") == 250 {
			break
		}
	}
	for range 100 { // 10 of cost every 50 ms
		now = now.Add(50 * time.Millisecond)
		q.Scan(now, 8, func(it *Item[int]) (float64, bool) { return it.Cost, true })
	}
	heavy, calm := q.EstimateWait(now, "heavy", 1), q.EstimateWait(now, "calm", 1)
	if heavy < 7*time.Second || heavy > 8*time.Second || calm != 0 {
		t.Errorf("heavy %s, calm %s", heavy, calm)
	}
}

package edge

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestFleetKeepsTheRetryBudget guards against instances that together send more
// retries in a sliding window than the bounds allow: under any demand, when requests
// move between instances, and after instances restart.
func TestFleetKeepsTheRetryBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bounds := RetryBounds{Ratio: 0.2, Window: 10 * time.Second, Extra: 50}
		n := rapid.IntRange(1, 9).Draw(t, "instances")
		now := time.Unix(1000, 0)
		clock := func() time.Time { return now }
		fleet := make([]*retryBudgets, n)
		for i := range fleet {
			fleet[i] = newRetryBudgets(bounds, func() int { return n }, clock)
		}
		const step = 250 * time.Millisecond
		window := int(bounds.Window / step)
		var requests, sent []int // totals of all instances by step
		restarts := 0
		for range rapid.IntRange(window, 4*window).Draw(t, "steps") {
			now = now.Add(step)
			requested, retried := 0, 0
			if restarts < 2 && rapid.IntRange(0, 40).Draw(t, "restart") == 0 {
				restarts++
				fleet[rapid.IntRange(0, n-1).Draw(t, "which")] = newRetryBudgets(bounds, func() int { return n }, clock)
			}
			for _, r := range fleet {
				for range rapid.IntRange(0, 8).Draw(t, "demand") {
					requested++
					r.RecordRequest("s")
				}
				for range rapid.IntRange(0, 12).Draw(t, "failing") {
					if r.Spend("s") {
						retried++
					}
				}
			}
			requests, sent = append(requests, requested), append(sent, retried)
		}
		// A restarted instance has lost the count of its retries and starts with its
		// initial budget again.
		restartExtra := float64(restarts) * float64(bounds.Extra) / float64(n)
		for end := window; end <= len(sent); end++ {
			maxRequests := sum(requests[end-window : end])
			for _, offset := range []int{window / 2, window} {
				if end-window-offset >= 0 {
					maxRequests = max(maxRequests, sum(requests[end-window-offset:end-offset]))
				}
			}
			allowed := bounds.Ratio*float64(maxRequests) + float64(bounds.Extra) + restartExtra
			if got := sum(sent[end-window : end]); float64(got) > allowed {
				t.Fatalf("%d instances: %d retries in a window with %d requests, %.0f allowed", n, got, maxRequests, allowed)
			}
		}
	})
}

func sum(list []int) int {
	total := 0
	for _, v := range list {
		total += v
	}
	return total
}

package edge

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestFleetKeepsTheRetryBudget guards against instances that together send more
// retries in a sliding window than the bounds allow, whatever the demand, when
// requests move between instances, and after instances restart.
func TestFleetKeepsTheRetryBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bounds := RetryBounds{Ratio: 0.2, Window: 10 * time.Second, Extra: 50}
		n := rapid.IntRange(1, 9).Draw(t, "instances")
		now := time.Unix(1000, 0)
		clock := func() time.Time { return now }
		fleet := make([]*retries, n)
		for i := range fleet {
			fleet[i] = newRetries(bounds, func() int { return n }, clock)
		}
		const step = 250 * time.Millisecond
		window := int(bounds.Window / step)
		var requests, sent []int // by step
		restarts := 0
		for range rapid.IntRange(window, 4*window).Draw(t, "steps") {
			now = now.Add(step)
			asked, retried := 0, 0
			if restarts < 2 && rapid.IntRange(0, 40).Draw(t, "restart") == 0 {
				restarts++
				fleet[rapid.IntRange(0, n-1).Draw(t, "which")] = newRetries(bounds, func() int { return n }, clock)
			}
			for _, r := range fleet {
				for range rapid.IntRange(0, 8).Draw(t, "demand") {
					asked++
					r.RecordRequest("s")
				}
				for range rapid.IntRange(0, 12).Draw(t, "failing") {
					if r.Spend("s") {
						retried++
					}
				}
			}
			requests, sent = append(requests, asked), append(sent, retried)
		}
		// A restarted instance forgets what it spent and begins with its savings.
		forgotten := float64(restarts) * float64(bounds.Extra) / float64(n)
		for end := window; end <= len(sent); end++ {
			most := sum(requests[end-window : end])
			for _, back := range []int{window / 2, window} {
				if end-window-back >= 0 {
					most = max(most, sum(requests[end-window-back:end-back]))
				}
			}
			allowed := bounds.Ratio*float64(most) + float64(bounds.Extra) + forgotten
			if got := sum(sent[end-window : end]); float64(got) > allowed {
				t.Fatalf("%d instances: %d retries in a window with %d requests, %.0f allowed", n, got, most, allowed)
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

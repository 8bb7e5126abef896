package emulator

import (
	"os"
	"testing"
	"time"
)

// TestLearnedLimit guards against a learned limit that queues as much as the listed slots
// do, or leaves slots unused, however few answers an instance sees.
func TestLearnedLimit(t *testing.T) {
	for _, instances := range []int{1, 24} {
		for _, slow := range []float64{0, 0.15} {
			results := TryLimits(1, time.Minute, slow, instances)
			if testing.Verbose() {
				t.Logf("measured: one answer of %d, %.2f of the time slow", instances, slow)
				WriteLimits(os.Stdout, results)
			}
			listed, learned := results[0], results[len(results)-1]
			if learned.LimitError > listed.LimitError/2 || learned.Answered < 0.9*listed.Answered || learned.P99 > listed.P99 {
				t.Errorf("one answer of %d, %.2f slow: learned %+v, listed %+v", instances, slow, learned, listed)
			}
		}
	}
}

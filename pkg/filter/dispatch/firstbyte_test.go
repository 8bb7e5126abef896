package dispatch

import (
	"testing"
	"time"

	"github.com/fescuestep/fescuestep/pkg/routing"
)

// TestFirstByteTimeout guards against long prompts that are given up while their upstream
// computes them as expected, and then computed again from their beginning by the next one.
func TestFirstByteTimeout(t *testing.T) {
	const target = 1500 * time.Millisecond
	resumable := &routing.Route{Kind: routing.Stream, Resumable: true, TargetLatency: target}
	for _, c := range []struct {
		name     string
		route    *routing.Route
		expected time.Duration
		want     time.Duration
	}{
		{"unknown", resumable, 0, target / 2},
		{"short prompt", resumable, 20 * time.Millisecond, target / 2},
		{"long prompt", resumable, 700 * time.Millisecond, 2100 * time.Millisecond},
		{"long queue", resumable, 5 * time.Second, 2 * target},
		{"plain upstream", &routing.Route{Kind: routing.Safe, TargetLatency: target}, 0, target / 2},
		{"runs once", &routing.Route{Kind: routing.Stream, TargetLatency: target}, 700 * time.Millisecond, 0},
		{"no target", &routing.Route{Kind: routing.Safe}, 0, 0},
	} {
		if got := firstByteTimeout(c.route, c.expected); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

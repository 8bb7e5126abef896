package edge

import (
	"net/http"
	"testing"
	"time"

	"github.com/fescuestep/fescuestep/pkg/chain"
	"github.com/fescuestep/fescuestep/pkg/code"
	"github.com/fescuestep/fescuestep/pkg/metrics"
	"github.com/fescuestep/fescuestep/pkg/routing"
)

// TestServedOutcome guards against metrics that count a late, refused or truncated
// response as served in time.
func TestServedOutcome(t *testing.T) {
	start := time.Unix(1000, 0)
	const target = 500 * time.Millisecond
	for name, c := range map[string]struct {
		kind    routing.Kind
		outcome chain.Outcome
		err     error
		took    time.Duration
		want    metrics.Outcome
	}{
		"answer":               {routing.Safe, chain.Outcome{Status: 200, Complete: true, ResponseStarted: true}, nil, target, metrics.InTime},
		"late answer":          {routing.Safe, chain.Outcome{Status: 200, Complete: true, ResponseStarted: true}, nil, target + 1, metrics.Late},
		"long stream":          {routing.Stream, chain.Outcome{Status: 200, Complete: true, ResponseStarted: true, TimeToFirstToken: target}, nil, 3 * target, metrics.InTime},
		"late stream":          {routing.Stream, chain.Outcome{Status: 200, Complete: true, ResponseStarted: true, TimeToFirstToken: target + 1}, nil, 3 * target, metrics.Late},
		"truncated stream":     {routing.Stream, chain.Outcome{Status: 200, ResponseStarted: true}, code.New(code.UpstreamFailed, "cut"), target, metrics.Failure},
		"upstream failure":     {routing.Safe, chain.Outcome{Status: 500, Complete: true, ResponseStarted: true}, nil, target, metrics.Failure},
		"refusal":              {routing.Safe, chain.Outcome{}, code.New(code.RateExceeded, "rate"), 0, metrics.Refused},
		"failure that may run": {routing.Unsafe, chain.Outcome{Sent: true}, code.New(code.UpstreamFailed, "reset"), 0, metrics.Failure},
	} {
		r := &chain.Request{ReceivedAt: start, HTTP: &http.Request{}, Edge: &chain.Edge{Route: &routing.Route{Kind: c.kind, TargetLatency: target}}}
		r.Outcome = c.outcome
		if got := outcomeOf(r, c.err, start.Add(c.took)); got != c.want {
			t.Errorf("%s: %s, want %s", name, got, c.want)
		}
	}
}

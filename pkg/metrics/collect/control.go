package collect

import (
	"context"

	"github.com/fescuestep/fescuestep/pkg/controller/rollout"
	"github.com/fescuestep/fescuestep/pkg/engine"
	"github.com/fescuestep/fescuestep/pkg/metrics"
)

type commands struct {
	rollout.Upstreams
	m *metrics.Metrics
}

// Commands records the outcome of control commands.
func Commands(next rollout.Upstreams, m *metrics.Metrics) rollout.Upstreams {
	return commands{next, m}
}

// Control sends a command to an engine and counts its result.
func (c commands) Control(ctx context.Context, addr string, cmd engine.Command) (engine.CommandResult, error) {
	result, err := c.Upstreams.Control(ctx, addr, cmd)
	switch {
	case err != nil || !result.Accepted && !result.Stale:
		c.m.Command(metrics.Failure)
	case result.Stale:
		c.m.Command(metrics.Stale)
	default:
		c.m.Command(metrics.Finished)
	}
	return result, err
}

package upstream

import (
	"time"

	"github.com/fescuestep/fescuestep/pkg/pick"
)

// Moving a request that waits behind unseen work of other instances.
const (
	// minMoveGain is the expected gain that justifies giving up a place in an
	// engine's queue: the estimates of both sides are as good as load reports.
	minMoveGain = 100 * time.Millisecond
	// maxMoves bounds the moves of one request.
	maxMoves = 2
	// aheadReportWindow is the time after sending within which a report shows mostly
	// work that was ahead of a long prefill. Later ones show what came after,
	// and the prefill itself may be under way.
	aheadReportWindow = 60 * time.Millisecond
	// shortPrefill is the prefill below which a missing first token shows that
	// the prefill has not begun.
	shortPrefill = 60 * time.Millisecond
)

// OnMove sets the function that is called when a request should be withdrawn
// from its engine and submitted again because other work is ahead of it. It
// reports whether that will happen and must not call back into the Core before
// it returns.
func (c *Scheduler) OnMove(move func(*Grant) bool) { c.onMove = move }

// moveStuckGrants looks for requests on u that a report shows to be stuck.
func (c *Scheduler) moveStuckGrants(now time.Time, u *pick.Upstream, r pick.LoadReport) {
	// A replay has to draw the same random numbers, so that the estimates are
	// made even where nobody acts on them.
	if _, ok := c.policy.(*pick.LeastTTFT); !ok || u.PrefillPerSec <= 0 {
		return
	}
	for _, g := range c.openGrants[u] {
		if c.shouldMove(now, u, r, g) {
			g.moveRequested = c.onMove != nil && c.onMove(g)
			c.rec.addMove(g, g.moveRequested)
		}
	}
}

func (c *Scheduler) shouldMove(now time.Time, u *pick.Upstream, r pick.LoadReport, g *Grant) bool {
	f := g.flight
	if g.firstTokenSeen || g.moveRequested || g.query.Moves >= maxMoves || f.AwaitingImport() || !r.SampledAt.After(f.SentAt) {
		return false
	}
	own := time.Duration(float64(f.UncachedTokens) / u.PrefillPerSec * float64(time.Second))
	if own > shortPrefill && r.SampledAt.Sub(f.SentAt) > aheadReportWindow {
		return false
	}
	ahead := float64(r.QueuedTokens - f.UncachedTokens - u.PendingTokensAfter(f))
	wait := time.Duration(ahead/u.PrefillPerSec*float64(time.Second)) - now.Sub(r.SampledAt)
	if wait < minMoveGain {
		return false
	}
	q := *g.query
	q.Exclude = append(append([]string(nil), q.Exclude...), u.ID)
	choice, verdict := c.policy.Pick(now, c.pickRequest(&q), c.store, c.rng)
	return verdict == pick.Chosen && choice.EstimatedTTFT+minMoveGain < wait+own
}

package upstream

import (
	"time"

	"github.com/fescuestep/fescuestep/pkg/pick"
)

// Limits for moving a request that waits on an engine behind other instances'
// requests, which this instance could not see when it chose the engine.
const (
	// minMoveGain is the expected gain that justifies giving up a place in an
	// engine's queue. Both estimates are only as accurate as the load reports.
	minMoveGain = 100 * time.Millisecond
	// maxMoves is the number of times one request may be moved.
	maxMoves = 2
	// aheadReportWindow is the time after sending within which a report shows
	// mostly requests that are ahead of a long prefill. Later reports include
	// requests that arrived after it, and the prefill itself may have started.
	aheadReportWindow = 60 * time.Millisecond
	// shortPrefill is the prefill time below which a missing first token shows
	// that the prefill has not started.
	shortPrefill = 60 * time.Millisecond
)

// OnMove sets the function that is called when a request should be withdrawn
// from its engine and submitted again because other requests are queued ahead
// of it. The function reports whether the request will be moved; it must not
// call back into the Scheduler before it returns.
func (s *Scheduler) OnMove(move func(*Grant) bool) { s.onMove = move }

// moveStuckGrants asks for a move of the requests on u that have to wait too
// long according to the report.
func (s *Scheduler) moveStuckGrants(now time.Time, u *pick.Upstream, r pick.LoadReport) {
	// Pick is called even if onMove is nil, so that a replay draws the same
	// random numbers.
	if _, ok := s.policy.(*pick.LeastTTFT); !ok || u.PrefillPerSec <= 0 {
		return
	}
	for _, g := range s.openGrants[u] {
		if s.shouldMove(now, u, r, g) {
			g.moveRequested = s.onMove != nil && s.onMove(g)
			s.rec.addMove(g, g.moveRequested)
		}
	}
}

// shouldMove reports whether g is expected to get its first token on another
// upstream more than minMoveGain earlier than on u.
func (s *Scheduler) shouldMove(now time.Time, u *pick.Upstream, r pick.LoadReport, g *Grant) bool {
	f := g.inFlight
	if g.firstTokenSeen || g.moveRequested || g.query.Moves >= maxMoves || f.AwaitingImport() || !r.SampledAt.After(f.SentAt) {
		return false
	}
	prefill := time.Duration(float64(f.UncachedTokens) / u.PrefillPerSec * float64(time.Second))
	if prefill > shortPrefill && r.SampledAt.Sub(f.SentAt) > aheadReportWindow {
		return false
	}
	tokensAhead := float64(r.QueuedTokens - f.UncachedTokens - u.PendingTokensAfter(f))
	wait := time.Duration(tokensAhead/u.PrefillPerSec*float64(time.Second)) - now.Sub(r.SampledAt)
	if wait < minMoveGain {
		return false
	}
	q := *g.query
	q.Exclude = append(append([]string(nil), q.Exclude...), u.ID)
	choice, verdict := s.policy.Pick(now, s.pickRequest(&q), s.store, s.rng)
	return verdict == pick.Chosen && choice.EstimatedTTFT+minMoveGain < wait+prefill
}

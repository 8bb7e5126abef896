package placement

import (
	"math"
	"time"

	"github.com/fescuestep/fescuestep/pkg/fleet"
)

// pickRateDecay is the time constant of the moving average of the rate of picks.
const pickRateDecay = 2 * time.Second

// minCandidates is the least number of engines at random among which a request chooses.
// With two, the one with less work is found even if what is known is old.
const minCandidates = 2

// pickRate is a moving average of the requests for which this instance picks an engine.
type pickRate struct {
	perSecond float64
	updatedAt time.Time
}

// add counts a pick.
func (r *pickRate) add(now time.Time) {
	r.decay(now)
	r.perSecond += 1 / pickRateDecay.Seconds()
}

func (r *pickRate) decay(now time.Time) {
	if !r.updatedAt.IsZero() {
		r.perSecond *= math.Exp(-now.Sub(r.updatedAt).Seconds() / pickRateDecay.Seconds())
	}
	r.updatedAt = now
}

// candidateCount returns among how many engines at random a request chooses. All
// instances see the same engine as the best one until they learn of each other's
// requests. If they all chose among all engines, that one would get every request of
// the meantime. So the number is such that an engine is a candidate for about one of
// the requests that the fleet places in the age of what is known.
func (b *Balancer) candidateCount(engines int, now time.Time) int {
	b.picks.decay(now)
	others := float64(max(0, b.instanceCount-1)) * b.picks.perSecond
	unknown := others * b.peerWorkAge.Seconds()
	if unknown <= 1 {
		return engines
	}
	return min(engines, max(minCandidates, int(float64(engines)/unknown)))
}

// sample returns a set of n of the upstreams at random, or nil for all.
func (b *Balancer) sample(list []*fleet.Upstream, n int) map[string]bool {
	if n >= len(list) {
		return nil
	}
	out := make(map[string]bool, n)
	for len(out) < n {
		out[list[b.rng.IntN(len(list))].ID] = true
	}
	return out
}

package placement

import (
	"math"
	"time"

	"github.com/fescuestep/fescuestep/pkg/fleet"
)

// minCandidates is the least number of engines at random among which a request chooses.
// With two, the one with less work is found even if what is known is old.
const minCandidates = 2

// tolerableDelay is the delay by requests of others, of which an instance does not know
// yet, up to which it is better to choose among all engines.
const tolerableDelay = 100 * time.Millisecond

// KnowledgeAge tells how old what is known of the other instances' work is.
type KnowledgeAge struct {
	Announced time.Duration // of long prompts, which are announced
	Others    time.Duration // mean, of the rest
}

// recordPlaced counts the tokens of an attempt that is sent, by whether it is
// announced.
func (b *Balancer) recordPlaced(a *Attempt, now time.Time) {
	rate := &b.otherTokens
	if a.IsLong() {
		rate = &b.announcedTokens
	}
	rate.Add(float64(a.work.PrefillTokens), now)
}

// unknownDelay returns how long an engine would compute the prompts that the other
// instances have placed and this one does not know of, if that engine got them all.
// The others are taken to place as many as this instance.
func (b *Balancer) unknownDelay(now time.Time) time.Duration {
	announced := b.announcedTokens.PerSecond(now) * b.peerWorkAge.Announced.Seconds()
	others := b.otherTokens.PerSecond(now) * b.peerWorkAge.Others.Seconds()
	tokens := announced + others
	return b.meanSpeed.timeFor(tokens * float64(max(0, b.instanceCount-1)))
}

// candidateCount returns among how many engines at random a request chooses. All
// instances see the same engine as the best one until they learn of each other's
// requests; if they all chose among all engines, that one would get every request of
// the meantime. With fewer candidates each engine gets its part of them only.
func (b *Balancer) candidateCount(engines int, now time.Time) int {
	delay := b.unknownDelay(now)
	if delay <= tolerableDelay {
		return engines
	}
	part := float64(tolerableDelay) / float64(delay)
	return min(engines, max(minCandidates, int(math.Ceil(float64(engines)*part))))
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

package placement

import (
	"math"
	"time"

	"github.com/fescuestep/fescuestep/pkg/fleet"
)

// tokenRateDecay is the time constant of the moving averages of placed prompt tokens.
const tokenRateDecay = 2 * time.Second

// minCandidates is the least number of engines at random among which a request chooses.
// With two, the one with less work is found even if what is known is old.
const minCandidates = 2

// tolerableDelay is the delay by requests of others, of which an instance does not know
// yet, up to which it is better to choose among all engines.
const tolerableDelay = 100 * time.Millisecond

// tokenRate is a moving average of the prompt tokens that this instance gives engines
// to compute.
type tokenRate struct {
	perSecond float64
	updatedAt time.Time
}

func (r *tokenRate) add(tokens int, now time.Time) {
	r.decay(now)
	r.perSecond += float64(tokens) / tokenRateDecay.Seconds()
}

func (r *tokenRate) decay(now time.Time) {
	if !r.updatedAt.IsZero() {
		r.perSecond *= math.Exp(-now.Sub(r.updatedAt).Seconds() / tokenRateDecay.Seconds())
	}
	r.updatedAt = now
}

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
	rate.add(a.work.PrefillTokens, now)
}

// unknownDelay returns how long an engine would compute the prompts that the other
// instances have placed and this one does not know of, if that engine got them all.
// The others are taken to place as many as this instance.
func (b *Balancer) unknownDelay(now time.Time) time.Duration {
	b.announcedTokens.decay(now)
	b.otherTokens.decay(now)
	tokens := b.announcedTokens.perSecond*b.peerWorkAge.Announced.Seconds() + b.otherTokens.perSecond*b.peerWorkAge.Others.Seconds()
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

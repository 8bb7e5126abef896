package placement

import (
	"time"

	"github.com/fescuestep/fescuestep/pkg/fleet"
)

// estimate is the expected execution of a prompt on one engine.
type estimate struct {
	upstream         *fleet.Upstream
	weightsVersion   int
	keys             []uint64
	cachedTokens     int           // leading tokens that it is expected to have cached
	source           *source       // where it fetches more of the prompt from; nil: nowhere
	cachedAfterFetch int           // leading tokens that it has after fetching from source; 0: none are known there
	computeTokens    int           // tokens that it has to compute
	cost             time.Duration // expected time to first token plus penalties
}

func (b *Balancer) estimate(now time.Time, u *fleet.Upstream, p *prompt) estimate {
	s := b.state(u)
	e := estimate{upstream: u, weightsVersion: b.WeightsVersion(u, p.Model)}
	b.prefixes.cache(u.ID).capacity = p.Service.Engine.KVTokens
	l := b.lookup(p, e.weightsVersion, now)
	e.keys = l.keys
	e.cachedTokens = tokensOf(p.Parts[:b.prefixes.cachedParts(e.keys, u.ID, now)])
	speed := b.currentSpeed(s, now)
	var transfer time.Duration
	e.source, e.cachedAfterFetch, transfer = p.bestSource(l.sources, u, e.cachedTokens, speed)
	e.computeTokens = max(0, p.PromptTokens-max(e.cachedTokens, e.cachedAfterFetch))
	b.advanceBacklog(s, now)
	requests := s.requestsAt(now)
	e.cost = transfer + b.computeTime(s, s.backlog.tokens+float64(e.computeTokens), now)
	e.cost += s.capacity.Stretch(now, runningRequestCost*time.Duration(requests))
	e.cost += b.slotWait(u, s, requests, now)
	e.cost += b.memoryCost(s, p.Query)
	e.cost += b.weightsCost(now, u, p.Model)
	if u.Domain != b.cfg.Domain {
		e.cost += crossDomainCost
	}
	if s.health.Ejected(now) {
		e.cost += ejectedCost
	}
	return e
}

// memoryCost returns the cost of the engine's memory use with the request. It grows
// when the memory is nearly full, because requests are then preempted or queued.
func (b *Balancer) memoryCost(s *upstreamState, q Query) time.Duration {
	if q.Service.Engine.KVTokens <= 0 {
		return 0
	}
	need := s.own.KVTokens + s.peers.KVTokens + q.PromptTokens + q.MaxTokens
	share := float64(need) / float64(q.Service.Engine.KVTokens)
	if share <= memoryPressureShare {
		return 0
	}
	return time.Duration((share - memoryPressureShare) / (1 - memoryPressureShare) * float64(fullMemoryCost))
}

// weightsAllowed reports whether a request that is expected to start at the given time
// may still start on the engine's weights.
func (b *Balancer) weightsAllowed(start time.Time, u *fleet.Upstream, model string) bool {
	next, ok := b.nextTarget(model, b.WeightsVersion(u, model))
	return !ok || start.Sub(next.setAt) < b.cfg.OldWeightsPeriod-weightsMargin
}

func (b *Balancer) weightsCost(now time.Time, u *fleet.Upstream, model string) time.Duration {
	next, ok := b.nextTarget(model, b.WeightsVersion(u, model))
	switch {
	case !ok:
		return 0
	case now.Sub(next.setAt) < oldWeightsGracePeriod:
		return oldWeightsCost
	}
	return oldWeightsLateCost
}

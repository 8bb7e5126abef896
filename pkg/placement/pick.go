package placement

import (
	"fmt"
	"strconv"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/fescuestep/fescuestep/pkg/call"
	"github.com/fescuestep/fescuestep/pkg/fleet"
	"github.com/fescuestep/fescuestep/pkg/routing"
)

const (
	// crossDomainCost is added for an upstream in another failure domain: a few
	// round trips and traffic between domains.
	crossDomainCost = 3 * time.Millisecond
	// ownerRankCost is added per rank behind the engine that all instances prefer
	// for a prompt, so that they agree without talking while it has room.
	ownerRankCost = 40 * time.Millisecond
	// runningRequestCost is what one running request adds to the time of the others'
	// tokens.
	runningRequestCost = time.Millisecond
	// queuedRequestCost is the time for which one queued request holds up the next.
	queuedRequestCost = 30 * time.Millisecond
	// memoryPressureShare is the share of an engine's memory above which requests are
	// likely to be preempted, and memoryCost the cost of filling the rest.
	memoryPressureShare = 0.8
	fullMemoryCost      = 1500 * time.Millisecond
	// oldWeightsCost and oldWeightsLate are costs of engines on older weights
	// than wanted, before and after callers lose by it.
	oldWeightsCost        = 10 * time.Millisecond
	oldWeightsLateCost    = 100 * time.Millisecond
	oldWeightsGracePeriod = 1200 * time.Millisecond
	// weightsMargin is left between the expected begin of a request and the time
	// from which none may begin on older weights.
	weightsMargin = 800 * time.Millisecond
	// beginMargin covers the time from the naming of weights to this instance's
	// knowledge of it, and the way to the upstream.
	beginMargin = 400 * time.Millisecond
	// waitSafetyFactor times the expected wait covers most of the actual ones.
	waitSafetyFactor = 2
	// minSharedTokens is the number of shared tokens from which a prompt has an
	// owner; shorter ones go where there is least work.
	minSharedTokens = 1024
	// maxOwnerRank bounds the added cost of engines behind the owner.
	maxOwnerRank = 4
)

// Query is a request that needs an upstream.
type Query struct {
	Service          *routing.Service
	Model            string
	IsolatedCustomer string // customer that shares no KV cache with others; empty for all others
	Parts            []call.PromptPart
	PromptTokens     int
	MaxTokens        int
	CacheStore       *routing.KVStore
	Exclude          func(id string) bool // upstreams already tried
}

// NoUpstreamError says why no upstream can take a request.
type NoUpstreamError struct {
	Listed          int           // upstreams of the service, draining ones included
	Draining        int           // of them
	Tried           int           // by the same request
	Busy            int           // take no work for now
	WeightsExpiring int           // have weights that are replaced before the request would begin
	RetryAfter      time.Duration // when one is expected to take work
}

// Error implements error.
func (e *NoUpstreamError) Error() string {
	return fmt.Sprintf("no upstream takes work: %d listed, %d draining, %d tried, %d busy, %d with replaced weights",
		e.Listed, e.Draining, e.Tried, e.Busy, e.WeightsExpiring)
}

// defaultRetryAfter is told when nothing is known about the next free upstream.
const defaultRetryAfter = 300 * time.Millisecond

// Pick chooses an upstream; Begin must be called when it is used.
func (b *Balancer) Pick(now time.Time, q Query) (*Attempt, time.Duration, error) {
	if q.Service.Engine != nil {
		return b.pickEngine(now, q)
	}
	return b.pickPlain(now, q)
}

// acceptsWork reports whether an upstream may get new requests.
func (b *Balancer) acceptsWork(now time.Time, u *fleet.Upstream, q Query) bool {
	if u.Draining || (q.Exclude != nil && q.Exclude(u.ID)) {
		return false
	}
	s := b.state(u)
	return !now.Before(s.busyUntil)
}

// pickPlain chooses the upstream with the smallest share of its slots in use.
// Ejected upstreams are used only when there is no other.
func (b *Balancer) pickPlain(now time.Time, q Query) (*Attempt, time.Duration, error) {
	var best *fleet.Upstream
	var least time.Duration
	for _, u := range b.view.ByService(q.Service.Name) {
		if !b.acceptsWork(now, u, q) {
			continue
		}
		cost := b.plainCost(now, u)
		if best == nil || cost < least {
			best, least = u, cost
		}
	}
	if best == nil {
		return nil, 0, b.noUpstreamError(now, q)
	}
	return &Attempt{Upstream: best, work: Work{Requests: 1}}, least, nil
}

// ejectedCost makes an ejected upstream the last choice.
const ejectedCost = 10 * time.Second

func (b *Balancer) plainCost(now time.Time, u *fleet.Upstream) time.Duration {
	s := b.state(u)
	slots := max(1, u.Slots)
	used := s.ownWork.Requests + s.peerWork.Requests
	if now.Sub(s.reportedAt) < maxLoadReportAge {
		used = max(used, s.reportedLoad.Running+s.reportedLoad.Waiting)
	}
	cost := queuedRequestCost * time.Duration(used) / time.Duration(slots)
	cost += time.Duration(b.rng.Int64N(int64(time.Millisecond)))
	if u.Domain != b.cfg.Domain {
		cost += crossDomainCost
	}
	if s.health.Ejected(now) {
		cost += ejectedCost
	}
	return cost
}

// prompt is a query's prompt with the keys of its parts. Cached parts depend on
// the version of the weights, so each version has keys of its own.
type prompt struct {
	Query
	sharedParts  int // all but the last
	sharedTokens int
	lookups      map[int]*promptLookup // by version of the weights
}

// promptLookup is what is known of a prompt's parts under one version of the weights.
type promptLookup struct {
	keys    []uint64
	sources []source
}

func newPrompt(q Query) *prompt {
	p := &prompt{Query: q, lookups: map[int]*promptLookup{}}
	p.sharedParts = max(0, len(q.Parts)-1)
	p.sharedTokens = tokensOf(q.Parts[:p.sharedParts])
	return p
}

func (p *prompt) keysFor(weights int) []uint64 {
	return prefixKeys(cacheScope(p.IsolatedCustomer, weights), p.Model, p.Parts)
}

// lookup looks up a prompt's parts under a version of the weights.
func (b *Balancer) lookup(p *prompt, weights int, now time.Time) *promptLookup {
	c := p.lookups[weights]
	if c == nil {
		c = &promptLookup{keys: p.keysFor(weights)}
		c.sources = b.sources(p, c.keys, now)
		p.lookups[weights] = c
	}
	return c
}

// pickEngine chooses the engine with the least expected time to first token.
func (b *Balancer) pickEngine(now time.Time, q Query) (*Attempt, time.Duration, error) {
	p := newPrompt(q)
	owners := b.owners(p)
	var best estimate
	for _, u := range b.view.ByService(q.Service.Name) {
		if !b.acceptsWork(now, u, q) {
			continue
		}
		e := b.estimate(now, u, p)
		if !b.weightsAllowed(now.Add(waitSafetyFactor*e.cost), u, q.Model) {
			continue
		}
		if p.sharedTokens >= minSharedTokens && max(e.cachedTokens, e.cachedAfterFetch) < p.sharedTokens {
			e.cost += ownerRankCost * time.Duration(owners.rank(u))
		}
		if best.upstream == nil || e.cost < best.cost {
			best = e
		}
	}
	if best.upstream == nil {
		return nil, 0, b.noUpstreamError(now, q)
	}
	return b.newAttempt(now, best, p), best.cost, nil
}

// newAttempt returns the choice with what the upstream is told.
func (b *Balancer) newAttempt(now time.Time, e estimate, p *prompt) *Attempt {
	t := &Attempt{
		Upstream: e.upstream, WeightsVersion: e.weightsVersion, CacheScope: cacheScope(p.IsolatedCustomer, e.weightsVersion),
		CachedTokens: e.cachedTokens, CachedAfterFetch: e.cachedAfterFetch, ExpectedTTFT: e.cost, keys: e.keys,
		work: Work{Requests: 1, PrefillTokens: e.computeTokens, KVTokens: p.PromptTokens + p.MaxTokens},
	}
	if next, ok := b.nextTarget(p.Model, e.weightsVersion); ok {
		t.BeginBy = next.since.Add(b.cfg.OldWeightsPeriod - beginMargin)
	}
	t.newTokens = float64(max(0, p.PromptTokens-e.cachedTokens))
	if p.sharedParts == 0 {
		return t
	}
	t.PrefixHash = p.keysFor(0)[p.sharedParts-1]
	if e.source != nil {
		t.FetchFrom = e.source.addr
	}
	if p.CacheStore != nil {
		shared := e.keys[:p.sharedParts]
		if b.prefixes.storedParts(shared, now) < p.sharedParts {
			t.SaveTo = p.CacheStore.Addr
			t.newStoreTokens = float64(p.PromptTokens)
		}
		if e.cachedAfterFetch > e.cachedTokens && e.source.engineID == storeID {
			b.prefixes.touchStored(shared, now)
		}
	}
	return t
}

// owners are the engines that all instances prefer for a prompt, best first.
type owners [maxOwnerRank]struct {
	weight   uint64
	upstream *fleet.Upstream
}

// rank returns the place of an engine, maxOwnerRank for those behind.
func (o *owners) rank(u *fleet.Upstream) int {
	for i := range o {
		if o[i].upstream == u {
			return i
		}
	}
	return maxOwnerRank
}

// owners ranks the engines of a service for a prompt by rendezvous hashing, the
// same for all versions of the weights.
func (b *Balancer) owners(p *prompt) *owners {
	out := &owners{}
	if p.sharedTokens < minSharedTokens {
		return out
	}
	root := p.keysFor(0)[p.sharedParts-1]
	for _, u := range b.view.ByService(p.Service.Name) {
		weight := xxh3.HashStringSeed(u.ID, root)
		for i := range out {
			if out[i].upstream == nil || weight > out[i].weight {
				copy(out[i+1:], out[i:])
				out[i].weight, out[i].upstream = weight, u
				break
			}
		}
	}
	return out
}

// estimate is what one engine would do with a prompt.
type estimate struct {
	upstream         *fleet.Upstream
	weightsVersion   int
	keys             []uint64
	cachedTokens     int           // tokens that it is expected to keep
	source           *source       // from where it fetches more of the prompt; nil: nowhere
	cachedAfterFetch int           // tokens that it has with the source's help
	computeTokens    int           // tokens that it must compute
	cost             time.Duration // until the first token, and what weighs as much
}

func (b *Balancer) estimate(now time.Time, u *fleet.Upstream, p *prompt) estimate {
	s := b.state(u)
	e := estimate{upstream: u, weightsVersion: b.WeightsVersion(u, p.Model)}
	b.prefixes.cache(u.ID).capacity = p.Service.Engine.KVTokens
	c := b.lookup(p, e.weightsVersion, now)
	e.keys = c.keys
	e.cachedTokens = tokensOf(p.Parts[:b.prefixes.cachedParts(e.keys, u.ID, now)])
	speed := s.speed.expected(b.meanSpeed, now)
	var move time.Duration
	e.source, e.cachedAfterFetch, move = p.bestSource(c.sources, u, e.cachedTokens, speed)
	e.computeTokens = max(0, p.PromptTokens-max(e.cachedTokens, e.cachedAfterFetch))
	b.advanceBacklog(s, now)
	e.cost = move + speed.timeFor(s.backlog.tokens+float64(e.computeTokens))
	requests := s.ownWork.Requests + s.peerWork.Requests
	if now.Sub(s.reportedAt) < maxLoadReportAge {
		requests = max(requests, s.reportedLoad.Running)
		e.cost += queuedRequestCost * time.Duration(s.reportedLoad.Waiting)
	}
	e.cost += runningRequestCost * time.Duration(requests)
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

// memoryCost grows once an engine's memory is nearly full, when requests are
// preempted or wait.
func (b *Balancer) memoryCost(s *upstreamState, q Query) time.Duration {
	if q.Service.Engine.KVTokens <= 0 {
		return 0
	}
	need := s.ownWork.KVTokens + s.peerWork.KVTokens + q.PromptTokens + q.MaxTokens
	share := float64(need) / float64(q.Service.Engine.KVTokens)
	if share <= memoryPressureShare {
		return 0
	}
	return time.Duration((share - memoryPressureShare) / (1 - memoryPressureShare) * float64(fullMemoryCost))
}

// weightsAllowed reports whether a request may begin on the engine's weights at
// the time at which it is expected to.
func (b *Balancer) weightsAllowed(begin time.Time, u *fleet.Upstream, model string) bool {
	next, ok := b.nextTarget(model, b.WeightsVersion(u, model))
	return !ok || begin.Sub(next.since) < b.cfg.OldWeightsPeriod-weightsMargin
}

func (b *Balancer) weightsCost(now time.Time, u *fleet.Upstream, model string) time.Duration {
	next, ok := b.nextTarget(model, b.WeightsVersion(u, model))
	switch {
	case !ok:
		return 0
	case now.Sub(next.since) < oldWeightsGracePeriod:
		return oldWeightsCost
	}
	return oldWeightsLateCost
}

// noUpstreamError says why no upstream takes work, and when one is expected to.
func (b *Balancer) noUpstreamError(now time.Time, q Query) *NoUpstreamError {
	list := b.view.ByService(q.Service.Name)
	out := &NoUpstreamError{Listed: len(list), RetryAfter: defaultRetryAfter}
	for _, u := range list {
		s := b.state(u)
		switch {
		case u.Draining:
			out.Draining++
		case q.Exclude != nil && q.Exclude(u.ID):
			out.Tried++
		case now.Before(s.busyUntil):
			out.Busy++
			out.RetryAfter = min(out.RetryAfter, s.busyUntil.Sub(now))
		default:
			out.WeightsExpiring++
		}
	}
	return out
}

// cacheScope names the scope of KV cache: engines and the store check neither
// the customer nor the version of the weights that a part was made with.
func cacheScope(isolated string, weights int) string {
	version := strconv.Itoa(weights)
	if isolated == "" {
		return "shared/" + version
	}
	return "customer/" + isolated + "/" + version
}

func tokensOf(parts []call.PromptPart) int {
	total := 0
	for _, p := range parts {
		total += p.Tokens
	}
	return total
}

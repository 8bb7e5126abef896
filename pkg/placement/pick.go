package placement

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/fescuestep/fescuestep/pkg/call"
	"github.com/fescuestep/fescuestep/pkg/fleet"
	"github.com/fescuestep/fescuestep/pkg/routing"
)

const (
	// crossDomainCost is added for an upstream in another failure domain, for a few
	// round trips and the traffic between domains.
	crossDomainCost = 3 * time.Millisecond
	// ownerRankCost is added per rank behind the owner of a prompt, the engine that all
	// instances prefer for it. It lets instances agree on an engine without
	// communication as long as the owner has free capacity.
	ownerRankCost = 40 * time.Millisecond
	// runningRequestCost is the delay that one running request adds to the tokens of
	// the others.
	runningRequestCost = time.Millisecond
	// memoryPressureShare is the share of an engine's KV cache memory above which
	// requests are likely to be preempted. fullMemoryCost is the cost of full memory;
	// between the two the cost grows linearly.
	memoryPressureShare = 0.8
	fullMemoryCost      = 1500 * time.Millisecond
	// oldWeightsCost and oldWeightsLateCost are added for engines whose weights are
	// older than the target version, until and after oldWeightsGracePeriod since the
	// target was set. Callers are at a disadvantage only after that period.
	oldWeightsCost        = 10 * time.Millisecond
	oldWeightsLateCost    = 100 * time.Millisecond
	oldWeightsGracePeriod = 1200 * time.Millisecond
	// weightsMargin is kept between the expected start of a request and the time from
	// which none may start on older weights.
	weightsMargin = 800 * time.Millisecond
	// beginMargin covers the time until this instance learns of a new target version,
	// and the network delay to the upstream.
	beginMargin = 400 * time.Millisecond
	// waitSafetyFactor is the multiple of the expected wait that covers most actual waits.
	waitSafetyFactor = 2
	// minSharedTokens is the number of shared tokens from which a prompt has an owner.
	// Shorter ones go to the engine with the least work.
	minSharedTokens = 1024
	// maxOwnerRank bounds the rank for which ownerRankCost is added.
	maxOwnerRank = 4
)

// Query describes a request that needs an upstream.
type Query struct {
	Service          *routing.Service
	Model            string
	IsolatedCustomer string // set if the customer shares no KV cache with others, otherwise empty
	Sharers          string // identifies the customers that share KV cache, see routing.Snapshot
	Parts            []call.PromptPart
	PromptTokens     int
	MaxTokens        int
	CacheStore       *routing.KVStore
	Software         *string              // version of the upstream's software at which alone the request may run; nil: any
	Exclude          func(id string) bool // reports upstreams that the request already tried; nil: none
}

// fits reports whether the request may run at the version of an upstream's software.
func (q *Query) fits(u *fleet.Upstream) bool { return q.Software == nil || *q.Software == u.Software }

// NoUpstreamError is returned by Pick when no upstream accepts the request. Each listed
// upstream is counted under the first reason that applies.
type NoUpstreamError struct {
	Listed          int           // upstreams of the service, including those that are draining
	Draining        int           // upstreams that are draining
	Busy            int           // upstreams that get no requests for now, see SetBusyUntil, Throttle and Limits
	Full            int           // brittle upstreams without a free place for this instance
	Tried           int           // upstreams that the request already tried
	OtherSoftware   int           // upstreams whose software has another version than the one that began the stream
	WeightsExpiring int           // upstreams whose weights are replaced before the request would start
	RetryAfter      time.Duration // time until an upstream is expected to accept requests
	PlaceOwners     []string      // other instances, at most maxPlaceOwners, that have places at brittle upstreams
}

func (e *NoUpstreamError) Error() string {
	return fmt.Sprintf("no upstream accepts the request: %d listed, %d draining, %d with other software, %d busy, %d full, %d already tried, %d with expiring weights",
		e.Listed, e.Draining, e.OtherSoftware, e.Busy, e.Full, e.Tried, e.WeightsExpiring)
}

// defaultRetryAfter is returned when it is unknown when an upstream accepts requests
// again.
const defaultRetryAfter = 300 * time.Millisecond

// fullRetryAfter is returned when the upstreams are brittle and full: one of the requests
// that run there may end at any moment.
const fullRetryAfter = 100 * time.Millisecond

// Pick chooses an upstream for a request and returns the attempt and its cost. Call
// Begin when the request is sent. The error is a *NoUpstreamError.
func (b *Balancer) Pick(now time.Time, q Query) (*Attempt, time.Duration, error) {
	if q.Service.Engine != nil {
		return b.pickEngine(now, q)
	}
	return b.pickPlain(now, q)
}

// acceptsWork reports whether the request may be sent to an upstream now, apart from a
// limit that the upstream names.
func (b *Balancer) acceptsWork(now time.Time, u *fleet.Upstream, q Query) bool {
	return b.available(now, u, q) && b.hasPlace(u, now)
}

// available reports whether an upstream takes the request from some instance.
func (b *Balancer) available(now time.Time, u *fleet.Upstream, q Query) bool {
	if u.Draining || !q.fits(u) || (q.Exclude != nil && q.Exclude(u.ID)) {
		return false
	}
	return !now.Before(b.unavailableUntil(u, now))
}

// pickPlain chooses the upstream with the smallest share of its slots in use.
// Ejected upstreams are used only if no other accepts the request.
func (b *Balancer) pickPlain(now time.Time, q Query) (*Attempt, time.Duration, error) {
	var best, wished *fleet.Upstream
	var bestCost, wishedCost time.Duration
	for _, u := range b.view.ByService(q.Service.Name) {
		if !b.acceptsWork(now, u, q) {
			continue
		}
		cost := b.plainCost(now, u)
		if wished == nil || cost < wishedCost {
			wished, wishedCost = u, cost
		}
		if (best == nil || cost < bestCost) && b.withinLimit(u, now) {
			best, bestCost = u, cost
		}
	}
	b.recordWish(wished, now)
	if best == nil {
		return nil, 0, b.noUpstreamError(now, q)
	}
	return &Attempt{Upstream: best, work: Work{Requests: 1}}, bestCost, nil
}

// ejectedCost exceeds the other costs, so that ejected upstreams are the last choice.
const ejectedCost = 10 * time.Second

func (b *Balancer) plainCost(now time.Time, u *fleet.Upstream) time.Duration {
	s := b.state(u)
	slots := max(1, u.Slots)
	perRequest := b.plainTime(u, s, now)
	cost := perRequest + perRequest*time.Duration(s.requestsAt(now))/time.Duration(slots)
	cost += time.Duration(b.rng.Int64N(int64(time.Millisecond)))
	if u.Domain != b.cfg.Domain {
		cost += crossDomainCost
	}
	if s.health.Ejected(now) {
		cost += ejectedCost
	}
	return cost
}

// prompt is a query's prompt with its lookups in the prefix index. Cached parts depend
// on the version of the weights, so each version has its own keys.
type prompt struct {
	Query
	sharedParts  int // number of parts but the last, which is not shared
	sharedTokens int
	lookups      map[int]*promptLookup // by version of the weights
	replicas     []*fleet.Upstream     // owners because the prefix is in demand, see setReplicas
	demand       float64               // requests per second for the prefix, if replicas are set
}

// promptLookup holds the keys of a prompt's parts for one version of the weights, and
// where the parts can be fetched from.
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

func (p *prompt) keysFor(weightsVersion int) []uint64 {
	return prefixKeys(cacheScope(p.IsolatedCustomer, p.Sharers, weightsVersion), p.Model, p.Parts)
}

// lookup returns the lookup of a prompt for a version of the weights. It is computed
// once per prompt and version.
func (b *Balancer) lookup(p *prompt, weightsVersion int, now time.Time) *promptLookup {
	l := p.lookups[weightsVersion]
	if l == nil {
		l = &promptLookup{keys: p.keysFor(weightsVersion)}
		l.sources = b.sources(p, l.keys, now)
		p.lookups[weightsVersion] = l
	}
	return l
}

// pickEngine chooses the engine with the lowest cost, which is the expected time to
// first token plus penalties.
func (b *Balancer) pickEngine(now time.Time, q Query) (*Attempt, time.Duration, error) {
	p := newPrompt(q)
	owners := b.owners(p)
	engines := b.view.ByService(q.Service.Name)
	b.setReplicas(now, engines, p)
	if e, ok := b.seedReplica(now, p); ok {
		return b.newAttempt(now, e, p), e.cost, nil
	}
	sampled := b.sample(engines, b.candidateCount(len(engines), now))
	best := b.bestEngine(now, engines, p, owners, sampled)
	if best.upstream == nil && sampled != nil {
		best = b.bestEngine(now, engines, p, owners, nil)
	}
	if best.upstream == nil {
		return nil, 0, b.noUpstreamError(now, q)
	}
	return b.newAttempt(now, best, p), best.cost, nil
}

// bestEngine returns the estimate of the engine with the lowest cost among those that
// are sampled (nil: all), the owners of the prompt and those that have it cached.
func (b *Balancer) bestEngine(now time.Time, engines []*fleet.Upstream, p *prompt, owners *owners, sampled map[string]bool) estimate {
	var best, wished estimate
	for _, u := range engines {
		rank := owners.rank(u)
		if slices.Contains(p.replicas, u) {
			rank = 0
		}
		if sampled != nil && !sampled[u.ID] && rank == maxOwnerRank && !b.hasCached(now, u, p) {
			continue
		}
		if !b.acceptsWork(now, u, p.Query) {
			continue
		}
		e := b.estimate(now, u, p)
		if !b.weightsAllowed(now.Add(waitSafetyFactor*e.cost), u, p.Model) {
			continue
		}
		if p.sharedTokens >= minSharedTokens && max(e.cachedTokens, e.cachedAfterFetch) < p.sharedTokens {
			e.cost += ownerRankCost * time.Duration(rank)
		}
		if wished.upstream == nil || e.cost < wished.cost {
			wished = e
		}
		if (best.upstream == nil || e.cost < best.cost) && b.withinLimit(u, now) {
			best = e
		}
	}
	b.recordWish(wished.upstream, now)
	return best
}

// hasCached reports whether an engine is expected to have cached all shared parts of a
// prompt that has an owner.
func (b *Balancer) hasCached(now time.Time, u *fleet.Upstream, p *prompt) bool {
	if p.sharedTokens < minSharedTokens {
		return false
	}
	keys := b.lookup(p, b.WeightsVersion(u, p.Model), now).keys
	return b.prefixes.hasCopy(keys[p.sharedParts-1], u.ID, now)
}

// newAttempt returns the attempt on the engine of an estimate.
func (b *Balancer) newAttempt(now time.Time, e estimate, p *prompt) *Attempt {
	a := &Attempt{
		Upstream: e.upstream, WeightsVersion: e.weightsVersion, CacheScope: cacheScope(p.IsolatedCustomer, p.Sharers, e.weightsVersion),
		CachedTokens: e.cachedTokens, CachedAfterFetch: e.cachedAfterFetch, ExpectedTTFT: e.cost, keys: e.keys,
		work: Work{Requests: 1, PrefillTokens: e.computeTokens, KVTokens: p.PromptTokens + p.MaxTokens},
	}
	if next, ok := b.nextTarget(p.Model, e.weightsVersion); ok {
		a.BeginBy = next.setAt.Add(b.cfg.OldWeightsPeriod - beginMargin)
	}
	a.newTokens = float64(max(0, p.PromptTokens-e.cachedTokens))
	if p.sharedParts == 0 {
		return a
	}
	a.PrefixHash = p.keysFor(0)[p.sharedParts-1]
	a.hasOwner = p.sharedTokens >= minSharedTokens
	if e.source != nil {
		a.FetchFrom = e.source.addr
	}
	if p.CacheStore != nil {
		shared := e.keys[:p.sharedParts]
		if b.prefixes.storedParts(shared, now) < p.sharedParts {
			a.SaveTo = p.CacheStore.Addr
			a.newStoreTokens = float64(p.PromptTokens)
		}
		if e.cachedAfterFetch > e.cachedTokens && e.source.engineID == storeID {
			b.prefixes.touchStored(shared, now)
		}
	}
	return a
}

// owners are the engines that all instances prefer for a prompt, in descending order
// of preference.
type owners [maxOwnerRank]struct {
	weight   uint64
	upstream *fleet.Upstream
}

// rank returns the rank of an engine, from 0 for the owner to maxOwnerRank for engines
// that are not among the owners.
func (o *owners) rank(u *fleet.Upstream) int {
	for i := range o {
		if o[i].upstream == u {
			return i
		}
	}
	return maxOwnerRank
}

// owners ranks the engines of a service for a prompt by rendezvous hashing. The ranks
// are the same for all versions of the weights.
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

// noUpstreamError returns why no upstream accepts the request, and when one is expected
// to. That is known if all upstreams are busy until a known time.
func (b *Balancer) noUpstreamError(now time.Time, q Query) *NoUpstreamError {
	list := b.view.ByService(q.Service.Name)
	out := &NoUpstreamError{Listed: len(list)}
	var soonest time.Duration
	for _, u := range list {
		wait := max(b.unavailableUntil(u, now).Sub(now), b.limits.Wait(processOf(u), now))
		switch {
		case u.Draining:
			out.Draining++
		case !q.fits(u):
			out.OtherSoftware++
		case wait > 0:
			if out.Busy++; out.Busy == 1 || wait < soonest {
				soonest = wait
			}
		case q.Exclude != nil && q.Exclude(u.ID):
			out.Tried++
		case !b.hasPlace(u, now):
			out.Full++
		default:
			out.WeightsExpiring++
		}
	}
	out.RetryAfter = defaultRetryAfter
	if allBusy := out.Busy > 0 && out.Tried+out.WeightsExpiring == 0; allBusy || (out.Busy > 0 && soonest < defaultRetryAfter) {
		out.RetryAfter = soonest
	}
	if out.Full > 0 {
		out.RetryAfter = min(out.RetryAfter, fullRetryAfter)
		out.PlaceOwners = b.placeOwners(now, q)
	}
	return out
}

// cacheScope returns the scope within which KV cache is shared. It includes the
// customers and the version of the weights because engines and the store check neither
// when they look up a part.
func cacheScope(isolatedCustomer, sharers string, weightsVersion int) string {
	version := strconv.Itoa(weightsVersion)
	switch {
	case isolatedCustomer != "":
		return "customer/" + isolatedCustomer + "/" + version
	case sharers != "":
		return "shared/" + sharers + "/" + version
	}
	return "shared/" + version
}

func tokensOf(parts []call.PromptPart) int {
	total := 0
	for _, p := range parts {
		total += p.Tokens
	}
	return total
}

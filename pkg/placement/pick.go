package placement

import (
	"strconv"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/fescuestep/fescuestep/pkg/call"
	"github.com/fescuestep/fescuestep/pkg/fleet"
	"github.com/fescuestep/fescuestep/pkg/routing"
)

const (
	// remoteCost is added for an upstream in another failure domain: a few
	// round trips and traffic between domains.
	remoteCost = 3 * time.Millisecond
	// ownerStep is added per rank behind the engine that all instances prefer
	// for a prompt, so that they agree without talking while it has room.
	ownerStep = 40 * time.Millisecond
	// fetchCost is a move of KV cache from the store.
	fetchCost = 25 * time.Millisecond
	// requestCost is what one running request adds to the time of the others'
	// tokens.
	requestCost = time.Millisecond
	// waitingCost is the time for which one queued request holds up the next.
	waitingCost = 30 * time.Millisecond
	// memoryReserve is the share of an engine's memory above which requests are
	// likely to be preempted, and memoryCost the cost of filling the rest.
	memoryReserve = 0.8
	memoryCost    = 1500 * time.Millisecond
	// oldWeightsSoon and oldWeightsLate are costs of engines on older weights
	// than wanted, before and after callers lose by it.
	oldWeightsSoon  = 10 * time.Millisecond
	oldWeightsLate  = 100 * time.Millisecond
	oldWeightsGrace = 1200 * time.Millisecond
	// weightsMargin is left between the expected begin of a request and the time
	// from which none may begin on older weights.
	weightsMargin = 800 * time.Millisecond
	// beginMargin covers the time from the naming of weights to this instance's
	// knowledge of it, and the way to the upstream.
	beginMargin = 200 * time.Millisecond
	// waitSpread times the expected wait covers most of the actual ones.
	waitSpread = 2
	// sharedMinimum is the number of shared tokens from which a prompt has an
	// owner; shorter ones go where there is least work.
	sharedMinimum = 1024
	// maxOwnerRank bounds the added cost of engines behind the owner.
	maxOwnerRank = 4
)

// Query is a request that needs an upstream.
type Query struct {
	Service      *routing.Service
	Model        string
	Isolated     string // customer that shares no KV cache with others; empty for all others
	Parts        []call.Part
	PromptTokens int
	MaxTokens    int
	CacheStore   *routing.Store
	Exclude      func(id string) bool // upstreams already tried
}

// NoUpstream says why no upstream can take a request.
type NoUpstream struct {
	Listed     int           // upstreams of the service, draining ones included
	RetryAfter time.Duration // when one is expected to take work
}

// Error implements error.
func (*NoUpstream) Error() string { return "no upstream takes work" }

// defaultRetryAfter is told when nothing is known about the next free upstream.
const defaultRetryAfter = 300 * time.Millisecond

// Pick chooses an upstream; Begin must be called when it is used.
func (b *Book) Pick(now time.Time, q Query) (*Ticket, time.Duration, error) {
	if q.Service.Engine != nil {
		return b.pickEngine(now, q)
	}
	return b.pickPlain(now, q)
}

// takesWork reports whether an upstream may get new requests.
func (b *Book) takesWork(now time.Time, u *fleet.Upstream, q Query) bool {
	if u.Draining || (q.Exclude != nil && q.Exclude(u.ID)) {
		return false
	}
	s := b.state(u)
	return !now.Before(s.busyUntil)
}

// pickPlain chooses the upstream with the smallest share of its slots in use.
// Ejected upstreams are used only when there is no other.
func (b *Book) pickPlain(now time.Time, q Query) (*Ticket, time.Duration, error) {
	var best *fleet.Upstream
	var least time.Duration
	for _, u := range b.view.Service(q.Service.Name) {
		if !b.takesWork(now, u, q) {
			continue
		}
		cost := b.plainCost(now, u)
		if best == nil || cost < least {
			best, least = u, cost
		}
	}
	if best == nil {
		return nil, 0, b.none(now, q)
	}
	return &Ticket{Upstream: best, work: Work{Requests: 1}}, least, nil
}

// ejectedCost makes an ejected upstream the last choice.
const ejectedCost = 10 * time.Second

func (b *Book) plainCost(now time.Time, u *fleet.Upstream) time.Duration {
	s := b.state(u)
	slots := max(1, u.Slots)
	used := s.own.Requests + s.peers.Requests
	if now.Sub(s.reportedAt) < reportMaxAge {
		used = max(used, s.report.Running+s.report.Waiting)
	}
	cost := waitingCost * time.Duration(used) / time.Duration(slots)
	cost += time.Duration(b.rng.Int64N(int64(time.Millisecond)))
	if u.Domain != b.cfg.Domain {
		cost += remoteCost
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
	keys         map[int][]uint64 // by version of the weights
}

func newPrompt(q Query) *prompt {
	p := &prompt{Query: q, keys: map[int][]uint64{}}
	p.sharedParts = max(0, len(q.Parts)-1)
	p.sharedTokens = tokensOf(q.Parts[:p.sharedParts])
	return p
}

func (p *prompt) keysFor(weights int) []uint64 {
	keys, ok := p.keys[weights]
	if !ok {
		keys = prefixKeys(cacheScope(p.Isolated, weights), p.Model, p.Parts)
		p.keys[weights] = keys
	}
	return keys
}

// pickEngine chooses the engine with the least expected time to first token.
func (b *Book) pickEngine(now time.Time, q Query) (*Ticket, time.Duration, error) {
	p := newPrompt(q)
	owners := b.owners(p)
	var best *Ticket
	var least time.Duration
	for _, u := range b.view.Service(q.Service.Name) {
		if !b.takesWork(now, u, q) {
			continue
		}
		ticket, cost := b.engineCost(now, u, p)
		if !b.weightsAllowed(now.Add(waitSpread*cost), u, q.Model) {
			continue
		}
		if rank, ok := owners[u.ID]; ok && b.holders.held(ticket.shared(p), u.ID, now) < p.sharedParts {
			cost += ownerStep * time.Duration(min(rank, maxOwnerRank))
		}
		if best == nil || cost < least {
			best, least = ticket, cost
		}
	}
	if best == nil {
		return nil, 0, b.none(now, q)
	}
	best.Scope = cacheScope(q.Isolated, best.Weights)
	if next, ok := b.nextWanted(q.Model, best.Weights); ok {
		best.BeginBy = next.since.Add(b.cfg.WeightsApply - beginMargin)
	}
	if p.sharedParts > 0 {
		best.Prefix = p.keysFor(0)[p.sharedParts-1]
	}
	if q.CacheStore != nil && p.sharedParts > 0 {
		shared := best.shared(p)
		best.FetchFrom = q.CacheStore.Addr
		best.Save = b.holders.inStore(shared, now) < p.sharedParts
		b.holders.touchSaved(shared, now)
	}
	return best, least, nil
}

// shared returns the keys of the prompt's shared parts.
func (t *Ticket) shared(p *prompt) []uint64 { return t.keys[:p.sharedParts] }

// owners ranks the engines of a service for a prompt by rendezvous hashing.
// Prompts with few shared tokens have no owner.
func (b *Book) owners(p *prompt) map[string]int {
	if p.sharedTokens < sharedMinimum {
		return nil
	}
	root := p.keysFor(0)[p.sharedParts-1] // the same for all versions
	list := b.view.Service(p.Service.Name)
	weights := make([]uint64, len(list))
	for i, u := range list {
		weights[i] = xxh3.HashStringSeed(u.ID, root)
	}
	ranks := make(map[string]int, len(list))
	for i, u := range list {
		rank := 0
		for _, w := range weights {
			if w > weights[i] {
				rank++
			}
		}
		ranks[u.ID] = rank
	}
	return ranks
}

func (b *Book) engineCost(now time.Time, u *fleet.Upstream, p *prompt) (*Ticket, time.Duration) {
	s := b.state(u)
	weights := b.Weights(u, p.Model)
	keys := p.keysFor(weights)
	held := tokensOf(p.Parts[:b.holders.held(keys, u.ID, now)])
	stored := 0
	if p.CacheStore != nil {
		stored = tokensOf(p.Parts[:b.holders.inStore(keys, now)])
	}
	compute := max(0, p.PromptTokens-max(held, stored))
	cost := b.prefill(s.own.Prefill + s.peers.Prefill + compute)
	if stored > held {
		cost += fetchCost
	}
	requests := s.own.Requests + s.peers.Requests
	if now.Sub(s.reportedAt) < reportMaxAge {
		requests = max(requests, s.report.Running)
		cost += waitingCost * time.Duration(s.report.Waiting)
	}
	cost += requestCost * time.Duration(requests)
	cost += b.memoryCost(s, p.Query)
	if u.Domain != b.cfg.Domain {
		cost += remoteCost
	}
	cost += b.weightsCost(now, u, p.Model)
	if s.health.Ejected(now) {
		cost += ejectedCost
	}
	work := Work{Requests: 1, Prefill: compute, Memory: p.PromptTokens + p.MaxTokens}
	return &Ticket{Upstream: u, Weights: weights, Held: held, Stored: stored, work: work, keys: keys}, cost
}

func (b *Book) prefill(tokens int) time.Duration {
	return time.Duration(float64(tokens) / b.rate * float64(time.Millisecond))
}

// memoryCost grows once an engine's memory is nearly full, when requests are
// preempted or wait.
func (b *Book) memoryCost(s *state, q Query) time.Duration {
	if q.Service.Engine.KVTokens <= 0 {
		return 0
	}
	need := s.own.Memory + s.peers.Memory + q.PromptTokens + q.MaxTokens
	share := float64(need) / float64(q.Service.Engine.KVTokens)
	if share <= memoryReserve {
		return 0
	}
	return time.Duration((share - memoryReserve) / (1 - memoryReserve) * float64(memoryCost))
}

// weightsAllowed reports whether a request may begin on the engine's weights at
// the time at which it is expected to.
func (b *Book) weightsAllowed(begin time.Time, u *fleet.Upstream, model string) bool {
	next, ok := b.nextWanted(model, b.Weights(u, model))
	return !ok || begin.Sub(next.since) < b.cfg.WeightsApply-weightsMargin
}

func (b *Book) weightsCost(now time.Time, u *fleet.Upstream, model string) time.Duration {
	next, ok := b.nextWanted(model, b.Weights(u, model))
	switch {
	case !ok:
		return 0
	case now.Sub(next.since) < oldWeightsGrace:
		return oldWeightsSoon
	}
	return oldWeightsLate
}

// none says when an upstream is expected to take work.
func (b *Book) none(now time.Time, q Query) *NoUpstream {
	list := b.view.Service(q.Service.Name)
	out := &NoUpstream{Listed: len(list), RetryAfter: defaultRetryAfter}
	for _, u := range list {
		if s := b.states[u.ID]; s != nil && now.Before(s.busyUntil) {
			out.RetryAfter = min(out.RetryAfter, s.busyUntil.Sub(now))
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

func tokensOf(parts []call.Part) int {
	total := 0
	for _, p := range parts {
		total += p.Tokens
	}
	return total
}

// Package placement decides which upstream gets a request. For engines it minimizes
// the expected time to first token, which depends on the prefill work queued at the
// engine, the part of the prompt that is not cached, transfers of KV cache, memory
// and the version of the weights. The package does no I/O, is not safe for concurrent
// use, and takes the current time as an argument.
package placement

import (
	"math/rand/v2"
	"time"

	"github.com/fescuestep/fescuestep/pkg/call"
	"github.com/fescuestep/fescuestep/pkg/fleet"
	"github.com/fescuestep/fescuestep/pkg/retry"
)

// Result is the outcome of an attempt.
type Result int

// Results of attempts.
const (
	OK          Result = iota
	Refused            // the upstream did not run the request
	Unreachable        // no connection could be opened
	Failed             // a failure after the request was sent
	Cancelled          // cancelled by the caller or by this instance
)

// String returns the name used in logs.
func (r Result) String() string {
	return [...]string{"ok", "refused", "unreachable", "failed", "cancelled"}[r]
}

// Work is the load on one upstream from the requests of one or more instances.
type Work struct {
	Requests      int // running or queued
	PrefillTokens int // prompt tokens of requests without a first token
	KVTokens      int // KV cache that the requests occupy at most, in tokens
}

func (w *Work) add(o Work) {
	w.Requests += o.Requests
	w.PrefillTokens += o.PrefillTokens
	w.KVTokens += o.KVTokens
}

// maxLoadReportAge is the age up to which the load that an upstream reported in a
// response is taken into account.
const maxLoadReportAge = 400 * time.Millisecond

// upstreamState is what this instance knows about one upstream beyond its listing.
type upstreamState struct {
	own     Work // of requests of this instance
	peers   Work // of requests of the other instances
	backlog backlog
	speed   speedEstimate

	prefillBegins uint64                     // number of times that prompts to compute were added to own or peers
	weights       map[string]observedVersion // by model
	reportedLoad  call.Load
	reportedAt    time.Time
	health        retry.OutlierState
	busyUntil     time.Time // gets no new requests before, for example while it loads weights
	startTimeMS   int64
}

// observedVersion is a version of a model's weights that was reported for an upstream
// or inferred, apart from its listing.
type observedVersion struct {
	version    int
	confirmed  bool // reported by the upstream or by the instance that ordered the load
	observedAt time.Time
}

// Balancer tracks the state of all upstreams and chooses one for each request.
type Balancer struct {
	cfg           Config
	rng           *rand.Rand
	view          *fleet.View
	states        map[string]*upstreamState
	throttles     map[string]throttle // by upstream ID
	prefixes      *prefixIndex
	targets       map[string][]targetVersion // by model, in ascending order
	outlierConfig retry.OutlierConfig
	meanSpeed     Speed // prefill speed, moving average over all engines

	listingChanged   bool          // the view was replaced after listingChangedAt
	listingChangedAt time.Time     // when ExpireObservedWeights last noticed a new view; none arrives while the store is unreachable
	instanceCount    int           // number of instances in the fleet
	peerWorkAge      time.Duration // mean age of what is known of the work of the other instances
	picks            pickRate
}

// targetVersion is a version that the weights of a model must reach.
type targetVersion struct {
	version int
	setAt   time.Time // when it became the target
}

// maxTargets bounds the number of target versions that are remembered per model. No
// upstream should still run weights older than all of them.
const maxTargets = 16

// maxComputeWait bounds the time for which a request waits until another request has
// computed the shared parts of its prompt.
const maxComputeWait = 600 * time.Millisecond

// Config holds the settings of a Balancer.
type Config struct {
	Domain string // failure domain of this instance
	// PrefillTokensPerMS is the assumed prefill speed of an engine, in tokens per
	// millisecond, until a speed has been measured.
	PrefillTokensPerMS float64
	// OldWeightsPeriod is how long after a version became the target requests may
	// still start on an older one.
	OldWeightsPeriod time.Duration
}

// DefaultPrefillTokensPerMS is the assumed prefill speed of engines, in tokens per
// millisecond, because no setting or report states it.
const DefaultPrefillTokensPerMS = 60

// NewBalancer returns a balancer without upstreams.
func NewBalancer(cfg Config, rng *rand.Rand) *Balancer {
	return &Balancer{
		cfg: cfg, rng: rng, meanSpeed: Speed(cfg.PrefillTokensPerMS),
		view:          fleet.NewView(nil),
		states:        map[string]*upstreamState{},
		throttles:     map[string]throttle{},
		prefixes:      newPrefixIndex(),
		targets:       map[string][]targetVersion{},
		outlierConfig: retry.OutlierConfig{ConsecutiveFailures: 3, BaseEjection: time.Second, MaxEjection: 4 * time.Second, SlowStartDuration: 0},
	}
}

// SetView replaces the listed upstreams. It discards the state of upstreams that are
// no longer listed or that restarted under the same ID.
func (b *Balancer) SetView(v *fleet.View) {
	defer func() { b.view, b.listingChanged = v, true }()
	for id, s := range b.states {
		u := v.ByID(id)
		if u == nil {
			delete(b.states, id)
			b.prefixes.removeEngine(id)
			continue
		}
		if listed := b.view.ByID(id); listed != nil && listed != u {
			s.dropUnconfirmedWeights()
		}
		if s.startTimeMS != u.StartTimeMS {
			// Requests in flight stay counted until they end.
			own, peers := s.own, s.peers
			*s = upstreamState{own: own, peers: peers, startTimeMS: u.StartTimeMS}
			b.prefixes.removeEngine(id)
		}
	}
}

// dropUnconfirmedWeights discards inferred versions, which a newer listing supersedes.
func (s *upstreamState) dropUnconfirmedWeights() {
	for model, observed := range s.weights {
		if !observed.confirmed {
			delete(s.weights, model)
		}
	}
}

// SetTargetVersion sets the version that a model's weights must reach and reports
// whether it is new. Versions up to the highest known one are ignored.
func (b *Balancer) SetTargetVersion(model string, version int, now time.Time) bool {
	list := b.targets[model]
	if len(list) > 0 && version <= list[len(list)-1].version {
		return false
	}
	list = append(list, targetVersion{version: version, setAt: now})
	if len(list) > maxTargets {
		list = list[1:]
	}
	b.targets[model] = list
	return true
}

// TargetVersion returns the version that a model's weights must reach, or 0 if none
// was set.
func (b *Balancer) TargetVersion(model string) int {
	list := b.targets[model]
	if len(list) == 0 {
		return 0
	}
	return list[len(list)-1].version
}

// nextTarget returns the lowest target version above the given one.
func (b *Balancer) nextTarget(model string, version int) (targetVersion, bool) {
	for _, target := range b.targets[model] {
		if target.version > version {
			return target, true
		}
	}
	return targetVersion{}, false
}

func (b *Balancer) state(u *fleet.Upstream) *upstreamState {
	s := b.states[u.ID]
	if s == nil {
		s = &upstreamState{startTimeMS: u.StartTimeMS}
		b.states[u.ID] = s
	}
	return s
}

// WeightsVersion returns the version of a model's weights that an upstream has: the
// higher of the listed and the observed one, because versions only increase.
func (b *Balancer) WeightsVersion(u *fleet.Upstream, model string) int {
	version := u.Weights[model]
	if s := b.states[u.ID]; s != nil {
		version = max(version, s.weights[model].version)
	}
	return version
}

// RecordWeights records the version of a model's weights that an upstream, or the
// instance that ordered the load, reported. Versions below the listed or an earlier
// reported one are ignored.
func (b *Balancer) RecordWeights(id, model string, version int, now time.Time) {
	u := b.view.ByID(id)
	if u == nil {
		return
	}
	s := b.state(u)
	observed := s.weights[model]
	if observed.confirmed && version == observed.version {
		s.weights[model] = observedVersion{version, true, now}
		return
	}
	if version < u.Weights[model] || (observed.confirmed && version < observed.version) {
		return
	}
	b.setWeights(u, model, observedVersion{version, true, now})
}

// ExpireObservedWeights discards reported versions that are higher than the listed
// one if the listing changed more than fleet.MaxListingLag after the last report. An
// upstream goes back to older weights when it executes a delayed load order after a
// restart.
func (b *Balancer) ExpireObservedWeights(now time.Time) {
	if b.listingChanged {
		b.listingChangedAt, b.listingChanged = now, false
	}
	for id, s := range b.states {
		u := b.view.ByID(id)
		if u == nil {
			continue
		}
		for model, observed := range s.weights {
			if observed.confirmed && u.Weights[model] < observed.version && b.listingChangedAt.Sub(observed.observedAt) > fleet.MaxListingLag {
				delete(s.weights, model)
				b.prefixes.removeEngine(id)
			}
		}
	}
}

// RecordWeightsMismatch records that an upstream refused a request for a version of a
// model's weights. The upstream has loaded a later version, which is assumed to be the
// next target until the upstream reports one or the listing changes.
func (b *Balancer) RecordWeightsMismatch(id, model string, refused int) {
	u := b.view.ByID(id)
	if u == nil || b.WeightsVersion(u, model) != refused {
		return
	}
	if next, ok := b.nextTarget(model, refused); ok {
		b.setWeights(u, model, observedVersion{version: next.version})
	}
}

// setWeights replaces the observed version and removes the engine from the prefix
// index, because an engine that loads weights discards its cache.
func (b *Balancer) setWeights(u *fleet.Upstream, model string, observed observedVersion) {
	s := b.state(u)
	if s.weights == nil {
		s.weights = map[string]observedVersion{}
	}
	s.weights[model] = observed
	b.prefixes.removeEngine(u.ID)
}

// SetBusyUntil keeps new requests away from an upstream until the given time.
func (b *Balancer) SetBusyUntil(id string, until time.Time) {
	if u := b.view.ByID(id); u != nil {
		b.state(u).busyUntil = until
	}
}

// RecordLoad records the load that an upstream reported.
func (b *Balancer) RecordLoad(id string, load call.Load, now time.Time) {
	if u := b.view.ByID(id); u != nil {
		s := b.state(u)
		s.reportedLoad, s.reportedAt = load, now
	}
}

// OwnWork returns the work of this instance by upstream ID, without upstreams that
// have none.
func (b *Balancer) OwnWork() map[string]Work {
	out := map[string]Work{}
	for id, s := range b.states {
		if s.own != (Work{}) {
			out[id] = s.own
		}
	}
	return out
}

// TotalWork returns the work of all instances at the upstream with the ID.
func (b *Balancer) TotalWork(id string) Work {
	s := b.states[id]
	if s == nil {
		return Work{}
	}
	total := s.own
	total.add(s.peers)
	return total
}

// ExpectedWait returns the expected time until the upstream has computed the prompts
// of all requests that are queued there.
func (b *Balancer) ExpectedWait(id string, now time.Time) time.Duration {
	s := b.states[id]
	if s == nil {
		return 0
	}
	b.advanceBacklog(s, now)
	return s.speed.expected(b.meanSpeed, now).timeFor(s.backlog.tokens)
}

// SetPeerWork replaces the work of the other instances, summed by upstream ID. age is
// the mean time since they told it.
func (b *Balancer) SetPeerWork(total map[string]Work, age time.Duration, now time.Time) {
	b.peerWorkAge = age
	for id := range total {
		if u := b.view.ByID(id); u != nil {
			b.state(u)
		}
	}
	for id, s := range b.states {
		b.setPeerWork(s, total[id], now)
	}
}

func (b *Balancer) setPeerWork(s *upstreamState, work Work, now time.Time) {
	b.advanceBacklog(s, now)
	if work.PrefillTokens > s.peers.PrefillTokens {
		s.prefillBegins++
	}
	s.backlog.tokens += float64(max(0, work.PrefillTokens-s.peers.PrefillTokens))
	s.peers = work
	b.advanceBacklog(s, now)
}

// Attempt is one attempt to run a request on an upstream. It is returned by Pick,
// counted from Begin and ends with Done.
type Attempt struct {
	Upstream       *fleet.Upstream
	WeightsVersion int           // version of the model's weights that the upstream must have; 0: any
	CacheScope     string        // KV cache is only shared within a scope
	FetchFrom      string        // IP:port of a store or engine that may have cached more of the prompt; empty: none
	ExpectedTTFT   time.Duration // expected time to first token, including penalties
	SaveTo         string        // IP:port of a store that does not hold all of the prompt's shared parts; empty: none
	BeginBy        time.Time     // deadline for the start of the request, because its weights are being replaced; zero: none

	CachedTokens     int    // leading tokens of the prompt that the upstream is expected to have cached
	CachedAfterFetch int    // leading tokens that it has after fetching from FetchFrom; 0: it fetches none that are known
	PrefixHash       uint64 // identifies the shared parts; the same for all versions of the weights

	newTokens      float64 // tokens that are new to the upstream
	newStoreTokens float64 // tokens that are new to the store

	idleAtSend     bool   // no other prompt was pending at the upstream when it was sent
	prefillBegins  uint64 // of the upstream just after it was sent
	sentAt         time.Time
	work           Work
	pendingPrefill int // prompt tokens still counted in the upstream's work
	keys           []uint64
	done           bool
}

// SharedKeys returns the keys of the prompt's shared parts, which are all but the
// last one, for the upstream's version of the weights.
func (a *Attempt) SharedKeys() []uint64 {
	if len(a.keys) == 0 {
		return nil
	}
	return a.keys[:len(a.keys)-1]
}

// NewTokens returns the number of prompt tokens that the upstream has not cached.
func (a *Attempt) NewTokens() int { return int(a.newTokens) }

// NewStoreTokens returns the number of prompt tokens that saving adds to the store.
func (a *Attempt) NewStoreTokens() int { return int(a.newStoreTokens) }

// Begin adds the work of an attempt to its upstream. It is called just before the
// request is sent.
func (b *Balancer) Begin(a *Attempt, now time.Time) {
	s := b.state(a.Upstream)
	a.sentAt, a.idleAtSend = now, s.pending() == 0
	b.advanceBacklog(s, now)
	s.own.add(a.work)
	s.backlog.tokens += float64(a.work.PrefillTokens)
	a.pendingPrefill = a.work.PrefillTokens
	s.prefillBegins++
	a.prefillBegins = s.prefillBegins
	b.prefixes.recordInsert(a.Upstream.ID, a.newTokens*b.requestWeight(a.IsLong()))
	b.prefixes.addCopies(a.keys, a.Upstream.ID, now, now.Add(a.ExpectedTTFT))
}

// IsLong reports whether the prompt is long enough to be announced to the other
// instances, because their requests would wait behind it.
func (a *Attempt) IsLong() bool { return a.work.PrefillTokens >= longPrefillTokens }

// longPrefillTokens is the number of prompt tokens to compute from which a request is
// announced to the other instances.
const longPrefillTokens = 4096

// requestWeight returns how many requests of the fleet one request of this instance
// stands for in the estimates of cache contents. The other instances announce only
// long prompts, so the rest of theirs is extrapolated from those of this instance.
func (b *Balancer) requestWeight(announced bool) float64 {
	if announced {
		return 1
	}
	return float64(max(1, b.instanceCount))
}

// SetInstanceCount sets the number of instances in the fleet.
func (b *Balancer) SetInstanceCount(n int) { b.instanceCount = n }

// RemainingComputeTime returns how long the upstream is still expected to compute the
// prompt's shared parts for other requests, at most maxComputeWait. A request that is
// sent earlier would make it compute them again.
func (b *Balancer) RemainingComputeTime(a *Attempt, now time.Time) time.Duration {
	ready := b.prefixes.readyAt(a.SharedKeys(), a.Upstream.ID)
	return max(0, min(ready.Sub(now), maxComputeWait))
}

// FirstToken records that the engine has computed the prompt, and whether the prompt
// was saved in the store. It returns the measured prefill speed, or 0 if the attempt
// gives no measurement.
func (b *Balancer) FirstToken(a *Attempt, saved bool, now time.Time) Speed {
	s := b.states[a.Upstream.ID]
	sample := b.measuredSpeed(a, s, now)
	b.prefixes.markComputed(a.keys, a.Upstream.ID, now)
	if s != nil {
		b.recordSpeed(s, sample, now)
		s.own.PrefillTokens -= a.pendingPrefill
		b.advanceBacklog(s, now)
	}
	a.pendingPrefill = 0
	if saved {
		b.prefixes.recordInsert(storeID, a.newStoreTokens*b.requestWeight(a.IsLong()))
		b.prefixes.markStored(a.keys, now)
	}
	return sample
}

// advanceBacklog updates the estimated backlog of an upstream to the current time.
func (b *Balancer) advanceBacklog(s *upstreamState, now time.Time) {
	s.backlog.advance(s.speed.expected(b.meanSpeed, now), s.pending(), now)
}

// pending returns the number of prompt tokens of requests without a first token.
func (s *upstreamState) pending() int { return max(0, s.own.PrefillTokens+s.peers.PrefillTokens) }

// Announcement tells the other instances that a long prompt was sent to an upstream
// or that the upstream has computed it.
type Announcement struct {
	Upstream       string
	Keys           []uint64      // of the prompt's shared parts
	ReadyIn        time.Duration // expected time until they are computed; 0: they are computed
	NewStoreTokens int           // prompt tokens that were added to the store; 0: the prompt was not saved
	Speed          Speed         // measured with this prompt; 0: unknown
	NewTokens      int           // prompt tokens that the upstream had not cached; 0 if announced before
}

// ApplyAnnouncement records an announcement of another instance. It ignores those for
// upstreams that are not listed.
func (b *Balancer) ApplyAnnouncement(n Announcement, now time.Time) {
	u := b.view.ByID(n.Upstream)
	if u == nil {
		return
	}
	s := b.state(u)
	b.recordSpeed(s, n.Speed, now)
	if n.ReadyIn > 0 {
		s.prefillBegins++
	}
	b.prefixes.recordInsert(n.Upstream, float64(max(0, n.NewTokens)))
	b.prefixes.addCopies(n.Keys, n.Upstream, now, now.Add(n.ReadyIn))
	if n.ReadyIn <= 0 {
		b.prefixes.markComputed(n.Keys, n.Upstream, now)
	}
	if n.NewStoreTokens > 0 {
		b.prefixes.recordInsert(storeID, float64(n.NewStoreTokens))
		b.prefixes.markStored(n.Keys, now)
	}
}

// Done ends an attempt, removes its work from the upstream and records the result.
// Further calls for the same attempt have no effect.
func (b *Balancer) Done(a *Attempt, r Result, now time.Time) {
	if a.done {
		return
	}
	a.done = true
	s := b.states[a.Upstream.ID]
	if s == nil {
		return
	}
	s.own.Requests -= a.work.Requests
	s.own.KVTokens -= a.work.KVTokens
	s.own.PrefillTokens -= a.pendingPrefill
	b.advanceBacklog(s, now)
	a.pendingPrefill = 0
	switch r {
	case OK:
		s.health.RecordSuccess()
	case Unreachable:
		s.health.RecordUnreachable(now, &b.outlierConfig, b.rng)
		b.prefixes.removeCopies(a.keys, a.Upstream.ID)
	case Failed:
		s.health.RecordFailure(now, &b.outlierConfig, b.rng)
		b.prefixes.removeCopies(a.keys, a.Upstream.ID)
	case Refused:
		b.prefixes.removeCopies(a.keys, a.Upstream.ID)
	case Cancelled:
	}
}

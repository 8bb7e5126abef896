// Package placement decides which upstream gets a request. It weighs the time
// until the first token: work queued at an engine, the part of the prompt that
// it must compute, moves of KV cache, memory, and the version of its weights.
// It does no I/O and is not safe for concurrent use; times are arguments.
package placement

import (
	"math/rand/v2"
	"time"

	"github.com/fescuestep/fescuestep/pkg/call"
	"github.com/fescuestep/fescuestep/pkg/fleet"
	"github.com/fescuestep/fescuestep/pkg/retry"
)

// Result is how an attempt ended.
type Result int

// Results of attempts.
const (
	OK          Result = iota
	Refused            // the upstream did not run the request
	Unreachable        // no connection
	Failed             // a failure after the request was sent
	Cancelled          // given up by the caller or the instance
)

// String returns the name used in logs.
func (r Result) String() string {
	return [...]string{"ok", "refused", "unreachable", "failed", "cancelled"}[r]
}

// Work is the load of one upstream by the requests of one instance.
type Work struct {
	Requests      int // running or queued
	PrefillTokens int // prompt tokens still to be computed
	KVTokens      int // tokens of KV cache held by running requests
}

func (w *Work) add(o Work) {
	w.Requests += o.Requests
	w.PrefillTokens += o.PrefillTokens
	w.KVTokens += o.KVTokens
}

// maxLoadReportAge is how long the load that an upstream states in an answer says
// something about the present.
const maxLoadReportAge = 400 * time.Millisecond

// upstreamState is what is known of one upstream beyond its listing.
type upstreamState struct {
	ownWork      Work
	peerWork     Work
	backlog      backlog
	speed        speedEstimate
	weights      map[string]observedVersion // by model
	reportedLoad call.Load
	reportedAt   time.Time
	health       retry.OutlierState
	busyUntil    time.Time // takes no work, for example while it loads weights
	startTimeMS  int64
}

// observedVersion is a version that is known beyond the listing.
type observedVersion struct {
	version    int
	confirmed  bool // stated by the upstream or by the instance that had it loaded
	observedAt time.Time
}

// Balancer keeps the state of all upstreams.
type Balancer struct {
	cfg           Config
	rng           *rand.Rand
	view          *fleet.View
	states        map[string]*upstreamState
	prefixes      *prefixIndex
	targets       map[string][]targetVersion // by model, in the order of versions
	outlierConfig retry.OutlierConfig
	meanSpeed     Speed // mean of all engines

	listingChanged   bool      // the listing is newer than listedAt
	listingChangedAt time.Time // when the listing was last renewed; it is not while the store is away
	instanceCount    int       // of the fleet
}

// targetVersion is a version that was named for a model.
type targetVersion struct {
	version int
	since   time.Time
}

// maxTargets bounds the named versions that are remembered per model. Older ones
// than these must have been left long ago.
const maxTargets = 16

// maxComputeWait bounds the wait for shared parts that are being computed.
const maxComputeWait = 600 * time.Millisecond

// Config holds the figures of placement.
type Config struct {
	Domain string // failure domain of this instance
	// PrefillTokensPerMS is the number of prompt tokens that an engine is assumed to
	// compute in a millisecond before any was seen to.
	PrefillTokensPerMS float64
	// OldWeightsPeriod is how long after a version was named requests may still
	// begin on an older one.
	OldWeightsPeriod time.Duration
}

// DefaultPrefillTokensPerMS is assumed of engines, whose speed nothing states.
const DefaultPrefillTokensPerMS = 60

// NewBalancer returns a book without upstreams.
func NewBalancer(cfg Config, rng *rand.Rand) *Balancer {
	return &Balancer{
		cfg: cfg, rng: rng, meanSpeed: Speed(cfg.PrefillTokensPerMS),
		view:          fleet.NewView(nil),
		states:        map[string]*upstreamState{},
		prefixes:      newPrefixIndex(),
		targets:       map[string][]targetVersion{},
		outlierConfig: retry.OutlierConfig{ConsecutiveFailures: 3, BaseEjection: time.Second, MaxEjection: 4 * time.Second, SlowStartDuration: 0},
	}
}

// SetView replaces the listed upstreams. The state of one that is no longer
// listed is forgotten, as is that of one that restarted under its ID.
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
			// Requests under way keep their counts until they end.
			own, peers := s.ownWork, s.peerWork
			*s = upstreamState{ownWork: own, peerWork: peers, startTimeMS: u.StartTimeMS}
			b.prefixes.removeEngine(id)
		}
	}
}

// dropUnconfirmedWeights forgets versions that the upstream did not state, after a newer
// listing.
func (s *upstreamState) dropUnconfirmedWeights() {
	for model, seen := range s.weights {
		if !seen.confirmed {
			delete(s.weights, model)
		}
	}
}

// SetTargetVersion records a version that a model's weights must reach. Versions below
// the highest known one are ignored.
func (b *Balancer) SetTargetVersion(model string, version int, now time.Time) bool {
	list := b.targets[model]
	if len(list) > 0 && version <= list[len(list)-1].version {
		return false
	}
	list = append(list, targetVersion{version: version, since: now})
	if len(list) > maxTargets {
		list = list[1:]
	}
	b.targets[model] = list
	return true
}

// TargetVersion returns the version that a model's weights must reach; 0: none named.
func (b *Balancer) TargetVersion(model string) int {
	list := b.targets[model]
	if len(list) == 0 {
		return 0
	}
	return list[len(list)-1].version
}

// nextTarget returns the first named version above the given one.
func (b *Balancer) nextTarget(model string, version int) (targetVersion, bool) {
	for _, w := range b.targets[model] {
		if w.version > version {
			return w, true
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

// WeightsVersion returns the version that an upstream has of a model: the higher of
// its listing and what answers showed, since versions only increase.
func (b *Balancer) WeightsVersion(u *fleet.Upstream, model string) int {
	version := u.Weights[model]
	if s := b.states[u.ID]; s != nil {
		version = max(version, s.weights[model].version)
	}
	return version
}

// RecordWeights records the version that an upstream or the instance that had it
// loaded stated.
func (b *Balancer) RecordWeights(id, model string, version int, now time.Time) {
	u := b.view.ByID(id)
	if u == nil {
		return
	}
	s := b.state(u)
	seen := s.weights[model]
	if seen.confirmed && version == seen.version {
		s.weights[model] = observedVersion{version, true, now}
		return
	}
	if version < u.Weights[model] || (seen.confirmed && version < seen.version) {
		return
	}
	b.setWeights(u, model, observedVersion{version, true, now})
}

// ExpireObservedWeights lets the listing of an upstream decide over a higher version that
// it showed and has not shown for a while: an order that was carried out late,
// after a restart, brings older weights back.
func (b *Balancer) ExpireObservedWeights(now time.Time) {
	if b.listingChanged {
		b.listingChangedAt, b.listingChanged = now, false
	}
	for id, s := range b.states {
		u := b.view.ByID(id)
		if u == nil {
			continue
		}
		for model, seen := range s.weights {
			if seen.confirmed && u.Weights[model] < seen.version && b.listingChangedAt.Sub(seen.observedAt) > fleet.MaxListingLag {
				delete(s.weights, model)
				b.prefixes.removeEngine(id)
			}
		}
	}
}

// RecordWeightsMismatch records that an upstream refused a version: it has been brought
// to a later one, most likely to the next that was named.
func (b *Balancer) RecordWeightsMismatch(id, model string, refused int) {
	u := b.view.ByID(id)
	if u == nil || b.WeightsVersion(u, model) != refused {
		return
	}
	if next, ok := b.nextTarget(model, refused); ok {
		b.setWeights(u, model, observedVersion{version: next.version})
	}
}

// setWeights replaces what is known; the engine's load dropped what it kept.
func (b *Balancer) setWeights(u *fleet.Upstream, model string, seen observedVersion) {
	s := b.state(u)
	if s.weights == nil {
		s.weights = map[string]observedVersion{}
	}
	s.weights[model] = seen
	b.prefixes.removeEngine(u.ID)
}

// SetBusyUntil keeps work away from an upstream until a time.
func (b *Balancer) SetBusyUntil(id string, until time.Time) {
	if u := b.view.ByID(id); u != nil {
		b.state(u).busyUntil = until
	}
}

// RecordLoad records the load that an upstream stated.
func (b *Balancer) RecordLoad(id string, load call.Load, now time.Time) {
	if u := b.view.ByID(id); u != nil {
		s := b.state(u)
		s.reportedLoad, s.reportedAt = load, now
	}
}

// OwnWork returns the work that this instance has at each upstream.
func (b *Balancer) OwnWork() map[string]Work {
	out := map[string]Work{}
	for id, s := range b.states {
		if s.ownWork != (Work{}) {
			out[id] = s.ownWork
		}
	}
	return out
}

// TotalWork returns the work of all instances at an upstream.
func (b *Balancer) TotalWork(id string) Work {
	s := b.states[id]
	if s == nil {
		return Work{}
	}
	total := s.ownWork
	total.add(s.peerWork)
	return total
}

// ExpectedWait returns how long the requests that wait at an upstream are expected to
// wait until they have begun.
func (b *Balancer) ExpectedWait(id string, now time.Time) time.Duration {
	s := b.states[id]
	if s == nil {
		return 0
	}
	b.advanceBacklog(s, now)
	return s.speed.expected(b.meanSpeed, now).timeFor(s.backlog.tokens)
}

// SetPeerWork replaces the work that other instances have at the upstreams.
func (b *Balancer) SetPeerWork(total map[string]Work, now time.Time) {
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
	s.backlog.tokens += float64(max(0, work.PrefillTokens-s.peerWork.PrefillTokens))
	s.peerWork = work
	b.advanceBacklog(s, now)
}

// Attempt is one attempt at an upstream, from Pick to Done.
type Attempt struct {
	Upstream       *fleet.Upstream
	WeightsVersion int           // version that the upstream must have; 0: any
	CacheScope     string        // of KV cache
	FetchFrom      string        // IP:port of a store or engine that may hold more of the prompt
	ExpectedTTFT   time.Duration // until the first token
	SaveTo         string        // IP:port of a store that does not hold the prompt's parts yet
	BeginBy        time.Time     // when the request must have begun, for its weights are replaced; zero: no bound

	CachedTokens     int    // tokens of the prompt that the upstream is expected to keep
	CachedAfterFetch int    // tokens that the upstream has with the help of another engine or the store
	PrefixHash       uint64 // identifies the shared parts, the same for all versions of weights

	newTokens      float64 // tokens that are new to the upstream
	newStoreTokens float64 // tokens that are new to the store

	idleAtSend           bool // nothing else was to be computed when it was sent
	sentAt               time.Time
	work                 Work
	pendingPrefillTokens int // still counted
	keys                 []uint64
	done                 bool
}

// SharedKeys identify the prompt's shared parts as cached with the upstream's
// weights.
func (t *Attempt) SharedKeys() []uint64 {
	if len(t.keys) == 0 {
		return nil
	}
	return t.keys[:len(t.keys)-1]
}

// NewTokens returns the tokens of the prompt that are new to the upstream.
func (t *Attempt) NewTokens() int { return int(t.newTokens) }

// NewStoreTokens returns the tokens of the prompt that are new to the store.
func (t *Attempt) NewStoreTokens() int { return int(t.newStoreTokens) }

// Begin counts an attempt before it is sent.
func (b *Balancer) Begin(t *Attempt, now time.Time) {
	s := b.state(t.Upstream)
	t.sentAt, t.idleAtSend = now, s.pendingPrefillTokens() == 0
	b.advanceBacklog(s, now)
	s.ownWork.add(t.work)
	s.backlog.tokens += float64(t.work.PrefillTokens)
	t.pendingPrefillTokens = t.work.PrefillTokens
	b.prefixes.recordInsert(t.Upstream.ID, t.newTokens*b.requestWeight(t.IsLong()))
	b.prefixes.addCopies(t.keys, t.Upstream.ID, now, now.Add(t.ExpectedTTFT))
}

// IsLong reports whether the other instances are told of the prompt, since their
// requests would wait behind it.
func (t *Attempt) IsLong() bool { return t.work.PrefillTokens >= longPrefillTokens }

// longPrefillTokens is the number of prompt tokens to compute from which instances
// tell each other of a request.
const longPrefillTokens = 4096

// requestWeight returns how many requests of the whole fleet one of this instance
// stands for: the others do not tell of theirs unless they are long.
func (b *Balancer) requestWeight(told bool) float64 {
	if told {
		return 1
	}
	return float64(max(1, b.instanceCount))
}

// SetInstanceCount sets the number of instances in the fleet.
func (b *Balancer) SetInstanceCount(n int) { b.instanceCount = n }

// RemainingComputeTime returns how long the upstream is still expected to compute the
// prompt's shared parts for other requests; it would compute them again for one
// that is sent before.
func (b *Balancer) RemainingComputeTime(t *Attempt, now time.Time) time.Duration {
	ready := b.prefixes.readyAt(t.SharedKeys(), t.Upstream.ID)
	return max(0, min(ready.Sub(now), maxComputeWait))
}

// FirstToken records that the prompt was computed, and returns the speed that the
// engine showed.
func (b *Balancer) FirstToken(t *Attempt, saved bool, now time.Time) Speed {
	sample := t.measuredSpeed(now)
	b.prefixes.markComputed(t.keys, t.Upstream.ID, now)
	if s := b.states[t.Upstream.ID]; s != nil {
		b.recordSpeed(s, sample, now)
		s.ownWork.PrefillTokens -= t.pendingPrefillTokens
		b.advanceBacklog(s, now)
	}
	t.pendingPrefillTokens = 0
	if saved {
		b.prefixes.recordInsert(storeID, t.newStoreTokens*b.requestWeight(t.IsLong()))
		b.prefixes.markStored(t.keys, now)
	}
	return sample
}

// advanceBacklog lets an upstream work off its backlog until now.
func (b *Balancer) advanceBacklog(s *upstreamState, now time.Time) {
	s.backlog.advance(s.speed.expected(b.meanSpeed, now), s.pendingPrefillTokens(), now)
}

// pendingPrefillTokens returns the tokens of prompts without a first token.
func (s *upstreamState) pendingPrefillTokens() int {
	return max(0, s.ownWork.PrefillTokens+s.peerWork.PrefillTokens)
}

// Announcement is what another instance tells of a long prompt that it sent.
type Announcement struct {
	Upstream       string
	Keys           []uint64      // of the shared parts
	ReadyIn        time.Duration // until they are computed; 0: they are
	NewStoreTokens int           // tokens that are new to the store, which then holds the parts; 0: none were saved
	Speed          Speed         // that the upstream showed with it
	NewTokens      int           // tokens that are new to the upstream; 0: told before
}

// ApplyAnnouncement records what another instance tells.
func (b *Balancer) ApplyAnnouncement(p Announcement, now time.Time) {
	u := b.view.ByID(p.Upstream)
	if u == nil {
		return
	}
	b.recordSpeed(b.state(u), p.Speed, now)
	b.prefixes.recordInsert(p.Upstream, float64(max(0, p.NewTokens)))
	b.prefixes.addCopies(p.Keys, p.Upstream, now, now.Add(p.ReadyIn))
	if p.ReadyIn <= 0 {
		b.prefixes.markComputed(p.Keys, p.Upstream, now)
	}
	if p.NewStoreTokens > 0 {
		b.prefixes.recordInsert(storeID, float64(p.NewStoreTokens))
		b.prefixes.markStored(p.Keys, now)
	}
}

// Done ends an attempt.
func (b *Balancer) Done(t *Attempt, r Result, now time.Time) {
	if t.done {
		return
	}
	t.done = true
	s := b.states[t.Upstream.ID]
	if s == nil {
		return
	}
	s.ownWork.Requests -= t.work.Requests
	s.ownWork.KVTokens -= t.work.KVTokens
	s.ownWork.PrefillTokens -= t.pendingPrefillTokens
	b.advanceBacklog(s, now)
	t.pendingPrefillTokens = 0
	switch r {
	case OK:
		s.health.RecordSuccess()
	case Unreachable:
		s.health.RecordUnreachable(now, &b.outlierConfig, b.rng)
		b.prefixes.removeCopies(t.keys, t.Upstream.ID)
	case Failed:
		s.health.RecordFailure(now, &b.outlierConfig, b.rng)
		b.prefixes.removeCopies(t.keys, t.Upstream.ID)
	case Refused:
		b.prefixes.removeCopies(t.keys, t.Upstream.ID)
	case Cancelled:
	}
}

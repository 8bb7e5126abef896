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
	"github.com/fescuestep/fescuestep/pkg/concurrency"
	"github.com/fescuestep/fescuestep/pkg/fleet"
	"github.com/fescuestep/fescuestep/pkg/movingrate"
	"github.com/fescuestep/fescuestep/pkg/retry"
	"github.com/fescuestep/fescuestep/pkg/upstreamrate"
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

// upstreamState is what this instance knows about one upstream beyond its listing.
type upstreamState struct {
	own     Work // of requests of this instance
	peers   Work // of requests of the other instances
	backlog backlog

	capacity       *concurrency.Tracker
	statedRequests int // running and waiting, as the upstream stated last
	statedAt       time.Time
	told           toldCapacity

	prefillBegins uint64                     // number of times that prompts to compute were added to own or peers
	weights       map[string]observedVersion // by model
	health        retry.OutlierState
	busyUntil     time.Time // gets no new requests before, for example while it loads weights
	room          learnedRoom
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
	limits        *upstreamrate.Limits
	brittle       map[string]*brittleness // by service
	replication   replication
	brittleEnded  map[string]time.Time // by service: when an answer last ended a statement
	prefixes      *prefixIndex
	targets       map[string][]targetVersion // by model, in ascending order
	outlierConfig retry.OutlierConfig
	meanSpeed     Speed // prefill speed, moving average over all engines

	durations  map[string]time.Duration // by service: mean time for which a request occupies its upstream
	plainTimes map[string]time.Duration // by plain service: usual time until an answer
	untold     map[string]bool          // upstreams whose capacity is to be told

	listingChanged   bool      // the view was replaced after listingChangedAt
	listingChangedAt time.Time // when ExpireObservedWeights last noticed a new view; none arrives while the store is unreachable
	instanceCount    int       // number of instances in the fleet
	peerWorkAge      KnowledgeAge
	announcedTokens  movingrate.Rate // prompt tokens to compute of prompts that are announced to the other instances
	otherTokens      movingrate.Rate // of the rest
}

// targetVersion is a version that the weights of a model must reach.
type targetVersion struct {
	version int
	setAt   time.Time // when it became the target
}

// maxTargets bounds the number of target versions that are remembered per model, those of
// OldWeightsPeriod. If more are set in that time, the oldest two are judged as one.
const maxTargets = 256

// maxComputeWait bounds the time for which a request waits until another request has
// computed the shared parts of its prompt.
const maxComputeWait = 600 * time.Millisecond

// Config holds the settings of a Balancer.
type Config struct {
	Instance string // name of this instance
	Domain   string // its failure domain
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
		limits:        upstreamrate.New(cfg.Instance),
		brittle:       map[string]*brittleness{},
		brittleEnded:  map[string]time.Time{},
		prefixes:      newPrefixIndex(),
		targets:       map[string][]targetVersion{},
		durations:     map[string]time.Duration{},
		plainTimes:    map[string]time.Duration{},
		untold:        map[string]bool{},
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
		if u.Slots > 0 {
			s.capacity.SetSlots(u.Slots)
		}
		if s.startTimeMS != u.StartTimeMS {
			// Requests in flight stay counted until they end.
			own, peers := s.own, s.peers
			*s = *newState(u)
			s.own, s.peers = own, peers
			b.prefixes.removeEngine(id)
		}
	}
}

func (b *Balancer) state(u *fleet.Upstream) *upstreamState {
	s := b.states[u.ID]
	if s == nil {
		s = newState(u)
		b.states[u.ID] = s
	}
	return s
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
		b.advanceBacklog(s, now)
		s.statedRequests, s.statedAt = load.Running+load.Waiting, now
		if u.Slots == 0 {
			s.capacity.SetSlots(load.Slots)
		}
		s.capacity.RecordStatement(now, load)
		b.noteCapacity(id, s, now)
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
	return b.computeTime(s, s.backlog.tokens, now)
}

// SetPeerWork replaces the work of the other instances, summed by upstream ID. age
// tells how old it is.
func (b *Balancer) SetPeerWork(total map[string]Work, age KnowledgeAge, now time.Time) {
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

// advanceBacklog updates the estimated backlog of an upstream to the current time.
func (b *Balancer) advanceBacklog(s *upstreamState, now time.Time) {
	s.backlog.advance(b.currentSpeed(s, now), s.pending(), now)
}

// pending returns the number of prompt tokens of requests without a first token.
func (s *upstreamState) pending() int { return max(0, s.own.PrefillTokens+s.peers.PrefillTokens) }

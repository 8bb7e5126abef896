package upstream

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fescuestep/fescuestep/pkg/block"
	"github.com/fescuestep/fescuestep/pkg/code"
	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/fair"
	"github.com/fescuestep/fescuestep/pkg/pick"
	"github.com/fescuestep/fescuestep/pkg/retry"
)

// Settings configures the Scheduler of one pool.
type Settings struct {
	Pool        config.Pool
	Priority    config.Priority
	OneWayDelay time.Duration
	Policy      string // name of the routing policy; empty for the default
	Queue       fair.Limits
	MaxQueue    time.Duration // estimated wait in an engine's queue above which requests stay in the fair queue
	Coalesce    bool
	Probe       bool   // read load reports before long prefills
	KVTransfer  bool   // transfer blocks between engines and the pool's KV store
	Seed        uint64 // of the random source; differs between instances
}

// UsesDefaultPolicy reports whether the pool uses the router's own policy
// rather than a baseline policy, which exists for comparison.
func (s *Settings) UsesDefaultPolicy() bool { return s.Policy == "" || s.Policy == pick.NameFescuestep }

// DefaultMaxQueue limits the estimated wait in the first-come queues of
// engines, so that requests wait in the fair queue and keep their order there.
// Limits below the time of a cold prefill (0.8 s for 16,000 tokens) send
// requests away from the engine that holds their prefix.
const DefaultMaxQueue = 2 * time.Second

// Scheduler is the state machine of one pool: it queues requests and assigns
// them to upstreams. It does no I/O and takes the time as an argument. It is
// not safe for concurrent use.
type Scheduler struct {
	settings       Settings
	store          *pick.Store
	policy         pick.Policy
	queue          *fair.Queue[*Waiter]
	rng            *rand.Rand
	leaders        map[block.Hash]*leader
	held           []*Waiter
	customers      *customerLoads
	scratchRequest pick.Request // reused by pickRequest
	onExport       func(Transfer)
	onMove         func(*Grant) bool
	onProbe        func(upstreamIDs []string)
	awaitingProbes []*Waiter                   // requests that wait for answers to probes
	openGrants     map[*pick.Upstream][]*Grant // grants that have not ended
	rec            *recording                  // nil unless inputs are recorded
}

// Waiter is a request that waits for a slot. The function passed to Submit is
// called once, with either Grant or Err set.
type Waiter struct {
	Grant *Grant
	Err   *code.Error

	query         Query
	item          fair.Item[*Waiter]
	decided       func(*Waiter)
	state         waiterState
	leader        *leader
	releaseAt     time.Time // end of a hold or of the wait for probes
	wasHeld       bool      // a request is held for one leader only
	wasProbed     bool      // probes were sent or found unnecessary; not checked again
	pendingProbes []string  // IDs of upstreams that have not answered their probe
}

type waiterState int

const (
	waiting waiterState = iota
	holding
	probing
	finished
)

// NewScheduler returns the Scheduler of a pool without upstreams. It returns an
// error if the policy is unknown.
func NewScheduler(now time.Time, settings Settings) (*Scheduler, error) {
	s := &Scheduler{
		settings:   settings,
		queue:      fair.New[*Waiter](settings.Queue),
		rng:        rand.New(rand.NewPCG(settings.Seed, 0x9e3779b97f4a7c15)),
		leaders:    map[block.Hash]*leader{},
		customers:  newCustomerLoads(),
		openGrants: map[*pick.Upstream][]*Grant{},
	}
	s.store = pick.NewStore(now, s.limits())
	s.store.TargetWeightsVersion = settings.Pool.Weights
	s.configureKV()
	var err error
	s.policy, err = pick.NewPolicy(settings.Policy, s.params())
	return s, err
}

func (s *Scheduler) limits() pick.Limits {
	l := pick.Limits{Slots: s.settings.Pool.MaxInFlight, Outlier: retry.DefaultOutlierConfig}
	if s.settings.Pool.Kind == config.Model {
		l.MaxQueueWait = s.settings.MaxQueue
	}
	return l
}

func (s *Scheduler) params() pick.Params {
	p := pick.Params{ScoreWeights: pick.ScoreWeightsFor(s.settings.Priority), OneWayDelay: s.settings.OneWayDelay}
	if s.usesKV() {
		p.ImportRate = s.settings.Pool.KVImportPerSec
	}
	return p
}

// Configure applies a changed configuration of the pool. The seed and the name
// of the policy can't be changed.
func (s *Scheduler) Configure(settings Settings) {
	s.rec.addUntimed(Entry{Kind: EntryConfigure, Settings: &settings})
	settings.Seed, settings.Policy = s.settings.Seed, s.settings.Policy
	s.settings = settings
	s.store.Limits = s.limits()
	s.store.TargetWeightsVersion = settings.Pool.Weights
	s.configureKV()
	if e, ok := s.policy.(*pick.LeastTTFT); ok {
		e.SetParams(s.params())
	}
	for _, u := range s.store.List() {
		u.PrefillPerSec = settings.Pool.PrefillPerSec
	}
}

// SetInstances sets the number of router instances that share the upstreams.
func (s *Scheduler) SetInstances(n int) {
	s.rec.addUntimed(Entry{Kind: EntryInstances, Instances: n})
	s.store.Instances = max(1, n)
}

// Submit requests a slot. decided is called either before Submit returns or
// from a later call. The caller must call Tick no later than NextTick says.
func (s *Scheduler) Submit(now time.Time, q *Query, decided func(*Waiter)) *Waiter {
	w := &Waiter{query: *q, decided: decided}
	s.rec.addSubmit(now, w)
	w.item = fair.Item[*Waiter]{
		Customer: q.Customer,
		Weight:   q.Weight,
		Priority: q.Priority,
		Cost:     s.queueCost(q, q.Tokens),
		Value:    w,
	}
	if err := s.admit(now, w); err != nil {
		s.reject(w, err)
		return w
	}
	if s.holdForLeader(now, w) {
		return w
	}
	s.enqueue(now, w)
	s.Dispatch(now)
	return w
}

// minRetryAfter is the shortest wait suggested to rejected callers. It is about
// the interval between polls of the list and of load reports, after which an
// upstream may be available again.
const minRetryAfter = time.Second

// admit returns an error if no upstream can take w or if the estimated wait
// exceeds its deadline.
func (s *Scheduler) admit(now time.Time, w *Waiter) *code.Error {
	r := s.pickRequest(&w.query)
	if !s.store.AnySelectable(now, r) {
		return code.New(code.NoUpstream, "no upstream of pool %s takes work", s.settings.Pool.Name).
			WithRetryAfter(minRetryAfter)
	}
	q := &w.query
	if q.Deadline.IsZero() {
		return nil
	}
	wait := s.queue.EstimateWait(now, q.Customer, q.Weight)
	if now.Add(wait).Before(q.Deadline) {
		return nil
	}
	late := now.Add(wait).Sub(q.Deadline)
	return code.New(code.DeadlineUnreachable, "the request would wait about %s for a slot", wait.Round(time.Millisecond)).
		WithRetryAfter(max(late, minRetryAfter))
}

// outputTokenCost is the cost of an output token relative to a prefilled one.
// Output tokens are generated in batches, so they delay other requests much
// less than their time suggests.
const outputTokenCost = 2

func (s *Scheduler) queueCost(q *Query, uncached int) float64 {
	return float64(uncached + outputTokenCost*q.MaxOutput + 1)
}

func (s *Scheduler) enqueue(now time.Time, w *Waiter) {
	w.state = waiting
	if err := s.queue.Push(&w.item); err != nil {
		s.reject(w, code.New(code.QueueFull, "%v", err).
			WithRetryAfter(max(s.queue.EstimateWait(now, w.query.Customer, w.query.Weight), minRetryAfter)))
	}
}

// maxScannedCustomers is the number of customers that one step of Dispatch
// offers a slot to.
const maxScannedCustomers = 8

// Dispatch assigns free slots to queued requests in fair order.
func (s *Scheduler) Dispatch(now time.Time) {
	for s.queue.Len() > 0 {
		var rejected *Waiter
		dispatched := s.queue.Scan(now, maxScannedCustomers, func(it *fair.Item[*Waiter]) (float64, bool) {
			w := it.Value
			choice, verdict := s.policy.Pick(now, s.pickRequest(&w.query), s.store, s.rng)
			switch verdict {
			case pick.Chosen:
				if s.probeCandidates(now, w, &choice) {
					return 0, true
				}
				s.grant(now, w, choice)
				return s.queueCost(&w.query, choice.UncachedTokens), true
			case pick.NoUpstream:
				rejected = w
				return 0, true
			}
			return 0, false
		})
		if rejected != nil {
			s.reject(rejected, code.New(code.NoUpstream, "no upstream of pool %s takes work", s.settings.Pool.Name).
				WithRetryAfter(minRetryAfter))
		}
		if !dispatched {
			return
		}
	}
}

func (s *Scheduler) pickRequest(q *Query) *pick.Request {
	s.scratchRequest = pick.Request{
		Tokens:      q.Tokens,
		BlockTokens: s.settings.Pool.BlockTokens,
		Blocks:      q.Blocks,
		Domain:      q.FromDomain,
		Exclude:     q.Exclude,
	}
	if s.customers.overShare(q.Customer) {
		s.scratchRequest.MaxQueueWait = overShareMaxQueue
	}
	return &s.scratchRequest
}

func (s *Scheduler) grant(now time.Time, w *Waiter, choice pick.Choice) {
	u := choice.Upstream
	g := &Grant{waiter: w, query: &w.query, choice: choice, incarnation: u.Incarnation}
	g.inFlight = s.store.Start(now, u, choice.UncachedTokens)
	s.openGrants[u] = append(s.openGrants[u], g)
	s.customers.add(w.query.Customer, w.query.Weight)
	s.registerLeader(now, g)
	w.Grant = g
	w.state = finished
	s.rec.addOutcome(w)
	w.decided(w)
}

func (s *Scheduler) reject(w *Waiter, err *code.Error) {
	w.Err = err.WithRun(code.NotRun)
	w.state = finished
	s.rec.addOutcome(w)
	w.decided(w)
}

// Cancel withdraws w if it is still undecided and reports whether it did.
// Otherwise the caller owns the grant, if there is one, and must call Done.
func (s *Scheduler) Cancel(w *Waiter) bool {
	s.rec.addRequest(EntryCancel, w)
	switch w.state {
	case waiting:
		s.queue.Remove(&w.item)
	case holding:
		s.removeHeld(w)
	case probing:
		s.awaitingProbes = slices.DeleteFunc(s.awaitingProbes, func(o *Waiter) bool { return o == w })
	case finished:
		return false
	}
	w.state = finished
	return true
}

// Expire rejects w if its deadline passed while it waited.
func (s *Scheduler) Expire(w *Waiter) {
	s.rec.addRequest(EntryExpire, w)
	if s.Cancel(w) {
		s.reject(w, code.New(code.DeadlineUnreachable, "no slot became free before the deadline").
			WithRetryAfter(minRetryAfter))
	}
}

// FirstToken records that the prefill of g is finished and how many prompt
// tokens the engine found cached.
func (s *Scheduler) FirstToken(now time.Time, g *Grant, cachedTokens int) {
	if g.firstTokenSeen || g.done {
		return
	}
	g.firstTokenSeen = true
	s.rec.addGrant(now, g, Entry{Kind: EntryFirstToken, Tokens: cachedTokens})
	u := g.inFlight.Upstream
	u.OnFirstToken(g.inFlight)
	u.Outlier.RecordSuccess()
	if !u.Removed {
		s.store.Index.Touch(s.store.IndexTime(now), u.IndexHandle, g.incarnation, g.query.Blocks)
	}
	s.exportComputedBlocks(now, g, cachedTokens)
	s.releaseFollowers(now, g)
	s.Dispatch(now)
}

// Done ends g and frees its slot. Calls after the first have no effect.
func (s *Scheduler) Done(now time.Time, g *Grant, r Result) {
	if g.done {
		return
	}
	g.done = true
	s.rec.addDone(now, g, r)
	u := g.inFlight.Upstream
	u.Finish(now, g.inFlight)
	s.customers.remove(g.query.Customer)
	s.removeGrant(u, g)
	cfg := &s.store.Limits.Outlier
	switch r {
	case OK:
		u.Outlier.RecordSuccess()
	case Unreachable:
		u.Outlier.RecordUnreachable(now, cfg, s.rng)
	case Failed:
		u.Outlier.RecordFailure(now, cfg, s.rng)
	}
	s.releaseFollowers(now, g)
	s.Dispatch(now)
}

// Waiting returns the number of requests in the fair queue and the number held
// for a leader.
func (s *Scheduler) Waiting() (queued, held int) { return s.queue.Len(), len(s.held) }

// maxTickInterval is the longest time between two ticks while requests wait.
// Estimated queue waits fall with time even if no report arrives.
const maxTickInterval = 10 * time.Millisecond

// NextTick returns the latest time for the next Tick, or false if none is
// needed.
func (s *Scheduler) NextTick(now time.Time) (time.Time, bool) {
	if s.queue.Len() > 0 {
		return now.Add(maxTickInterval), true
	}
	var first time.Time
	for _, waiters := range [][]*Waiter{s.held, s.awaitingProbes} {
		for _, w := range waiters {
			if first.IsZero() || w.releaseAt.Before(first) {
				first = w.releaseAt
			}
		}
	}
	return first, !first.IsZero()
}

// Tick requeues requests whose hold or wait for probes has ended, and assigns
// free slots.
func (s *Scheduler) Tick(now time.Time) {
	s.rec.add(now, Entry{Kind: EntryTick})
	s.expireHolds(now)
	s.requeueProbed(now, func(w *Waiter) bool { return !now.Before(w.releaseAt) })
	s.Dispatch(now)
}

// Customer returns the customer that the request belongs to.
func (w *Waiter) Customer() string { return w.query.Customer }

// removeGrant removes a grant that has ended.
func (s *Scheduler) removeGrant(u *pick.Upstream, g *Grant) {
	rest := slices.DeleteFunc(s.openGrants[u], func(o *Grant) bool { return o == g })
	if len(rest) == 0 {
		delete(s.openGrants, u)
		return
	}
	s.openGrants[u] = rest
}

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

// Settings sets up the state machine of one pool.
type Settings struct {
	Pool        config.Pool
	Priority    config.Priority
	OneWayDelay time.Duration
	Policy      string // name of the policy, empty for the product's
	Queue       fair.Limits
	MaxQueue    time.Duration // estimated engine queue above which requests wait here
	Coalesce    bool
	Probe       bool   // reports are polled before long prefills
	KVTransfer  bool   // engines import from and export to the pool's KV store
	Seed        uint64 // of this instance's random source
}

// UsesDefaultPolicy reports whether the pool uses the product's policy instead of a
// baseline.
func (s *Settings) UsesDefaultPolicy() bool { return s.Policy == "" || s.Policy == pick.NameFescuestep }

// DefaultMaxQueue bounds the engines' first-come queues, so that waiting
// requests keep their fair order here. Bounds below a cold prefill (0.8 s for
// 16,000 tokens) send requests away from the engine that holds their prefix.
const DefaultMaxQueue = 2 * time.Second

// Scheduler is the state machine of one pool. It does no I/O; time is an argument.
// It is not safe for concurrent use.
type Scheduler struct {
	settings       Settings
	store          *pick.Store
	policy         pick.Policy
	queue          *fair.Queue[*Waiter]
	rng            *rand.Rand
	leaders        map[block.Hash]*leader
	held           []*Waiter
	customers      *customerLoads
	scratchRequest pick.Request // scratch
	onExport       func(Transfer)
	onMove         func(*Grant) bool
	onProbe        func(upstreamIDs []string)
	awaitingProbes []*Waiter                   // waiting for answers of probes
	openGrants     map[*pick.Upstream][]*Grant // open ones
	rec            *recording                  // nil unless inputs are recorded
}

// Waiter is a request that waits for a slot. Decided is called once, with Grant
// or Err set.
type Waiter struct {
	Grant *Grant
	Err   *code.Error

	query         Query
	item          fair.Item[*Waiter]
	decided       func(*Waiter)
	state         waiterState
	leader        *leader
	releaseAt     time.Time // end of a hold
	wasHeld       bool      // was held once; a request is held for one leader only
	wasProbed     bool      // probes were made or not needed
	pendingProbes []string  // upstreams whose probe is not answered
}

type waiterState int

const (
	waiting waiterState = iota
	holding
	probing
	finished
)

// NewScheduler returns the state machine of a pool without upstreams.
func NewScheduler(now time.Time, set Settings) (*Scheduler, error) {
	c := &Scheduler{
		settings:   set,
		queue:      fair.New[*Waiter](set.Queue),
		rng:        rand.New(rand.NewPCG(set.Seed, 0x9e3779b97f4a7c15)),
		leaders:    map[block.Hash]*leader{},
		customers:  newCustomerLoads(),
		openGrants: map[*pick.Upstream][]*Grant{},
	}
	c.store = pick.NewStore(now, c.limits())
	c.store.TargetWeightsVersion = set.Pool.Weights
	c.configureKV()
	var err error
	c.policy, err = pick.NewPolicy(set.Policy, c.params())
	return c, err
}

func (c *Scheduler) limits() pick.Limits {
	l := pick.Limits{Slots: c.settings.Pool.MaxInFlight, Outlier: retry.DefaultOutlierConfig}
	if c.settings.Pool.Kind == config.Model {
		l.MaxQueueWait = c.settings.MaxQueue
	}
	return l
}

func (c *Scheduler) params() pick.Params {
	p := pick.Params{ScoreWeights: pick.ScoreWeightsFor(c.settings.Priority), OneWayDelay: c.settings.OneWayDelay}
	if c.usesKV() {
		p.ImportRate = c.settings.Pool.KVImportPerSec
	}
	return p
}

// Configure applies a changed configuration of the pool. The seed and the
// policy's name stay.
func (c *Scheduler) Configure(set Settings) {
	c.rec.addUntimed(Entry{Kind: EntryConfigure, Settings: &set})
	set.Seed, set.Policy = c.settings.Seed, c.settings.Policy
	c.settings = set
	c.store.Limits = c.limits()
	c.store.TargetWeightsVersion = set.Pool.Weights
	c.configureKV()
	if e, ok := c.policy.(*pick.LeastTTFT); ok {
		e.SetParams(c.params())
	}
	for _, u := range c.store.List() {
		u.PrefillPerSec = set.Pool.PrefillPerSec
	}
}

// SetInstances sets the number of router instances that share the upstreams.
func (c *Scheduler) SetInstances(n int) {
	c.rec.addUntimed(Entry{Kind: EntryInstances, Instances: n})
	c.store.Instances = max(1, n)
}

// Submit asks for a slot. decided is called at once or from a later call; the
// caller runs Tick by NextTick at the latest.
func (c *Scheduler) Submit(now time.Time, q *Query, decided func(*Waiter)) *Waiter {
	w := &Waiter{query: *q, decided: decided}
	c.rec.addSubmit(now, w)
	c.applyHolders(now, q.Holders)
	w.item = fair.Item[*Waiter]{
		Customer: q.Customer,
		Weight:   q.Weight,
		Priority: q.Priority,
		Cost:     c.queueCost(q, q.Tokens),
		Value:    w,
	}
	if err := c.admit(now, w); err != nil {
		c.reject(w, err)
		return w
	}
	if c.holdForLeader(now, w) {
		return w
	}
	c.enqueue(now, w)
	c.Dispatch(now)
	return w
}

// minRetryAfter is the wait suggested when no upstream takes work: about one
// interval of list and report polls.
const minRetryAfter = time.Second

func (c *Scheduler) admit(now time.Time, w *Waiter) *code.Error {
	r := c.pickRequest(&w.query)
	if !c.store.AnySelectable(now, r) {
		return code.New(code.NoUpstream, "no upstream of pool %s takes work", c.settings.Pool.Name).
			WithRetryAfter(minRetryAfter)
	}
	q := &w.query
	if q.Deadline.IsZero() {
		return nil
	}
	wait := c.queue.EstimateWait(now, q.Customer, q.Weight)
	if now.Add(wait).Before(q.Deadline) {
		return nil
	}
	late := now.Add(wait).Sub(q.Deadline)
	return code.New(code.DeadlineUnreachable, "the request would wait about %s for a slot", wait.Round(time.Millisecond)).
		WithRetryAfter(max(late, minRetryAfter))
}

// outputTokenCost is the work of an output token relative to a prefilled one. Output
// is batched, so that it delays others much less than its time suggests.
const outputTokenCost = 2

func (c *Scheduler) queueCost(q *Query, uncached int) float64 {
	return float64(uncached + outputTokenCost*q.MaxOutput + 1)
}

func (c *Scheduler) enqueue(now time.Time, w *Waiter) {
	w.state = waiting
	if err := c.queue.Push(&w.item); err != nil {
		c.reject(w, code.New(code.QueueFull, "%v", err).
			WithRetryAfter(max(c.queue.EstimateWait(now, w.query.Customer, w.query.Weight), minRetryAfter)))
	}
}

// maxScannedCustomers bounds the customers that one dispatch offers slots to.
const maxScannedCustomers = 8

// Dispatch hands out free slots in fair order.
func (c *Scheduler) Dispatch(now time.Time) {
	for c.queue.Len() > 0 {
		var refused *Waiter
		taken := c.queue.Scan(now, maxScannedCustomers, func(it *fair.Item[*Waiter]) (float64, bool) {
			w := it.Value
			choice, verdict := c.policy.Pick(now, c.pickRequest(&w.query), c.store, c.rng)
			switch verdict {
			case pick.Chosen:
				if c.probeCandidates(now, w, &choice) {
					return 0, true
				}
				c.grant(now, w, choice)
				return c.queueCost(&w.query, choice.UncachedTokens), true
			case pick.NoUpstream:
				refused = w
				return 0, true
			}
			return 0, false
		})
		if refused != nil {
			c.reject(refused, code.New(code.NoUpstream, "no upstream of pool %s takes work", c.settings.Pool.Name).
				WithRetryAfter(minRetryAfter))
		}
		if !taken {
			return
		}
	}
}

func (c *Scheduler) pickRequest(q *Query) *pick.Request {
	c.scratchRequest = pick.Request{
		Tokens:      q.Tokens,
		BlockTokens: c.settings.Pool.BlockTokens,
		Blocks:      q.Blocks,
		Domain:      q.FromDomain,
		Exclude:     q.Exclude,
		Sharded:     q.Sharded,
		Holders:     q.Holders,
	}
	if c.customers.overShare(q.Customer) {
		c.scratchRequest.MaxQueueWait = overShareMaxQueue
	}
	return &c.scratchRequest
}

func (c *Scheduler) grant(now time.Time, w *Waiter, choice pick.Choice) {
	u := choice.Upstream
	g := &Grant{waiter: w, query: &w.query, choice: choice, incarnation: u.Incarnation}
	g.flight = c.store.Start(now, u, choice.UncachedTokens)
	c.openGrants[u] = append(c.openGrants[u], g)
	c.customers.add(w.query.Customer, w.query.Weight)
	c.registerLeader(now, g)
	w.Grant = g
	w.state = finished
	c.rec.addOutcome(w)
	w.decided(w)
}

func (c *Scheduler) reject(w *Waiter, err *code.Error) {
	w.Err = err.WithRun(code.NotRun)
	w.state = finished
	c.rec.addOutcome(w)
	w.decided(w)
}

// Cancel withdraws a request that is still undecided. It reports whether it
// was; otherwise the caller owns the grant and calls Done.
func (c *Scheduler) Cancel(w *Waiter) bool {
	c.rec.addRequest(EntryCancel, w)
	switch w.state {
	case waiting:
		c.queue.Remove(&w.item)
	case holding:
		c.removeHeld(w)
	case probing:
		c.awaitingProbes = slices.DeleteFunc(c.awaitingProbes, func(o *Waiter) bool { return o == w })
	case finished:
		return false
	}
	w.state = finished
	return true
}

// Expire refuses a request whose deadline has passed while it waited.
func (c *Scheduler) Expire(w *Waiter) {
	c.rec.addRequest(EntryExpire, w)
	if c.Cancel(w) {
		c.reject(w, code.New(code.DeadlineUnreachable, "no slot became free before the deadline").
			WithRetryAfter(minRetryAfter))
	}
}

// FirstToken records that the prefill of a grant is finished.
func (c *Scheduler) FirstToken(now time.Time, g *Grant, cachedTokens int) {
	if g.firstTokenSeen || g.done {
		return
	}
	g.firstTokenSeen = true
	c.rec.addGrant(now, g, Entry{Kind: EntryFirstToken, Tokens: cachedTokens})
	u := g.flight.Upstream
	u.OnFirstToken(g.flight)
	u.Outlier.RecordSuccess()
	if !u.Removed && !g.query.Sharded {
		c.store.Index.Touch(c.store.IndexTime(now), u.IndexHandle, g.incarnation, g.query.Blocks)
	}
	c.exportComputedBlocks(now, g, cachedTokens)
	c.releaseFollowers(now, g)
	c.Dispatch(now)
}

// Done ends a grant. Calls after the first have no effect.
func (c *Scheduler) Done(now time.Time, g *Grant, r Result) {
	if g.done {
		return
	}
	g.done = true
	c.rec.addDone(now, g, r)
	u := g.flight.Upstream
	u.Finish(now, g.flight)
	c.customers.remove(g.query.Customer)
	c.removeGrant(u, g)
	cfg := &c.store.Limits.Outlier
	switch r {
	case OK:
		u.Outlier.RecordSuccess()
	case Unreachable:
		u.Outlier.RecordUnreachable(now, cfg, c.rng)
	case Failed:
		u.Outlier.RecordFailure(now, cfg, c.rng)
	}
	c.releaseFollowers(now, g)
	c.Dispatch(now)
}

// Waiting returns the number of requests in the fair queue and on hold.
func (c *Scheduler) Waiting() (queued, held int) { return c.queue.Len(), len(c.held) }

// maxTickInterval is the longest time between two ticks while requests wait: queue
// estimates fall with time even if no report arrives.
const maxTickInterval = 10 * time.Millisecond

// NextTick returns when Tick has to run at the latest, or false.
func (c *Scheduler) NextTick(now time.Time) (time.Time, bool) {
	if c.queue.Len() > 0 {
		return now.Add(maxTickInterval), true
	}
	var first time.Time
	for _, waits := range [][]*Waiter{c.held, c.awaitingProbes} {
		for _, w := range waits {
			if first.IsZero() || w.releaseAt.Before(first) {
				first = w.releaseAt
			}
		}
	}
	return first, !first.IsZero()
}

// Tick releases requests whose hold has ended and hands out slots.
func (c *Scheduler) Tick(now time.Time) {
	c.rec.add(now, Entry{Kind: EntryTick})
	c.expireHolds(now)
	c.requeueProbed(now, func(w *Waiter) bool { return !now.Before(w.releaseAt) })
	c.Dispatch(now)
}

// Customer returns the customer that the request belongs to.
func (w *Waiter) Customer() string { return w.query.Customer }

// removeGrant drops a grant that ended.
func (c *Scheduler) removeGrant(u *pick.Upstream, g *Grant) {
	rest := slices.DeleteFunc(c.openGrants[u], func(o *Grant) bool { return o == g })
	if len(rest) == 0 {
		delete(c.openGrants, u)
		return
	}
	c.openGrants[u] = rest
}

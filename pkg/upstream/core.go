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

// Product reports whether the pool uses the product's policy instead of a
// baseline.
func (s *Settings) Product() bool { return s.Policy == "" || s.Policy == pick.NameFescuestep }

// DefaultMaxQueue bounds the engines' first-come queues, so that waiting
// requests keep their fair order here. Bounds below a cold prefill (0.8 s for
// 16,000 tokens) send requests away from the engine that holds their prefix.
const DefaultMaxQueue = 2 * time.Second

// Core is the state machine of one pool. It does no I/O; time is an argument.
// It is not safe for concurrent use.
type Core struct {
	set     Settings
	store   *pick.Store
	policy  pick.Policy
	queue   *fair.Queue[*Wait]
	rng     *rand.Rand
	leaders map[block.Hash]*leader
	held    []*Wait
	shares  *accounts
	request pick.Request // scratch
	export  func(Transfer)
	move    func(*Grant) bool
	probe   func(upstreamIDs []string)
	probed  []*Wait                     // waiting for answers of probes
	grants  map[*pick.Upstream][]*Grant // open ones
	rec     *recording                  // nil unless inputs are recorded
}

// Wait is a request that waits for a slot. Decided is called once, with Grant
// or Err set.
type Wait struct {
	Grant *Grant
	Err   *code.Error

	query   Query
	item    fair.Item[*Wait]
	decided func(*Wait)
	state   waitState
	leader  *leader
	until   time.Time // end of a hold
	held    bool      // was held once; a request is held for one leader only
	probed  bool      // probes were made or not needed
	awaited []string  // upstreams whose probe is not answered
}

type waitState int

const (
	waiting waitState = iota
	holding
	probing
	finished
)

// NewCore returns the state machine of a pool without upstreams.
func NewCore(now time.Time, set Settings) (*Core, error) {
	c := &Core{
		set:     set,
		queue:   fair.New[*Wait](set.Queue),
		rng:     rand.New(rand.NewPCG(set.Seed, 0x9e3779b97f4a7c15)),
		leaders: map[block.Hash]*leader{},
		shares:  newAccounts(),
		grants:  map[*pick.Upstream][]*Grant{},
	}
	c.store = pick.NewStore(now, c.limits())
	c.store.TargetWeightsVersion = set.Pool.Weights
	c.configureKV()
	var err error
	c.policy, err = pick.NewPolicy(set.Policy, c.params())
	return c, err
}

func (c *Core) limits() pick.Limits {
	l := pick.Limits{Slots: c.set.Pool.MaxInFlight, Outlier: retry.DefaultOutlierConfig}
	if c.set.Pool.Kind == config.Model {
		l.MaxQueueWait = c.set.MaxQueue
	}
	return l
}

func (c *Core) params() pick.Params {
	p := pick.Params{ScoreWeights: pick.ScoreWeightsFor(c.set.Priority), OneWayDelay: c.set.OneWayDelay}
	if c.usesKV() {
		p.ImportRate = c.set.Pool.KVImportPerSec
	}
	return p
}

// Configure applies a changed configuration of the pool. The seed and the
// policy's name stay.
func (c *Core) Configure(set Settings) {
	c.rec.addUntimed(Entry{Kind: EntryConfigure, Settings: &set})
	set.Seed, set.Policy = c.set.Seed, c.set.Policy
	c.set = set
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
func (c *Core) SetInstances(n int) {
	c.rec.addUntimed(Entry{Kind: EntryInstances, Instances: n})
	c.store.Instances = max(1, n)
}

// Submit asks for a slot. decided is called at once or from a later call; the
// caller runs Tick by NextTick at the latest.
func (c *Core) Submit(now time.Time, q *Query, decided func(*Wait)) *Wait {
	w := &Wait{query: *q, decided: decided}
	c.rec.submit(now, w)
	c.onHolders(now, q.Holders)
	w.item = fair.Item[*Wait]{
		Customer: q.Customer,
		Weight:   q.Weight,
		Priority: q.Priority,
		Cost:     c.cost(q, q.Tokens),
		Value:    w,
	}
	if err := c.admit(now, w); err != nil {
		c.refuse(w, err)
		return w
	}
	if c.hold(now, w) {
		return w
	}
	c.enqueue(now, w)
	c.Dispatch(now)
	return w
}

// retryNoUpstream is the wait suggested when no upstream takes work: about one
// interval of list and report polls.
const retryNoUpstream = time.Second

func (c *Core) admit(now time.Time, w *Wait) *code.Error {
	r := c.pickRequest(&w.query)
	if !c.store.AnySelectable(now, r) {
		return code.New(code.NoUpstream, "no upstream of pool %s takes work", c.set.Pool.Name).
			WithRetryAfter(retryNoUpstream)
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
		WithRetryAfter(max(late, retryNoUpstream))
}

// outputCost is the work of an output token relative to a prefilled one. Output
// is batched, so that it delays others much less than its time suggests.
const outputCost = 2

func (c *Core) cost(q *Query, uncached int) float64 {
	return float64(uncached + outputCost*q.MaxOutput + 1)
}

func (c *Core) enqueue(now time.Time, w *Wait) {
	w.state = waiting
	if err := c.queue.Push(&w.item); err != nil {
		c.refuse(w, code.New(code.QueueFull, "%v", err).
			WithRetryAfter(max(c.queue.EstimateWait(now, w.query.Customer, w.query.Weight), retryNoUpstream)))
	}
}

// scanLimit bounds the customers that one dispatch offers slots to.
const scanLimit = 8

// Dispatch hands out free slots in fair order.
func (c *Core) Dispatch(now time.Time) {
	for c.queue.Len() > 0 {
		var refused *Wait
		taken := c.queue.Scan(now, scanLimit, func(it *fair.Item[*Wait]) (float64, bool) {
			w := it.Value
			choice, verdict := c.policy.Pick(now, c.pickRequest(&w.query), c.store, c.rng)
			switch verdict {
			case pick.Chosen:
				if c.wantsProbe(now, w, &choice) {
					return 0, true
				}
				c.grant(now, w, choice)
				return c.cost(&w.query, choice.UncachedTokens), true
			case pick.NoUpstream:
				refused = w
				return 0, true
			}
			return 0, false
		})
		if refused != nil {
			c.refuse(refused, code.New(code.NoUpstream, "no upstream of pool %s takes work", c.set.Pool.Name).
				WithRetryAfter(retryNoUpstream))
		}
		if !taken {
			return
		}
	}
}

func (c *Core) pickRequest(q *Query) *pick.Request {
	c.request = pick.Request{
		Tokens:      q.Tokens,
		BlockTokens: c.set.Pool.BlockTokens,
		Blocks:      q.Blocks,
		Domain:      q.FromDomain,
		Exclude:     q.Exclude,
		Sharded:     q.Sharded,
		Holders:     q.Holders,
	}
	if c.shares.over(q.Customer) {
		c.request.MaxQueueWait = overQueue
	}
	return &c.request
}

func (c *Core) grant(now time.Time, w *Wait, choice pick.Choice) {
	u := choice.Upstream
	g := &Grant{wait: w, query: &w.query, choice: choice, incarnation: u.Incarnation}
	g.flight = c.store.Start(now, u, choice.UncachedTokens)
	c.grants[u] = append(c.grants[u], g)
	c.shares.start(w.query.Customer, w.query.Weight)
	c.lead(now, g)
	w.Grant = g
	w.state = finished
	c.rec.outcome(w)
	w.decided(w)
}

func (c *Core) refuse(w *Wait, err *code.Error) {
	w.Err = err.WithRun(code.NotRun)
	w.state = finished
	c.rec.outcome(w)
	w.decided(w)
}

// Cancel withdraws a request that is still undecided. It reports whether it
// was; otherwise the caller owns the grant and calls Done.
func (c *Core) Cancel(w *Wait) bool {
	c.rec.request(EntryCancel, w)
	switch w.state {
	case waiting:
		c.queue.Remove(&w.item)
	case holding:
		c.unhold(w)
	case probing:
		c.probed = slices.DeleteFunc(c.probed, func(o *Wait) bool { return o == w })
	case finished:
		return false
	}
	w.state = finished
	return true
}

// Expire refuses a request whose deadline has passed while it waited.
func (c *Core) Expire(w *Wait) {
	c.rec.request(EntryExpire, w)
	if c.Cancel(w) {
		c.refuse(w, code.New(code.DeadlineUnreachable, "no slot became free before the deadline").
			WithRetryAfter(retryNoUpstream))
	}
}

// FirstToken records that the prefill of a grant is finished.
func (c *Core) FirstToken(now time.Time, g *Grant, cachedTokens int) {
	if g.first || g.done {
		return
	}
	g.first = true
	c.rec.grant(now, g, Entry{Kind: EntryFirstToken, Tokens: cachedTokens})
	u := g.flight.Upstream
	u.OnFirstToken(g.flight)
	u.Outlier.RecordSuccess()
	if !u.Removed && !g.query.Sharded {
		c.store.Index.Touch(c.store.IndexTime(now), u.IndexHandle, g.incarnation, g.query.Blocks)
	}
	c.exportComputed(now, g, cachedTokens)
	c.release(now, g)
	c.Dispatch(now)
}

// Done ends a grant. Calls after the first have no effect.
func (c *Core) Done(now time.Time, g *Grant, r Result) {
	if g.done {
		return
	}
	g.done = true
	c.rec.end(now, g, r)
	u := g.flight.Upstream
	u.Finish(now, g.flight)
	c.shares.end(g.query.Customer)
	c.forget(u, g)
	cfg := &c.store.Limits.Outlier
	switch r {
	case OK:
		u.Outlier.RecordSuccess()
	case Unreachable:
		u.Outlier.RecordUnreachable(now, cfg, c.rng)
	case Failed:
		u.Outlier.RecordFailure(now, cfg, c.rng)
	}
	c.release(now, g)
	c.Dispatch(now)
}

// Waiting returns the number of requests in the fair queue and on hold.
func (c *Core) Waiting() (queued, held int) { return c.queue.Len(), len(c.held) }

// idleTick is the longest time between two ticks while requests wait: queue
// estimates fall with time even if no report arrives.
const idleTick = 10 * time.Millisecond

// NextTick returns when Tick has to run at the latest, or false.
func (c *Core) NextTick(now time.Time) (time.Time, bool) {
	if c.queue.Len() > 0 {
		return now.Add(idleTick), true
	}
	var first time.Time
	for _, waits := range [][]*Wait{c.held, c.probed} {
		for _, w := range waits {
			if first.IsZero() || w.until.Before(first) {
				first = w.until
			}
		}
	}
	return first, !first.IsZero()
}

// Tick releases requests whose hold has ended and hands out slots.
func (c *Core) Tick(now time.Time) {
	c.rec.add(now, Entry{Kind: EntryTick})
	c.endHolds(now)
	c.endProbes(now, func(w *Wait) bool { return !now.Before(w.until) })
	c.Dispatch(now)
}

// Customer returns the customer that the request belongs to.
func (w *Wait) Customer() string { return w.query.Customer }

// forget drops a grant that ended.
func (c *Core) forget(u *pick.Upstream, g *Grant) {
	rest := slices.DeleteFunc(c.grants[u], func(o *Grant) bool { return o == g })
	if len(rest) == 0 {
		delete(c.grants, u)
		return
	}
	c.grants[u] = rest
}

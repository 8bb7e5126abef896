// Package rollout decides which engines load which version of weights. It does
// no I/O and is not safe for concurrent use; times are arguments.
//
// Every order names the count of orders that the engine must have accepted
// before, so that an order that is carried out late, after a newer one, fails.
// An order without answer is read back before it is given again.
package rollout

import (
	"sort"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuestep/fescuestep/pkg/fleet"
)

// Engine is an engine as far as a rollout is concerned.
type Engine struct {
	ID    string
	Addr  string // IP:port
	Model string
	Has   int           // version of the weights
	Wants int           // version named by the operator
	Load  int           // running requests; engines with few are loaded first
	Waits time.Duration // until the requests that wait there are expected to have begun; an order would have them refused
}

// Report is an engine's own account of its state.
type Report struct {
	Orders  int            // accepted since its start
	Loading bool           // an order is in progress
	Weights map[string]int // version by model
}

// Answers to orders.
var (
	// ErrStale means that the engine has seen a higher fencing token.
	ErrStale = errors.New("engine has seen a higher fencing token")
	// ErrConflict means that the count of orders differs or one is in progress.
	ErrConflict = errors.New("order conflicts with the state of the engine")
	// ErrRejected means that the engine does not take the order as it is.
	ErrRejected = errors.New("engine rejects the order")
)

// Step is a call to make: an order, or a read of the report if Order is false.
type Step struct {
	Engine  Engine
	Order   bool
	Version int // to load
	Orders  int // count that the engine must have accepted before
}

const (
	// pollEvery is between reads of an engine that loads.
	pollEvery = 50 * time.Millisecond
	// firstPoll is the least time of a load.
	firstPoll = 200 * time.Millisecond
	// lateAfter is how long an order without answer and effect is waited for.
	lateAfter = 500 * time.Millisecond
	// clearSpan is how long an engine that gets no new work is given until the
	// requests that wait there have begun.
	clearSpan = 500 * time.Millisecond
	// clearLeast covers requests that were sent before the others knew.
	clearLeast = 40 * time.Millisecond
	// clearEnough is the expected wait at which an engine counts as clear.
	clearEnough = 10 * time.Millisecond
	// retryAfter is between attempts at an engine that fails or rejects.
	retryAfter = 700 * time.Millisecond
	// loadTimeout ends the wait for an accepted order.
	loadTimeout = 5 * time.Second
)

type engine struct {
	Engine
	busy      bool      // a call is under way
	hasAt     time.Time // when Has was last read or listed
	known     bool      // orders is known
	orders    int
	reserved  time.Time // when work was first kept away for the next order; zero: not
	ordered   int       // version of the order whose effect is awaited, 0: none
	orderedAt time.Time // when it was given
	loadsThen float64   // loadTime of the plan at that time
	accepted  bool      // the engine answered that it carries the order out
	readAt    time.Time // when the next read is due
	retryAt   time.Time
}

// Plan is a leader's plan. It starts empty at every takeover.
type Plan struct {
	engines map[string]*engine
	loads   *Loads
	last    time.Time // of the last order

	loadTime  float64   // seconds for which engines were ordered, summed over all
	countedAt time.Time // until when
}

// NewPlan returns an empty plan that bounds loads by what was learned.
func NewPlan(loads *Loads) *Plan { return &Plan{engines: map[string]*engine{}, loads: loads} }

// SetEngines replaces the engines that need weights or may be loading.
func (p *Plan) SetEngines(now time.Time, list []Engine) {
	next := make(map[string]*engine, len(list))
	for _, e := range list {
		known := p.engines[e.ID]
		if known == nil || known.Addr != e.Addr {
			known = &engine{}
		}
		has := known.Has
		known.Engine = e
		known.keep(now, has)
		if known.ordered > 0 && known.Has >= known.ordered {
			p.loaded(now, known) // the listing was sooner than the next read
			known.ordered = 0
		}
		next[e.ID] = known
	}
	p.engines = next
}

// keep judges a listing by the version that was known before: it may be older
// than the last read. If it stays behind, a late order has brought older weights
// back after a restart, and the engine is read again.
func (e *engine) keep(now time.Time, has int) {
	switch {
	case e.Has >= has:
		e.hasAt = now
	case now.Sub(e.hasAt) < fleet.ListingLag:
		e.Has = has
	default:
		e.known = false
	}
}

// Next returns the calls to make now; each must be answered with Reported or
// Ordered. mayOrder says whether the leader's lease covers orders.
func (p *Plan) Next(now time.Time, mayOrder bool) []Step {
	p.countLoads(now)
	var steps []Step
	free := p.loads.Limit(len(p.engines)) - len(p.Loading())
	for _, e := range p.sorted() {
		step, ok := p.step(now, e, mayOrder)
		if !ok {
			continue
		}
		steps = append(steps, step)
	}
	for _, e := range p.sorted() {
		if free <= 0 || !mayOrder {
			break
		}
		if p.reservable(now, e) {
			e.reserved = now
			free--
		}
	}
	return steps
}

// reservable reports whether an engine may be kept free of new work for its
// order.
func (p *Plan) reservable(now time.Time, e *engine) bool {
	return e.known && !e.busy && e.ordered == 0 && e.reserved.IsZero() && e.Has < e.Wants && !now.Before(e.retryAt)
}

// clear reports whether the requests that wait at a reserved engine have begun
// or had the time to.
func (e *engine) clear(now time.Time) bool {
	waited := now.Sub(e.reserved)
	return !e.reserved.IsZero() && waited >= clearLeast && (e.Waits <= clearEnough || waited >= clearSpan)
}

// sorted lists engines with the oldest weights and the least work first.
func (p *Plan) sorted() []*engine {
	out := make([]*engine, 0, len(p.engines))
	for _, e := range p.engines {
		out = append(out, e)
	}
	sort.Slice(out, func(i, j int) bool {
		a, b := out[i], out[j]
		if a.Has != b.Has {
			return a.Has < b.Has
		}
		if a.Load != b.Load {
			return a.Load < b.Load
		}
		return a.ID < b.ID
	})
	return out
}

func (p *Plan) step(now time.Time, e *engine, mayOrder bool) (Step, bool) {
	switch {
	case e.busy || now.Before(e.retryAt):
		return Step{}, false
	case e.ordered > 0:
		if now.Before(e.readAt) {
			return Step{}, false
		}
		e.busy = true
		return Step{Engine: e.Engine}, true
	case e.Has >= e.Wants || !mayOrder:
		e.reserved = time.Time{}
		return Step{}, false
	case !e.known:
		e.busy = true
		return Step{Engine: e.Engine}, true
	case !e.clear(now):
		return Step{}, false
	}
	e.busy = true
	e.reserved = time.Time{}
	e.ordered, e.orderedAt, e.accepted, e.loadsThen = e.Wants, now, false, p.loadTime
	e.readAt = now.Add(firstPoll)
	p.last = now
	return Step{Engine: e.Engine, Order: true, Version: e.Wants, Orders: e.orders}, true
}

// countLoads adds the time since the last call for every engine that is ordered.
func (p *Plan) countLoads(now time.Time) {
	since := now.Sub(p.countedAt).Seconds()
	p.countedAt = now
	for _, e := range p.engines {
		if e.ordered > 0 {
			p.loadTime += since
		}
	}
}

// loaded tells how long an accepted order took and how many were under way.
func (p *Plan) loaded(now time.Time, e *engine) {
	took := now.Sub(e.orderedAt)
	if !e.accepted || took <= 0 {
		return
	}
	p.countLoads(now)
	p.loads.Loaded(took, (p.loadTime-e.loadsThen)/took.Seconds())
}

// Reported takes the result of a read.
func (p *Plan) Reported(now time.Time, id string, r Report, err error) {
	e := p.engines[id]
	if e == nil {
		return
	}
	e.busy = false
	if err != nil {
		// It may have crashed: an order is no longer awaited, so that others
		// can load, and the state is read again before the next one.
		e.ordered, e.known, e.reserved = 0, false, time.Time{}
		e.retryAt = now.Add(retryAfter)
		return
	}
	e.Has, e.hasAt = max(e.Has, r.Weights[e.Model]), now
	moved := e.known && r.Orders != e.orders
	e.known, e.orders = true, r.Orders
	if e.ordered == 0 {
		if r.Loading {
			e.retryAt = now.Add(pollEvery)
		}
		return
	}
	waited := now.Sub(e.orderedAt)
	switch {
	case e.Has >= e.ordered:
		p.loaded(now, e)
		e.ordered = 0
	case r.Loading || (e.accepted && waited < loadTimeout) || (moved && waited < loadTimeout):
		e.readAt = now.Add(pollEvery)
	case waited < lateAfter:
		e.readAt = now.Add(pollEvery)
	default:
		e.ordered = 0 // no effect yet; the next order replaces it
	}
}

// Ordered takes the result of an order. It returns false when the engine has
// seen a higher fencing token.
func (p *Plan) Ordered(now time.Time, id string, err error) (stillLeader bool) {
	e := p.engines[id]
	if e == nil {
		return !errors.Is(err, ErrStale)
	}
	e.busy = false
	switch {
	case err == nil:
		e.accepted = true
	case errors.Is(err, ErrStale):
		e.ordered = 0
		e.retryAt = now.Add(retryAfter)
		return false
	case errors.Is(err, ErrConflict):
		e.ordered = 0
		e.known = false
		e.retryAt = now.Add(pollEvery)
	case errors.Is(err, ErrRejected):
		e.ordered = 0
		e.retryAt = now.Add(retryAfter)
	default:
		e.readAt = now // the outcome is unknown
	}
	return true
}

// Loading returns the engines that load, were ordered to or soon will be. They
// get no new work.
func (p *Plan) Loading() []string {
	var out []string
	for id, e := range p.engines {
		if e.ordered > 0 || !e.reserved.IsZero() {
			out = append(out, id)
		}
	}
	sort.Strings(out)
	return out
}

// Has returns the version that an engine is known to have, 0 if unknown.
func (p *Plan) Has(id string) int {
	if e := p.engines[id]; e != nil {
		return e.Has
	}
	return 0
}

// Done reports whether no engine needs an order or is awaited.
func (p *Plan) Done() bool {
	for _, e := range p.engines {
		if e.Has < e.Wants || e.ordered > 0 || e.busy {
			return false
		}
	}
	return true
}

// LastOrder returns when the last order was given.
func (p *Plan) LastOrder() time.Time { return p.last }

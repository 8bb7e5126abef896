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
	ID              string
	Addr            string // IP:port
	Model           string
	CurrentVersion  int           // version of the weights
	TargetVersion   int           // version named by the operator
	RunningRequests int           // running requests; engines with few are loaded first
	QueueDelay      time.Duration // until the requests that wait there are expected to have begun; an order would have them refused
}

// Report is an engine's own account of its state.
type Report struct {
	Sequence int            // accepted since its start
	Loading  bool           // an order is in progress
	Weights  map[string]int // version by model
}

// Answers to orders.
var (
	// ErrStaleToken means that the engine has seen a higher fencing token.
	ErrStaleToken = errors.New("engine has seen a higher fencing token")
	// ErrConflict means that the count of orders differs or one is in progress.
	ErrConflict = errors.New("order conflicts with the state of the engine")
	// ErrRejected means that the engine does not take the order as it is.
	ErrRejected = errors.New("engine rejects the order")
)

// Step is a call to make: an order, or a read of the report if Order is false.
type Step struct {
	Engine   Engine
	Load     bool
	Version  int // to load
	Sequence int // count that the engine must have accepted before
}

const (
	// pollInterval is between reads of an engine that loads.
	pollInterval = 50 * time.Millisecond
	// firstPollDelay is the least time of a load.
	firstPollDelay = 200 * time.Millisecond
	// unconfirmedTimeout is how long an order without answer and effect is waited for.
	unconfirmedTimeout = 500 * time.Millisecond
	// drainTimeout is how long an engine that gets no new work is given until the
	// requests that wait there have begun.
	drainTimeout = 500 * time.Millisecond
	// minDrainTime covers requests that were sent before the others knew.
	minDrainTime = 40 * time.Millisecond
	// drainedQueueDelay is the expected wait at which an engine counts as clear.
	drainedQueueDelay = 10 * time.Millisecond
	// retryDelay is between attempts at an engine that fails or rejects.
	retryDelay = 700 * time.Millisecond
	// loadTimeout ends the wait for an accepted order.
	loadTimeout = 5 * time.Second
)

type engine struct {
	Engine
	inFlight          bool      // a call is under way
	versionAt         time.Time // when Has was last read or listed
	sequenceKnown     bool      // orders is known
	sequence          int
	drainingSince     time.Time // when work was first kept away for the next order; zero: not
	pendingVersion    int       // version of the order whose effect is awaited, 0: none
	commandedAt       time.Time // when it was given
	loadSecondsBefore float64   // loadTime of the plan at that time
	accepted          bool      // the engine answered that it carries the order out
	nextReadAt        time.Time // when the next read is due
	retryAt           time.Time
}

// Plan is a leader's plan. It starts empty at every takeover.
type Plan struct {
	engines         map[string]*engine
	limiter         *LoadLimiter
	lastLoadCommand time.Time // of the last order

	loadSeconds float64   // seconds for which engines were ordered, summed over all
	countedAt   time.Time // until when
}

// NewPlan returns an empty plan that bounds loads by what was learned.
func NewPlan(loads *LoadLimiter) *Plan { return &Plan{engines: map[string]*engine{}, limiter: loads} }

// SetEngines replaces the engines that need weights or may be loading.
func (p *Plan) SetEngines(now time.Time, list []Engine) {
	next := make(map[string]*engine, len(list))
	for _, e := range list {
		known := p.engines[e.ID]
		if known == nil || known.Addr != e.Addr {
			known = &engine{}
		}
		has := known.CurrentVersion
		known.Engine = e
		known.reconcileListing(now, has)
		if known.pendingVersion > 0 && known.CurrentVersion >= known.pendingVersion {
			p.recordLoad(now, known) // the listing was sooner than the next read
			known.pendingVersion = 0
		}
		next[e.ID] = known
	}
	p.engines = next
}

// reconcileListing judges a listing by the version that was known before: it may be older
// than the last read. If it stays behind, a late order has brought older weights
// back after a restart, and the engine is read again.
func (e *engine) reconcileListing(now time.Time, has int) {
	switch {
	case e.CurrentVersion >= has:
		e.versionAt = now
	case now.Sub(e.versionAt) < fleet.MaxListingLag:
		e.CurrentVersion = has
	default:
		e.sequenceKnown = false
	}
}

// Next returns the calls to make now; each must be answered with Reported or
// Ordered. mayOrder says whether the leader's lease covers orders.
func (p *Plan) Next(now time.Time, mayOrder bool) []Step {
	p.accumulateLoadSeconds(now)
	var steps []Step
	free := p.limiter.Limit(len(p.engines)) - len(p.Loading())
	for _, e := range p.sorted() {
		step, ok := p.nextStep(now, e, mayOrder)
		if !ok {
			continue
		}
		steps = append(steps, step)
	}
	for _, e := range p.sorted() {
		if free <= 0 || !mayOrder {
			break
		}
		if p.canDrain(now, e) {
			e.drainingSince = now
			free--
		}
	}
	return steps
}

// canDrain reports whether an engine may be kept free of new work for its
// order.
func (p *Plan) canDrain(now time.Time, e *engine) bool {
	return e.sequenceKnown && !e.inFlight && e.pendingVersion == 0 && e.drainingSince.IsZero() && e.CurrentVersion < e.TargetVersion && !now.Before(e.retryAt)
}

// drained reports whether the requests that wait at a reserved engine have begun
// or had the time to.
func (e *engine) drained(now time.Time) bool {
	waited := now.Sub(e.drainingSince)
	return !e.drainingSince.IsZero() && waited >= minDrainTime && (e.QueueDelay <= drainedQueueDelay || waited >= drainTimeout)
}

// sorted lists engines with the oldest weights and the least work first.
func (p *Plan) sorted() []*engine {
	out := make([]*engine, 0, len(p.engines))
	for _, e := range p.engines {
		out = append(out, e)
	}
	sort.Slice(out, func(i, j int) bool {
		a, b := out[i], out[j]
		if a.CurrentVersion != b.CurrentVersion {
			return a.CurrentVersion < b.CurrentVersion
		}
		if a.RunningRequests != b.RunningRequests {
			return a.RunningRequests < b.RunningRequests
		}
		return a.ID < b.ID
	})
	return out
}

func (p *Plan) nextStep(now time.Time, e *engine, mayOrder bool) (Step, bool) {
	switch {
	case e.inFlight || now.Before(e.retryAt):
		return Step{}, false
	case e.pendingVersion > 0:
		if now.Before(e.nextReadAt) {
			return Step{}, false
		}
		e.inFlight = true
		return Step{Engine: e.Engine}, true
	case e.CurrentVersion >= e.TargetVersion || !mayOrder:
		e.drainingSince = time.Time{}
		return Step{}, false
	case !e.sequenceKnown:
		e.inFlight = true
		return Step{Engine: e.Engine}, true
	case !e.drained(now):
		return Step{}, false
	}
	e.inFlight = true
	e.drainingSince = time.Time{}
	e.pendingVersion, e.commandedAt, e.accepted, e.loadSecondsBefore = e.TargetVersion, now, false, p.loadSeconds
	e.nextReadAt = now.Add(firstPollDelay)
	p.lastLoadCommand = now
	return Step{Engine: e.Engine, Load: true, Version: e.TargetVersion, Sequence: e.sequence}, true
}

// accumulateLoadSeconds adds the time since the last call for every engine that is ordered.
func (p *Plan) accumulateLoadSeconds(now time.Time) {
	since := now.Sub(p.countedAt).Seconds()
	p.countedAt = now
	for _, e := range p.engines {
		if e.pendingVersion > 0 {
			p.loadSeconds += since
		}
	}
}

// recordLoad tells how long an accepted order took and how many were under way.
func (p *Plan) recordLoad(now time.Time, e *engine) {
	took := now.Sub(e.commandedAt)
	if !e.accepted || took <= 0 {
		return
	}
	p.accumulateLoadSeconds(now)
	p.limiter.RecordLoad(took, (p.loadSeconds-e.loadSecondsBefore)/took.Seconds())
}

// HandleReport takes the result of a read.
func (p *Plan) HandleReport(now time.Time, id string, r Report, err error) {
	e := p.engines[id]
	if e == nil {
		return
	}
	e.inFlight = false
	if err != nil {
		// It may have crashed: an order is no longer awaited, so that others
		// can load, and the state is read again before the next one.
		e.pendingVersion, e.sequenceKnown, e.drainingSince = 0, false, time.Time{}
		e.retryAt = now.Add(retryDelay)
		return
	}
	e.CurrentVersion, e.versionAt = max(e.CurrentVersion, r.Weights[e.Model]), now
	moved := e.sequenceKnown && r.Sequence != e.sequence
	e.sequenceKnown, e.sequence = true, r.Sequence
	if e.pendingVersion == 0 {
		if r.Loading {
			e.retryAt = now.Add(pollInterval)
		}
		return
	}
	waited := now.Sub(e.commandedAt)
	switch {
	case e.CurrentVersion >= e.pendingVersion:
		p.recordLoad(now, e)
		e.pendingVersion = 0
	case r.Loading || (e.accepted && waited < loadTimeout) || (moved && waited < loadTimeout):
		e.nextReadAt = now.Add(pollInterval)
	case waited < unconfirmedTimeout:
		e.nextReadAt = now.Add(pollInterval)
	default:
		e.pendingVersion = 0 // no effect yet; the next order replaces it
	}
}

// HandleLoadResult takes the result of an order. It returns false when the engine has
// seen a higher fencing token.
func (p *Plan) HandleLoadResult(now time.Time, id string, err error) (stillLeader bool) {
	e := p.engines[id]
	if e == nil {
		return !errors.Is(err, ErrStaleToken)
	}
	e.inFlight = false
	switch {
	case err == nil:
		e.accepted = true
	case errors.Is(err, ErrStaleToken):
		e.pendingVersion = 0
		e.retryAt = now.Add(retryDelay)
		return false
	case errors.Is(err, ErrConflict):
		e.pendingVersion = 0
		e.sequenceKnown = false
		e.retryAt = now.Add(pollInterval)
	case errors.Is(err, ErrRejected):
		e.pendingVersion = 0
		e.retryAt = now.Add(retryDelay)
	default:
		e.nextReadAt = now // the outcome is unknown
	}
	return true
}

// Loading returns the engines that load, were ordered to or soon will be. They
// get no new work.
func (p *Plan) Loading() []string {
	var out []string
	for id, e := range p.engines {
		if e.pendingVersion > 0 || !e.drainingSince.IsZero() {
			out = append(out, id)
		}
	}
	sort.Strings(out)
	return out
}

// CurrentVersion returns the version that an engine is known to have, 0 if unknown.
func (p *Plan) CurrentVersion(id string) int {
	if e := p.engines[id]; e != nil {
		return e.CurrentVersion
	}
	return 0
}

// Done reports whether no engine needs an order or is awaited.
func (p *Plan) Done() bool {
	for _, e := range p.engines {
		if e.CurrentVersion < e.TargetVersion || e.pendingVersion > 0 || e.inFlight {
			return false
		}
	}
	return true
}

// LastLoadCommand returns when the last order was given.
func (p *Plan) LastLoadCommand() time.Time { return p.lastLoadCommand }

// Package rollout decides which engines load which version of weights. It does
// no I/O and is not safe for concurrent use; times are arguments.
//
// Every load command carries the number of commands that the engine must have
// accepted before it, so that a delayed command that arrives after a newer one
// fails. If a command gets no response, the engine's report is read before the
// command is repeated.
package rollout

import (
	"sort"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuestep/fescuestep/pkg/fleet"
)

// Engine describes an engine that takes part in a rollout.
type Engine struct {
	ID              string
	Addr            string // IP:port
	Model           string
	CurrentVersion  int           // version of the loaded weights
	TargetVersion   int           // version requested by the operator
	RunningRequests int           // engines with few running requests are loaded first
	QueueDelay      time.Duration // expected time until all queued requests have started; a load command makes the engine refuse them
}

// Report is the state that an engine reports of itself.
type Report struct {
	Sequence int            // number of load commands accepted since its start
	Loading  bool           // a load is in progress
	Weights  map[string]int // version of the loaded weights by model
}

// Errors that an engine returns for a load command.
var (
	// ErrStaleToken means that the engine has seen a higher fencing token.
	ErrStaleToken = errors.New("engine has seen a higher fencing token")
	// ErrConflict means that the engine has accepted a different number of
	// commands than the command expects, or that a load is in progress.
	ErrConflict = errors.New("load command conflicts with the state of the engine")
	// ErrRejected means that the engine refused the command for another reason.
	ErrRejected = errors.New("engine rejected the load command")
)

// Step is a call to make to an engine: a load command, or a read of the engine's
// report if Load is false.
type Step struct {
	Engine   Engine
	Load     bool
	Version  int // version to load
	Sequence int // number of commands that the engine must have accepted before
}

const (
	// pollInterval is the time between two reads of the report of a loading engine.
	pollInterval = 50 * time.Millisecond
	// firstPollDelay is the time from a load command to the first read. It is the
	// minimum duration of a load.
	firstPollDelay = 200 * time.Millisecond
	// unconfirmedTimeout is how long the plan waits for the effect of a load
	// command that got no response.
	unconfirmedTimeout = 500 * time.Millisecond
	// drainTimeout is how long a draining engine may take to start its queued
	// requests before it gets the load command anyway.
	drainTimeout = 500 * time.Millisecond
	// minDrainTime covers requests that other instances send before they know
	// that the engine is draining.
	minDrainTime = 40 * time.Millisecond
	// drainedQueueDelay is the QueueDelay up to which an engine counts as drained.
	drainedQueueDelay = 10 * time.Millisecond
	// retryDelay is the time until the next call to an engine that failed or
	// rejected a command.
	retryDelay = 700 * time.Millisecond
	// loadTimeout is how long the plan waits for the effect of an accepted command.
	loadTimeout = 5 * time.Second
)

// engine is an engine with the state of its rollout.
type engine struct {
	Engine
	inFlight          bool      // a call is in flight
	versionAt         time.Time // when CurrentVersion was last read or confirmed by the listing
	sequenceKnown     bool      // sequence is current, so that a load command can be sent
	sequence          int       // number of commands accepted, from the last report
	drainingSince     time.Time // when draining for the next load command began; zero if not draining
	pendingVersion    int       // version of the command whose effect is awaited; 0 if none
	commandedAt       time.Time // when that command was issued
	loadSecondsBefore float64   // loadSeconds of the plan at that time
	accepted          bool      // the engine has accepted that command
	nextReadAt        time.Time // when the next read of the report is due
	retryAt           time.Time // no calls are made before this time
}

// Plan is the state of a rollout at its leader. A new leader starts with an empty
// plan.
type Plan struct {
	engines         map[string]*engine // by ID
	limiter         *LoadLimiter
	lastLoadCommand time.Time

	loadSeconds float64   // time that engines spent with a pending load, summed over the engines
	countedAt   time.Time // time up to which loadSeconds is counted
}

// NewPlan returns an empty plan whose concurrent loads are bounded by l.
func NewPlan(l *LoadLimiter) *Plan { return &Plan{engines: map[string]*engine{}, limiter: l} }

// SetEngines replaces the engines that need weights or may be loading. The state
// of engines that keep their ID and address is kept.
func (p *Plan) SetEngines(now time.Time, list []Engine) {
	next := make(map[string]*engine, len(list))
	for _, listed := range list {
		e := p.engines[listed.ID]
		if e == nil || e.Addr != listed.Addr {
			e = &engine{}
		}
		lastVersion := e.CurrentVersion
		e.Engine = listed
		e.reconcileListing(now, lastVersion)
		if e.pendingVersion > 0 && e.CurrentVersion >= e.pendingVersion {
			p.recordLoad(now, e) // the listing was updated before the next read
			e.pendingVersion = 0
		}
		next[listed.ID] = e
	}
	p.engines = next
}

// reconcileListing compares the listed version with the last known version. A lower
// listed version is ignored for fleet.MaxListingLag, since the listing may be older
// than the last read. If it is still lower after that, a delayed command has loaded
// older weights after a restart of the engine, and its report is read again.
func (e *engine) reconcileListing(now time.Time, lastVersion int) {
	switch {
	case e.CurrentVersion >= lastVersion:
		e.versionAt = now
	case now.Sub(e.versionAt) < fleet.MaxListingLag:
		e.CurrentVersion = lastVersion
	default:
		e.sequenceKnown = false
	}
}

// Next returns the calls to make now. The caller must pass the result of each call
// to HandleReport or HandleLoadResult. maySend says whether the leader's lease
// permits load commands.
func (p *Plan) Next(now time.Time, maySend bool) []Step {
	p.accumulateLoadSeconds(now)
	var steps []Step
	free := p.limiter.Limit(len(p.engines)) - len(p.Loading())
	for _, e := range p.sorted() {
		step, ok := p.nextStep(now, e, maySend)
		if !ok {
			continue
		}
		steps = append(steps, step)
	}
	for _, e := range p.sorted() {
		if free <= 0 || !maySend {
			break
		}
		if p.canDrain(now, e) {
			e.drainingSince = now
			free--
		}
	}
	return steps
}

// canDrain reports whether an engine may begin to drain for its load command.
func (p *Plan) canDrain(now time.Time, e *engine) bool {
	return e.sequenceKnown && !e.inFlight && e.pendingVersion == 0 && e.drainingSince.IsZero() && e.CurrentVersion < e.TargetVersion && !now.Before(e.retryAt)
}

// drained reports whether the queued requests of a draining engine have started
// or its drain timeout has passed.
func (e *engine) drained(now time.Time) bool {
	elapsed := now.Sub(e.drainingSince)
	return !e.drainingSince.IsZero() && elapsed >= minDrainTime && (e.QueueDelay <= drainedQueueDelay || elapsed >= drainTimeout)
}

// sorted returns the engines by version and number of running requests, lowest
// first.
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

// nextStep returns the next call to an engine, or false if none is due.
func (p *Plan) nextStep(now time.Time, e *engine, maySend bool) (Step, bool) {
	switch {
	case e.inFlight || now.Before(e.retryAt):
		return Step{}, false
	case e.pendingVersion > 0:
		if now.Before(e.nextReadAt) {
			return Step{}, false
		}
		e.inFlight = true
		return Step{Engine: e.Engine}, true
	case e.CurrentVersion >= e.TargetVersion || !maySend:
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

// accumulateLoadSeconds adds the time since the last call for every engine with a
// pending load.
func (p *Plan) accumulateLoadSeconds(now time.Time) {
	elapsed := now.Sub(p.countedAt).Seconds()
	p.countedAt = now
	for _, e := range p.engines {
		if e.pendingVersion > 0 {
			p.loadSeconds += elapsed
		}
	}
}

// recordLoad passes the duration of an accepted load and the mean number of
// concurrent loads to the limiter.
func (p *Plan) recordLoad(now time.Time, e *engine) {
	duration := now.Sub(e.commandedAt)
	if !e.accepted || duration <= 0 {
		return
	}
	p.accumulateLoadSeconds(now)
	p.limiter.RecordLoad(duration, (p.loadSeconds-e.loadSecondsBefore)/duration.Seconds())
}

// HandleReport processes the result of reading an engine's report.
func (p *Plan) HandleReport(now time.Time, id string, r Report, err error) {
	e := p.engines[id]
	if e == nil {
		return
	}
	e.inFlight = false
	if err != nil {
		// The engine may have crashed. Stop waiting for its load so that other
		// engines can load, and read its report again before the next command.
		e.pendingVersion, e.sequenceKnown, e.drainingSince = 0, false, time.Time{}
		e.retryAt = now.Add(retryDelay)
		return
	}
	e.CurrentVersion, e.versionAt = max(e.CurrentVersion, r.Weights[e.Model]), now
	sequenceChanged := e.sequenceKnown && r.Sequence != e.sequence
	e.sequenceKnown, e.sequence = true, r.Sequence
	if e.pendingVersion == 0 {
		if r.Loading {
			e.retryAt = now.Add(pollInterval)
		}
		return
	}
	elapsed := now.Sub(e.commandedAt)
	switch {
	case e.CurrentVersion >= e.pendingVersion:
		p.recordLoad(now, e)
		e.pendingVersion = 0
	case r.Loading || (e.accepted && elapsed < loadTimeout) || (sequenceChanged && elapsed < loadTimeout):
		e.nextReadAt = now.Add(pollInterval)
	case elapsed < unconfirmedTimeout:
		e.nextReadAt = now.Add(pollInterval)
	default:
		e.pendingVersion = 0 // no effect in time; the next command replaces it
	}
}

// HandleLoadResult processes the result of a load command. An error other than
// those of this package means that the outcome is unknown. It returns false if the
// engine has seen a higher fencing token.
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

// Loading returns the sorted IDs of the engines that are loading or draining for a
// load. They must get no new requests.
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

// CurrentVersion returns the last known version of an engine's weights, or 0 if it
// is unknown.
func (p *Plan) CurrentVersion(id string) int {
	if e := p.engines[id]; e != nil {
		return e.CurrentVersion
	}
	return 0
}

// Done reports whether all engines have their target version and no load or call
// is pending.
func (p *Plan) Done() bool {
	for _, e := range p.engines {
		if e.CurrentVersion < e.TargetVersion || e.pendingVersion > 0 || e.inFlight {
			return false
		}
	}
	return true
}

// LastLoadCommand returns when the last load command was issued, or the zero time
// if there was none.
func (p *Plan) LastLoadCommand() time.Time { return p.lastLoadCommand }

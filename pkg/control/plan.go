package control

import (
	"slices"
	"strings"
	"time"

	"github.com/fescuestep/fescuestep/pkg/engine"
)

// PlanConfig holds the limits of the rollout plan.
type PlanConfig struct {
	MaxConcurrentLoads int           // concurrent weight loads, over all pools
	ReadInterval       time.Duration // between reads of an upstream in its desired state
	PollInterval       time.Duration // between reads of an upstream that loads weights
	ReadsPerSecond     int           // limit on reads, including the first reads after a takeover
	// AssumedLoadTime is how long an upstream that cannot be read, or a command of
	// unknown outcome, counts as a load. It is longer than a load at the slowest
	// rate of the store that holds the weights.
	AssumedLoadTime time.Duration
	RetryDelay      time.Duration // after a command that failed or had no effect, and between reads of a failing upstream
}

// DefaultPlanConfig returns the limits used in production. An instance may use
// 25 KB/s for control traffic; 40 reads per second of about 500 bytes each stay
// below that and cover 2,800 upstreams in 70 s.
func DefaultPlanConfig() PlanConfig {
	return PlanConfig{
		MaxConcurrentLoads: 2, ReadInterval: 70 * time.Second, PollInterval: 100 * time.Millisecond, ReadsPerSecond: 40,
		AssumedLoadTime: 3 * time.Second, RetryDelay: time.Second,
	}
}

// DesiredState is the desired state of an upstream. Empty fields are not controlled.
type DesiredState struct {
	Weights  string
	Adapters []string // sorted
}

// Upstream is an upstream that accepts control commands.
type Upstream struct {
	ID            string
	Addr          string
	ChecksFencing bool
	Desired       DesiredState
}

// PlanStep is a call to make to an upstream. Command is nil for a read of its state.
type PlanStep struct {
	ID            string
	Addr          string
	ChecksFencing bool
	Command       *engine.Command
}

// trackedUpstream is an upstream with its last observed state and pending calls.
type trackedUpstream struct {
	Upstream
	inFlight     bool // a call is in flight
	observed     bool
	state        engine.CommandResult
	readAt       time.Duration // time of the last successful or failed read
	failingSince time.Duration // time of the first of consecutive failed reads
	failing      bool
	loadPending  bool          // a load was commanded and a read has not yet shown its end
	needsCommand bool          // cached result of Plan.needsCommand, which is too expensive to call in every Next
	holdUntil    time.Duration // until then a command of unknown outcome may still start a load
	retryAt      time.Duration
}

// Plan decides which calls the leader makes to upstreams. It starts empty at every
// takeover, because the state known to an earlier leader may be outdated.
type Plan struct {
	cfg        PlanConfig
	token      uint64
	upstreams  map[string]*trackedUpstream
	sorted     []*trackedUpstream // upstreams by ID
	readTokens float64            // reads that the rate limit allows now
	refilledAt time.Duration
}

// NewPlan returns the plan of a leader with the given fencing token.
func NewPlan(cfg PlanConfig, token uint64, now time.Duration) *Plan {
	return &Plan{cfg: cfg, token: token, upstreams: map[string]*trackedUpstream{}, refilledAt: now, readTokens: float64(cfg.ReadsPerSecond) / 10}
}

// SetUpstreams replaces the set of upstreams. The state of a removed upstream is
// dropped together with any load it had, because an upstream that is gone does
// not load.
func (p *Plan) SetUpstreams(upstreams []Upstream) {
	next := make(map[string]*trackedUpstream, len(upstreams))
	p.sorted = p.sorted[:0]
	for _, u := range upstreams {
		t := p.upstreams[u.ID]
		if t == nil || t.Addr != u.Addr {
			t = &trackedUpstream{}
		}
		t.Upstream = u
		t.needsCommand = p.needsCommand(t)
		next[u.ID] = t
		p.sorted = append(p.sorted, t)
	}
	slices.SortFunc(p.sorted, func(a, b *trackedUpstream) int { return strings.Compare(a.ID, b.ID) })
	p.upstreams = next
}

// Next returns the calls to make now. The result of each must be passed to
// HandleResult. maySend reports whether the lease covers commands to an upstream
// that checks, or does not check, fencing tokens.
func (p *Plan) Next(now time.Duration, maySend func(checksFencing bool) bool) []PlanStep {
	p.refill(now)
	var steps []PlanStep
	loads, complete := p.countLoads(now)
	for _, t := range p.sorted {
		if t.inFlight || now < t.retryAt {
			continue
		}
		step, load := p.nextStep(now, t, complete && loads < p.cfg.MaxConcurrentLoads, maySend)
		if step == nil {
			continue
		}
		if load {
			loads++
		}
		t.inFlight = true
		steps = append(steps, *step)
	}
	return steps
}

// nextStep returns the next call to an upstream, or nil, and whether it starts a
// load.
func (p *Plan) nextStep(now time.Duration, t *trackedUpstream, mayLoad bool, maySend func(bool) bool) (*PlanStep, bool) {
	if p.readDue(now, t) {
		if p.readTokens < 1 {
			return nil, false
		}
		p.readTokens--
		return &PlanStep{ID: t.ID, Addr: t.Addr, ChecksFencing: t.ChecksFencing}, false
	}
	if t.failing || !t.observed || t.loadPending || t.state.Loading || !t.needsCommand || !maySend(t.ChecksFencing) {
		return nil, false
	}
	load := t.needsLoad()
	if load && !mayLoad {
		return nil, false
	}
	t.loadPending = t.loadPending || load
	command := &engine.Command{FencingToken: p.token, Weights: t.Desired.Weights, Adapters: t.Desired.Adapters}
	return &PlanStep{ID: t.ID, Addr: t.Addr, ChecksFencing: t.ChecksFencing, Command: command}, load
}

// readDue reports whether the state of an upstream has to be read.
func (p *Plan) readDue(now time.Duration, t *trackedUpstream) bool {
	switch {
	case !t.observed && !t.failing:
		return true
	case t.loadPending || t.state.Loading:
		return now >= t.readAt+p.cfg.PollInterval
	case t.failing:
		return now >= t.readAt+p.cfg.RetryDelay
	}
	return now >= t.readAt+p.cfg.ReadInterval
}

// needsCommand reports whether the observed state is not the desired one, or the
// upstream checks tokens and has not seen this leader's. Once it has seen the
// token, it rejects commands of an earlier leader that arrive late.
func (p *Plan) needsCommand(t *trackedUpstream) bool {
	if t.needsLoad() || (t.ChecksFencing && t.state.FencingToken < p.token) {
		return true
	}
	return t.Desired.Adapters != nil && !equalUnordered(t.Desired.Adapters, t.state.Adapters)
}

func (t *trackedUpstream) needsLoad() bool {
	return t.Desired.Weights != "" && t.state.Weights != t.Desired.Weights
}

// equalUnordered reports whether a and b have the same elements in any order.
// Slices in the same order are the common case and are compared without copies.
func equalUnordered(a, b []string) bool {
	if slices.Equal(a, b) {
		return true
	}
	b = slices.Sorted(slices.Values(b))
	return slices.Equal(slices.Sorted(slices.Values(a)), b)
}

// countLoads returns the number of upstreams that load weights or may do so. It
// reports complete when every upstream was read or has failed for so long that
// it cannot be loading. No load is started before that, because an earlier leader
// may have started some.
func (p *Plan) countLoads(now time.Duration) (loads int, complete bool) {
	complete = true
	for _, t := range p.sorted {
		if p.mayBeLoading(now, t) {
			loads++
		}
		if !t.observed && !(t.failing && now >= t.failingSince+p.cfg.AssumedLoadTime) {
			complete = false
		}
	}
	return loads, complete
}

func (p *Plan) mayBeLoading(now time.Duration, t *trackedUpstream) bool {
	if t.failing {
		lastKnown := !t.observed || t.loadPending || t.state.Loading
		return lastKnown && now < t.failingSince+p.cfg.AssumedLoadTime
	}
	return t.loadPending || t.state.Loading
}

// refill adds read tokens for the time since the last refill, up to those of
// 100 ms and at least one.
func (p *Plan) refill(now time.Duration) {
	perSecond := float64(p.cfg.ReadsPerSecond)
	p.readTokens = min(max(1, perSecond/10), p.readTokens+(now-p.refilledAt).Seconds()*perSecond)
	p.refilledAt = now
}

// HandleResult handles the result of a step. A load that was commanded stays
// pending until a later read shows that it ended. It returns false when the
// upstream rejected the token as stale, because another instance may have become
// the leader.
func (p *Plan) HandleResult(now time.Duration, step PlanStep, result engine.CommandResult, err error) (stillLeader bool) {
	t := p.upstreams[step.ID]
	if t == nil || t.Addr != step.Addr {
		return !result.Stale
	}
	t.inFlight = false
	switch {
	case err != nil && step.Command != nil:
		p.handleCommandError(now, t, err)
	case err != nil:
		t.markFailing(now)
	case result.Stale:
		p.setObserved(now, t, result)
		t.loadPending = false
		t.retryAt = now + p.cfg.RetryDelay
	case step.Command != nil:
		p.setObserved(now, t, result)
		t.readAt = now - p.cfg.PollInterval // read the state back without delay
	default:
		p.handleRead(now, t, result)
	}
	return !result.Stale
}

// handleCommandError keeps counting a load that the command may still start,
// unless the command was certainly not sent.
func (p *Plan) handleCommandError(now time.Duration, t *trackedUpstream, err error) {
	t.retryAt = now + p.cfg.RetryDelay
	t.readAt = now - p.cfg.ReadInterval
	if engine.NotSent(err) {
		t.loadPending = false
		return
	}
	t.holdUntil = now + p.cfg.AssumedLoadTime
}

// handleRead applies a state that was read. It ends a pending load that the
// upstream finished or never started. After a command of unknown outcome the load
// stays pending until holdUntil, because the upstream may execute the command
// late.
func (p *Plan) handleRead(now time.Duration, t *trackedUpstream, result engine.CommandResult) {
	p.setObserved(now, t, result)
	if !t.loadPending || result.Loading {
		return
	}
	if t.needsLoad() && now < t.holdUntil {
		return
	}
	t.loadPending = false
	if t.needsLoad() {
		t.retryAt = now + p.cfg.RetryDelay
	}
}

// OutcomesKnown reports whether no call is in flight and the outcome of every
// command is known, so that a successor may start at once.
func (p *Plan) OutcomesKnown(now time.Duration) bool {
	for _, t := range p.sorted {
		if t.inFlight || now < t.holdUntil {
			return false
		}
	}
	return true
}

func (p *Plan) setObserved(now time.Duration, t *trackedUpstream, result engine.CommandResult) {
	t.observed = true
	t.failing = false
	t.state = result
	t.needsCommand = p.needsCommand(t)
	t.readAt = now
}

func (t *trackedUpstream) markFailing(now time.Duration) {
	t.readAt = now
	if !t.failing {
		t.failing = true
		t.failingSince = now
	}
}

// Progress holds the numbers of upstreams of a rollout by state. An upstream that
// cannot be read may count as both Loading and Unreachable.
type Progress struct {
	Total, Done, Loading, Unreachable int
}

// Progress returns the progress of the rollout.
func (p *Plan) Progress(now time.Duration) Progress {
	out := Progress{Total: len(p.sorted)}
	for _, t := range p.sorted {
		if p.mayBeLoading(now, t) {
			out.Loading++
		}
		switch {
		case t.failing:
			out.Unreachable++
		case t.observed && !t.loadPending && !t.state.Loading && !t.needsCommand:
			out.Done++
		}
	}
	return out
}

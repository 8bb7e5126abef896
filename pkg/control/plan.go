package control

import (
	"slices"
	"strings"
	"time"

	"github.com/fescuestep/fescuestep/pkg/engine"
)

// PlanConfig holds the limits of the rollout plan.
type PlanConfig struct {
	MaxConcurrentLoads int           // weight loads at once, over all pools
	ReadInterval       time.Duration // of an upstream that is as wanted
	PollInterval       time.Duration // of an upstream that is loading
	ReadsPerSecond     int           // bound on reads, first reads after a takeover included
	// AssumedLoadTime is how long an upstream that cannot be read counts as
	// loading. It is longer than a load at the store's slowest rate.
	AssumedLoadTime time.Duration
	RetryDelay      time.Duration // after a command failed or had no effect
}

// DefaultPlanConfig returns the limits used in production. An instance may
// spend 25 KB/s on control traffic; 40 reads per second of about 500 bytes stay
// below that and cover 2,800 upstreams in 70 s.
func DefaultPlanConfig() PlanConfig {
	return PlanConfig{
		MaxConcurrentLoads: 2, ReadInterval: 70 * time.Second, PollInterval: 100 * time.Millisecond, ReadsPerSecond: 40,
		AssumedLoadTime: 3 * time.Second, RetryDelay: time.Second,
	}
}

// DesiredState is the wanted state of an upstream. Empty fields are not controlled.
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

// PlanStep is a call to make. Command is nil for a read of the state.
type PlanStep struct {
	ID            string
	Addr          string
	ChecksFencing bool
	Command       *engine.Command
}

// trackedUpstream is what the plan knows about an upstream.
type trackedUpstream struct {
	Upstream
	inFlight     bool // a call is under way
	observed     bool
	state        engine.CommandResult
	readAt       time.Duration // last successful or failed read
	failingSince time.Duration // first failure in a row
	failing      bool
	loadPending  bool          // a load was commanded and its end not yet read back
	needsCommand bool          // state is not as wanted; kept because comparing costs more than a look
	holdUntil    time.Duration // until when a command of unknown outcome may start a load
	retryAt      time.Duration
}

// Plan decides what the leader does next. It starts empty at every takeover,
// because what an earlier leader knew may be outdated.
type Plan struct {
	cfg        PlanConfig
	token      uint64
	upstreams  map[string]*trackedUpstream
	sorted     []*trackedUpstream // by ID
	readTokens float64            // reads
	refilledAt time.Duration
}

// NewPlan returns the plan of a leader with the fencing token.
func NewPlan(cfg PlanConfig, token uint64, now time.Duration) *Plan {
	return &Plan{cfg: cfg, token: token, upstreams: map[string]*trackedUpstream{}, refilledAt: now, readTokens: float64(cfg.ReadsPerSecond) / 10}
}

// SetUpstreams replaces the set of upstreams. An upstream that disappeared is
// forgotten: if it is gone, its load is too.
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

// Next returns calls to make now; each must be answered with Done. maySend
// says whether commands are covered by the lease.
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

// nextStep returns the next call to an upstream and whether it starts a load.
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

// needsCommand reports whether a command is needed: the state is not the wanted
// one, or an upstream that checks tokens has not seen this leader's. The
// latter makes it reject commands of an earlier leader that arrive late.
func (p *Plan) needsCommand(t *trackedUpstream) bool {
	if t.needsLoad() || (t.ChecksFencing && t.state.FencingToken < p.token) {
		return true
	}
	return t.Desired.Adapters != nil && !equalUnordered(t.Desired.Adapters, t.state.Adapters)
}

func (t *trackedUpstream) needsLoad() bool {
	return t.Desired.Weights != "" && t.state.Weights != t.Desired.Weights
}

// equalUnordered compares without regard to order; equal order is the usual case and
// needs no copies.
func equalUnordered(a, b []string) bool {
	if slices.Equal(a, b) {
		return true
	}
	b = slices.Sorted(slices.Values(b))
	return slices.Equal(slices.Sorted(slices.Values(a)), b)
}

// countLoads counts upstreams that load weights or may do so, and reports whether
// every upstream was read, or failed for so long that it cannot be loading.
// Before that no load is started: an earlier leader may have started some.
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

func (p *Plan) refill(now time.Duration) {
	perSecond := float64(p.cfg.ReadsPerSecond)
	p.readTokens = min(max(1, perSecond/10), p.readTokens+(now-p.refilledAt).Seconds()*perSecond)
	p.refilledAt = now
}

// HandleResult takes the result of a step. After a command only a read that follows it
// ends the wait for its effect. It returns false when the upstream rejected
// the token: another instance may have become the leader.
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
		t.readAt = now - p.cfg.PollInterval // read back without delay
	default:
		p.handleRead(now, t, result)
	}
	return !result.Stale
}

// handleCommandError keeps a load that may still start on the books.
func (p *Plan) handleCommandError(now time.Duration, t *trackedUpstream, err error) {
	t.retryAt = now + p.cfg.RetryDelay
	t.readAt = now - p.cfg.ReadInterval
	if engine.NotSent(err) {
		t.loadPending = false
		return
	}
	t.holdUntil = now + p.cfg.AssumedLoadTime
}

// handleRead ends the wait for a load that the upstream finished or never
// started. After a command of unknown outcome it waits, because the upstream
// may execute the command late.
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

// OutcomesKnown reports whether the outcome of every command is known, so that a
// successor may start at once.
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

// Progress is how far a rollout is.
type Progress struct {
	Total, Done, Loading, Unreachable int
}

// Progress counts upstreams.
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

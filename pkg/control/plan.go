package control

import (
	"slices"
	"strings"
	"time"

	"github.com/fescuestep/fescuestep/pkg/engine"
)

// PlanConfig holds the limits of the rollout plan.
type PlanConfig struct {
	MaxLoads    int           // weight loads at once, over all pools
	ReadEvery   time.Duration // of an upstream that is as wanted
	PollEvery   time.Duration // of an upstream that is loading
	ReadsPerSec int           // bound on reads, first reads after a takeover included
	// AssumeLoading is how long an upstream that cannot be read counts as
	// loading. It is longer than a load at the store's slowest rate.
	AssumeLoading time.Duration
	RetryAfter    time.Duration // after a command failed or had no effect
}

// DefaultPlanConfig returns the limits used in production. An instance may
// spend 25 KB/s on control traffic; 40 reads per second of about 500 bytes stay
// below that and cover 2,800 upstreams in 70 s.
func DefaultPlanConfig() PlanConfig {
	return PlanConfig{
		MaxLoads: 2, ReadEvery: 70 * time.Second, PollEvery: 100 * time.Millisecond, ReadsPerSec: 40,
		AssumeLoading: 3 * time.Second, RetryAfter: time.Second,
	}
}

// Target is the wanted state of an upstream. Empty fields are not controlled.
type Target struct {
	Weights  string
	Adapters []string // sorted
}

// Upstream is an upstream that accepts control commands.
type Upstream struct {
	ID            string
	Addr          string
	ChecksFencing bool
	Want          Target
}

// Step is a call to make. Command is nil for a read of the state.
type Step struct {
	ID            string
	Addr          string
	ChecksFencing bool
	Command       *engine.Command
}

// tracked is what the plan knows about an upstream.
type tracked struct {
	Upstream
	busy     bool // a call is under way
	observed bool
	state    engine.CommandResult
	readAt   time.Duration // last successful or failed read
	failedAt time.Duration // first failure in a row
	failing  bool
	sent     bool          // a load was commanded and its end not yet read back
	differs  bool          // state is not as wanted; kept because comparing costs more than a look
	holdFor  time.Duration // until when a command of unknown outcome may start a load
	retryAt  time.Duration
}

// Plan decides what the leader does next. It starts empty at every takeover,
// because what an earlier leader knew may be outdated.
type Plan struct {
	cfg       PlanConfig
	token     uint64
	upstreams map[string]*tracked
	order     []*tracked // by ID
	allowance float64    // reads
	filledAt  time.Duration
}

// NewPlan returns the plan of a leader with the fencing token.
func NewPlan(cfg PlanConfig, token uint64, now time.Duration) *Plan {
	return &Plan{cfg: cfg, token: token, upstreams: map[string]*tracked{}, filledAt: now, allowance: float64(cfg.ReadsPerSec) / 10}
}

// SetUpstreams replaces the set of upstreams. An upstream that disappeared is
// forgotten: if it is gone, its load is too.
func (p *Plan) SetUpstreams(upstreams []Upstream) {
	next := make(map[string]*tracked, len(upstreams))
	p.order = p.order[:0]
	for _, u := range upstreams {
		t := p.upstreams[u.ID]
		if t == nil || t.Addr != u.Addr {
			t = &tracked{}
		}
		t.Upstream = u
		t.differs = p.differs(t)
		next[u.ID] = t
		p.order = append(p.order, t)
	}
	slices.SortFunc(p.order, func(a, b *tracked) int { return strings.Compare(a.ID, b.ID) })
	p.upstreams = next
}

// Next returns calls to make now; each must be answered with Done. maySend
// says whether commands are covered by the lease.
func (p *Plan) Next(now time.Duration, maySend func(checksFencing bool) bool) []Step {
	p.refill(now)
	var steps []Step
	loads, complete := p.survey(now)
	for _, t := range p.order {
		if t.busy || now < t.retryAt {
			continue
		}
		step, load := p.step(now, t, complete && loads < p.cfg.MaxLoads, maySend)
		if step == nil {
			continue
		}
		if load {
			loads++
		}
		t.busy = true
		steps = append(steps, *step)
	}
	return steps
}

// step returns the next call to an upstream and whether it starts a load.
func (p *Plan) step(now time.Duration, t *tracked, mayLoad bool, maySend func(bool) bool) (*Step, bool) {
	if p.readDue(now, t) {
		if p.allowance < 1 {
			return nil, false
		}
		p.allowance--
		return &Step{ID: t.ID, Addr: t.Addr, ChecksFencing: t.ChecksFencing}, false
	}
	if t.failing || !t.observed || t.sent || t.state.Loading || !t.differs || !maySend(t.ChecksFencing) {
		return nil, false
	}
	load := t.needsLoad()
	if load && !mayLoad {
		return nil, false
	}
	t.sent = t.sent || load
	command := &engine.Command{FencingToken: p.token, Weights: t.Want.Weights, Adapters: t.Want.Adapters}
	return &Step{ID: t.ID, Addr: t.Addr, ChecksFencing: t.ChecksFencing, Command: command}, load
}

func (p *Plan) readDue(now time.Duration, t *tracked) bool {
	switch {
	case !t.observed && !t.failing:
		return true
	case t.sent || t.state.Loading:
		return now >= t.readAt+p.cfg.PollEvery
	case t.failing:
		return now >= t.readAt+p.cfg.RetryAfter
	}
	return now >= t.readAt+p.cfg.ReadEvery
}

// differs reports whether a command is needed: the state is not the wanted
// one, or an upstream that checks tokens has not seen this leader's. The
// latter makes it reject commands of an earlier leader that arrive late.
func (p *Plan) differs(t *tracked) bool {
	if t.needsLoad() || (t.ChecksFencing && t.state.FencingToken < p.token) {
		return true
	}
	return t.Want.Adapters != nil && !sameSet(t.Want.Adapters, t.state.Adapters)
}

func (t *tracked) needsLoad() bool {
	return t.Want.Weights != "" && t.state.Weights != t.Want.Weights
}

// sameSet compares without regard to order; equal order is the usual case and
// needs no copies.
func sameSet(a, b []string) bool {
	if slices.Equal(a, b) {
		return true
	}
	b = slices.Sorted(slices.Values(b))
	return slices.Equal(slices.Sorted(slices.Values(a)), b)
}

// survey counts upstreams that load weights or may do so, and reports whether
// every upstream was read, or failed for so long that it cannot be loading.
// Before that no load is started: an earlier leader may have started some.
func (p *Plan) survey(now time.Duration) (loads int, complete bool) {
	complete = true
	for _, t := range p.order {
		if p.mayBeLoading(now, t) {
			loads++
		}
		if !t.observed && !(t.failing && now >= t.failedAt+p.cfg.AssumeLoading) {
			complete = false
		}
	}
	return loads, complete
}

func (p *Plan) mayBeLoading(now time.Duration, t *tracked) bool {
	if t.failing {
		lastKnown := !t.observed || t.sent || t.state.Loading
		return lastKnown && now < t.failedAt+p.cfg.AssumeLoading
	}
	return t.sent || t.state.Loading
}

func (p *Plan) refill(now time.Duration) {
	perSecond := float64(p.cfg.ReadsPerSec)
	p.allowance = min(max(1, perSecond/10), p.allowance+(now-p.filledAt).Seconds()*perSecond)
	p.filledAt = now
}

// Done takes the result of a step. After a command only a read that follows it
// ends the wait for its effect. It returns false when the upstream rejected
// the token: another instance may have become the leader.
func (p *Plan) Done(now time.Duration, step Step, result engine.CommandResult, err error) (stillLeader bool) {
	t := p.upstreams[step.ID]
	if t == nil || t.Addr != step.Addr {
		return !result.Stale
	}
	t.busy = false
	switch {
	case err != nil && step.Command != nil:
		p.commandFailed(now, t, err)
	case err != nil:
		t.fail(now)
	case result.Stale:
		p.apply(now, t, result)
		t.sent = false
		t.retryAt = now + p.cfg.RetryAfter
	case step.Command != nil:
		p.apply(now, t, result)
		t.readAt = now - p.cfg.PollEvery // read back without delay
	default:
		p.readBack(now, t, result)
	}
	return !result.Stale
}

// commandFailed keeps a load that may still start on the books.
func (p *Plan) commandFailed(now time.Duration, t *tracked, err error) {
	t.retryAt = now + p.cfg.RetryAfter
	t.readAt = now - p.cfg.ReadEvery
	if engine.NotSent(err) {
		t.sent = false
		return
	}
	t.holdFor = now + p.cfg.AssumeLoading
}

// readBack ends the wait for a load that the upstream finished or never
// started. After a command of unknown outcome it waits, because the upstream
// may execute the command late.
func (p *Plan) readBack(now time.Duration, t *tracked, result engine.CommandResult) {
	p.apply(now, t, result)
	if !t.sent || result.Loading {
		return
	}
	if t.needsLoad() && now < t.holdFor {
		return
	}
	t.sent = false
	if t.needsLoad() {
		t.retryAt = now + p.cfg.RetryAfter
	}
}

// Settled reports whether the outcome of every command is known, so that a
// successor may start at once.
func (p *Plan) Settled(now time.Duration) bool {
	for _, t := range p.order {
		if t.busy || now < t.holdFor {
			return false
		}
	}
	return true
}

func (p *Plan) apply(now time.Duration, t *tracked, result engine.CommandResult) {
	t.observed = true
	t.failing = false
	t.state = result
	t.differs = p.differs(t)
	t.readAt = now
}

func (t *tracked) fail(now time.Duration) {
	t.readAt = now
	if !t.failing {
		t.failing = true
		t.failedAt = now
	}
}

// Progress is how far a rollout is.
type Progress struct {
	Total, Done, Loading, Unreachable int
}

// Progress counts upstreams.
func (p *Plan) Progress(now time.Duration) Progress {
	out := Progress{Total: len(p.order)}
	for _, t := range p.order {
		if p.mayBeLoading(now, t) {
			out.Loading++
		}
		switch {
		case t.failing:
			out.Unreachable++
		case t.observed && !t.sent && !t.state.Loading && !t.differs:
			out.Done++
		}
	}
	return out
}

package edge

import (
	"context"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/control"
	"github.com/fescuestep/fescuestep/pkg/external"
	"github.com/fescuestep/fescuestep/pkg/history"
	"github.com/fescuestep/fescuestep/pkg/member"
	"github.com/fescuestep/fescuestep/pkg/rollout"
)

// EngineClient calls the control interface of engines.
type EngineClient interface {
	// Report reads the engine's report on its weights and loads.
	Report(ctx context.Context, e rollout.Engine) (rollout.Report, error)
	// OrderLoad sends the load command of a step with the leader's fencing token.
	// If the engine refuses it, the error is rollout.ErrStaleToken,
	// rollout.ErrConflict or rollout.ErrRejected.
	OrderLoad(ctx context.Context, s rollout.Step, token uint64) error
}

// LeaseStore reads and writes the rows that the instances themselves own in the
// store, such as the leader lease.
type LeaseStore interface {
	Read(ctx context.Context, key string) (external.Row, error)
	Commit(ctx context.Context, txn external.Txn) (history.Position, error)
}

const (
	// rolloutInterval is the time between steps of the rollout, and idleRolloutInterval
	// that between checks whether one is needed. A new target version or listing, the
	// usual reasons for a rollout, is checked at once.
	rolloutInterval     = 40 * time.Millisecond
	idleRolloutInterval = 200 * time.Millisecond
	// candidateDelay is how much longer an instance waits than the one ranked
	// before it until it tries to take the lease, so that not all instances access
	// the store at once.
	candidateDelay = 500 * time.Millisecond
	// loadingBusyTime is how long this instance sends no requests to an engine that
	// loads weights or soon will. It is renewed at every step of the rollout.
	loadingBusyTime = 600 * time.Millisecond
	// leaderRankKey is the rendezvous hashing key that ranks candidates for the
	// lease.
	leaderRankKey = "weights"
)

// rolloutController brings engines to the target versions of weights while this
// instance holds the leader lease. The lease is held only while a rollout is in
// progress.
type rolloutController struct {
	instanceName        string
	enginesCheckFencing bool
	leaderOrderGap      time.Duration // minimum time from the last load command until the lease is released
	leaseStore          LeaseStore
	engineClient        EngineClient
	placer              *placer
	peers               *peers
	releases            *releases
	cutOff              func(service string) bool // reports whether this instance reaches no upstream of a service
	log                 hclog.Logger
	now                 func() time.Time
	start               time.Time
	wake                chan struct{} // requests a check whether a rollout is needed
	rng                 *rand.Rand

	mu            sync.Mutex
	lease         *control.Lease
	plan          *rollout.Plan
	loads         rollout.LoadLimiter
	planToken     uint64 // fencing token of the lease under which the plan was started
	callsInFlight int    // calls to engines for steps of the plan
	neededSince   time.Time
	announced     map[string]int // version last announced to the other instances by engine
}

// sinceStart converts a time to the clock of the lease, which begins at start.
func (r *rolloutController) sinceStart(now time.Time) time.Duration { return now.Sub(r.start) }

// observeEra drops the lease if the store came back from an older copy.
func (r *rolloutController) observeEra(era uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lease.ObserveEra(r.sinceStart(r.now()), era)
}

// run performs rollouts until ctx ends. Once stopping is closed, it sends no more
// load commands and releases the lease as soon as the outcome of those sent is known.
func (r *rolloutController) run(ctx context.Context, stopping <-chan struct{}) {
	timer := time.NewTimer(rolloutInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-stopping:
			r.handOverLease(ctx)
			return
		case <-r.wake:
		case <-timer.C:
		}
		if r.tick(ctx) {
			timer.Reset(rolloutInterval)
		} else {
			timer.Reset(idleRolloutInterval)
		}
	}
}

// requestCheck makes run check at once whether a rollout is needed.
func (r *rolloutController) requestCheck() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// mayHandOver reports whether another instance may lead at once: no calls to engines are in
// flight. Engines that do not check fencing tokens must not receive load commands of two
// leaders in short succession, so leaderOrderGap must have passed since the last one. The
// caller holds mu.
func (r *rolloutController) mayHandOver(now time.Time) bool {
	if r.callsInFlight > 0 {
		return false
	}
	return r.enginesCheckFencing || r.plan == nil || now.Sub(r.plan.LastLoadCommand()) > r.leaderOrderGap
}

// handOverLease releases the lease as soon as another instance may lead.
func (r *rolloutController) handOverLease(ctx context.Context) {
	ticker := time.NewTicker(rolloutInterval)
	defer ticker.Stop()
	r.releases.follow()
	for {
		r.mu.Lock()
		now := r.now()
		_, _, held := r.lease.Held(r.sinceStart(now))
		if !held && !r.lease.Releasing(r.sinceStart(now)) {
			r.mu.Unlock()
			return
		}
		if r.mayHandOver(now) {
			r.releaseLease(ctx, now)
		}
		r.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// tick performs one step of the rollout: it takes, renews or releases the lease and,
// while it is held, starts the calls to engines that the plan asks for. It reports whether
// the next step is due after rolloutInterval.
func (r *rolloutController) tick(ctx context.Context) (busy bool) {
	engines := r.listEngines()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	needed := false
	for _, e := range engines {
		needed = needed || e.CurrentVersion < e.TargetVersion
	}
	needed = r.releases.needLeader() || needed
	r.trackNeededSince(now, needed)
	reachable := r.reachesAny(engines)
	r.advanceLease(ctx, now, reachable && r.mayTakeLease(now, needed))
	token, until, held := r.lease.Held(r.sinceStart(now))
	if !held {
		r.releases.follow()
		return needed || r.callsInFlight > 0 || r.lease.Releasing(r.sinceStart(now))
	}
	r.releases.lead(ctx, r.start.Add(until), token, r.lease.Condition())
	if !reachable && r.mayHandOver(now) {
		r.releaseLease(ctx, now)
		return true
	}
	if token != r.planToken || r.plan == nil {
		r.plan, r.planToken, r.announced = rollout.NewPlan(&r.loads), token, map[string]int{}
		r.log.Info("leader lease acquired", "token", token)
	}
	r.plan.SetEngines(now, engines)
	r.announceWeights(engines)
	for _, step := range r.plan.Next(now, r.lease.MaySend(r.sinceStart(now), r.enginesCheckFencing)) {
		r.runPlanStep(ctx, step, token)
	}
	r.announceLoading()
	if !needed && r.plan.Done() && now.Sub(r.plan.LastLoadCommand()) > r.leaderOrderGap {
		r.releaseLease(ctx, now)
	}
	return true
}

// reachesAny reports whether this instance reaches any of the engines' services.
func (r *rolloutController) reachesAny(engines []rollout.Engine) bool {
	view := r.placer.currentView()
	for _, e := range engines {
		if u := view.ByID(e.ID); u != nil && !r.cutOff(u.Service) {
			return true
		}
	}
	return len(engines) == 0
}

// trackNeededSince records since when an engine has needed weights without a break.
func (r *rolloutController) trackNeededSince(now time.Time, needed bool) {
	switch {
	case !needed:
		r.neededSince = time.Time{}
	case r.neededSince.IsZero():
		r.neededSince = now
	}
}

// listEngines returns all engines with a target version.
func (r *rolloutController) listEngines() []rollout.Engine {
	r.placer.mu.Lock()
	defer r.placer.mu.Unlock()
	return r.placer.rolloutEngines()
}

// mayTakeLease reports whether this instance may take the lease. Instances become
// candidates one after the other, by rank, from the time when an engine needed
// weights. None is one while another instance is seen to act as the leader.
func (r *rolloutController) mayTakeLease(now time.Time, needed bool) bool {
	if !needed {
		return false
	}
	from := r.neededSince
	if lastActivity := r.peers.lastLeaderActivity(); lastActivity.After(from) {
		from = lastActivity.Add(candidateDelay)
	}
	members := []config.Member{{ID: r.instanceName}}
	for _, name := range r.peers.liveNames() {
		members = append(members, config.Member{ID: name})
	}
	for rank, m := range member.Rank(members, leaderRankKey, len(members)) {
		if m.ID == r.instanceName {
			return now.Sub(from) >= candidateDelay*time.Duration(rank)
		}
	}
	return false
}

// advanceLease starts the lease's next call to the store, if one is due. The caller
// holds mu.
func (r *rolloutController) advanceLease(ctx context.Context, now time.Time, candidate bool) {
	r.runLeaseStep(ctx, r.lease.Next(r.sinceStart(now), r.rng, candidate))
}

// releaseLease starts the call to the store that releases the lease. The caller
// holds mu.
func (r *rolloutController) releaseLease(ctx context.Context, now time.Time) {
	step := r.lease.Release(r.sinceStart(now), r.rng)
	if step.Kind == control.LeaseCommit {
		r.log.Info("leader lease released", "token", r.planToken)
	}
	r.runLeaseStep(ctx, step)
}

// runLeaseStep starts a call to the store in a goroutine of its own.
func (r *rolloutController) runLeaseStep(ctx context.Context, step control.LeaseStep) {
	switch step.Kind {
	case control.LeaseRead:
		go func() {
			row, err := r.leaseStore.Read(ctx, control.LeaseKey)
			r.mu.Lock()
			defer r.mu.Unlock()
			r.lease.ReadDone(r.sinceStart(r.now()), r.rng, row, err)
			r.logFailure("cannot read the leader lease", err)
		}()
	case control.LeaseCommit:
		go func() {
			at, err := r.leaseStore.Commit(ctx, step.Txn)
			r.mu.Lock()
			defer r.mu.Unlock()
			r.lease.CommitDone(r.sinceStart(r.now()), r.rng, at, err)
			r.logFailure("cannot write the leader lease", err)
		}()
	case control.LeaseIdle:
	}
}

func (r *rolloutController) logFailure(message string, err error) {
	if err != nil {
		r.log.Warn(message, "error", err)
	}
}

// runPlanStep starts the call to an engine for a step of the plan in a goroutine of
// its own. The caller holds mu.
func (r *rolloutController) runPlanStep(ctx context.Context, step rollout.Step, token uint64) {
	plan := r.plan
	r.callsInFlight++
	go func() {
		if !step.Load {
			report, err := r.engineClient.Report(ctx, step.Engine)
			r.mu.Lock()
			defer r.mu.Unlock()
			r.callsInFlight--
			plan.HandleReport(r.now(), step.Engine.ID, report, err)
			if err != nil {
				r.log.Info("cannot read the report of an engine", "upstream", step.Engine.ID, "error", err)
			}
			return
		}
		err := r.engineClient.OrderLoad(ctx, step, token)
		r.log.Info("engine ordered to load weights", "upstream", step.Engine.ID, "model", step.Engine.Model,
			"has", step.Engine.CurrentVersion, "version", step.Version, "orders_before", step.Sequence, "token", token, "error", err)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.callsInFlight--
		if !plan.HandleLoadResult(r.now(), step.Engine.ID, err) {
			r.lease.Suspend()
		}
	}()
}

// announceLoading keeps new requests away from engines that load weights or soon
// will, at this instance and the others. The caller holds mu.
func (r *rolloutController) announceLoading() {
	for _, id := range r.plan.Loading() {
		r.placer.SetBusy(id, loadingBusyTime)
		r.peers.announceLoading(id)
	}
}

// announceWeights makes engines that have loaded weights available again, at this
// instance and the others. The caller holds mu.
func (r *rolloutController) announceWeights(engines []rollout.Engine) {
	for _, e := range engines {
		version := r.plan.CurrentVersion(e.ID)
		if version > r.announced[e.ID] {
			first := r.announced[e.ID] == 0
			r.announced[e.ID] = version
			if first && version == e.CurrentVersion {
				continue // all instances know it from the listing
			}
			r.log.Info("engine has loaded weights", "upstream", e.ID, "model", e.Model, "version", version, "loading", len(r.plan.Loading()), "limit", r.loads.Limit(len(engines)))
			r.placer.RecordWeights(e.ID, e.Model, version)
			r.placer.SetBusy(e.ID, 0)
			r.peers.announceWeights(e.ID, e.Model, version)
		}
	}
}

// rolloutEngines returns the engines, ordered by ID, that are not draining and whose
// model has a target version. The caller holds mu.
func (p *placer) rolloutEngines() []rollout.Engine {
	now := p.now()
	p.balancer.ExpireObservedWeights(now)
	var out []rollout.Engine
	for _, u := range p.view.All() {
		if u.Draining {
			continue
		}
		for model := range u.Weights {
			target := p.balancer.TargetVersion(model)
			if target == 0 {
				continue
			}
			out = append(out, rollout.Engine{
				ID: u.ID, Addr: u.Addr, Model: model,
				CurrentVersion: p.balancer.WeightsVersion(u, model), TargetVersion: target,
				RunningRequests: p.balancer.TotalWork(u.ID).Requests, QueueDelay: p.balancer.ExpectedWait(u.ID, now),
			})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

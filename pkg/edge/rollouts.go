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
	"github.com/fescuestep/fescuestep/pkg/member"
	"github.com/fescuestep/fescuestep/pkg/rollout"
)

// EngineClient calls the interfaces of engines.
type EngineClient interface {
	Report(ctx context.Context, e rollout.Engine) (rollout.Report, error)
	OrderLoad(ctx context.Context, s rollout.Step, token uint64) error
}

// LeaseStore reads and changes the product's own rows in the store.
type LeaseStore interface {
	Read(ctx context.Context, key string) (external.Row, error)
	Commit(ctx context.Context, txn external.Txn) (uint64, error)
}

const (
	// rolloutInterval is between looks at the plan while engines need weights.
	rolloutInterval = 40 * time.Millisecond
	// candidateDelay is how much longer each instance waits than the one ranked
	// before it, so that the store is not asked by all at once.
	candidateDelay = 500 * time.Millisecond
	// loadingBusyTime is how long an ordered engine is expected to take no work.
	loadingBusyTime = 600 * time.Millisecond
	// leaderRankKey is hashed with names to rank candidates.
	leaderRankKey = "weights"
)

// rolloutController brings engines to the named weights while this instance holds the
// leader lease. The lease is only held while there is something to do.
type rolloutController struct {
	instance            string
	enginesCheckFencing bool
	leaderOrderGap      time.Duration // after the last order before the lease is released
	leaseStore          LeaseStore
	engineClient        EngineClient
	placer              *placer
	peers               *peers
	log                 hclog.Logger
	now                 func() time.Time
	start               time.Time
	rng                 *rand.Rand

	mu            sync.Mutex
	lease         *control.Lease
	plan          *rollout.Plan
	loads         rollout.LoadLimiter
	planToken     uint64 // of the plan
	callsInFlight int    // steps of the plan under way
	neededSince   time.Time
	announced     map[string]int // versions told to the others by engine
}

func (r *rolloutController) sinceStart(now time.Time) time.Duration { return now.Sub(r.start) }

// run acts until ctx ends. Once stopping is closed it gives no orders and hands
// the lease over as soon as the outcome of those given is known.
func (r *rolloutController) run(ctx context.Context, stopping <-chan struct{}) {
	ticker := time.NewTicker(rolloutInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-stopping:
			r.handOverLease(ctx)
			return
		case <-ticker.C:
			r.tick(ctx)
		}
	}
}

// handOverLease releases the lease. Engines that do not check fencing tokens must
// not get orders of two leaders shortly after each other.
func (r *rolloutController) handOverLease(ctx context.Context) {
	ticker := time.NewTicker(rolloutInterval)
	defer ticker.Stop()
	for {
		r.mu.Lock()
		now := r.now()
		_, _, held := r.lease.Held(r.sinceStart(now))
		if !held {
			r.mu.Unlock()
			return
		}
		if r.callsInFlight == 0 && (r.enginesCheckFencing || now.Sub(r.plan.LastLoadCommand()) > r.leaderOrderGap) {
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

func (r *rolloutController) tick(ctx context.Context) {
	list := r.listEngines()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	need := false
	for _, e := range list {
		need = need || e.CurrentVersion < e.TargetVersion
	}
	r.trackNeeded(now, need)
	r.advanceLease(ctx, now, r.mayTakeLease(now, need))
	token, _, held := r.lease.Held(r.sinceStart(now))
	if !held {
		return
	}
	if token != r.planToken || r.plan == nil {
		r.plan, r.planToken, r.announced = rollout.NewPlan(&r.loads), token, map[string]int{}
		r.log.Info("leader lease taken", "token", token)
	}
	r.plan.SetEngines(now, list)
	r.announceWeights(list)
	for _, step := range r.plan.Next(now, r.lease.MaySend(r.sinceStart(now), r.enginesCheckFencing)) {
		r.runPlanStep(ctx, step, token)
	}
	r.announceLoading()
	if !need && r.plan.Done() && now.Sub(r.plan.LastLoadCommand()) > r.leaderOrderGap {
		r.releaseLease(ctx, now)
	}
}

func (r *rolloutController) trackNeeded(now time.Time, need bool) {
	switch {
	case !need:
		r.neededSince = time.Time{}
	case r.neededSince.IsZero():
		r.neededSince = now
	}
}

// listEngines lists all engines with the version that they should have.
func (r *rolloutController) listEngines() []rollout.Engine {
	r.placer.mu.Lock()
	defer r.placer.mu.Unlock()
	return r.placer.rolloutEngines()
}

// mayTakeLease reports whether this instance may take the lease: the instance
// ranked first at once, the others one after the other. While another instance
// is seen to give orders there is no mayTakeLease.
func (r *rolloutController) mayTakeLease(now time.Time, need bool) bool {
	if !need {
		return false
	}
	from := r.neededSince
	if seen := r.peers.leaderSeen(); seen.After(from) {
		from = seen.Add(candidateDelay)
	}
	members := []config.Member{{ID: r.instance}}
	for _, name := range r.peers.live() {
		members = append(members, config.Member{ID: name})
	}
	for rank, m := range member.Rank(members, leaderRankKey, len(members)) {
		if m.ID == r.instance {
			return now.Sub(from) >= candidateDelay*time.Duration(rank)
		}
	}
	return false
}

// advanceLease makes the lease's next call to the store. The caller holds mu.
func (r *rolloutController) advanceLease(ctx context.Context, now time.Time, candidate bool) {
	r.runLeaseStep(ctx, r.lease.Next(r.sinceStart(now), r.rng, candidate))
}

func (r *rolloutController) releaseLease(ctx context.Context, now time.Time) {
	step := r.lease.Release(r.sinceStart(now), r.rng)
	if step.Kind == control.LeaseCommit {
		r.log.Info("leader lease released", "token", r.planToken)
	}
	r.runLeaseStep(ctx, step)
}

func (r *rolloutController) runLeaseStep(ctx context.Context, step control.LeaseStep) {
	switch step.Kind {
	case control.LeaseRead:
		go func() {
			row, err := r.leaseStore.Read(ctx, control.LeaseKey)
			r.mu.Lock()
			defer r.mu.Unlock()
			r.lease.ReadDone(r.sinceStart(r.now()), r.rng, row, err)
			r.logFailure("leader lease not read", err)
		}()
	case control.LeaseCommit:
		go func() {
			version, err := r.leaseStore.Commit(ctx, step.Txn)
			r.mu.Lock()
			defer r.mu.Unlock()
			r.lease.CommitDone(r.sinceStart(r.now()), r.rng, version, err)
			r.logFailure("leader lease not written", err)
		}()
	case control.LeaseIdle:
	}
}

func (r *rolloutController) logFailure(what string, err error) {
	if err != nil {
		r.log.Warn(what, "error", err)
	}
}

// runPlanStep performs a step of the plan. The caller holds mu.
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
				r.log.Info("engine gives no report", "upstream", step.Engine.ID, "error", err)
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
			r.lease.Doubt()
		}
	}()
}

// announceLoading keeps work away from engines that load or soon will, here and at
// the other instances. The caller holds mu.
func (r *rolloutController) announceLoading() {
	for _, id := range r.plan.Loading() {
		r.placer.SetBusy(id, loadingBusyTime)
		r.peers.announceLoading(id)
	}
}

// announceWeights tells the others of engines that have loaded. The caller holds
// mu.
func (r *rolloutController) announceWeights(list []rollout.Engine) {
	for _, e := range list {
		has := r.plan.CurrentVersion(e.ID)
		if has > r.announced[e.ID] {
			first := r.announced[e.ID] == 0
			r.announced[e.ID] = has
			if first && has == e.CurrentVersion {
				continue // known from the list
			}
			r.log.Info("engine has loaded weights", "upstream", e.ID, "model", e.Model, "version", has, "loading", len(r.plan.Loading()), "limit", r.loads.Limit(len(list)))
			r.placer.RecordWeights(e.ID, e.Model, has)
			r.placer.SetBusy(e.ID, 0)
			r.peers.announceWeights(e.ID, e.Model, has)
		}
	}
}

// rolloutEngines lists the rolloutEngines of the book. The caller holds mu.
func (p *placer) rolloutEngines() []rollout.Engine {
	now := p.now()
	p.book.ExpireObservedWeights(now)
	var out []rollout.Engine
	for _, u := range p.view.All() {
		if u.Draining {
			continue
		}
		for model := range u.Weights {
			wants := p.book.TargetVersion(model)
			if wants == 0 {
				continue
			}
			out = append(out, rollout.Engine{
				ID: u.ID, Addr: u.Addr, Model: model,
				CurrentVersion: p.book.WeightsVersion(u, model), TargetVersion: wants,
				RunningRequests: p.book.TotalWork(u.ID).Requests, QueueDelay: p.book.ExpectedWait(u.ID, now),
			})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

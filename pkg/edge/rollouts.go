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

// Engines calls the interfaces of engines.
type Engines interface {
	Report(ctx context.Context, e rollout.Engine) (rollout.Report, error)
	Order(ctx context.Context, s rollout.Step, token uint64) error
}

// Rows reads and changes the product's own rows in the store.
type Rows interface {
	Read(ctx context.Context, key string) (external.Row, error)
	Commit(ctx context.Context, txn external.Txn) (uint64, error)
}

const (
	// rolloutInterval is between looks at the plan while engines need weights.
	rolloutInterval = 40 * time.Millisecond
	// candidateStep is how much longer each instance waits than the one ranked
	// before it, so that the store is not asked by all at once.
	candidateStep = 500 * time.Millisecond
	// loadingSpan is how long an ordered engine is expected to take no work.
	loadingSpan = 600 * time.Millisecond
	// controlRole is hashed with names to rank candidates.
	controlRole = "weights"
)

// rollouts brings engines to the named weights while this instance holds the
// leader lease. The lease is only held while there is something to do.
type rollouts struct {
	self          string
	checksFencing bool
	holdOff       time.Duration // after the last order before the lease is released
	rows          Rows
	engines       Engines
	placer        *placer
	peers         *peers
	log           hclog.Logger
	now           func() time.Time
	start         time.Time
	rng           *rand.Rand

	mu       sync.Mutex
	lease    *control.Lease
	plan     *rollout.Plan
	loads    rollout.LoadLimiter
	token    uint64 // of the plan
	calls    int    // steps of the plan under way
	needFrom time.Time
	told     map[string]int // versions told to the others by engine
}

func (r *rollouts) since(now time.Time) time.Duration { return now.Sub(r.start) }

// run acts until ctx ends. Once stopping is closed it gives no orders and hands
// the lease over as soon as the outcome of those given is known.
func (r *rollouts) run(ctx context.Context, stopping <-chan struct{}) {
	ticker := time.NewTicker(rolloutInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-stopping:
			r.handOver(ctx)
			return
		case <-ticker.C:
			r.tick(ctx)
		}
	}
}

// handOver releases the lease. Engines that do not check fencing tokens must
// not get orders of two leaders shortly after each other.
func (r *rollouts) handOver(ctx context.Context) {
	ticker := time.NewTicker(rolloutInterval)
	defer ticker.Stop()
	for {
		r.mu.Lock()
		now := r.now()
		_, _, held := r.lease.Held(r.since(now))
		if !held {
			r.mu.Unlock()
			return
		}
		if r.calls == 0 && (r.checksFencing || now.Sub(r.plan.LastLoadCommand()) > r.holdOff) {
			r.release(ctx, now)
		}
		r.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (r *rollouts) tick(ctx context.Context) {
	list := r.wanted()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	need := false
	for _, e := range list {
		need = need || e.CurrentVersion < e.TargetVersion
	}
	r.trackNeed(now, need)
	r.stepLease(ctx, now, r.candidate(now, need))
	token, _, held := r.lease.Held(r.since(now))
	if !held {
		return
	}
	if token != r.token || r.plan == nil {
		r.plan, r.token, r.told = rollout.NewPlan(&r.loads), token, map[string]int{}
		r.log.Info("leader lease taken", "token", token)
	}
	r.plan.SetEngines(now, list)
	r.tellWeights(list)
	for _, step := range r.plan.Next(now, r.lease.MaySend(r.since(now), r.checksFencing)) {
		r.call(ctx, step, token)
	}
	r.tellLoading()
	if !need && r.plan.Done() && now.Sub(r.plan.LastLoadCommand()) > r.holdOff {
		r.release(ctx, now)
	}
}

func (r *rollouts) trackNeed(now time.Time, need bool) {
	switch {
	case !need:
		r.needFrom = time.Time{}
	case r.needFrom.IsZero():
		r.needFrom = now
	}
}

// wanted lists all engines with the version that they should have.
func (r *rollouts) wanted() []rollout.Engine {
	r.placer.mu.Lock()
	defer r.placer.mu.Unlock()
	return r.placer.engines()
}

// candidate reports whether this instance may take the lease: the instance
// ranked first at once, the others one after the other. While another instance
// is seen to give orders there is no candidate.
func (r *rollouts) candidate(now time.Time, need bool) bool {
	if !need {
		return false
	}
	from := r.needFrom
	if seen := r.peers.leaderSeen(); seen.After(from) {
		from = seen.Add(candidateStep)
	}
	members := []config.Member{{ID: r.self}}
	for _, name := range r.peers.live() {
		members = append(members, config.Member{ID: name})
	}
	for rank, m := range member.Rank(members, controlRole, len(members)) {
		if m.ID == r.self {
			return now.Sub(from) >= candidateStep*time.Duration(rank)
		}
	}
	return false
}

// stepLease makes the lease's next call to the store. The caller holds mu.
func (r *rollouts) stepLease(ctx context.Context, now time.Time, candidate bool) {
	r.perform(ctx, r.lease.Next(r.since(now), r.rng, candidate))
}

func (r *rollouts) release(ctx context.Context, now time.Time) {
	step := r.lease.Release(r.since(now), r.rng)
	if step.Kind == control.LeaseCommit {
		r.log.Info("leader lease released", "token", r.token)
	}
	r.perform(ctx, step)
}

func (r *rollouts) perform(ctx context.Context, step control.LeaseStep) {
	switch step.Kind {
	case control.LeaseRead:
		go func() {
			row, err := r.rows.Read(ctx, control.LeaseKey)
			r.mu.Lock()
			defer r.mu.Unlock()
			r.lease.ReadDone(r.since(r.now()), r.rng, row, err)
			r.logFailure("leader lease not read", err)
		}()
	case control.LeaseCommit:
		go func() {
			version, err := r.rows.Commit(ctx, step.Txn)
			r.mu.Lock()
			defer r.mu.Unlock()
			r.lease.CommitDone(r.since(r.now()), r.rng, version, err)
			r.logFailure("leader lease not written", err)
		}()
	case control.LeaseIdle:
	}
}

func (r *rollouts) logFailure(what string, err error) {
	if err != nil {
		r.log.Warn(what, "error", err)
	}
}

// call performs a step of the plan. The caller holds mu.
func (r *rollouts) call(ctx context.Context, step rollout.Step, token uint64) {
	plan := r.plan
	r.calls++
	go func() {
		if !step.Load {
			report, err := r.engines.Report(ctx, step.Engine)
			r.mu.Lock()
			defer r.mu.Unlock()
			r.calls--
			plan.HandleReport(r.now(), step.Engine.ID, report, err)
			if err != nil {
				r.log.Info("engine gives no report", "upstream", step.Engine.ID, "error", err)
			}
			return
		}
		err := r.engines.Order(ctx, step, token)
		r.log.Info("engine ordered to load weights", "upstream", step.Engine.ID, "model", step.Engine.Model,
			"has", step.Engine.CurrentVersion, "version", step.Version, "orders_before", step.Sequence, "token", token, "error", err)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.calls--
		if !plan.HandleLoadResult(r.now(), step.Engine.ID, err) {
			r.lease.Doubt()
		}
	}()
}

// tellLoading keeps work away from engines that load or soon will, here and at
// the other instances. The caller holds mu.
func (r *rollouts) tellLoading() {
	for _, id := range r.plan.Loading() {
		r.placer.SetBusy(id, loadingSpan)
		r.peers.tellLoading(id)
	}
}

// tellWeights tells the others of engines that have loaded. The caller holds
// mu.
func (r *rollouts) tellWeights(list []rollout.Engine) {
	for _, e := range list {
		has := r.plan.CurrentVersion(e.ID)
		if has > r.told[e.ID] {
			first := r.told[e.ID] == 0
			r.told[e.ID] = has
			if first && has == e.CurrentVersion {
				continue // known from the list
			}
			r.log.Info("engine has loaded weights", "upstream", e.ID, "model", e.Model, "version", has, "loading", len(r.plan.Loading()), "limit", r.loads.Limit(len(list)))
			r.placer.RecordWeights(e.ID, e.Model, has)
			r.placer.SetBusy(e.ID, 0)
			r.peers.tellWeights(e.ID, e.Model, has)
		}
	}
}

// engines lists the engines of the book. The caller holds mu.
func (p *placer) engines() []rollout.Engine {
	now := p.now()
	p.book.SettleWeights(now)
	var out []rollout.Engine
	for _, u := range p.view.All() {
		if u.Draining {
			continue
		}
		for model := range u.Weights {
			wants := p.book.Wanted(model)
			if wants == 0 {
				continue
			}
			out = append(out, rollout.Engine{
				ID: u.ID, Addr: u.Addr, Model: model,
				CurrentVersion: p.book.Weights(u, model), TargetVersion: wants,
				RunningRequests: p.book.Load(u.ID).Requests, QueueDelay: p.book.Waits(u.ID, now),
			})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

package edge

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/fescuestep/fescuestep/pkg/external"
	"github.com/fescuestep/fescuestep/pkg/fleet"
	"github.com/fescuestep/fescuestep/pkg/history"
	"github.com/fescuestep/fescuestep/pkg/release"
	"github.com/fescuestep/fescuestep/pkg/state"
)

// ReleaseStore keeps the records and the status of rollouts of services' software.
type ReleaseStore interface {
	// ReadRelease returns the record of a service's rollout, nil if there is none, and its
	// position.
	ReadRelease(ctx context.Context, service string) (*release.Record, history.Position, error)
	// WriteRelease writes the record and the status of a service's rollout, provided that
	// the lease and the record have not changed.
	WriteRelease(ctx context.Context, service string, rec release.Record, lease external.Condition, version uint64) (history.Position, error)
}

// releases wraps the rollouts of services' software for concurrent use. It implements
// dispatch.Releases and sharedState.
type releases struct {
	bounds       release.Bounds
	store        ReleaseStore
	metrics      ServiceMetrics
	log          hclog.Logger
	now          func() time.Time
	arrivedSince func() time.Time             // when something may have arrived that is handled now
	others       func() (list []release.Peer) // known other instances
	onNews       func()                       // has the others told
	onLeader     func(name string)            // called when another instance holds the lease for rollouts
	active       atomic.Bool                  // there are rollouts
	mu           sync.Mutex
	byService    map[string]*serviceRelease
	view         *fleet.View
	running      map[string]map[string]int // requests of this instance by service and software
	incarnations map[string]uint64         // of the other instances, as last heard
	leaderToken  uint64                    // of the lease under which the records were read; 0: not held
}

// serviceRelease is the rollout of a service with what the shell needs to tell and store it.
type serviceRelease struct {
	*release.Rollout
	at       history.Position // of the record that was read
	calling  bool             // a call to the store is in flight
	calledAt time.Time
	toldAt   time.Time // when the statement was last told
	countsAt time.Time // when counts were last told
	nextTold int       // position in the groups from which counts are told next
	loggedAt time.Time // when it was last logged what the rollout waits for
}

const (
	// releaseInterval is the time between two evaluations of the rollouts.
	releaseInterval = 100 * time.Millisecond
	// releaseReadInterval is the time between two attempts to read a record.
	releaseReadInterval = 500 * time.Millisecond
	// releaseLogInterval is the time between two log lines on what a rollout waits for.
	releaseLogInterval = 5 * time.Second
	// releaseKnownTimeout is how long an instance that starts waits until it knows how far
	// the rollouts are, from its first configuration.
	releaseKnownTimeout = 2 * time.Second
)

func newReleases(b release.Bounds, store ReleaseStore, m ServiceMetrics, log hclog.Logger, now func() time.Time) *releases {
	return &releases{
		bounds: b, store: store, metrics: m, log: log, now: now, arrivedSince: now,
		others: func() []release.Peer { return nil }, onNews: func() {}, onLeader: func(string) {},
		byService: map[string]*serviceRelease{}, running: map[string]map[string]int{}, view: fleet.NewView(nil),
		incarnations: map[string]uint64{},
	}
}

// request takes over an order or its withdrawal.
func (r *releases) request(req state.ReleaseRequest) {
	members := len(r.others()) + 1
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	known := r.byService[req.Service]
	switch {
	case req.Order == nil && known == nil:
		return
	case req.Order == nil:
		known.Withdraw(now)
		return
	case known != nil && known.Order().To == req.Order.To:
		known.Renew(*req.Order)
		return
	case known != nil:
		phase, _ := known.Phase()
		r.log.Warn("rollout replaced by another order", "service", req.Service, "was_to", known.Order().To, "phase", phase.String(), "to", req.Order.To)
	}
	if delay := release.VerdictDelay(members); delay > r.bounds.RollbackTime {
		r.log.Warn("the verdict on a new version may take longer than it should", "expected", delay.String(), "bound", r.bounds.RollbackTime.String(), "instances", members)
	}
	r.byService[req.Service] = &serviceRelease{Rollout: release.NewRollout(*req.Order, r.bounds, members, req.Recent, now)}
	r.updateUpstreams(req.Service)
	r.active.Store(true)
}

// setView replaces the listed upstreams.
func (r *releases) setView(v *fleet.View) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.view = v
	for service := range r.byService {
		r.updateUpstreams(service)
	}
}

// updateUpstreams passes the upstreams of a service that take requests to its rollout. The
// caller holds mu.
func (r *releases) updateUpstreams(service string) {
	var list []release.Upstream
	for _, u := range r.view.ByService(service) {
		if !u.Draining {
			list = append(list, release.Upstream{ID: u.ID, Software: u.Software, Slots: u.Slots})
		}
	}
	r.byService[service].SetUpstreams(list)
}

// known reports whether this instance knows how far all rollouts are.
func (r *releases) known() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.byService {
		if !s.Known() {
			return false
		}
	}
	return true
}

// Choose returns which version of a service gets a request. The result is false if no rollout of the
// service is in progress; key is not called then.
func (r *releases) Choose(service string, key func() uint64) (release.Choice, bool) {
	if !r.active.Load() {
		return release.Choice{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.byService[service]
	if s == nil {
		return release.Choice{}, false
	}
	return s.Choose(key(), r.now()), true
}

// Fallback returns which version gets a request that the new one failed. One that was not sent
// there does not count as exposed.
func (r *releases) Fallback(service string, unsent bool) release.Choice {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.byService[service]
	if s == nil {
		return release.Choice{}
	}
	if unsent {
		s.Refund()
	}
	return s.Fallback(r.now())
}

// Expose records that the rest of a stream goes to the version at which it began. It reports
// whether that version may get it.
func (r *releases) Expose(service, software string) bool {
	if !r.active.Load() {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.byService[service]
	if s == nil {
		return true
	}
	if software == s.Order().To {
		s.Expose()
	}
	return s.MaySend(software, r.now())
}

// MaySend reports whether the version of an upstream may get a request now.
func (r *releases) MaySend(u *fleet.Upstream) bool {
	if !r.active.Load() {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.byService[u.Service]
	return s == nil || s.MaySend(u.Software, r.now())
}

// Begin implements dispatch.Releases. It counts without a rollout, too, since requests may
// outlast the time until one begins.
func (r *releases) Begin(u *fleet.Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running[u.Service] == nil {
		r.running[u.Service] = map[string]int{}
	}
	r.running[u.Service][u.Software]++
}

// End records that a request ended at an upstream. sample is nil if it showed nothing of the
// version; cut says that the answer ended with its connection.
func (r *releases) End(u *fleet.Upstream, sample *release.Sample, cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	byVersion := r.running[u.Service]
	if byVersion[u.Software]--; byVersion[u.Software] <= 0 {
		delete(byVersion, u.Software)
	}
	s := r.byService[u.Service]
	if s == nil || sample == nil {
		return
	}
	sample.New = u.Software == s.Order().To
	process := u.ID + "/" + strconv.FormatInt(u.StartTimeMS, 10)
	if cut {
		s.RecordCut(process, *sample)
		return
	}
	s.RecordAnswer(process, *sample)
}

// runningOld returns the requests of this instance at the versions that a rollout replaces.
// The caller holds mu.
func (r *releases) runningOld(s *serviceRelease) int {
	total := 0
	for software, n := range r.running[s.Order().Service] {
		if software != s.Order().To {
			total += n
		}
	}
	return total
}

// run evaluates the rollouts until ctx ends.
func (r *releases) run(ctx context.Context) {
	ticker := time.NewTicker(releaseInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if r.active.Load() {
			r.tick(ctx)
		}
	}
}

func (r *releases) tick(ctx context.Context) {
	members := len(r.others()) + 1
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	for service, s := range r.byService {
		s.SetMembers(members)
		s.SetRunning(r.runningOld(s))
		if s.Tick(now) {
			r.logPhase(s, "evidence")
		}
		if !s.Known() {
			r.readRecord(ctx, s)
		}
		phase, final := s.Phase()
		if !final && now.Sub(s.toldAt) >= releaseStatementInterval(phase) {
			r.onNews()
		}
		statement := s.Statement(now, false)
		r.metrics.ReleaseState(service, int(phase), statement.Requests, statement.Exposed)
	}
}

// logPhase logs a change of a rollout's phase and has the others told. The caller holds mu.
func (r *releases) logPhase(s *serviceRelease, by string) {
	phase, final := s.Phase()
	requests, exposed := s.Exposure()
	r.log.Info("phase of a rollout changed", "service", s.Order().Service, "to", s.Order().To, "phase", phase.String(), "final", final,
		"by", by, "reason", s.Reason(), "requests", requests, "exposed", exposed)
	s.toldAt = time.Time{}
	r.onNews()
}

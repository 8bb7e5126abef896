package edge

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/fescuestep/fescuestep/pkg/call"
	"github.com/fescuestep/fescuestep/pkg/fleet"
	"github.com/fescuestep/fescuestep/pkg/placement"
	"github.com/fescuestep/fescuestep/pkg/upstreamrate"
)

// placer wraps a placement.Balancer for concurrent use. It implements
// dispatch.Placer.
type placer struct {
	log          hclog.Logger
	now          func() time.Time
	onLongPrompt func(placement.Announcement) // called when a long prompt was sent to an engine and when the engine has computed it
	onLeaving    func(*fleet.Upstream)        // called when an upstream first states that it leaves
	onRefusal    func(placement.Refusal)      // called when a brittle upstream refused a request for want of room
	onWorkTime   func(service string)         // called when an upstream states how long work takes there
	onLimit      func(upstreamrate.Statement) // called when an upstream names another limit than before, or none

	mu       sync.Mutex
	balancer *placement.Balancer
	view     *fleet.View // the listed upstreams
	relisted bool        // the view was replaced since the work of all other instances was last set
}

func newPlacer(balancer *placement.Balancer, log hclog.Logger, now func() time.Time) *placer {
	return &placer{
		log: log, now: now, balancer: balancer, view: fleet.NewView(nil), onLongPrompt: func(placement.Announcement) {}, onLeaving: func(*fleet.Upstream) {}, onLimit: func(upstreamrate.Statement) {},
		onRefusal: func(placement.Refusal) {}, onWorkTime: func(string) {},
	}
}

// Pick chooses an upstream for a request. It returns the attempt and the expected
// time to the first token.
func (p *placer) Pick(q placement.Query) (*placement.Attempt, time.Duration, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.balancer.Pick(p.now(), q)
}

// Begin counts an attempt before it is sent, and announces a long prompt to the
// other instances. It returns false if the attempt must not be sent.
func (p *placer) Begin(attempt *placement.Attempt) bool {
	p.mu.Lock()
	ok := p.balancer.Begin(attempt, p.now())
	p.mu.Unlock()
	if ok && attempt.IsLong() {
		p.onLongPrompt(placement.Announcement{Upstream: attempt.Upstream.ID, Keys: attempt.SharedKeys(), ReadyIn: attempt.ExpectedTTFT, NewTokens: attempt.NewTokens()})
	}
	return ok
}

// PrefixComputeTime returns how long the upstream is still expected to compute the
// prompt's shared parts for other requests.
func (p *placer) PrefixComputeTime(attempt *placement.Attempt) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.balancer.RemainingComputeTime(attempt, p.now())
}

// FirstToken records that the upstream has computed the prompt, and announces a long
// prompt to the other instances. saved reports whether the upstream saved the
// prompt's KV cache to the cache store.
func (p *placer) FirstToken(attempt *placement.Attempt, saved bool) {
	p.mu.Lock()
	speed := p.balancer.FirstToken(attempt, saved, p.now())
	p.mu.Unlock()
	if attempt.IsLong() {
		announcement := placement.Announcement{Upstream: attempt.Upstream.ID, Keys: attempt.SharedKeys(), Speed: speed}
		if saved {
			announcement.NewStoreTokens = attempt.NewStoreTokens()
		}
		p.onLongPrompt(announcement)
	}
}

// Done records the result of an attempt that has ended.
func (p *placer) Done(attempt *placement.Attempt, r placement.Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.balancer.Done(attempt, r, p.now())
}

// RecordLoad records the load that an upstream reported.
func (p *placer) RecordLoad(id string, load call.Load) {
	p.mu.Lock()
	p.balancer.RecordLoad(id, load, p.now())
	u := p.view.ByID(id)
	p.mu.Unlock()
	if load.WorkTimePercent > 0 && u != nil {
		p.onWorkTime(u.Service)
	}
}

// prefixDemand returns the prefixes for which most requests arrive here, at most n.
func (p *placer) prefixDemand(n int) []placement.PrefixDemand {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.balancer.PrefixDemand(n, p.now())
}

func (p *placer) setPrefixDemand(instance string, demand []placement.PrefixDemand) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.balancer.SetPrefixDemand(instance, demand, p.now())
}

// replicatePrefixes turns the replication of prefixes on for a service for a while.
func (p *placer) replicatePrefixes(service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.balancer.ReplicatePrefixes(service, p.now())
}

// RecordWeights records the version of a model's weights that an upstream has.
func (p *placer) RecordWeights(id, model string, version int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.balancer.RecordWeights(id, model, version, p.now())
}

// RecordWeightsMismatch records that an upstream refused a request because it no
// longer has the given version of a model's weights.
func (p *placer) RecordWeightsMismatch(id, model string, refused int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.balancer.RecordWeightsMismatch(id, model, refused)
}

// SetBusy sends no new requests to an upstream for the duration d.
func (p *placer) SetBusy(id string, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.balancer.SetBusyUntil(id, p.now().Add(d))
}

// RecordLeaving records that an upstream stated that it leaves. The upstream gets no
// new requests from when this returns.
func (p *placer) RecordLeaving(u *fleet.Upstream) {
	p.mu.Lock()
	listed := p.view.ByID(u.ID)
	known := listed == nil || listed.Draining || listed.StartTimeMS != u.StartTimeMS
	p.mu.Unlock()
	if !known {
		p.onLeaving(u)
	}
}

// RecordRateLimit records the limit, in requests per second, that an upstream named in its
// answer to an attempt.
func (p *placer) RecordRateLimit(attempt *placement.Attempt, perSecond float64) {
	p.mu.Lock()
	statement, changed := p.balancer.RecordRateLimit(attempt, perSecond, p.now())
	p.mu.Unlock()
	if changed {
		p.onLimit(statement)
	}
}

// RecordNoRateLimit records that an upstream named no limit in its answer to an attempt.
func (p *placer) RecordNoRateLimit(attempt *placement.Attempt) {
	p.mu.Lock()
	statement, ended := p.balancer.RecordNoRateLimit(attempt, p.now())
	p.mu.Unlock()
	if ended {
		p.onLimit(statement)
	}
}

// RecordBrittle records that an upstream stated in its answer to an attempt that those of
// its service end if they refuse more than maxRefusals requests in a second.
func (p *placer) RecordBrittle(attempt *placement.Attempt, maxRefusals int) {
	p.mu.Lock()
	began := p.balancer.RecordBrittle(attempt, maxRefusals, p.now())
	p.mu.Unlock()
	if began {
		p.log.Info("upstreams of a service are brittle", "service", attempt.Upstream.Service, "refusals_per_second", maxRefusals)
	}
}

// RecordNotBrittle records that an upstream stated nothing of that kind.
func (p *placer) RecordNotBrittle(attempt *placement.Attempt) {
	p.mu.Lock()
	ended := p.balancer.RecordNotBrittle(attempt, p.now())
	p.mu.Unlock()
	if ended {
		p.log.Info("upstreams of a service are not brittle any more", "service", attempt.Upstream.Service)
	}
}

// RecordRefusal records that an upstream refused a request for want of room.
func (p *placer) RecordRefusal(u *fleet.Upstream) {
	p.mu.Lock()
	o, _ := p.balancer.Occupancy(u, p.now())
	refusal, tell := p.balancer.RecordRefusal(u, p.now())
	p.mu.Unlock()
	if tell {
		p.log.Info("brittle upstream refused a request for want of room", "upstream", u.ID, "own", o.Own, "others", o.Others,
			"places", o.Places, "own_places", o.OwnPlaces, "room", refusal.Room, "hold", refusal.Hold.String())
		p.onRefusal(refusal)
	}
}

// applyRefusal records a refusal that another instance got from a brittle upstream.
func (p *placer) applyRefusal(r placement.Refusal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.balancer.ApplyRefusal(r, p.now())
}

// brittleStatements returns which upstreams are brittle, one per service.
func (p *placer) brittleStatements() []placement.BrittleStatement {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.balancer.BrittleStatements(p.now())
}

// adoptBrittle takes over a statement that another instance tells.
func (p *placer) adoptBrittle(s placement.BrittleStatement) {
	p.mu.Lock()
	began := p.balancer.AdoptBrittle(s, p.now())
	p.mu.Unlock()
	if began {
		p.log.Info("upstreams of a service are brittle, another instance says", "upstream", s.Upstream, "refusals_per_second", s.MaxRefusals)
	}
}

// Throttle sends no new requests to an upstream that asked for none for the duration
// d. Unlike SetBusy it holds for this instance only and is never shortened.
func (p *placer) Throttle(u *fleet.Upstream, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.balancer.Throttle(u, p.now().Add(d))
}

// adoptRateLimit records a limit that another instance tells, and how many requests per
// second that one would send to the upstream; nil: not told.
func (p *placer) adoptRateLimit(instance string, s upstreamrate.Statement, wished *float64) (changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	limits := p.balancer.Limits()
	if wished != nil {
		limits.SetWish(instance, s.Process.ID, *wished)
	}
	return limits.Record(s)
}

// rateLimits returns the limits in force, in the order of the upstreams' IDs.
func (p *placer) rateLimits() []rateLimit {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []rateLimit
	for _, s := range p.balancer.Limits().Statements(p.now()) {
		out = append(out, rateLimit{Statement: s})
	}
	slices.SortFunc(out, func(a, b rateLimit) int { return strings.Compare(a.Process.ID, b.Process.ID) })
	return out
}

// tellWishes adds to limits how many requests per second this instance would send.
func (p *placer) tellWishes(limits []rateLimit) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, l := range limits {
		wished := p.balancer.Limits().TellWish(l.Process, p.now())
		limits[i].wished = &wished
	}
}

func (p *placer) addInstance(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.balancer.Limits().AddInstance(name)
}

func (p *placer) removeInstance(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.balancer.Limits().RemoveInstance(name)
}

func (p *placer) setView(v *fleet.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view, p.relisted = v, true
	p.balancer.SetView(v)
}

// currentView returns the listed upstreams.
func (p *placer) currentView() *fleet.View {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view
}

func (p *placer) setTargetVersion(model string, version int, since time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.balancer.SetTargetVersion(model, version, since)
}

func (p *placer) applyAnnouncement(announcement placement.Announcement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.balancer.ApplyAnnouncement(announcement, p.now())
}

// changePeerWork passes on the work of the other instances at some upstreams, and the
// number of instances. It returns false if the listed upstreams have changed, so that
// all must be passed on by setPeerWork.
func (p *placer) changePeerWork(changed map[string]placement.Work, age placement.KnowledgeAge, instances int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.balancer.SetInstanceCount(instances)
	if p.relisted {
		return false
	}
	p.balancer.ChangePeerWork(changed, age, p.now())
	return true
}

func (p *placer) setPeerWork(work map[string]placement.Work, age placement.KnowledgeAge) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.relisted = false
	p.balancer.SetPeerWork(work, age, p.now())
}

func (p *placer) ownWork() map[string]placement.Work {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.balancer.OwnWork()
}

package release

import (
	"slices"
	"time"
)

// Rollout is what one instance knows of the rollout of a service. It is not safe for
// concurrent use.
type Rollout struct {
	order     Order
	bounds    Bounds
	startedAt time.Time // of the rollout, on the clock of this instance
	withdrawn time.Time // when the order was withdrawn; zero: it holds

	phase  Phase
	since  time.Time // of the phase
	known  bool      // a record or another instance told the phase
	final  bool      // the store holds the phase, which ends the rollout
	closed bool      // a Closing phase was seen: the leader may complete the rollout
	reason string    // of a rollback

	members     int       // known instances, including this one
	mostClosed  time.Time // since when most instances stated that they stopped using the old version; zero: they did not
	leaderUntil time.Time // until when this instance holds the leader lease
	heard       map[string]heardStatement

	plan     plan
	tokens   float64 // requests to the new version that this instance may still send
	requests uint64  // of the service at this instance
	exposed  uint64  // those sent to the new version before the shift
	running  int     // requests of this instance at the old version

	evidence evidence
	cuts     cuts
	tester   tester

	recorded *Record // as last read from the store or written; nil: unknown
	unsure   bool    // the store may lack the end of the rollout
}

type heardStatement struct {
	Statement
	at time.Time
}

// Statement is what an instance tells the others of a rollout.
type Statement struct {
	Service, To string
	Phase       Phase
	Known       bool
	Final       bool
	Closed      bool
	Leader      bool // the sender holds the leader lease
	RunningOld  int  // requests of the sender at the old version
	Elapsed     time.Duration
	Reason      string
	Requests    uint64 // of the service at the sender
	Exposed     uint64 // those sent to the new version before the shift
	Totals      Totals // nil: not told
}

// NewRollout returns the rollout that an order begins. members is the number of known
// instances. recent says that the order was written just now, so that the slack of the
// exposure has not been spent.
func NewRollout(o Order, b Bounds, members int, recent bool, now time.Time) *Rollout {
	r := &Rollout{
		order: o, bounds: b, startedAt: now, since: now, members: max(1, members),
		heard: map[string]heardStatement{}, evidence: newEvidence(), tester: newTester(o),
	}
	if recent {
		r.tokens = spentShare * float64(b.ExposureSlack) / float64(r.members)
	}
	return r
}

// Order returns the order.
func (r *Rollout) Order() Order { return r.order }

// Phase returns the phase and whether it is final.
func (r *Rollout) Phase() (p Phase, final bool) { return r.phase, r.final }

// Reason returns why the rollout was rolled back.
func (r *Rollout) Reason() string { return r.reason }

// Known reports whether this instance has learned how far the rollout is.
func (r *Rollout) Known() bool { return r.known }

func (r *Rollout) averageShare() float64 { return spentShare * r.bounds.ExposureShare }

func (r *Rollout) elapsed(now time.Time) time.Duration { return now.Sub(r.startedAt) }

// SetUpstreams replaces the upstreams of the service that take new requests.
func (r *Rollout) SetUpstreams(list []Upstream) { r.plan = newPlan(r.order, list, r.averageShare()) }

// SetMembers sets the number of known instances, including this one.
func (r *Rollout) SetMembers(n int) { r.members = max(1, n) }

// SetLeader records until when this instance holds the leader lease.
func (r *Rollout) SetLeader(until time.Time) { r.leaderUntil = until }

// Withdraw records that the operator withdrew the order.
func (r *Rollout) Withdraw(now time.Time) {
	if r.withdrawn.IsZero() {
		r.withdrawn = now
	}
}

// Renew records that the operator wrote the order again, with any duration.
func (r *Rollout) Renew(o Order) {
	r.withdrawn = time.Time{}
	r.order.Duration = o.Duration
}

func (r *Rollout) enter(p Phase, now time.Time) {
	if p != r.phase {
		r.phase, r.since = p, now
	}
	r.closed = r.closed || p == Closing || p == Completed
}

// Choose returns where a request goes that this instance has received. It is called once
// per request.
func (r *Rollout) Choose(key uint64, now time.Time) Choice {
	r.requests++
	r.tokens += r.averageShare()
	switch r.phase {
	case Observing:
		if r.observes() && r.tokens >= 1 && r.plan.takes(key, r.elapsed(now), r.order) {
			r.tokens--
			r.exposed++
			return Choice{Software: &r.order.To, New: true, exclude: r.plan.unselected}
		}
	case Shifting:
		if !r.permitted(now) || unit(key) < r.ramp(now) {
			return r.toNew()
		}
	case Closing, Completed:
		return r.toNew()
	case RolledBack:
	}
	return r.toOld(now)
}

// observes reports whether the new version may get its bounded share.
func (r *Rollout) observes() bool {
	return r.known && r.withdrawn.IsZero() && r.plan.news > 0 && r.plan.olds > 0
}

// ramp returns the share of the new version while it rises.
func (r *Rollout) ramp(now time.Time) float64 {
	return max(r.averageShare(), min(1, float64(now.Sub(r.since))/float64(rampTime)))
}

func (r *Rollout) toNew() Choice { return Choice{Software: &r.order.To, New: true} }

func (r *Rollout) toOld(now time.Time) Choice {
	if r.known && r.plan.olds == 0 && r.plan.news > 0 && r.phase != RolledBack {
		return r.toNew() // the old upstreams are gone
	}
	return Choice{exclude: r.plan.newIDs, Refuse: !r.mayUseOld(now)}
}

// Fallback returns where a request goes that the new version did not take or failed.
func (r *Rollout) Fallback(now time.Time) Choice {
	if r.phase != RolledBack && !r.mayUseOld(now) {
		return r.toNew()
	}
	return r.toOld(now)
}

// OwnTotals returns the counts of this instance.
func (r *Rollout) OwnTotals() Totals { return r.evidence.own }

// Restarted drops the last statement of an instance whose process is another one now. What
// the earlier one counted stays counted.
func (r *Rollout) Restarted(sender string) { delete(r.heard, sender) }

// Overdue reports whether the deadline of the order has passed without an end.
func (r *Rollout) Overdue(now time.Time) bool { return !r.final && r.elapsed(now) > r.order.Duration }

// Recorded reports whether it is known what the store holds.
func (r *Rollout) Recorded() bool { return r.recorded != nil }

// ForgetRecord makes the record count as unknown, since it may have changed.
func (r *Rollout) ForgetRecord() { r.recorded = nil }

// Settled reports whether the store holds the end of the rollout.
func (r *Rollout) Settled() bool {
	if r.recorded == nil {
		return r.final && !r.unsure
	}
	return r.final && r.recorded.To == r.order.To && r.recorded.Phase == r.phase
}

// CheckRecord makes it unknown whether the store holds the end of the rollout, until it was
// read or the holder of the lease states it.
func (r *Rollout) CheckRecord() { r.recorded, r.unsure = nil, true }

// Refund gives back what a request would have spent that was not sent to the new version.
func (r *Rollout) Refund() {
	if r.phase == Observing && r.exposed > 0 {
		r.tokens++
		r.exposed--
	}
}

// Expose spends what a request costs that must go to the new version, such as the rest of a
// stream that began there. Later requests make up for it.
func (r *Rollout) Expose() {
	if r.phase == Observing {
		r.tokens--
		r.exposed++
	}
}

// MaySend reports whether a request may be sent to a version now.
func (r *Rollout) MaySend(software string, now time.Time) bool {
	if software == r.order.To {
		return r.phase != RolledBack
	}
	return r.mayUseOld(now)
}

// mayUseOld reports whether requests may be sent to the old version: no leader can have
// completed the rollout without this instance having stated that it sends none.
func (r *Rollout) mayUseOld(now time.Time) bool {
	switch {
	case r.phase == RolledBack && r.final:
		return true
	case r.closed:
		return false
	case r.phase != Shifting && r.elapsed(now) < r.order.permitAfter():
		return true
	}
	return r.permitted(now)
}

// permitted reports whether the holder of the lease, or most instances, stated lately that
// the old version may be used. The leader completes a rollout only after most instances
// stated that they no longer use it, and PermitLife later unless all did.
func (r *Rollout) permitted(now time.Time) bool {
	if now.Before(r.leaderUntil) {
		return true
	}
	fresh := 1
	for _, h := range r.heard {
		if h.Closed || !now.Before(h.at.Add(PermitLife)) {
			continue
		}
		if h.Leader {
			return true
		}
		fresh++
	}
	return 2*fresh > r.members
}

// SetRunning sets the number of requests of this instance at the old version.
func (r *Rollout) SetRunning(n int) { r.running = n }

// Tick evaluates the evidence. It reports whether the phase changed.
func (r *Rollout) Tick(now time.Time) (changed bool) {
	if r.final || r.phase == RolledBack {
		return false
	}
	reason := r.tester.step(now, r.evidence.all)
	if reason == "" {
		return false
	}
	r.reason = reason
	r.enter(RolledBack, now)
	return true
}

// Statement returns what this instance tells the others.
func (r *Rollout) Statement(now time.Time, totals bool) Statement {
	s := Statement{
		Service: r.order.Service, To: r.order.To, Phase: r.phase, Known: r.known, Final: r.final, Closed: r.closed,
		Leader: now.Before(r.leaderUntil), RunningOld: max(0, r.running), Elapsed: r.elapsed(now), Reason: r.reason,
		Requests: r.requests, Exposed: r.exposed,
	}
	if totals {
		s.Totals = r.evidence.own
	}
	return s
}

// Hear takes over the statement of another instance's process. at is when it arrived, or
// the begin of a pause during which it may have arrived. It reports whether the phase
// changed.
func (r *Rollout) Hear(sender string, incarnation uint64, s Statement, at time.Time) (changed bool) {
	r.heard[sender] = heardStatement{s, at}
	if s.Totals != nil {
		r.evidence.merge(sender, incarnation, s.Totals)
	}
	if s.Elapsed > r.elapsed(at) && s.Elapsed <= maxDuration {
		r.startedAt = at.Add(-s.Elapsed)
	}
	if !s.Known || s.Phase < Observing || s.Phase > Completed || (s.Phase == Completed) != (s.Final && s.Phase != RolledBack) {
		return false // not known, or contradictory
	}
	r.known = true
	r.unsure = r.unsure && !(s.Leader && s.Final)
	before, wasFinal := r.phase, r.final
	switch {
	case r.final:
	case s.Final || s.Phase > r.phase:
		if s.Phase == RolledBack {
			r.reason = s.Reason
		}
		r.enter(s.Phase, at)
		r.final = s.Final
	}
	r.closed = r.closed || s.Closed
	return before != r.phase || wasFinal != r.final
}

// Forget drops the last statement of an instance that was removed after its silence. Its
// totals are kept, so that they are not counted twice if the same process is heard again.
func (r *Rollout) Forget(sender string) { delete(r.heard, sender) }

// Exposure returns how many requests of the service all instances received, as far as
// known, and how many of them went to the new version before the shift.
func (r *Rollout) Exposure() (requests, exposed uint64) {
	requests, exposed = r.requests, r.exposed
	for _, h := range r.heard {
		requests += h.Requests
		exposed += h.Exposed
	}
	return requests, exposed
}

// Totals returns the counts of all instances.
func (r *Rollout) Totals() Totals { return r.evidence.all }

// Groups returns the groups with counts, in order.
func (t Totals) Groups() []string {
	out := make([]string, 0, len(t))
	for group := range t {
		out = append(out, group)
	}
	slices.Sort(out)
	return out
}

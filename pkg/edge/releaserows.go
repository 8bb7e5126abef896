package edge

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuestep/fescuestep/pkg/external"
	"github.com/fescuestep/fescuestep/pkg/release"
)

var errOtherEra = errors.New("the store was restored from an older copy during the write; the record is read again")

// needLeader reports whether a rollout needs the holder of the leader lease.
func (r *releases) needLeader() bool {
	if !r.active.Load() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.byService {
		if !s.Settled() {
			return true
		}
	}
	return false
}

// follow records that this instance does not hold the lease.
func (r *releases) follow() {
	if !r.active.Load() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaderToken = 0
	for _, s := range r.byService {
		s.SetLeader(time.Time{})
		s.ForgetRecord()
	}
}

// storeRestored has the ends of rollouts written again that the store may lack, since it
// came back from an older copy.
func (r *releases) storeRestored() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.byService {
		s.CheckRecord()
	}
}

// lead moves the rollouts on while this instance holds the lease until a time.
func (r *releases) lead(ctx context.Context, until time.Time, token uint64, lease external.Condition) {
	if !r.active.Load() {
		return
	}
	others := r.others()
	r.mu.Lock()
	defer r.mu.Unlock()
	if token != r.leaderToken {
		r.leaderToken = token
		for _, s := range r.byService {
			s.ForgetRecord()
		}
	}
	now := r.now()
	for _, s := range r.byService {
		s.SetLeader(until)
		s.SetRunning(r.runningOld(s))
		if s.calling {
			continue
		}
		if !s.Recorded() {
			r.readRecord(ctx, s)
			continue
		}
		before, _ := s.Phase()
		write := s.Lead(now, others)
		if after, _ := s.Phase(); after != before {
			r.logPhase(s, "leader")
		}
		if write != nil {
			r.writeRecord(ctx, s, *write, lease)
			continue
		}
		if now.Sub(s.loggedAt) >= releaseLogInterval && !s.Settled() {
			s.loggedAt = now
			r.logWaiting(s, others)
		}
	}
}

// logWaiting logs what a rollout waits for. The caller holds mu.
func (r *releases) logWaiting(s *serviceRelease, others []release.Peer) {
	phase, _ := s.Phase()
	requests, exposed := s.Exposure()
	r.log.Info("rollout cannot enter its next phase yet", "service", s.Order().Service, "to", s.Order().To, "phase", phase.String(),
		"overdue", s.Overdue(r.now()), "requests", requests, "exposed", exposed, "waiting_for", strings.Join(s.Waiting(r.now(), others), "; "))
}

// readRecord starts to read the record of a rollout unless a call is in flight or one has
// just failed. The caller holds mu.
func (r *releases) readRecord(ctx context.Context, s *serviceRelease) {
	if s.calling || r.now().Sub(s.calledAt) < releaseReadInterval {
		return
	}
	s.calling, s.calledAt = true, r.now()
	service := s.Order().Service
	go func() {
		rec, at, err := r.store.ReadRelease(ctx, service)
		r.mu.Lock()
		defer r.mu.Unlock()
		s.calling = false
		if err != nil {
			r.log.Warn("cannot read the record of a rollout", "service", service, "error", err)
			return
		}
		s.calledAt = time.Time{}
		s.at = at
		r.adopt(s, rec)
	}()
}

// adopt takes over a record that was read or written. The caller holds mu.
func (r *releases) adopt(s *serviceRelease, rec *release.Record) {
	before, wasFinal := s.Phase()
	s.Adopt(rec, r.now())
	if after, final := s.Phase(); after != before || final != wasFinal {
		r.logPhase(s, "record")
	}
}

// writeRecord starts to write the record of a rollout. When the outcome is not known, or
// the condition does not hold, the record is read again. The caller holds mu.
func (r *releases) writeRecord(ctx context.Context, s *serviceRelease, rec release.Record, lease external.Condition) {
	s.calling = true
	service, version := s.Order().Service, s.at.Version
	go func() {
		at, err := r.store.WriteRelease(ctx, service, rec, lease, version)
		r.mu.Lock()
		defer r.mu.Unlock()
		s.calling = false
		if err == nil && at.Era != s.at.Era {
			err = errOtherEra // the condition meant a version of another era
		}
		if err != nil {
			s.ForgetRecord()
			r.log.Warn("cannot write the record of a rollout", "service", service, "phase", rec.Phase.String(), "error", err)
			return
		}
		s.at = at
		r.log.Info("record of a rollout written", "service", service, "to", rec.To, "phase", rec.Phase.String(), "version", at.Version)
		r.adopt(s, &rec)
	}()
}

// others returns the other known instances for rollouts of services' software. One that
// shuts down still has requests.
func (p *peers) others() []release.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	maxAge := workMaxIntervals * max(digestInterval, digestIntervalPerPeer*time.Duration(len(p.byName)))
	out := make([]release.Peer, 0, len(p.byName))
	for name, other := range p.byName {
		out = append(out, release.Peer{Name: name, Live: now.Sub(other.heardAt) < maxAge})
	}
	return out
}

// noteLeader records that another instance holds the leader lease.
func (p *peers) noteLeader(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leader, p.leaderActiveAt = name, p.now()
}

// RolloutsPath is the path, at the readiness address, of the state of rollouts of services'
// software as JSON, a list of release.Report.
const RolloutsPath = "/rollouts"

// reports returns the state of all rollouts, in the order of the services.
func (r *releases) reports() []release.Report {
	others := r.others()
	r.mu.Lock()
	defer r.mu.Unlock()
	out := []release.Report{}
	for _, s := range r.byService {
		out = append(out, s.Report(r.now(), others))
	}
	slices.SortFunc(out, func(a, b release.Report) int { return strings.Compare(a.Service, b.Service) })
	return out
}

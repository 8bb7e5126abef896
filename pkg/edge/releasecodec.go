package edge

import (
	"math"
	"time"

	"github.com/fescuestep/fescuestep/pkg/release"
	rpc "github.com/fescuestep/fescuestep/rpc/edge"
)

const (
	// maxReleasesTold bounds the rollouts in a digest. Those that do not fit follow.
	maxReleasesTold = 4
	// maxGroupsTold bounds the groups with counts in a digest; each takes up to 150 bytes.
	maxGroupsTold = 3
	// countsInterval is the least time between two digests with counts of a rollout.
	countsInterval = 200 * time.Millisecond
)

// releaseStatementInterval is the time after which a statement is told again. Permits for
// the old version and the end of requests there must be known soon.
func releaseStatementInterval(p release.Phase) time.Duration {
	if p == release.Observing {
		return 800 * time.Millisecond
	}
	return 400 * time.Millisecond
}

// encode adds the rollouts to a digest: phases always, counts in whole digests and when they
// are news. It adds nothing while no rollout is active.
func (r *releases) encode(d *rpc.Digest, partial bool) {
	if !r.active.Load() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	for _, s := range r.byService {
		if len(d.Releases) >= maxReleasesTold {
			return
		}
		phase, _ := s.Phase()
		counts := now.Sub(s.countsAt) >= countsInterval
		if partial && !counts && now.Sub(s.toldAt) < releaseStatementInterval(phase) {
			continue
		}
		s.SetRunning(r.runningOld(s))
		out := encodeRelease(s.Statement(now, false))
		s.toldAt = now
		if counts {
			s.countsAt = now
			out.Counts = s.nextCounts()
		}
		d.Releases = append(d.Releases, out)
	}
}

// nextCounts returns the counts of the next groups in turn.
func (s *serviceRelease) nextCounts() []*rpc.ReleaseCounts {
	own := s.OwnTotals()
	groups := own.Groups()
	var out []*rpc.ReleaseCounts
	for range min(len(groups), maxGroupsTold) {
		group := groups[s.nextTold%len(groups)]
		s.nextTold++
		out = append(out, encodeCounts(group, false, own[group].Old), encodeCounts(group, true, own[group].New))
	}
	return out
}

func encodeRelease(s release.Statement) *rpc.Release {
	return &rpc.Release{
		Service: s.Service, To: s.To, Phase: uint32(s.Phase), Known: s.Known, Final: s.Final, Closed: s.Closed, Leader: s.Leader,
		RunningOld: uint32(min(s.RunningOld, math.MaxInt32)), ElapsedMs: uint32(min(s.Elapsed.Milliseconds(), math.MaxUint32)),
		Reason: s.Reason, Requests: s.Requests, Exposed: s.Exposed,
	}
}

func encodeCounts(group string, isNew bool, c release.Counts) *rpc.ReleaseCounts {
	out := &rpc.ReleaseCounts{Group: group, New: isNew, Answers: c.Answers, Bad: c.Bad}
	for bucket, n := range c.Latency {
		if n == 0 && len(out.Latencies) == 0 {
			out.First = uint32(bucket + 1)
			continue
		}
		out.Latencies = append(out.Latencies, n)
	}
	for len(out.Latencies) > 0 && out.Latencies[len(out.Latencies)-1] == 0 {
		out.Latencies = out.Latencies[:len(out.Latencies)-1]
	}
	return out
}

func decodeRelease(d *rpc.Release) release.Statement {
	out := release.Statement{
		Service: d.Service, To: d.To, Phase: release.Phase(min(d.Phase, math.MaxInt16)), Known: d.Known, Final: d.Final, Closed: d.Closed, Leader: d.Leader,
		RunningOld: int(min(d.RunningOld, math.MaxInt32)), Elapsed: time.Duration(d.ElapsedMs) * time.Millisecond,
		Reason: d.Reason, Requests: d.Requests, Exposed: d.Exposed,
	}
	for _, c := range d.Counts {
		if out.Totals == nil {
			out.Totals = release.Totals{}
		}
		var counts release.Counts
		counts.Answers, counts.Bad = c.Answers, c.Bad
		for i, n := range c.Latencies {
			if bucket := uint64(c.First) + uint64(i); bucket < uint64(len(counts.Latency)) {
				counts.Latency[bucket] = n
			}
		}
		pair := out.Totals[c.Group]
		if c.New {
			pair.New = counts
		} else {
			pair.Old = counts
		}
		out.Totals[c.Group] = pair
	}
	return out
}

// apply takes over what a digest tells of rollouts. The counts of a sender begin anew with each
// incarnation.
func (r *releases) apply(sender string, incarnation uint64, d *rpc.Digest) {
	if !r.active.Load() {
		return
	}
	at := r.arrivedSince()
	leads := false
	r.mu.Lock()
	if r.incarnations[sender] != incarnation {
		r.incarnations[sender] = incarnation
		for _, s := range r.byService {
			s.Restarted(sender)
		}
	}
	for _, m := range d.Releases {
		s := r.byService[m.Service]
		if s == nil || s.Order().To != m.To {
			continue
		}
		leads = leads || (m.Leader && !d.Leaving)
		if s.Hear(sender, incarnation, decodeRelease(m), at) {
			r.logPhase(s, sender)
		}
	}
	r.mu.Unlock()
	if leads {
		r.onLeader(sender)
	}
}

// forget drops what an instance that is gone has told.
func (r *releases) forget(sender string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.incarnations, sender)
	for _, s := range r.byService {
		s.Forget(sender)
	}
}

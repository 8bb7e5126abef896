package edge

import (
	"context"
	"time"

	"github.com/fescuestep/fescuestep/pkg/placement"
	rpc "github.com/fescuestep/fescuestep/rpc/edge"
)

// peerWork holds the sums of the other instances' work. They change with the entries
// that digests change, so that the cost of a digest does not grow with the number of
// instances.
type peerWork struct {
	total   map[string]placement.Work // by upstream
	changed map[string]bool           // upstreams whose total the placer does not know yet
	counted int                       // instances whose work counts: a digest arrived recently
	heard   time.Duration             // sum of the arrivals of their last digests, each since epoch
	epoch   time.Time
	wake    chan struct{} // requests that the placer is told
}

func newPeerWork(now time.Time) peerWork {
	return peerWork{total: map[string]placement.Work{}, changed: map[string]bool{}, epoch: now, wake: make(chan struct{}, 1)}
}

// count records that a digest of an instance arrived at now.
func (s *peerWork) count(other *peer, now time.Time) {
	if other.workCounted {
		s.heard -= other.workHeardAt.Sub(s.epoch)
	} else {
		other.workCounted = true
		s.counted++
		for upstream, work := range other.work {
			s.add(upstream, placement.Work{}, work)
		}
	}
	other.workHeardAt = now
	s.heard += now.Sub(s.epoch)
}

// discount records that no digest of an instance arrived recently. Its work counts again
// with its next digest.
func (s *peerWork) discount(other *peer) {
	if !other.workCounted {
		return
	}
	other.workCounted = false
	s.counted--
	s.heard -= other.workHeardAt.Sub(s.epoch)
	for upstream, work := range other.work {
		s.add(upstream, work, placement.Work{})
	}
}

// meanAge returns the mean time since the last digests of the instances that count.
func (s *peerWork) meanAge(now time.Time) time.Duration {
	if s.counted == 0 {
		return 0
	}
	return now.Sub(s.epoch) - s.heard/time.Duration(s.counted)
}

// add replaces work of one instance in the sum for an upstream.
func (s *peerWork) add(upstream string, old, work placement.Work) {
	total := s.total[upstream]
	total.Requests += work.Requests - old.Requests
	total.PrefillTokens += work.PrefillTokens - old.PrefillTokens
	total.KVTokens += work.KVTokens - old.KVTokens
	if total == (placement.Work{}) {
		delete(s.total, upstream)
	} else {
		s.total[upstream] = total
	}
	s.changed[upstream] = true
}

// set replaces the work of one instance, which counts, at one upstream.
func (s *peerWork) set(other *peer, upstream string, work placement.Work) {
	old := other.work[upstream]
	if old == work {
		return
	}
	if work == (placement.Work{}) {
		delete(other.work, upstream)
	} else {
		other.work[upstream] = work
	}
	s.add(upstream, old, work)
}

// clear removes all work of one instance.
func (s *peerWork) clear(other *peer) {
	for upstream := range other.work {
		s.set(other, upstream, placement.Work{})
	}
}

// replace sets the work of one instance to that of a full digest.
func (s *peerWork) replace(other *peer, list []*rpc.Work) {
	told := make(map[string]bool, len(list))
	for _, w := range list {
		told[w.Upstream] = true
	}
	for upstream := range other.work {
		if !told[upstream] {
			s.set(other, upstream, placement.Work{})
		}
	}
	s.apply(other, list)
}

// apply changes the entries that a digest tells.
func (s *peerWork) apply(other *peer, list []*rpc.Work) {
	for _, w := range list {
		s.set(other, w.Upstream, placement.Work{Requests: int(w.Requests), PrefillTokens: int(w.Prefill), KVTokens: int(w.Memory)})
	}
}

// requestSum makes the placer learn of the work of the other instances.
func (p *peers) requestSum() {
	select {
	case p.work.wake <- struct{}{}:
	default:
	}
}

// applyWork applies the work in a digest. continues tells that the digest names changes
// to what the sender has told before. The caller holds mu.
func (p *peers) applyWork(other *peer, d *rpc.Digest, continues bool, now time.Time) {
	p.work.count(other, now)
	switch {
	case d.Leaving:
		p.work.clear(other)
	case continues:
		p.work.apply(other, d.Work)
	default:
		p.work.replace(other, d.Work)
	}
	d.Work = nil // kept by upstream instead
	if len(p.work.changed) > 0 {
		p.requestSum()
	}
}

// expireWork leaves out of the sums the work of instances whose last digest is too old. It is called
// once in each interval of full digests.
func (p *peers) expireWork() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	maxAge := workMaxIntervals * max(digestInterval, digestIntervalPerPeer*time.Duration(len(p.byName)))
	for _, other := range p.byName {
		if other.workCounted && now.Sub(other.workHeardAt) > maxAge {
			p.work.discount(other)
		}
	}
	p.requestSum()
}

// keepPeerWork passes the work of the other instances to the placer until ctx ends.
func (p *peers) keepPeerWork(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.work.wake:
		}
		p.sumPeerWork()
		sleep(ctx, max(sumInterval, sumIntervalPerPeer*time.Duration(p.peerCount())))
	}
}

// sumPeerWork passes the sums that have changed to the placer, and all of them after a
// change of the listed upstreams.
func (p *peers) sumPeerWork() {
	changed, age, instances := p.takeChangedWork()
	if p.placer.changePeerWork(changed, age, instances) {
		return
	}
	p.mu.Lock()
	total := make(map[string]placement.Work, len(p.work.total))
	for upstream, work := range p.work.total {
		total[upstream] = work
	}
	p.mu.Unlock()
	p.placer.setPeerWork(total, age)
}

// takeChangedWork returns the sums that have changed since the last call, how old the
// work of the others is, and the number of instances.
func (p *peers) takeChangedWork() (changed map[string]placement.Work, age placement.KnowledgeAge, instances int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	changed = make(map[string]placement.Work, len(p.work.changed))
	for upstream := range p.work.changed {
		changed[upstream] = p.work.total[upstream]
	}
	clear(p.work.changed)
	delay := max(updateDelay, updateDelayPerPeer*time.Duration(len(p.byName)))
	return changed, placement.KnowledgeAge{Announced: delay, Others: p.work.meanAge(p.now())}, len(p.byName) + 1
}

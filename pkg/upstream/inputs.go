package upstream

import (
	"time"

	"github.com/fescuestep/fescuestep/pkg/cacheindex"
	"github.com/fescuestep/fescuestep/pkg/engine"
	"github.com/fescuestep/fescuestep/pkg/external"
	"github.com/fescuestep/fescuestep/pkg/pick"
)

// OnList applies the platform's list of upstreams; entries of other pools are
// skipped. An upstream that is no longer listed gets no new requests; its
// requests in flight end as usual.
func (s *Scheduler) OnList(now time.Time, instances []external.Instance) {
	s.rec.add(now, Entry{Kind: EntryList, List: instances})
	listed := map[string]bool{}
	for i := range instances {
		in := &instances[i]
		if in.Pool != s.settings.Pool.Name {
			continue
		}
		listed[in.ID] = true
		s.applyListing(now, in)
	}
	for _, u := range append([]*pick.Upstream(nil), s.store.List()...) {
		if !listed[u.ID] {
			s.store.Remove(u.ID)
		}
	}
	s.Dispatch(now)
}

func (s *Scheduler) applyListing(now time.Time, in *external.Instance) {
	u := s.store.Get(in.ID)
	if u != nil && u.Addr != in.Addr {
		s.store.Remove(in.ID) // another process under the same ID
		u = nil
	}
	if u == nil {
		u = &pick.Upstream{ID: in.ID, Addr: in.Addr, PrefillPerSec: s.settings.Pool.PrefillPerSec}
		s.store.Add(u)
	}
	u.Domain = in.Domain
	u.ListedLeaving = in.State != external.Live
}

// OnReport applies a load report, which also proves that the upstream is
// reachable.
func (s *Scheduler) OnReport(now time.Time, id string, r *engine.LoadReport) {
	s.rec.add(now, Entry{Kind: EntryReport, Upstream: id, Report: r})
	u := s.store.Get(id)
	if u == nil {
		return
	}
	s.updateIncarnation(now, u, r.Incarnation)
	u.FailedPolls = 0
	u.ReportedLeaving = r.Leaving
	u.WeightsVersion = r.Weights
	u.Outlier.EndEjection(now)
	report := pick.LoadReport{
		SampledAt:    now.Add(-r.Age),
		Running:      r.Running,
		Waiting:      r.Waiting,
		QueuedTokens: r.QueuedTokens,
	}
	u.OnReport(report)
	s.moveStuckGrants(now, u, report)
	s.probeAnswered(now, id)
	s.Dispatch(now)
}

// OnPollFailed records that a poll of the upstream got no answer. After one
// failed poll the upstream is avoided; after two in a row it gets no new
// requests until a poll succeeds.
func (s *Scheduler) OnPollFailed(id string) {
	s.rec.addUntimed(Entry{Kind: EntryPollFailed, Upstream: id})
	if u := s.store.Get(id); u != nil {
		u.FailedPolls++
	}
}

// OnEvents applies a batch of cache events from an upstream to the cache index
// and to the blocks known to be in the KV store.
func (s *Scheduler) OnEvents(now time.Time, id string, b *engine.EventBatch) cacheindex.ApplyResult {
	s.rec.add(now, Entry{Kind: EntryEvents, Upstream: id, Events: b})
	u := s.store.Get(id)
	if u == nil {
		return cacheindex.Ignored
	}
	applied := s.store.Index.Apply(s.store.IndexTime(now), u.IndexHandle, b)
	if applied == cacheindex.Ignored {
		return applied
	}
	s.updateIncarnation(now, u, b.Incarnation)
	readyAt := s.store.IndexTime(now)
	s.addKVBlocks(readyAt, b.Blocks, 0)
	for i := range b.Events {
		if b.Events[i].Kind == engine.Stored {
			s.addKVBlocks(readyAt+exportStartDelay, b.Events[i].Blocks, s.blockExportTime())
		}
	}
	return applied
}

// Position returns the position from which the upstream's cache events are read
// next.
func (s *Scheduler) Position(id string) engine.Position {
	if u := s.store.Get(id); u != nil {
		return s.store.Index.Position(u.IndexHandle)
	}
	return engine.Position{}
}

// updateIncarnation records the incarnation reported by an upstream. A new
// incarnation has an empty cache: its index entries are dropped and its slow
// start begins.
func (s *Scheduler) updateIncarnation(now time.Time, u *pick.Upstream, incarnation string) {
	if incarnation == "" || incarnation == u.Incarnation {
		return
	}
	s.store.Index.SetIncarnation(u.IndexHandle, incarnation)
	if s.store.Index.Incarnation(u.IndexHandle) != incarnation {
		return // late answer of an older incarnation
	}
	if u.Incarnation != "" {
		u.Outlier.BeginSlowStart(now)
	}
	u.Incarnation = incarnation
	u.ResetLoad(now)
}

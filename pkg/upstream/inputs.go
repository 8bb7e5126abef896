package upstream

import (
	"time"

	"github.com/fescuestep/fescuestep/pkg/cacheindex"
	"github.com/fescuestep/fescuestep/pkg/engine"
	"github.com/fescuestep/fescuestep/pkg/external"
	"github.com/fescuestep/fescuestep/pkg/pick"
)

// OnList applies the platform's list; entries of other pools are skipped. An
// upstream that is no longer listed takes no new work; its flights end as
// usual.
func (c *Scheduler) OnList(now time.Time, instances []external.Instance) {
	c.rec.add(now, Entry{Kind: EntryList, List: instances})
	listed := map[string]bool{}
	for i := range instances {
		in := &instances[i]
		if in.Pool != c.settings.Pool.Name {
			continue
		}
		listed[in.ID] = true
		c.applyListing(now, in)
	}
	for _, u := range append([]*pick.Upstream(nil), c.store.List()...) {
		if !listed[u.ID] {
			c.store.Remove(u.ID)
		}
	}
	c.Dispatch(now)
}

func (c *Scheduler) applyListing(now time.Time, in *external.Instance) {
	u := c.store.Get(in.ID)
	if u != nil && u.Addr != in.Addr {
		c.store.Remove(in.ID) // another process under the same ID
		u = nil
	}
	if u == nil {
		u = &pick.Upstream{ID: in.ID, Addr: in.Addr, PrefillPerSec: c.settings.Pool.PrefillPerSec}
		c.store.Add(u)
	}
	u.Domain = in.Domain
	u.ListedLeaving = in.State != external.Live
}

// OnReport applies a load report, which also proves that the upstream is
// reachable.
func (c *Scheduler) OnReport(now time.Time, id string, r *engine.LoadReport) {
	c.rec.add(now, Entry{Kind: EntryReport, Upstream: id, Report: r})
	u := c.store.Get(id)
	if u == nil {
		return
	}
	c.updateIncarnation(now, u, r.Incarnation)
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
	c.moveStuckGrants(now, u, report)
	c.probeAnswered(now, id)
	c.Dispatch(now)
}

// OnPollFailed records that a poll of the upstream got no answer. After one it is
// avoided, after two in a row it takes no new work until a poll succeeds.
func (c *Scheduler) OnPollFailed(id string) {
	c.rec.addUntimed(Entry{Kind: EntryPollFailed, Upstream: id})
	if u := c.store.Get(id); u != nil {
		u.FailedPolls++
	}
}

// OnEvents applies cache events.
func (c *Scheduler) OnEvents(now time.Time, id string, b *engine.EventBatch) cacheindex.ApplyResult {
	c.rec.add(now, Entry{Kind: EntryEvents, Upstream: id, Events: b})
	u := c.store.Get(id)
	if u == nil {
		return cacheindex.Ignored
	}
	applied := c.store.Index.Apply(c.store.IndexTime(now), u.IndexHandle, b)
	if applied == cacheindex.Ignored {
		return applied
	}
	c.updateIncarnation(now, u, b.Incarnation)
	ready := c.store.IndexTime(now)
	c.addKVBlocks(ready, b.Blocks, 0)
	for i := range b.Events {
		if b.Events[i].Kind == engine.Stored {
			c.addKVBlocks(ready+exportStartDelay, b.Events[i].Blocks, c.blockExportTime())
		}
	}
	return applied
}

// Position returns where the reader of an upstream's events stands.
func (c *Scheduler) Position(id string) engine.Position {
	if u := c.store.Get(id); u != nil {
		return c.store.Index.Position(u.IndexHandle)
	}
	return engine.Position{}
}

// updateIncarnation notes the incarnation that an upstream answered with. A new
// one is cold: its entries are dropped and it starts slowly.
func (c *Scheduler) updateIncarnation(now time.Time, u *pick.Upstream, incarnation string) {
	if incarnation == "" || incarnation == u.Incarnation {
		return
	}
	c.store.Index.SetIncarnation(u.IndexHandle, incarnation)
	if c.store.Index.Incarnation(u.IndexHandle) != incarnation {
		return // an older one, answered late
	}
	if u.Incarnation != "" {
		u.Outlier.BeginSlowStart(now)
	}
	u.Incarnation = incarnation
	u.ResetLoad(now)
}

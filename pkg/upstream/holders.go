package upstream

import (
	"context"
	"time"

	"github.com/fescuestep/fescuestep/pkg/block"
	"github.com/fescuestep/fescuestep/pkg/pick"
)

// HolderFinder asks the owner of a prompt's root for engines of the pool that hold
// its blocks or have little load. *shards.Controller implements it.
type HolderFinder interface {
	Active() bool // the index is divided; otherwise every instance has its own
	Holders(ctx context.Context, pool string, blocks []block.Hash) []pick.Holder
}

// findHolders fills in what the owner of the prompt's root knows. Without an answer
// the request goes on without cache knowledge.
func (p *Pools) findHolders(ctx context.Context, pl *pool, q *Query) {
	if p.opts.Finder == nil || !pl.isModel.Load() || !p.opts.Finder.Active() {
		return
	}
	q.Sharded = true
	q.Holders = p.opts.Finder.Holders(ctx, q.Pool, q.Blocks)
}

// applyHolders notes the incarnations and loads that came with a lookup. Unlike a
// report read from the upstream itself, an old one does not show that it is
// reachable now, so that ejections stay.
func (c *Scheduler) applyHolders(now time.Time, holders []pick.Holder) {
	for i := range holders {
		h := &holders[i]
		u := c.store.Get(h.ID)
		if u == nil || h.Epoch.Before(u.Epoch) {
			continue
		}
		if u.Incarnation != h.Incarnation && !applyNewerIncarnation(now, u, h) {
			continue
		}
		u.Epoch = h.Epoch
		if h.Load != nil {
			applyHolderLoad(now, u, h)
		}
	}
}

// applyNewerIncarnation applies another incarnation than the known one and reports whether
// it is newer: of a later epoch, and not contradicted by a report that a probe
// read from the upstream itself after the owner's.
func applyNewerIncarnation(now time.Time, u *pick.Upstream, h *pick.Holder) bool {
	if u.Incarnation != "" {
		read := u.LastReport().SampledAt
		if !u.Epoch.Before(h.Epoch) || h.Load == nil && !read.IsZero() || h.Load != nil && now.Add(-h.Load.Age).Before(read) {
			return false
		}
		u.Outlier.BeginSlowStart(now)
	}
	u.Incarnation = h.Incarnation
	u.ResetLoad(time.Time{})
	return true
}

// maxReachableAge is the age up to which the load of a holder proves that its
// engine is reachable; followers read it several times a second.
const maxReachableAge = 2 * time.Second

func applyHolderLoad(now time.Time, u *pick.Upstream, h *pick.Holder) {
	l := h.Load
	sampled := now.Add(-l.Age)
	if sampled.Before(u.LastReport().SampledAt) {
		return
	}
	if l.Age < maxReachableAge {
		u.FailedPolls = 0
	}
	u.WeightsVersion = h.WeightsVersion
	u.ReportedLeaving = l.Leaving
	u.OnReport(pick.LoadReport{SampledAt: sampled, Running: l.Running, Waiting: l.Waiting, QueuedTokens: l.QueuedTokens})
}

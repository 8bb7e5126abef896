package upstream

import (
	"context"
	"time"

	"github.com/fescuestep/fescuestep/pkg/block"
	"github.com/fescuestep/fescuestep/pkg/pick"
)

// HolderFinder looks up engines of a pool in the sharded cache index. It asks
// the shard owner of a prompt: the instance that owns the index partition of
// the prompt's first block. *shards.Controller implements it.
type HolderFinder interface {
	// Active reports whether the index is sharded. Otherwise every instance
	// keeps an index of its own.
	Active() bool
	// Holders returns engines that hold leading blocks or have little load.
	Holders(ctx context.Context, pool string, blocks []block.Hash) []pick.Holder
}

// findHolders adds the holders that the prompt's shard owner returns to q. If
// the owner does not answer, q has no cache information.
func (p *Pools) findHolders(ctx context.Context, pl *pool, q *Query) {
	if p.opts.Finder == nil || !pl.isModel.Load() || !p.opts.Finder.Active() {
		return
	}
	q.Sharded = true
	q.Holders = p.opts.Finder.Holders(ctx, q.Pool, q.Blocks)
}

// applyHolders records the incarnations and loads from a lookup. Unlike a
// report read from the upstream itself, an old load does not show that the
// upstream is reachable now, so ejections stay in force.
func (s *Scheduler) applyHolders(now time.Time, holders []pick.Holder) {
	for i := range holders {
		h := &holders[i]
		u := s.store.Get(h.ID)
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

// applyNewerIncarnation applies an incarnation that differs from the known one
// if it is newer, and reports whether it is. It is newer if its epoch is later
// and no report read from the upstream itself after the shard owner's
// contradicts it.
func applyNewerIncarnation(now time.Time, u *pick.Upstream, h *pick.Holder) bool {
	if u.Incarnation != "" {
		reportedAt := u.LastReport().SampledAt
		if !u.Epoch.Before(h.Epoch) || h.Load == nil && !reportedAt.IsZero() || h.Load != nil && now.Add(-h.Load.Age).Before(reportedAt) {
			return false
		}
		u.Outlier.BeginSlowStart(now)
	}
	u.Incarnation = h.Incarnation
	u.ResetLoad(time.Time{})
	return true
}

// maxReachableAge is the age up to which a holder's load proves that the engine
// is reachable. The instances that follow the engine read its load several
// times a second.
const maxReachableAge = 2 * time.Second

func applyHolderLoad(now time.Time, u *pick.Upstream, h *pick.Holder) {
	l := h.Load
	sampledAt := now.Add(-l.Age)
	if sampledAt.Before(u.LastReport().SampledAt) {
		return
	}
	if l.Age < maxReachableAge {
		u.FailedPolls = 0
	}
	u.WeightsVersion = h.WeightsVersion
	u.ReportedLeaving = l.Leaving
	u.OnReport(pick.LoadReport{SampledAt: sampledAt, Running: l.Running, Waiting: l.Waiting, QueuedTokens: l.QueuedTokens})
}

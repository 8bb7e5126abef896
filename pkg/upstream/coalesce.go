package upstream

import (
	"slices"
	"time"

	"github.com/fescuestep/fescuestep/pkg/block"
)

// leader is a grant whose prefill computes blocks that others need too.
type leader struct {
	grant         *Grant
	firstTokenDue time.Time // estimated first token
}

// holdTimeoutFactor extends a hold beyond the leader's estimated first token, because
// releasing the followers just before it would waste the whole prefill.
const holdTimeoutFactor = 2

// holdDelayDivisor is the divisor of the saved prefill time by which a hold may
// delay the follower: the leader also prefills its own end of the prompt.
const holdDelayDivisor = 4

// minHoldSaving is the prefill time that a hold must save; below it the wait for
// the leader's first token costs more than recomputing.
const minHoldSaving = 20 * time.Millisecond

// registerLeader registers the blocks that a new grant is expected to compute.
func (c *Scheduler) registerLeader(now time.Time, g *Grant) {
	if !c.settings.Coalesce || len(g.query.Blocks) == 0 || c.settings.Pool.BlockTokens <= 0 {
		return
	}
	cached := g.choice.HitTokens / c.settings.Pool.BlockTokens
	if cached >= len(g.query.Blocks) {
		return
	}
	l := &leader{grant: g, firstTokenDue: now.Add(g.choice.EstimatedTTFT)}
	g.pendingBlocks = g.query.Blocks[cached:]
	for _, h := range g.pendingBlocks {
		if c.leaders[h] == nil {
			c.leaders[h] = l
		}
	}
}

// holdForLeader keeps w back while a request in flight computes blocks that w needs and
// that no engine has, when that saves more than it delays.
func (c *Scheduler) holdForLeader(now time.Time, w *Waiter) bool {
	if !c.settings.Coalesce || w.wasHeld || len(c.held) >= c.settings.Queue.Total || len(w.query.Blocks) == 0 || c.settings.Pool.PrefillPerSec <= 0 {
		return false
	}
	l, depth := c.deepestLeader(w.query.Blocks)
	if l == nil {
		return false
	}
	known := c.cachedPrefixBlocks(now, &w.query)
	if known >= depth {
		return false
	}
	tokens := float64((depth - known) * c.settings.Pool.BlockTokens)
	saving := time.Duration(tokens / c.settings.Pool.PrefillPerSec * float64(time.Second))
	remaining := max(l.firstTokenDue.Sub(now), 0)
	if saving < minHoldSaving || remaining > saving+saving/holdDelayDivisor+minHoldSaving {
		return false
	}
	w.releaseAt = now.Add(holdTimeoutFactor * max(remaining, minHoldSaving))
	if d := w.query.Deadline; !d.IsZero() && w.releaseAt.Add(saving).After(d) {
		return false
	}
	w.state, w.leader, w.wasHeld = holding, l, true
	c.held = append(c.held, w)
	return true
}

// cachedPrefixBlocks returns the number of leading blocks that an engine holds or that the
// KV store has.
func (c *Scheduler) cachedPrefixBlocks(now time.Time, q *Query) int {
	blocks, n := q.Blocks, c.store.LongestPrefix(c.pickRequest(q))
	for n < len(blocks) && c.store.KVBlocks.Has(blocks[n], c.store.IndexTime(now)) {
		n++
	}
	return n
}

func (c *Scheduler) deepestLeader(blocks []block.Hash) (*leader, int) {
	for i := len(blocks) - 1; i >= 0; i-- {
		if l := c.leaders[blocks[i]]; l != nil {
			return l, i + 1
		}
	}
	return nil, 0
}

// releaseFollowers ends the lead of a grant and queues the requests it held back.
func (c *Scheduler) releaseFollowers(now time.Time, g *Grant) {
	if g.pendingBlocks == nil {
		return
	}
	for _, h := range g.pendingBlocks {
		if l := c.leaders[h]; l != nil && l.grant == g {
			delete(c.leaders, h)
		}
	}
	g.pendingBlocks = nil
	c.requeueHeld(now, func(w *Waiter) bool { return w.leader.grant == g })
}

// expireHolds queues requests whose leader took too long.
func (c *Scheduler) expireHolds(now time.Time) {
	c.requeueHeld(now, func(w *Waiter) bool { return !now.Before(w.releaseAt) })
}

func (c *Scheduler) requeueHeld(now time.Time, which func(*Waiter) bool) {
	var out []*Waiter
	c.held = slices.DeleteFunc(c.held, func(w *Waiter) bool {
		if !which(w) {
			return false
		}
		out = append(out, w)
		return true
	})
	for _, w := range out {
		w.leader = nil
		c.enqueue(now, w)
	}
}

func (c *Scheduler) removeHeld(w *Waiter) {
	c.held = slices.DeleteFunc(c.held, func(o *Waiter) bool { return o == w })
	w.leader = nil
}

package upstream

import (
	"slices"
	"time"

	"github.com/fescuestep/fescuestep/pkg/block"
)

// leader is a grant whose prefill computes blocks that others need too.
type leader struct {
	grant *Grant
	due   time.Time // estimated first token
}

// holdSlack extends a hold beyond the leader's estimated first token, because
// releasing the followers just before it would waste the whole prefill.
const holdSlack = 2

// holdExcess is the divisor of the saved prefill time by which a hold may
// delay the follower: the leader also prefills its own end of the prompt.
const holdExcess = 4

// minSaving is the prefill time that a hold must save; below it the wait for
// the leader's first token costs more than recomputing.
const minSaving = 20 * time.Millisecond

// lead registers the blocks that a new grant is expected to compute.
func (c *Core) lead(now time.Time, g *Grant) {
	if !c.set.Coalesce || len(g.query.Blocks) == 0 || c.set.Pool.BlockTokens <= 0 {
		return
	}
	cached := g.choice.HitTokens / c.set.Pool.BlockTokens
	if cached >= len(g.query.Blocks) {
		return
	}
	l := &leader{grant: g, due: now.Add(g.choice.EstimatedTTFT)}
	g.led = g.query.Blocks[cached:]
	for _, h := range g.led {
		if c.leaders[h] == nil {
			c.leaders[h] = l
		}
	}
}

// hold keeps w back while a request in flight computes blocks that w needs and
// that no engine has, when that saves more than it delays.
func (c *Core) hold(now time.Time, w *Wait) bool {
	if !c.set.Coalesce || w.held || len(c.held) >= c.set.Queue.Total || len(w.query.Blocks) == 0 || c.set.Pool.PrefillPerSec <= 0 {
		return false
	}
	l, depth := c.deepestLeader(w.query.Blocks)
	if l == nil {
		return false
	}
	known := c.known(now, &w.query)
	if known >= depth {
		return false
	}
	tokens := float64((depth - known) * c.set.Pool.BlockTokens)
	saving := time.Duration(tokens / c.set.Pool.PrefillPerSec * float64(time.Second))
	remaining := max(l.due.Sub(now), 0)
	if saving < minSaving || remaining > saving+saving/holdExcess+minSaving {
		return false
	}
	w.until = now.Add(holdSlack * max(remaining, minSaving))
	if d := w.query.Deadline; !d.IsZero() && w.until.Add(saving).After(d) {
		return false
	}
	w.state, w.leader, w.held = holding, l, true
	c.held = append(c.held, w)
	return true
}

// known returns the number of leading blocks that an engine holds or that the
// KV store has.
func (c *Core) known(now time.Time, q *Query) int {
	blocks, n := q.Blocks, c.store.LongestPrefix(c.pickRequest(q))
	for n < len(blocks) && c.store.KVBlocks.Has(blocks[n], c.store.IndexTime(now)) {
		n++
	}
	return n
}

func (c *Core) deepestLeader(blocks []block.Hash) (*leader, int) {
	for i := len(blocks) - 1; i >= 0; i-- {
		if l := c.leaders[blocks[i]]; l != nil {
			return l, i + 1
		}
	}
	return nil, 0
}

// release ends the lead of a grant and queues the requests it held back.
func (c *Core) release(now time.Time, g *Grant) {
	if g.led == nil {
		return
	}
	for _, h := range g.led {
		if l := c.leaders[h]; l != nil && l.grant == g {
			delete(c.leaders, h)
		}
	}
	g.led = nil
	c.requeue(now, func(w *Wait) bool { return w.leader.grant == g })
}

// endHolds queues requests whose leader took too long.
func (c *Core) endHolds(now time.Time) {
	c.requeue(now, func(w *Wait) bool { return !now.Before(w.until) })
}

func (c *Core) requeue(now time.Time, which func(*Wait) bool) {
	var out []*Wait
	c.held = slices.DeleteFunc(c.held, func(w *Wait) bool {
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

func (c *Core) unhold(w *Wait) {
	c.held = slices.DeleteFunc(c.held, func(o *Wait) bool { return o == w })
	w.leader = nil
}

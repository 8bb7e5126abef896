package upstream

import (
	"slices"
	"time"

	"github.com/fescuestep/fescuestep/pkg/block"
)

// leader is a grant whose prefill computes blocks that other requests (its
// followers) need too.
type leader struct {
	grant         *Grant
	firstTokenDue time.Time // estimated first token
}

// holdTimeoutFactor is the multiple of the time to the leader's estimated first
// token after which a hold expires. Releasing the followers just before the
// first token would waste the whole prefill.
const holdTimeoutFactor = 2

// holdDelayDivisor sets how much longer than the saved prefill time a hold may
// last: by that time divided by holdDelayDivisor. The leader also prefills the
// rest of its own prompt, which its followers have to wait for.
const holdDelayDivisor = 4

// minHoldSaving is the least prefill time that a hold must save. Below it,
// waiting for the leader's first token costs more than recomputing the blocks.
const minHoldSaving = 20 * time.Millisecond

// registerLeader registers g as the leader for the blocks that its prefill is
// expected to compute.
func (s *Scheduler) registerLeader(now time.Time, g *Grant) {
	if !s.settings.Coalesce || len(g.query.Blocks) == 0 || s.settings.Pool.BlockTokens <= 0 {
		return
	}
	cached := g.choice.HitTokens / s.settings.Pool.BlockTokens
	if cached >= len(g.query.Blocks) {
		return
	}
	l := &leader{grant: g, firstTokenDue: now.Add(g.choice.EstimatedTTFT)}
	g.pendingBlocks = g.query.Blocks[cached:]
	for _, h := range g.pendingBlocks {
		if s.leaders[h] == nil {
			s.leaders[h] = l
		}
	}
}

// holdForLeader holds w back while a request in flight computes blocks that w
// needs and that no engine has cached, if the prefill time saved outweighs the
// delay. It reports whether w is held.
func (s *Scheduler) holdForLeader(now time.Time, w *Waiter) bool {
	if !s.settings.Coalesce || w.wasHeld || len(s.held) >= s.settings.Queue.Total || len(w.query.Blocks) == 0 || s.settings.Pool.PrefillPerSec <= 0 {
		return false
	}
	l, leaderBlocks := s.deepestLeader(w.query.Blocks)
	if l == nil {
		return false
	}
	cachedBlocks := s.cachedPrefixBlocks(now, &w.query)
	if cachedBlocks >= leaderBlocks {
		return false
	}
	tokens := float64((leaderBlocks - cachedBlocks) * s.settings.Pool.BlockTokens)
	saving := time.Duration(tokens / s.settings.Pool.PrefillPerSec * float64(time.Second))
	remaining := max(l.firstTokenDue.Sub(now), 0)
	if saving < minHoldSaving || remaining > saving+saving/holdDelayDivisor+minHoldSaving {
		return false
	}
	w.releaseAt = now.Add(holdTimeoutFactor * max(remaining, minHoldSaving))
	if d := w.query.Deadline; !d.IsZero() && w.releaseAt.Add(saving).After(d) {
		return false
	}
	w.state, w.leader, w.wasHeld = holding, l, true
	s.held = append(s.held, w)
	return true
}

// cachedPrefixBlocks returns the number of leading blocks that an engine or the
// KV store holds.
func (s *Scheduler) cachedPrefixBlocks(now time.Time, q *Query) int {
	blocks, n := q.Blocks, s.store.Index.LongestPrefix(q.Blocks)
	for n < len(blocks) && s.store.KVBlocks.Has(blocks[n], s.store.IndexTime(now)) {
		n++
	}
	return n
}

func (s *Scheduler) deepestLeader(blocks []block.Hash) (*leader, int) {
	for i := len(blocks) - 1; i >= 0; i-- {
		if l := s.leaders[blocks[i]]; l != nil {
			return l, i + 1
		}
	}
	return nil, 0
}

// releaseFollowers unregisters g as a leader and queues the requests held for
// it.
func (s *Scheduler) releaseFollowers(now time.Time, g *Grant) {
	if g.pendingBlocks == nil {
		return
	}
	for _, h := range g.pendingBlocks {
		if l := s.leaders[h]; l != nil && l.grant == g {
			delete(s.leaders, h)
		}
	}
	g.pendingBlocks = nil
	s.requeueHeld(now, func(w *Waiter) bool { return w.leader.grant == g })
}

// expireHolds queues requests whose hold has timed out.
func (s *Scheduler) expireHolds(now time.Time) {
	s.requeueHeld(now, func(w *Waiter) bool { return !now.Before(w.releaseAt) })
}

func (s *Scheduler) requeueHeld(now time.Time, match func(*Waiter) bool) {
	var released []*Waiter
	s.held = slices.DeleteFunc(s.held, func(w *Waiter) bool {
		if !match(w) {
			return false
		}
		released = append(released, w)
		return true
	})
	for _, w := range released {
		w.leader = nil
		s.enqueue(now, w)
	}
}

func (s *Scheduler) removeHeld(w *Waiter) {
	s.held = slices.DeleteFunc(s.held, func(o *Waiter) bool { return o == w })
	w.leader = nil
}

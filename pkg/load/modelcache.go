package load

import (
	"slices"
	"time"

	"github.com/fescuestep/fescuestep/pkg/block"
	"github.com/fescuestep/fescuestep/pkg/engine"
)

// match returns how many leading blocks are cached.
func (e *modelEngine) match(blocks []block.Hash) int {
	for i, h := range blocks {
		if _, ok := e.blocks[h]; !ok {
			return i
		}
	}
	return len(blocks)
}

func (e *modelEngine) touch(h block.Hash, now time.Duration) {
	if el, ok := e.blocks[h]; ok {
		el.Value = cached{h, now}
		e.order.MoveToFront(el)
		return
	}
	e.blocks[h] = e.order.PushFront(cached{h, now})
}

// insert caches a chain, its end being the first to be evicted.
func (e *modelEngine) insert(blocks []block.Hash, now time.Duration) {
	fresh := blocks[e.match(blocks):]
	for i := len(blocks) - 1; i >= 0; i-- {
		e.touch(blocks[i], now)
	}
	if len(fresh) > 0 {
		e.publish(engine.Stored, fresh)
	}
	e.evict(func(cached) bool { return e.order.Len() > modelCapacity })
}

func (e *modelEngine) expire(now time.Duration) {
	e.evict(func(c cached) bool { return c.used+modelLifetime < now })
}

func (e *modelEngine) evict(condition func(cached) bool) {
	var removed []block.Hash
	for el := e.order.Back(); el != nil; el = e.order.Back() {
		c := el.Value.(cached)
		if !condition(c) {
			break
		}
		e.order.Remove(el)
		delete(e.blocks, c.hash)
		removed = append(removed, c.hash)
	}
	if len(removed) > 0 {
		e.publish(engine.Removed, removed)
	}
}

func (e *modelEngine) publish(kind engine.EventKind, blocks []block.Hash) {
	e.seq++
	if e.lose > 0 {
		e.lose--
		return
	}
	ev := engine.Event{Seq: e.seq, Kind: kind, Blocks: slices.Clone(blocks)}
	e.log = append(e.log, loggedEvent{ev, e.fleet.clock.now})
}

// events answers a poll of cache events; they appear modelEventLag late.
func (e *modelEngine) events(after engine.Position) engine.EventBatch {
	now := e.fleet.clock.now
	e.expire(now)
	b := engine.EventBatch{Incarnation: e.incarnation, Weights: "1"}
	if after.Incarnation != e.incarnation {
		b.Snapshot, b.Seq = true, e.seq
		for el := e.order.Front(); el != nil; el = el.Next() {
			b.Blocks = append(b.Blocks, el.Value.(cached).hash)
		}
		return b
	}
	b.Seq = after.Seq
	for i := range e.log {
		ev := &e.log[i]
		if ev.Seq > after.Seq && ev.at+modelEventLag <= now {
			b.Events = append(b.Events, ev.Event)
			b.Seq = ev.Seq
		}
	}
	e.trim(now)
	return b
}

// logKept is longer than the interval at which instances poll.
const logKept = 5 * time.Second

func (e *modelEngine) trim(now time.Duration) {
	n := 0
	for n < len(e.log) && e.log[n].at+logKept < now {
		n++
	}
	e.log = e.log[n:]
}

func sortJobs(jobs []*job) {
	slices.SortFunc(jobs, func(a, b *job) int {
		if a.arrival.At != b.arrival.At {
			return int(a.arrival.At - b.arrival.At)
		}
		return a.arrival.Instance - b.arrival.Instance
	})
}

// transferTime is the time to move blocks between an engine and the KV store.
func transferTime(blocks int) time.Duration {
	return time.Duration(float64(blocks*BlockTokens) / modelKVPerSec * float64(time.Second))
}

// importBlocks caches the leading blocks that the KV store holds.
func (e *modelEngine) importBlocks(blocks []block.Hash) int {
	n := 0
	for n < len(blocks) && e.fleet.kv[blocks[n]] {
		n++
	}
	e.insert(blocks[:n], e.fleet.clock.now)
	return n
}

// exportBlocks writes the leading blocks that are cached to the KV store.
func (e *modelEngine) exportBlocks(blocks []block.Hash) int {
	n := e.match(blocks)
	for _, h := range blocks[:n] {
		e.fleet.kv[h] = true
	}
	return n
}

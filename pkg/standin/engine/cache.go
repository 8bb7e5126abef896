package engine

import (
	"container/list"
	"time"

	"github.com/fescuestep/fescuestep/pkg/block"
	"github.com/fescuestep/fescuestep/pkg/engine"
)

// cache is the prefix cache of one incarnation. It is not safe for concurrent
// use. Every change is reported to publish.
type cache struct {
	capacity int
	blocks   map[block.Hash]*list.Element
	order    *list.List // of entry, most recently used first
	publish  func(engine.Event)
	evicted  int
}

type entry struct {
	hash   block.Hash
	parent block.Hash
	used   time.Time
}

func newCache(capacity int, publish func(engine.Event)) *cache {
	return &cache{capacity: capacity, blocks: map[block.Hash]*list.Element{}, order: list.New(), publish: publish}
}

// match returns how many leading blocks of the chain are cached.
func (c *cache) match(chain []block.Hash) int {
	for i, h := range chain {
		if _, ok := c.blocks[h]; !ok {
			return i
		}
	}
	return len(chain)
}

// insert caches the chain and evicts least recently used blocks. Blocks are
// touched from the end of the chain, so that a parent is evicted after its
// children.
func (c *cache) insert(parent block.Hash, chain []block.Hash, now time.Time) {
	chain = chain[:min(len(chain), c.capacity)]
	known := c.match(chain)
	fresh := chain[known:]
	for i := len(chain) - 1; i >= 0; i-- {
		c.touch(entry{chain[i], parentOf(parent, chain, i), now})
	}
	if len(fresh) > 0 {
		parent = parentOf(parent, chain, known)
		c.publish(engine.Event{Kind: engine.Stored, Blocks: fresh, Parent: parent})
	}
	c.evict(func(_ entry) bool { return c.order.Len() > c.capacity })
}

// parentOf returns the hash that block i of a chain is chained to.
func parentOf(parent block.Hash, chain []block.Hash, i int) block.Hash {
	if i == 0 {
		return parent
	}
	return chain[i-1]
}

func (c *cache) touch(e entry) {
	if element, ok := c.blocks[e.hash]; ok {
		element.Value = e
		c.order.MoveToFront(element)
		return
	}
	c.blocks[e.hash] = c.order.PushFront(e)
}

// expire evicts blocks that were not used since the time.
func (c *cache) expire(since time.Time) {
	c.evict(func(e entry) bool { return e.used.Before(since) })
}

// evict removes blocks from the least recently used end while the condition
// holds.
func (c *cache) evict(condition func(entry) bool) {
	var removed []block.Hash
	for element := c.order.Back(); element != nil; element = c.order.Back() {
		e := element.Value.(entry)
		if !condition(e) {
			break
		}
		c.order.Remove(element)
		delete(c.blocks, e.hash)
		removed = append(removed, e.hash)
	}
	if len(removed) > 0 {
		c.evicted += len(removed)
		c.publish(engine.Event{Kind: engine.Removed, Blocks: removed})
	}
}

// clear removes all blocks.
func (c *cache) clear() {
	clear(c.blocks)
	c.order.Init()
	c.publish(engine.Event{Kind: engine.Cleared})
}

// all returns the cached blocks, least recently used last, and their parents.
func (c *cache) all() (blocks, parents []block.Hash) {
	blocks = make([]block.Hash, 0, c.order.Len())
	parents = make([]block.Hash, 0, c.order.Len())
	for element := c.order.Front(); element != nil; element = element.Next() {
		e := element.Value.(entry)
		blocks = append(blocks, e.hash)
		parents = append(parents, e.parent)
	}
	return blocks, parents
}

// eventLog keeps recent cache events of one incarnation. It is not safe for
// concurrent use.
type eventLog struct {
	retain  int
	seq     uint64 // of the newest event, lost ones included
	trimmed uint64 // highest sequence number no longer kept
	events  []loggedEvent
}

type loggedEvent struct {
	engine.Event
	at time.Time
}

// maxBatch bounds the events of one answer.
const maxBatch = 1000

// append numbers an event; a lost one leaves a gap. Old events are dropped in
// bulk, so that an append costs constant time on average.
func (l *eventLog) append(event engine.Event, lost bool, now time.Time) {
	l.seq++
	if lost {
		return
	}
	event.Seq = l.seq
	l.events = append(l.events, loggedEvent{event, now})
	if len(l.events) > 2*l.retain {
		over := len(l.events) - l.retain
		l.trimmed = l.events[over-1].Seq
		l.events = append([]loggedEvent(nil), l.events[over:]...)
	}
}

// covers reports whether events after seq can be listed.
func (l *eventLog) covers(seq uint64) bool { return seq >= l.trimmed && seq <= l.seq }

// after lists events with a higher sequence number that happened before the
// time, and the sequence number of the last one.
func (l *eventLog) after(seq uint64, before time.Time) ([]engine.Event, uint64) {
	var out []engine.Event
	for _, e := range l.events {
		if e.Seq <= seq {
			continue
		}
		if e.at.After(before) || len(out) == maxBatch {
			break
		}
		out = append(out, e.Event)
	}
	if len(out) > 0 {
		seq = out[len(out)-1].Seq
	}
	return out, seq
}

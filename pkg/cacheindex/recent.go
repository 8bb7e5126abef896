package cacheindex

import (
	"time"

	"github.com/fescuestep/fescuestep/pkg/block"
)

// Recent is a bounded set of blocks with the times from which they can be
// relied on. It forgets the oldest half when it is full. A nil set is empty.
type Recent struct {
	half  int
	young map[block.Hash]time.Duration
	old   map[block.Hash]time.Duration
}

// NewRecent returns a set of between capacity/2 and capacity blocks.
func NewRecent(capacity int) *Recent {
	return &Recent{half: max(1, capacity/2), young: map[block.Hash]time.Duration{}}
}

// Add adds a block that can be relied on from the time ready. The earliest
// time of several calls counts.
func (r *Recent) Add(h block.Hash, ready time.Duration) {
	if at, ok := r.since(h); ok {
		ready = min(ready, at)
	}
	if _, ok := r.young[h]; !ok && len(r.young) >= r.half {
		r.old, r.young = r.young, make(map[block.Hash]time.Duration, r.half)
	}
	r.young[h] = ready
}

func (r *Recent) since(h block.Hash) (time.Duration, bool) {
	if at, ok := r.young[h]; ok {
		return at, true
	}
	at, ok := r.old[h]
	return at, ok
}

// Has reports whether the set holds a block that can be relied on now.
func (r *Recent) Has(h block.Hash, now time.Duration) bool {
	if r == nil {
		return false
	}
	at, ok := r.since(h)
	return ok && at <= now
}

// Remove takes a block out.
func (r *Recent) Remove(h block.Hash) {
	delete(r.young, h)
	delete(r.old, h)
}

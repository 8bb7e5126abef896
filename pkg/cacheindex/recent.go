package cacheindex

import (
	"time"

	"github.com/fescuestep/fescuestep/pkg/block"
)

// RecentBlocks is a bounded set of blocks with the times from which they are
// available. It keeps two generations and discards the older one when the
// current one is full. A nil set is empty.
type RecentBlocks struct {
	generationSize int
	current        map[block.Hash]time.Duration
	previous       map[block.Hash]time.Duration
}

// NewRecentBlocks returns an empty set that keeps at least the last capacity/2
// and at most capacity blocks.
func NewRecentBlocks(capacity int) *RecentBlocks {
	return &RecentBlocks{generationSize: max(1, capacity/2), current: map[block.Hash]time.Duration{}}
}

// Add adds a block that is available from the time ready. If the set already
// has the block, the earlier time applies.
func (r *RecentBlocks) Add(h block.Hash, ready time.Duration) {
	if at, ok := r.readyAt(h); ok {
		ready = min(ready, at)
	}
	if _, ok := r.current[h]; !ok && len(r.current) >= r.generationSize {
		r.previous, r.current = r.current, make(map[block.Hash]time.Duration, r.generationSize)
	}
	r.current[h] = ready
}

func (r *RecentBlocks) readyAt(h block.Hash) (time.Duration, bool) {
	if at, ok := r.current[h]; ok {
		return at, true
	}
	at, ok := r.previous[h]
	return at, ok
}

// Has reports whether the set contains the block and it is available at now.
func (r *RecentBlocks) Has(h block.Hash, now time.Duration) bool {
	if r == nil {
		return false
	}
	at, ok := r.readyAt(h)
	return ok && at <= now
}

func (r *RecentBlocks) Remove(h block.Hash) {
	delete(r.current, h)
	delete(r.previous, h)
}

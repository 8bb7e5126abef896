package cacheindex

import "github.com/fescuestep/fescuestep/pkg/block"

// Recent is a bounded set of blocks that forgets the oldest half when it is
// full. The zero value holds nothing.
type Recent struct {
	half  int
	young map[block.Hash]struct{}
	old   map[block.Hash]struct{}
}

// NewRecent returns a set of between capacity/2 and capacity blocks.
func NewRecent(capacity int) *Recent {
	return &Recent{half: max(1, capacity/2), young: map[block.Hash]struct{}{}}
}

// Add adds a block.
func (r *Recent) Add(h block.Hash) {
	if len(r.young) >= r.half {
		r.old, r.young = r.young, make(map[block.Hash]struct{}, r.half)
	}
	r.young[h] = struct{}{}
}

// Has reports whether the set holds a block.
func (r *Recent) Has(h block.Hash) bool {
	if r == nil {
		return false
	}
	if _, ok := r.young[h]; ok {
		return true
	}
	_, ok := r.old[h]
	return ok
}

// Remove takes a block out.
func (r *Recent) Remove(h block.Hash) {
	delete(r.young, h)
	delete(r.old, h)
}

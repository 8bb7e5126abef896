package placement

import (
	"time"

	"github.com/zeebo/xxh3"

	"github.com/fescuestep/fescuestep/pkg/call"
)

const (
	// maxPartAge is how long after its last use a prompt part is assumed to be cached.
	maxPartAge = time.Minute
	// retainedShare is the share of a cache's capacity that new tokens fill after the
	// last use of a part before the part is assumed to be evicted. It is below 1
	// because this instance does not know of a few of the inserted tokens.
	retainedShare = 0.85
	// maxIndexedParts bounds the number of indexed parts, at about 200 bytes each.
	maxIndexedParts = 20_000
)

// prefixKeys returns one hash per part of a prompt. Each hash covers the scope, the
// model, the part and all parts before it.
func prefixKeys(scope, model string, parts []call.PromptPart) []uint64 {
	keys := make([]uint64, len(parts))
	seed := xxh3.HashString(scope) ^ xxh3.HashString(model)*3
	for i, part := range parts {
		seed = xxh3.HashStringSeed(part.ID, seed)
		keys[i] = seed
	}
	return keys
}

// engineCopy is the expected copy of a prompt part in the cache of one engine.
type engineCopy struct {
	engineID      string    // ID of the upstream
	usedAt        time.Time // time of the last use
	insertedAtUse float64   // tokens inserted into the engine's cache up to the last use
	readyAt       time.Time // when the engine is expected to have computed the part
}

// indexEntry lists where one prompt part is expected to be cached.
type indexEntry struct {
	copies          []engineCopy
	storedAt        time.Time // when the store last saved or served the part; zero: never
	insertedAtStore float64   // tokens inserted into the store up to then
}

// lruModel estimates the evictions of an engine's cache or the store, which both evict
// the least recently used parts.
type lruModel struct {
	capacity int     // tokens; 0: unknown
	inserted float64 // tokens inserted so far
}

// retains reports whether a part is still expected to be cached that was last used
// when insertedAtUse tokens had been inserted.
func (m *lruModel) retains(insertedAtUse float64) bool {
	return m.capacity <= 0 || m.inserted-insertedAtUse < retainedShare*float64(m.capacity)
}

// storeID is the ID of the KV cache store in the prefix index, where engines have their
// upstream IDs.
const storeID = ""

// prefixIndex estimates which engines have cached the parts of prompts, and which
// parts the store holds.
type prefixIndex struct {
	entries map[uint64]*indexEntry
	caches  map[string]*lruModel // by upstream ID or storeID
}

func newPrefixIndex() *prefixIndex {
	return &prefixIndex{entries: map[uint64]*indexEntry{}, caches: map[string]*lruModel{}}
}

func (x *prefixIndex) cache(id string) *lruModel {
	m := x.caches[id]
	if m == nil {
		m = &lruModel{}
		x.caches[id] = m
	}
	return m
}

// recordInsert counts tokens that are inserted into an engine's cache or the store.
func (x *prefixIndex) recordInsert(id string, tokens float64) { x.cache(id).inserted += tokens }

func (x *prefixIndex) entry(key uint64) *indexEntry {
	e := x.entries[key]
	if e == nil {
		if len(x.entries) >= maxIndexedParts {
			clear(x.entries) // engines can still fetch the dropped parts from the store
		}
		e = &indexEntry{}
		x.entries[key] = e
	}
	return e
}

// addCopies records that an engine uses the parts now and caches them. Those that were
// not cached before are expected to be computed at ready.
func (x *prefixIndex) addCopies(keys []uint64, id string, now, ready time.Time) {
	inserted := x.cache(id).inserted
	for _, key := range keys {
		e := x.entry(key)
		c := e.copyAt(id)
		switch {
		case c == nil:
			e.copies = append(e.copies, engineCopy{id, now, inserted, ready})
		case !x.isCached(c, now):
			*c = engineCopy{id, now, inserted, ready}
		default:
			c.usedAt, c.insertedAtUse = now, inserted
		}
	}
}

// isCached reports whether the engine is still expected to have the copy in its cache.
func (x *prefixIndex) isCached(c *engineCopy, now time.Time) bool {
	return now.Sub(c.usedAt) < maxPartAge && x.cache(c.engineID).retains(c.insertedAtUse)
}

// markComputed records that an engine has computed the parts.
func (x *prefixIndex) markComputed(keys []uint64, id string, now time.Time) {
	for _, key := range keys {
		if c := x.entry(key).copyAt(id); c != nil {
			c.readyAt = now
		}
	}
}

// readyAt returns when an engine is expected to have computed those of the parts that
// are recorded for it, or the zero time if none is.
func (x *prefixIndex) readyAt(keys []uint64, id string) time.Time {
	var out time.Time
	for _, key := range keys {
		if e := x.entries[key]; e != nil {
			if c := e.copyAt(id); c != nil && c.readyAt.After(out) {
				out = c.readyAt
			}
		}
	}
	return out
}

// copyAt returns the copy of the engine with the ID, or nil.
func (e *indexEntry) copyAt(id string) *engineCopy {
	for i := range e.copies {
		if e.copies[i].engineID == id {
			return &e.copies[i]
		}
	}
	return nil
}

// markStored records that the store has saved the parts.
func (x *prefixIndex) markStored(keys []uint64, now time.Time) {
	inserted := x.cache(storeID).inserted
	for _, key := range keys {
		e := x.entry(key)
		e.storedAt, e.insertedAtStore = now, inserted
	}
}

// touchStored records a use of those of the parts that the store is expected to hold.
func (x *prefixIndex) touchStored(keys []uint64, now time.Time) {
	inserted := x.cache(storeID).inserted
	for _, key := range keys {
		if e := x.entries[key]; e != nil && x.isStored(e, now) {
			e.storedAt, e.insertedAtStore = now, inserted
		}
	}
}

// cachedParts returns how many leading parts an engine is expected to have cached.
func (x *prefixIndex) cachedParts(keys []uint64, id string, now time.Time) int {
	for i, key := range keys {
		if !x.hasCopy(key, id, now) {
			return i
		}
	}
	return len(keys)
}

// hasCopy reports whether an engine is expected to have cached a part.
func (x *prefixIndex) hasCopy(key uint64, id string, now time.Time) bool {
	e := x.entries[key]
	if e == nil {
		return false
	}
	c := e.copyAt(id)
	return c != nil && x.isCached(c, now)
}

// isStored reports whether the store is expected to hold a part.
func (x *prefixIndex) isStored(e *indexEntry, now time.Time) bool {
	return !e.storedAt.IsZero() && now.Sub(e.storedAt) < maxPartAge && x.cache(storeID).retains(e.insertedAtStore)
}

// enginesWithAll returns the IDs of the engines that are expected to have computed and
// cached all the parts.
func (x *prefixIndex) enginesWithAll(keys []uint64, now time.Time) []string {
	if len(keys) == 0 {
		return nil
	}
	last := x.entries[keys[len(keys)-1]]
	if last == nil {
		return nil
	}
	var out []string
	for _, c := range last.copies {
		if x.cachedParts(keys, c.engineID, now) == len(keys) && !x.readyAt(keys, c.engineID).After(now) {
			out = append(out, c.engineID)
		}
	}
	return out
}

// storedParts returns how many leading parts the store is expected to hold.
func (x *prefixIndex) storedParts(keys []uint64, now time.Time) int {
	for i, key := range keys {
		e := x.entries[key]
		if e == nil || !x.isStored(e, now) {
			return i
		}
	}
	return len(keys)
}

// removeCopies removes an engine's copies of the parts.
func (x *prefixIndex) removeCopies(keys []uint64, id string) {
	for _, key := range keys {
		if e := x.entries[key]; e != nil {
			e.removeCopy(id)
		}
	}
}

// removeEngine removes all copies of an engine and the estimate of its cache.
func (x *prefixIndex) removeEngine(id string) {
	delete(x.caches, id)
	for key, e := range x.entries {
		e.removeCopy(id)
		if len(e.copies) == 0 && e.storedAt.IsZero() {
			delete(x.entries, key)
		}
	}
}

func (e *indexEntry) removeCopy(id string) {
	kept := e.copies[:0]
	for _, c := range e.copies {
		if c.engineID != id {
			kept = append(kept, c)
		}
	}
	e.copies = kept
}

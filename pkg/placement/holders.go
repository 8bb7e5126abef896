package placement

import (
	"time"

	"github.com/zeebo/xxh3"

	"github.com/fescuestep/fescuestep/pkg/call"
)

const (
	// maxPartAge is how long after its last use a prompt part is remembered.
	maxPartAge = time.Minute
	// retainedShare of a keeper's room is filled with new tokens before it is expected
	// to have dropped a part: a few tokens are brought that are not known here.
	retainedShare = 0.85
	// maxIndexedParts bounds the remembered parts; about 200 bytes each.
	maxIndexedParts = 20_000
)

// prefixKeys returns one hash per part of a prompt; each covers the parts
// before it and the scope.
func prefixKeys(scope, model string, parts []call.PromptPart) []uint64 {
	keys := make([]uint64, len(parts))
	seed := xxh3.HashString(scope) ^ xxh3.HashString(model)*3
	for i, part := range parts {
		seed = xxh3.HashStringSeed(part.ID, seed)
		keys[i] = seed
	}
	return keys
}

type engineCopy struct {
	engineID      string    // upstream
	usedAt        time.Time // of the last use
	insertedAtUse float64   // tokens that had been brought to the upstream by then
	readyAt       time.Time // when the part is expected to be computed
}

type indexEntry struct {
	copies          []engineCopy
	storedAt        time.Time // when the store last held it
	insertedAtStore float64   // tokens that had been brought to the store by then
}

// lruModel is the room of an engine or the store, where the parts that were used
// least lately make room for new ones.
type lruModel struct {
	capacity int     // tokens; 0: not known
	inserted float64 // new tokens so far
}

// retains reports whether a part is still there that was used when the memory had
// been brought mark tokens.
func (m *lruModel) retains(mark float64) bool {
	return m.capacity <= 0 || m.inserted-mark < retainedShare*float64(m.capacity)
}

// storeID stands for the store of KV cache among the IDs of upstreams.
const storeID = ""

// prefixIndex remembers where parts of prompts are kept.
type prefixIndex struct {
	entries map[uint64]*indexEntry
	caches  map[string]*lruModel // by upstream, and the store's
}

func newPrefixIndex() *prefixIndex {
	return &prefixIndex{entries: map[uint64]*indexEntry{}, caches: map[string]*lruModel{}}
}

func (h *prefixIndex) cache(id string) *lruModel {
	m := h.caches[id]
	if m == nil {
		m = &lruModel{}
		h.caches[id] = m
	}
	return m
}

// recordInsert counts new tokens at an engine or the store.
func (h *prefixIndex) recordInsert(id string, tokens float64) { h.cache(id).inserted += tokens }

func (h *prefixIndex) entry(key uint64) *indexEntry {
	e := h.entries[key]
	if e == nil {
		if len(h.entries) >= maxIndexedParts {
			clear(h.entries) // engines are found again through the store
		}
		e = &indexEntry{}
		h.entries[key] = e
	}
	return e
}

// addCopies records that an engine keeps the parts from now on. Those that it did not
// keep before are computed until ready.
func (h *prefixIndex) addCopies(keys []uint64, id string, now, ready time.Time) {
	mark := h.cache(id).inserted
	for _, key := range keys {
		e := h.entry(key)
		held := e.copyAt(id)
		switch {
		case held == nil:
			e.copies = append(e.copies, engineCopy{id, now, mark, ready})
		case !h.isCached(held, now):
			*held = engineCopy{id, now, mark, ready}
		default:
			held.usedAt, held.insertedAtUse = now, mark
		}
	}
}

// isCached reports whether the part is still expected to be there.
func (h *prefixIndex) isCached(held *engineCopy, now time.Time) bool {
	return now.Sub(held.usedAt) < maxPartAge && h.cache(held.engineID).retains(held.insertedAtUse)
}

// markComputed records that an engine has markComputed the parts.
func (h *prefixIndex) markComputed(keys []uint64, id string, now time.Time) {
	for _, key := range keys {
		if held := h.entry(key).copyAt(id); held != nil {
			held.readyAt = now
		}
	}
}

// readyAt returns when an engine is expected to have computed all the parts that
// it keeps.
func (h *prefixIndex) readyAt(keys []uint64, id string) time.Time {
	var out time.Time
	for _, key := range keys {
		if e := h.entries[key]; e != nil {
			if held := e.copyAt(id); held != nil && held.readyAt.After(out) {
				out = held.readyAt
			}
		}
	}
	return out
}

// copyAt returns the holder with the ID, or nil.
func (e *indexEntry) copyAt(id string) *engineCopy {
	for i := range e.copies {
		if e.copies[i].engineID == id {
			return &e.copies[i]
		}
	}
	return nil
}

func (h *prefixIndex) markStored(keys []uint64, now time.Time) {
	mark := h.cache(storeID).inserted
	for _, key := range keys {
		e := h.entry(key)
		e.storedAt, e.insertedAtStore = now, mark
	}
}

// touchStored records a use of parts that the store holds.
func (h *prefixIndex) touchStored(keys []uint64, now time.Time) {
	mark := h.cache(storeID).inserted
	for _, key := range keys {
		if e := h.entries[key]; e != nil && h.isStored(e, now) {
			e.storedAt, e.insertedAtStore = now, mark
		}
	}
}

// cachedParts returns how many leading parts an engine is expected to keep.
func (h *prefixIndex) cachedParts(keys []uint64, id string, now time.Time) int {
	for i, key := range keys {
		if !h.hasCopy(key, id, now) {
			return i
		}
	}
	return len(keys)
}

func (h *prefixIndex) hasCopy(key uint64, id string, now time.Time) bool {
	e := h.entries[key]
	if e == nil {
		return false
	}
	held := e.copyAt(id)
	return held != nil && h.isCached(held, now)
}

// isStored reports whether the store is expected to hold a part.
func (h *prefixIndex) isStored(e *indexEntry, now time.Time) bool {
	return !e.storedAt.IsZero() && now.Sub(e.storedAt) < maxPartAge && h.cache(storeID).retains(e.insertedAtStore)
}

// enginesWithAll lists the engines that are expected to keep all the parts, computed and
// used lately.
func (h *prefixIndex) enginesWithAll(keys []uint64, now time.Time) []string {
	if len(keys) == 0 {
		return nil
	}
	last := h.entries[keys[len(keys)-1]]
	if last == nil {
		return nil
	}
	var out []string
	for _, held := range last.copies {
		if h.cachedParts(keys, held.engineID, now) == len(keys) && !h.readyAt(keys, held.engineID).After(now) {
			out = append(out, held.engineID)
		}
	}
	return out
}

// storedParts returns how many leading parts the store is expected to hold.
func (h *prefixIndex) storedParts(keys []uint64, now time.Time) int {
	for i, key := range keys {
		e := h.entries[key]
		if e == nil || !h.isStored(e, now) {
			return i
		}
	}
	return len(keys)
}

// removeCopies drops an engine from the parts.
func (h *prefixIndex) removeCopies(keys []uint64, id string) {
	for _, key := range keys {
		if e := h.entries[key]; e != nil {
			e.removeCopy(id)
		}
	}
}

// removeEngine drops an engine from all parts.
func (h *prefixIndex) removeEngine(id string) {
	delete(h.caches, id)
	for key, e := range h.entries {
		e.removeCopy(id)
		if len(e.copies) == 0 && e.storedAt.IsZero() {
			delete(h.entries, key)
		}
	}
}

func (e *indexEntry) removeCopy(id string) {
	kept := e.copies[:0]
	for _, holder := range e.copies {
		if holder.engineID != id {
			kept = append(kept, holder)
		}
	}
	e.copies = kept
}

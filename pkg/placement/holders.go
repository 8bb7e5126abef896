package placement

import (
	"time"

	"github.com/zeebo/xxh3"

	"github.com/fescuestep/fescuestep/pkg/call"
)

const (
	// holderMaxAge is how long after its last use a prompt part is remembered.
	holderMaxAge = time.Minute
	// keptShare of a keeper's room is filled with new tokens before it is expected
	// to have dropped a part: a few tokens are brought that are not known here.
	keptShare = 0.85
	// maxHolderKeys bounds the remembered parts; about 200 bytes each.
	maxHolderKeys = 20_000
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

type holder struct {
	id    string    // upstream
	at    time.Time // of the last use
	mark  float64   // tokens that had been brought to the upstream by then
	ready time.Time // when the part is expected to be computed
}

type entry struct {
	engines []holder
	saved   time.Time // when the store last held it
	mark    float64   // tokens that had been brought to the store by then
}

// memory is the room of an engine or the store, where the parts that were used
// least lately make room for new ones.
type memory struct {
	room    int     // tokens; 0: not known
	brought float64 // new tokens so far
}

// keeps reports whether a part is still there that was used when the memory had
// been brought mark tokens.
func (m *memory) keeps(mark float64) bool {
	return m.room <= 0 || m.brought-mark < keptShare*float64(m.room)
}

// storeID stands for the store of KV cache among the IDs of upstreams.
const storeID = ""

// holders remembers where parts of prompts are kept.
type holders struct {
	byKey    map[uint64]*entry
	memories map[string]*memory // by upstream, and the store's
}

func newHolders() *holders {
	return &holders{byKey: map[uint64]*entry{}, memories: map[string]*memory{}}
}

func (h *holders) memory(id string) *memory {
	m := h.memories[id]
	if m == nil {
		m = &memory{}
		h.memories[id] = m
	}
	return m
}

// bring counts new tokens at an engine or the store.
func (h *holders) bring(id string, tokens float64) { h.memory(id).brought += tokens }

func (h *holders) entry(key uint64) *entry {
	e := h.byKey[key]
	if e == nil {
		if len(h.byKey) >= maxHolderKeys {
			clear(h.byKey) // engines are found again through the store
		}
		e = &entry{}
		h.byKey[key] = e
	}
	return e
}

// add records that an engine keeps the parts from now on. Those that it did not
// keep before are computed until ready.
func (h *holders) add(keys []uint64, id string, now, ready time.Time) {
	mark := h.memory(id).brought
	for _, key := range keys {
		e := h.entry(key)
		held := e.engine(id)
		switch {
		case held == nil:
			e.engines = append(e.engines, holder{id, now, mark, ready})
		case !h.kept(held, now):
			*held = holder{id, now, mark, ready}
		default:
			held.at, held.mark = now, mark
		}
	}
}

// kept reports whether the part is still expected to be there.
func (h *holders) kept(held *holder, now time.Time) bool {
	return now.Sub(held.at) < holderMaxAge && h.memory(held.id).keeps(held.mark)
}

// computed records that an engine has computed the parts.
func (h *holders) computed(keys []uint64, id string, now time.Time) {
	for _, key := range keys {
		if held := h.entry(key).engine(id); held != nil {
			held.ready = now
		}
	}
}

// ready returns when an engine is expected to have computed all the parts that
// it keeps.
func (h *holders) ready(keys []uint64, id string) time.Time {
	var out time.Time
	for _, key := range keys {
		if e := h.byKey[key]; e != nil {
			if held := e.engine(id); held != nil && held.ready.After(out) {
				out = held.ready
			}
		}
	}
	return out
}

// engine returns the holder with the ID, or nil.
func (e *entry) engine(id string) *holder {
	for i := range e.engines {
		if e.engines[i].id == id {
			return &e.engines[i]
		}
	}
	return nil
}

func (h *holders) saved(keys []uint64, now time.Time) {
	mark := h.memory(storeID).brought
	for _, key := range keys {
		e := h.entry(key)
		e.saved, e.mark = now, mark
	}
}

// touchSaved records a use of parts that the store holds.
func (h *holders) touchSaved(keys []uint64, now time.Time) {
	mark := h.memory(storeID).brought
	for _, key := range keys {
		if e := h.byKey[key]; e != nil && h.stored(e, now) {
			e.saved, e.mark = now, mark
		}
	}
}

// held returns how many leading parts an engine is expected to keep.
func (h *holders) held(keys []uint64, id string, now time.Time) int {
	for i, key := range keys {
		if !h.holds(key, id, now) {
			return i
		}
	}
	return len(keys)
}

func (h *holders) holds(key uint64, id string, now time.Time) bool {
	e := h.byKey[key]
	if e == nil {
		return false
	}
	held := e.engine(id)
	return held != nil && h.kept(held, now)
}

// stored reports whether the store is expected to hold a part.
func (h *holders) stored(e *entry, now time.Time) bool {
	return !e.saved.IsZero() && now.Sub(e.saved) < holderMaxAge && h.memory(storeID).keeps(e.mark)
}

// keepers lists the engines that are expected to keep all the parts, computed and
// used lately.
func (h *holders) keepers(keys []uint64, now time.Time) []string {
	if len(keys) == 0 {
		return nil
	}
	last := h.byKey[keys[len(keys)-1]]
	if last == nil {
		return nil
	}
	var out []string
	for _, held := range last.engines {
		if h.held(keys, held.id, now) == len(keys) && !h.ready(keys, held.id).After(now) {
			out = append(out, held.id)
		}
	}
	return out
}

// inStore returns how many leading parts the store is expected to hold.
func (h *holders) inStore(keys []uint64, now time.Time) int {
	for i, key := range keys {
		e := h.byKey[key]
		if e == nil || !h.stored(e, now) {
			return i
		}
	}
	return len(keys)
}

// forgetKeys drops an engine from the parts.
func (h *holders) forgetKeys(keys []uint64, id string) {
	for _, key := range keys {
		if e := h.byKey[key]; e != nil {
			e.drop(id)
		}
	}
}

// forget drops an engine from all parts.
func (h *holders) forget(id string) {
	delete(h.memories, id)
	for key, e := range h.byKey {
		e.drop(id)
		if len(e.engines) == 0 && e.saved.IsZero() {
			delete(h.byKey, key)
		}
	}
}

func (e *entry) drop(id string) {
	kept := e.engines[:0]
	for _, holder := range e.engines {
		if holder.id != id {
			kept = append(kept, holder)
		}
	}
	e.engines = kept
}

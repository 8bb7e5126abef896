//go:build review

package main

import (
	"strings"
	"sync"
)

// keptPart is the KV cache of one part of a prompt.
type keptPart struct {
	tenant  string // whose request made it
	request string
	version int // of the weights
}

// kvCache is what a server, or the store of KV cache, keeps: by salt, model and ID.
type kvCache struct {
	mu    sync.Mutex
	parts map[string]keptPart
}

func newKVCache() *kvCache { return &kvCache{parts: map[string]keptPart{}} }

func (c *kvCache) get(key string) (keptPart, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.parts[key]
	return p, ok
}

func (c *kvCache) put(key string, p keptPart) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.parts[key] = p
}

func (c *kvCache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.parts)
}

// use is the use of kept KV cache by a request.
type use struct {
	tenant, request string // that uses it
	version         int    // of the weights that it runs on
	part            string
	made            keptPart
}

// prompt returns the IDs of a Prompt-Prefix header, in order.
func prompt(header string) []string {
	var out []string
	for _, entry := range strings.Split(header, ",") {
		if id, _, ok := strings.Cut(strings.TrimSpace(entry), ":"); ok {
			out = append(out, id)
		}
	}
	return out
}

// readPrompt plays how a server reads a prompt: it fetches what the source keeps beyond its
// own, uses the parts that are kept if all before them are, reads the rest and keeps it, and
// saves all to the store if it is told to. It checks neither tenant nor version. It returns
// the uses of parts that another request made.
func (e *engine) readPrompt(h map[string]string, version int) []use {
	source, store := e.w.cacheAt(h["Kv-Fetch"]), e.w.cacheAt(h["Kv-Save"])
	var uses []use
	kept := true
	for _, id := range prompt(h["Prompt-Prefix"]) {
		key := h["Cache-Salt"] + "|" + h["Model-Name"] + "|" + id
		p, ok := e.kv.get(key)
		if !ok && source != nil {
			p, ok = source.get(key)
		}
		if kept = kept && ok; kept {
			uses = append(uses, use{h["Tenant-Name"], h["Request-Id"], version, id, p})
		} else {
			p = keptPart{h["Tenant-Name"], h["Request-Id"], version}
		}
		e.kv.put(key, p)
		if store != nil {
			store.put(key, p)
		}
	}
	return uses
}

// cacheAt returns what is kept at an address, or nil.
func (w *world) cacheAt(addr string) *kvCache {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.caches[addr]
}

// addCache adds what is kept at an address.
func (w *world) addCache(addr string) *kvCache {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := newKVCache()
	w.caches[addr] = c
	return c
}

package upstream

import (
	"cmp"
	"time"

	"github.com/fescuestep/fescuestep/pkg/block"
	"github.com/fescuestep/fescuestep/pkg/cacheindex"
)

// knownKVBlocks bounds the blocks remembered as held by the KV store: 16 bytes
// each, about 2 MB in a pool that uses all of them.
const knownKVBlocks = 1 << 16

// Transfer is a run of blocks that one engine reads from or writes to the
// pool's KV store.
type Transfer struct {
	UpstreamID  string
	Addr        string
	Incarnation string
	Weights     string
	Parent      block.Hash // of the first block, 0 at the root
	Blocks      []block.Hash
}

// OnExport sets the function that is called for blocks that an engine has
// computed and the KV store lacks. It must not call back into the Core before
// it returns; the result goes to Exported.
func (c *Core) OnExport(export func(Transfer)) { c.export = export }

func (c *Core) usesKV() bool { return c.set.KVTransfer && c.set.Pool.KVPool != "" }

// configureKV creates or drops the knowledge of the KV store.
func (c *Core) configureKV() {
	switch {
	case !c.usesKV():
		c.store.KVBlocks = nil
	case c.store.KVBlocks == nil:
		c.store.KVBlocks = cacheindex.NewRecentBlocks(knownKVBlocks)
	}
}

// Import returns the blocks to import before the request is sent; false when
// there are none.
func (c *Core) Import(g *Grant) (Transfer, bool) {
	if g.choice.BlocksAfterImport <= g.choice.HeldBlocks {
		return Transfer{}, false
	}
	c.rec.request(EntryImport, g.wait)
	g.flight.MarkAwaitingImport()
	return c.transfer(g, g.choice.HeldBlocks, g.choice.BlocksAfterImport), true
}

func (c *Core) transfer(g *Grant, from, to int) Transfer {
	u := g.flight.Upstream
	t := Transfer{
		UpstreamID:  u.ID,
		Addr:        u.Addr,
		Incarnation: g.incarnation,
		Weights:     cmp.Or(u.WeightsVersion, c.set.Pool.Weights),
		Blocks:      g.query.Blocks[from:to],
	}
	if from > 0 {
		t.Parent = g.query.Blocks[from-1]
	}
	return t
}

// Imported records that the engine now holds the first done blocks of t and
// that the request is sent.
func (c *Core) Imported(now time.Time, g *Grant, t Transfer, done int) {
	c.rec.grant(now, g, Entry{Kind: EntryImported, Transfer: &t, Blocks: done})
	g.flight.MarkSent(now)
	if u := c.store.Get(t.UpstreamID); u != nil && !g.query.Sharded {
		c.store.Index.Touch(c.store.IndexTime(now), u.IndexHandle, t.Incarnation, t.Blocks[:done])
	}
	if c.store.KVBlocks != nil && done < len(t.Blocks) {
		c.store.KVBlocks.Remove(t.Blocks[done])
	}
}

// exportComputed asks for the export of the blocks that a prefill computed.
func (c *Core) exportComputed(now time.Time, g *Grant, cachedTokens int) {
	if c.store.KVBlocks == nil || c.export == nil || now.Before(c.store.KVPausedUntil) || c.set.Pool.BlockTokens <= 0 {
		return
	}
	blocks := g.query.Blocks
	from := min(cachedTokens/c.set.Pool.BlockTokens, len(blocks))
	at := c.store.IndexTime(now)
	for from < len(blocks) && c.store.KVBlocks.Has(blocks[from], at) {
		from++
	}
	if from < len(blocks) {
		c.export(c.transfer(g, from, len(blocks)))
	}
}

// Exported records that the KV store now holds the first done blocks of t.
func (c *Core) Exported(now time.Time, t Transfer, done int) {
	c.rec.add(now, Entry{Kind: EntryExported, Transfer: &t, Blocks: done})
	c.inKV(c.store.IndexTime(now), t.Blocks[:done], 0)
}

// exportStart is the time between an engine's event for a computed block and
// the export of that block by the instance that ran the prefill.
const exportStart = 20 * time.Millisecond

// inKV notes blocks that the KV store will hold: whichever instance ran the
// prefill exports what was computed, one block after the other.
func (c *Core) inKV(ready time.Duration, blocks []block.Hash, each time.Duration) {
	if c.store.KVBlocks == nil {
		return
	}
	for _, h := range blocks {
		ready += each
		c.store.KVBlocks.Add(h, ready)
	}
}

// exportTime returns the time to export one block.
func (c *Core) exportTime() time.Duration {
	rate := c.set.Pool.KVImportPerSec
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(c.set.Pool.BlockTokens) / rate * float64(time.Second))
}

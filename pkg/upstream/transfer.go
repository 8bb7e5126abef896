package upstream

import (
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
		c.store.KV = nil
	case c.store.KV == nil:
		c.store.KV = cacheindex.NewRecent(knownKVBlocks)
	}
}

// Import returns the blocks to import before the request is sent; false when
// there are none.
func (c *Core) Import(g *Grant) (Transfer, bool) {
	if g.choice.Import <= g.choice.Held {
		return Transfer{}, false
	}
	return c.transfer(g, g.choice.Held, g.choice.Import), true
}

func (c *Core) transfer(g *Grant, from, to int) Transfer {
	u := g.flight.Upstream
	t := Transfer{
		UpstreamID:  u.ID,
		Addr:        u.Addr,
		Incarnation: g.incarnation,
		Weights:     u.Weights,
		Blocks:      g.query.Blocks[from:to],
	}
	if from > 0 {
		t.Parent = g.query.Blocks[from-1]
	}
	return t
}

// Imported records that the engine now holds the first done blocks of t.
func (c *Core) Imported(now time.Time, t Transfer, done int) {
	if u := c.store.Get(t.UpstreamID); u != nil {
		c.store.Index.Touch(c.store.IndexTime(now), u.Engine, t.Incarnation, t.Blocks[:done])
	}
	if c.store.KV != nil && done < len(t.Blocks) {
		c.store.KV.Remove(t.Blocks[done])
	}
}

// exportComputed asks for the export of the blocks that a prefill computed.
func (c *Core) exportComputed(g *Grant, cachedTokens int) {
	if c.store.KV == nil || c.export == nil || c.set.Pool.BlockTokens <= 0 {
		return
	}
	blocks := g.query.Blocks
	from := min(cachedTokens/c.set.Pool.BlockTokens, len(blocks))
	for from < len(blocks) && c.store.KV.Has(blocks[from]) {
		from++
	}
	if from < len(blocks) {
		c.export(c.transfer(g, from, len(blocks)))
	}
}

// Exported records that the KV store now holds the first done blocks of t.
func (c *Core) Exported(t Transfer, done int) { c.inKV(t.Blocks[:done]) }

// inKV notes blocks that the KV store holds or is about to hold: whichever
// instance ran the prefill exports what was computed.
func (c *Core) inKV(blocks []block.Hash) {
	if c.store.KV == nil {
		return
	}
	for _, h := range blocks {
		c.store.KV.Add(h)
	}
}

package upstream

import (
	"cmp"
	"time"

	"github.com/fescuestep/fescuestep/pkg/block"
	"github.com/fescuestep/fescuestep/pkg/cacheindex"
)

// maxKnownKVBlocks bounds the blocks remembered as held by the KV store: 16 bytes
// each, about 2 MB in a pool that uses all of them.
const maxKnownKVBlocks = 1 << 16

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
func (c *Scheduler) OnExport(export func(Transfer)) { c.onExport = export }

func (c *Scheduler) usesKV() bool { return c.settings.KVTransfer && c.settings.Pool.KVPool != "" }

// configureKV creates or drops the knowledge of the KV store.
func (c *Scheduler) configureKV() {
	switch {
	case !c.usesKV():
		c.store.KVBlocks = nil
	case c.store.KVBlocks == nil:
		c.store.KVBlocks = cacheindex.NewRecentBlocks(maxKnownKVBlocks)
	}
}

// StartImport returns the blocks to import before the request is sent; false when
// there are none.
func (c *Scheduler) StartImport(g *Grant) (Transfer, bool) {
	if g.choice.BlocksAfterImport <= g.choice.HeldBlocks {
		return Transfer{}, false
	}
	c.rec.addRequest(EntryImport, g.waiter)
	g.flight.MarkAwaitingImport()
	return c.newTransfer(g, g.choice.HeldBlocks, g.choice.BlocksAfterImport), true
}

func (c *Scheduler) newTransfer(g *Grant, from, to int) Transfer {
	u := g.flight.Upstream
	t := Transfer{
		UpstreamID:  u.ID,
		Addr:        u.Addr,
		Incarnation: g.incarnation,
		Weights:     cmp.Or(u.WeightsVersion, c.settings.Pool.Weights),
		Blocks:      g.query.Blocks[from:to],
	}
	if from > 0 {
		t.Parent = g.query.Blocks[from-1]
	}
	return t
}

// FinishImport records that the engine now holds the first done blocks of t and
// that the request is sent.
func (c *Scheduler) FinishImport(now time.Time, g *Grant, t Transfer, done int) {
	c.rec.addGrant(now, g, Entry{Kind: EntryImported, Transfer: &t, Blocks: done})
	g.flight.MarkSent(now)
	if u := c.store.Get(t.UpstreamID); u != nil && !g.query.Sharded {
		c.store.Index.Touch(c.store.IndexTime(now), u.IndexHandle, t.Incarnation, t.Blocks[:done])
	}
	if c.store.KVBlocks != nil && done < len(t.Blocks) {
		c.store.KVBlocks.Remove(t.Blocks[done])
	}
}

// exportComputedBlocks asks for the export of the blocks that a prefill computed.
func (c *Scheduler) exportComputedBlocks(now time.Time, g *Grant, cachedTokens int) {
	if c.store.KVBlocks == nil || c.onExport == nil || now.Before(c.store.KVPausedUntil) || c.settings.Pool.BlockTokens <= 0 {
		return
	}
	blocks := g.query.Blocks
	from := min(cachedTokens/c.settings.Pool.BlockTokens, len(blocks))
	at := c.store.IndexTime(now)
	for from < len(blocks) && c.store.KVBlocks.Has(blocks[from], at) {
		from++
	}
	if from < len(blocks) {
		c.onExport(c.newTransfer(g, from, len(blocks)))
	}
}

// FinishExport records that the KV store now holds the first done blocks of t.
func (c *Scheduler) FinishExport(now time.Time, t Transfer, done int) {
	c.rec.add(now, Entry{Kind: EntryExported, Transfer: &t, Blocks: done})
	c.addKVBlocks(c.store.IndexTime(now), t.Blocks[:done], 0)
}

// exportStartDelay is the time between an engine's event for a computed block and
// the export of that block by the instance that ran the prefill.
const exportStartDelay = 20 * time.Millisecond

// addKVBlocks notes blocks that the KV store will hold: whichever instance ran the
// prefill exports what was computed, one block after the other.
func (c *Scheduler) addKVBlocks(ready time.Duration, blocks []block.Hash, each time.Duration) {
	if c.store.KVBlocks == nil {
		return
	}
	for _, h := range blocks {
		ready += each
		c.store.KVBlocks.Add(h, ready)
	}
}

// blockExportTime returns the time to export one block.
func (c *Scheduler) blockExportTime() time.Duration {
	rate := c.settings.Pool.KVImportPerSec
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(c.settings.Pool.BlockTokens) / rate * float64(time.Second))
}

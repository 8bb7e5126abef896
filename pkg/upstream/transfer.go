package upstream

import (
	"cmp"
	"time"

	"github.com/fescuestep/fescuestep/pkg/block"
	"github.com/fescuestep/fescuestep/pkg/cacheindex"
)

// maxKnownKVBlocks is the number of blocks remembered as held by the KV store.
// They take 16 bytes each, about 2 MB in a pool that uses all of them.
const maxKnownKVBlocks = 1 << 16

// Transfer is a sequence of blocks that one engine reads from or writes to the
// pool's KV store.
type Transfer struct {
	UpstreamID  string
	Addr        string
	Incarnation string
	Weights     string
	Parent      block.Hash // parent of the first block; 0 if that starts the prompt
	Blocks      []block.Hash
}

// OnExport sets the function that is called for blocks that an engine has
// computed and that the KV store lacks. The function must not call back into
// the Scheduler before it returns; its result is passed to FinishExport or
// PauseKV.
func (s *Scheduler) OnExport(export func(Transfer)) { s.onExport = export }

func (s *Scheduler) usesKV() bool { return s.settings.KVTransfer && s.settings.Pool.KVPool != "" }

// configureKV creates or drops the set of blocks known to be in the KV store.
func (s *Scheduler) configureKV() {
	switch {
	case !s.usesKV():
		s.store.KVBlocks = nil
	case s.store.KVBlocks == nil:
		s.store.KVBlocks = cacheindex.NewRecentBlocks(maxKnownKVBlocks)
	}
}

// StartImport returns the blocks to import before the request is sent, or false
// if there are none.
func (s *Scheduler) StartImport(g *Grant) (Transfer, bool) {
	if g.choice.BlocksAfterImport <= g.choice.HeldBlocks {
		return Transfer{}, false
	}
	s.rec.addRequest(EntryImport, g.waiter)
	g.inFlight.MarkAwaitingImport()
	return s.newTransfer(g, g.choice.HeldBlocks, g.choice.BlocksAfterImport), true
}

func (s *Scheduler) newTransfer(g *Grant, from, to int) Transfer {
	u := g.inFlight.Upstream
	t := Transfer{
		UpstreamID:  u.ID,
		Addr:        u.Addr,
		Incarnation: g.incarnation,
		Weights:     cmp.Or(u.WeightsVersion, s.settings.Pool.Weights),
		Blocks:      g.query.Blocks[from:to],
	}
	if from > 0 {
		t.Parent = g.query.Blocks[from-1]
	}
	return t
}

// FinishImport records that the engine now holds the first transferred blocks
// of t and that the request is sent.
func (s *Scheduler) FinishImport(now time.Time, g *Grant, t Transfer, transferred int) {
	s.rec.addGrant(now, g, Entry{Kind: EntryImported, Transfer: &t, Blocks: transferred})
	g.inFlight.MarkSent(now)
	if u := s.store.Get(t.UpstreamID); u != nil {
		s.store.Index.Touch(s.store.IndexTime(now), u.IndexHandle, t.Incarnation, t.Blocks[:transferred])
	}
	if s.store.KVBlocks != nil && transferred < len(t.Blocks) {
		s.store.KVBlocks.Remove(t.Blocks[transferred])
	}
}

// exportComputedBlocks requests the export of the blocks that a prefill
// computed and that the KV store lacks.
func (s *Scheduler) exportComputedBlocks(now time.Time, g *Grant, cachedTokens int) {
	if s.store.KVBlocks == nil || s.onExport == nil || now.Before(s.store.KVPausedUntil) || s.settings.Pool.BlockTokens <= 0 {
		return
	}
	blocks := g.query.Blocks
	from := min(cachedTokens/s.settings.Pool.BlockTokens, len(blocks))
	at := s.store.IndexTime(now)
	for from < len(blocks) && s.store.KVBlocks.Has(blocks[from], at) {
		from++
	}
	if from < len(blocks) {
		s.onExport(s.newTransfer(g, from, len(blocks)))
	}
}

// FinishExport records that the KV store now holds the first transferred blocks
// of t.
func (s *Scheduler) FinishExport(now time.Time, t Transfer, transferred int) {
	s.rec.add(now, Entry{Kind: EntryExported, Transfer: &t, Blocks: transferred})
	s.addKVBlocks(s.store.IndexTime(now), t.Blocks[:transferred], 0)
}

// exportStartDelay is the expected time between an engine's event for a
// computed block and the start of its export by the instance that sent the
// request.
const exportStartDelay = 20 * time.Millisecond

// addKVBlocks records blocks that the KV store will hold. The instance that
// sent the request exports the computed blocks one after the other, the first
// of them from readyAt on and each within perBlock.
func (s *Scheduler) addKVBlocks(readyAt time.Duration, blocks []block.Hash, perBlock time.Duration) {
	if s.store.KVBlocks == nil {
		return
	}
	for _, h := range blocks {
		readyAt += perBlock
		s.store.KVBlocks.Add(h, readyAt)
	}
}

// blockExportTime returns the expected time to export one block, or 0 if the
// transfer rate is not configured.
func (s *Scheduler) blockExportTime() time.Duration {
	rate := s.settings.Pool.KVImportPerSec
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(s.settings.Pool.BlockTokens) / rate * float64(time.Second))
}

package upstream

import (
	"context"
	"sync"
	"time"

	"github.com/fescuestep/fescuestep/pkg/engine"
)

// KVClient moves blocks between engines and their KV store. *engine.Client
// implements it.
type KVClient interface {
	KVImport(ctx context.Context, addr string, t engine.KVTransfer) (engine.KVTransfer, error)
	KVExport(ctx context.Context, addr string, t engine.KVTransfer) (engine.KVTransfer, error)
}

// Bounds of transfers.
const (
	// maxExports bounds the exports that one instance has under way; further
	// ones are left out, which costs a later recomputation at most.
	maxExports = 16
	// transferSlack is added to twice the expected time of a transfer; after
	// that the request is sent without it.
	transferSlack = 100 * time.Millisecond
	// kvPause is the time without transfers after one failed, so that a KV
	// store that is down does not delay every request.
	kvPause = 5 * time.Second
)

// exporter runs exports in the background.
type exporter struct {
	client KVClient
	slots  chan struct{}
	ctx    context.Context
	stop   context.CancelFunc
	work   sync.WaitGroup
}

func newExporter(client KVClient) *exporter {
	ctx, stop := context.WithCancel(context.Background())
	return &exporter{client: client, slots: make(chan struct{}, maxExports), ctx: ctx, stop: stop}
}

// start exports t in the background unless too many exports are under way. It
// is called under the pool's lock.
func (e *exporter) start(p *pool, t Transfer) {
	select {
	case e.slots <- struct{}{}:
	default:
		return
	}
	limit := p.core.transferLimit(t)
	e.work.Go(func() {
		defer func() { <-e.slots }()
		ctx, cancel := context.WithTimeout(e.ctx, limit)
		defer cancel()
		done, err := e.client.KVExport(ctx, t.Addr, t.wire())
		p.with(func(now time.Time, c *Core) {
			if err != nil {
				c.PauseKV(now)
				return
			}
			c.Exported(now, t, min(len(done.Blocks), len(t.Blocks)))
		})
	})
}

func (t Transfer) wire() engine.KVTransfer {
	return engine.KVTransfer{Weights: t.Weights, Parent: t.Parent, Blocks: t.Blocks}
}

// close ends exports under way and waits for them.
func (e *exporter) close() {
	e.stop()
	e.work.Wait()
}

// importBlocks performs the import that the choice expects before the request
// is sent. A failed import costs its time only.
func (p *Pools) importBlocks(ctx context.Context, pl *pool, g *Grant) {
	var t Transfer
	var limit time.Duration
	needed := false
	pl.with(func(_ time.Time, c *Core) {
		if t, needed = c.Import(g); needed {
			limit = c.transferLimit(t)
		}
	})
	if !needed {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	done, err := p.exports.client.KVImport(bounded, t.Addr, t.wire())
	pl.with(func(now time.Time, c *Core) {
		if err != nil && ctx.Err() == nil {
			c.PauseKV(now)
		}
		c.Imported(now, g, t, min(len(done.Blocks), len(t.Blocks)))
	})
}

// transferLimit bounds the time of one transfer.
func (c *Core) transferLimit(t Transfer) time.Duration {
	return 2*time.Duration(len(t.Blocks))*c.exportTime() + transferSlack
}

// PauseKV leaves out transfers for a while because one failed.
func (c *Core) PauseKV(now time.Time) {
	c.rec.add(now, Entry{Kind: EntryPauseKV})
	c.store.KVPausedUntil = now.Add(kvPause)
}

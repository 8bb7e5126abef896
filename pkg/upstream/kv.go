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
	// transferTimeoutSlack is added to twice the expected time of a transfer; after
	// that the request is sent without it.
	transferTimeoutSlack = 100 * time.Millisecond
	// kvPauseAfterFailure is the time without transfers after one failed, so that a KV
	// store that is down does not delay every request.
	kvPauseAfterFailure = 5 * time.Second
)

// exporter runs exports in the background.
type exporter struct {
	client  KVClient
	slots   chan struct{}
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
}

func newExporter(client KVClient) *exporter {
	ctx, stop := context.WithCancel(context.Background())
	return &exporter{client: client, slots: make(chan struct{}, maxExports), ctx: ctx, cancel: stop}
}

// start exports t in the background unless too many exports are under way. It
// is called under the pool's lock.
func (e *exporter) start(p *pool, t Transfer) {
	select {
	case e.slots <- struct{}{}:
	default:
		return
	}
	limit := p.scheduler.transferTimeout(t)
	e.running.Go(func() {
		defer func() { <-e.slots }()
		ctx, cancel := context.WithTimeout(e.ctx, limit)
		defer cancel()
		done, err := e.client.KVExport(ctx, t.Addr, t.engineTransfer())
		p.withLock(func(now time.Time, c *Scheduler) {
			if err != nil {
				c.PauseKV(now)
				return
			}
			c.FinishExport(now, t, min(len(done.Blocks), len(t.Blocks)))
		})
	})
}

func (t Transfer) engineTransfer() engine.KVTransfer {
	return engine.KVTransfer{Weights: t.Weights, Parent: t.Parent, Blocks: t.Blocks}
}

// close ends exports under way and waits for them.
func (e *exporter) close() {
	e.cancel()
	e.running.Wait()
}

// importBlocks performs the import that the choice expects before the request
// is sent. A failed import costs its time only.
func (p *Pools) importBlocks(ctx context.Context, pl *pool, g *Grant) {
	var t Transfer
	var limit time.Duration
	needed := false
	pl.withLock(func(_ time.Time, c *Scheduler) {
		if t, needed = c.StartImport(g); needed {
			limit = c.transferTimeout(t)
		}
	})
	if !needed {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	done, err := p.exporter.client.KVImport(bounded, t.Addr, t.engineTransfer())
	pl.withLock(func(now time.Time, c *Scheduler) {
		if err != nil && ctx.Err() == nil {
			c.PauseKV(now)
		}
		c.FinishImport(now, g, t, min(len(done.Blocks), len(t.Blocks)))
	})
}

// transferTimeout bounds the time of one transfer.
func (c *Scheduler) transferTimeout(t Transfer) time.Duration {
	return 2*time.Duration(len(t.Blocks))*c.blockExportTime() + transferTimeoutSlack
}

// PauseKV leaves out transfers for a while because one failed.
func (c *Scheduler) PauseKV(now time.Time) {
	c.rec.add(now, Entry{Kind: EntryPauseKV})
	c.store.KVPausedUntil = now.Add(kvPauseAfterFailure)
}

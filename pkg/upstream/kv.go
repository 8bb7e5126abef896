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

// Limits on KV transfers.
const (
	// maxExports is the number of exports that one instance runs at a time.
	// Further ones are skipped, which costs at most a later recomputation.
	maxExports = 16
	// transferTimeoutSlack is added to twice the expected time of a transfer to
	// get its timeout. A request whose import times out is sent without it.
	transferTimeoutSlack = 100 * time.Millisecond
	// kvPauseAfterFailure is the time without transfers after a failed one, so
	// that a KV store that is down does not delay every request.
	kvPauseAfterFailure = 5 * time.Second
)

// exporter exports blocks to the KV store in the background.
type exporter struct {
	client  KVClient
	slots   chan struct{}
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
}

func newExporter(client KVClient) *exporter {
	ctx, cancel := context.WithCancel(context.Background())
	return &exporter{client: client, slots: make(chan struct{}, maxExports), ctx: ctx, cancel: cancel}
}

// start exports t in the background, or skips it if maxExports are already
// running. The caller holds the pool's lock.
func (e *exporter) start(p *pool, t Transfer) {
	select {
	case e.slots <- struct{}{}:
	default:
		return
	}
	timeout := p.scheduler.transferTimeout(t)
	e.running.Go(func() {
		defer func() { <-e.slots }()
		ctx, cancel := context.WithTimeout(e.ctx, timeout)
		defer cancel()
		transferred, err := e.client.KVExport(ctx, t.Addr, t.engineTransfer())
		p.withLock(func(now time.Time, s *Scheduler) {
			if err != nil {
				s.PauseKV(now)
				return
			}
			s.FinishExport(now, t, min(len(transferred.Blocks), len(t.Blocks)))
		})
	})
}

func (t Transfer) engineTransfer() engine.KVTransfer {
	return engine.KVTransfer{Weights: t.Weights, Parent: t.Parent, Blocks: t.Blocks}
}

// close cancels running exports and waits for them to return.
func (e *exporter) close() {
	e.cancel()
	e.running.Wait()
}

// importBlocks imports the blocks that the choice of upstream relies on before
// the request is sent. After a failed import the request is sent anyway; only
// the time is lost.
func (p *Pools) importBlocks(ctx context.Context, pl *pool, g *Grant) {
	var t Transfer
	var timeout time.Duration
	hasImport := false
	pl.withLock(func(_ time.Time, s *Scheduler) {
		if t, hasImport = s.StartImport(g); hasImport {
			timeout = s.transferTimeout(t)
		}
	})
	if !hasImport {
		return
	}
	importCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	transferred, err := p.exporter.client.KVImport(importCtx, t.Addr, t.engineTransfer())
	pl.withLock(func(now time.Time, s *Scheduler) {
		if err != nil && ctx.Err() == nil {
			s.PauseKV(now)
		}
		s.FinishImport(now, g, t, min(len(transferred.Blocks), len(t.Blocks)))
	})
}

// transferTimeout returns the timeout of a transfer.
func (s *Scheduler) transferTimeout(t Transfer) time.Duration {
	return 2*time.Duration(len(t.Blocks))*s.blockExportTime() + transferTimeoutSlack
}

// PauseKV stops new transfers for kvPauseAfterFailure after one failed.
func (s *Scheduler) PauseKV(now time.Time) {
	s.rec.add(now, Entry{Kind: EntryPauseKV})
	s.store.KVPausedUntil = now.Add(kvPauseAfterFailure)
}

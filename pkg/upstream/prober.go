package upstream

import (
	"context"
	"sync"
	"time"

	"github.com/fescuestep/fescuestep/pkg/engine"
)

// LoadClient reads the load report of an upstream. *engine.Client implements
// it.
type LoadClient interface {
	Load(ctx context.Context, addr string) (engine.LoadReport, error)
}

// Limits on probes. A probe that is skipped or late delays its request by at
// most maxProbeWait.
const (
	maxProbes    = 64
	probeTimeout = 100 * time.Millisecond
)

// prober reads load reports on demand.
type prober struct {
	client  LoadClient
	slots   chan struct{}
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
}

func newProber(client LoadClient) *prober {
	ctx, cancel := context.WithCancel(context.Background())
	return &prober{client: client, slots: make(chan struct{}, maxProbes), ctx: ctx, cancel: cancel}
}

// start probes the upstreams in the background and skips those beyond maxProbes
// at a time. The caller holds the pool's lock.
func (p *prober) start(pl *pool, ids []string) {
	for _, id := range ids {
		u := pl.scheduler.store.Get(id)
		if u == nil {
			continue
		}
		select {
		case p.slots <- struct{}{}:
			addr := u.Addr
			p.running.Go(func() { p.probe(pl, id, addr) })
		default:
		}
	}
}

// probe reads the load report of one upstream. Errors are ignored: only the
// regular polls have a timeout long enough to show that an upstream is
// unreachable.
func (p *prober) probe(pl *pool, id, addr string) {
	defer func() { <-p.slots }()
	ctx, cancel := context.WithTimeout(p.ctx, probeTimeout)
	defer cancel()
	report, err := p.client.Load(ctx, addr)
	if err == nil {
		pl.withLock(func(now time.Time, s *Scheduler) { s.OnReport(now, id, &report) })
	}
}

func (p *prober) close() {
	p.cancel()
	p.running.Wait()
}

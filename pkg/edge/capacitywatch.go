package edge

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/fescuestep/fescuestep/pkg/metrics"
)

const (
	// capacityInterval is the time between two records of the capacity of services.
	capacityInterval = time.Second
	// slowFactor is the slowdown from which an upstream counts as slow.
	slowFactor = 1.5
	// mostlySlowShare is the share of a service's upstreams that are slow from which it is
	// logged.
	mostlySlowShare = 0.5
)

// capacityWatch records the capacity of each service in metrics, and logs when most of its
// upstreams become slow or usual again.
type capacityWatch struct {
	placer     *placer
	metrics    ServiceMetrics
	log        hclog.Logger
	mostlySlow map[string]bool // by service
}

func (w *capacityWatch) run(ctx context.Context) {
	for ctx.Err() == nil {
		w.record()
		sleep(ctx, capacityInterval)
	}
}

func (w *capacityWatch) record() {
	counts := map[string]metrics.Capacity{}
	for _, u := range w.placer.currentView().All() {
		c := counts[u.Service]
		c.Upstreams++
		if w.placer.slowdownFactor(u.ID) >= slowFactor {
			c.Slow++
		}
		counts[u.Service] = c
	}
	for service, c := range counts {
		room := w.placer.Room(service)
		c.Free, c.Total = room.Free, room.Total
		w.metrics.RecordCapacity(service, c)
		slow := float64(c.Slow) >= mostlySlowShare*float64(c.Upstreams)
		if slow == w.mostlySlow[service] {
			continue
		}
		w.mostlySlow[service] = slow
		message := "most upstreams of a service are no longer slow"
		if slow {
			message = "most upstreams of a service are slow"
		}
		w.log.Info(message, "service", service, "slow", c.Slow, "upstreams", c.Upstreams, "free", c.Free, "total", c.Total, "wait", room.Wait.String())
	}
}

func (p *placer) slowdownFactor(id string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.balancer.SlowdownFactor(id, p.now())
}

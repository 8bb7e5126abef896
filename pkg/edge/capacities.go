package edge

import (
	"math"
	"time"

	"github.com/fescuestep/fescuestep/pkg/concurrency"
	"github.com/fescuestep/fescuestep/pkg/placement"
	rpc "github.com/fescuestep/fescuestep/rpc/edge"
)

// maxCapacities limits the upstreams in a digest; each takes up to 35 bytes. The rest
// follows in the next ones.
const maxCapacities = 12

// capacities tells the other instances how long work takes at upstreams now and how many
// requests they run at once. It implements sharedState. It does not request digests: an
// upstream's figure changes several times a second, and a datagram to all instances for
// each would cost more than the delay until the next digest.
type capacities struct {
	placer *placer
}

func (c capacities) encode(d *rpc.Digest, _ bool) {
	for _, r := range c.placer.capacityReports(maxCapacities) {
		d.Capacities = append(d.Capacities, &rpc.Capacity{
			Upstream: r.Upstream, SlowdownPercent: percent(r.Stated), AgoMs: uint32(r.Age.Milliseconds()),
			LearnedPercent: percent(r.Learned), Limit: uint32(max(0, r.Limit)),
		})
	}
}

func (c capacities) apply(_ string, _ uint64, d *rpc.Digest) {
	if len(d.Capacities) == 0 {
		return
	}
	reports := make([]placement.CapacityReport, 0, len(d.Capacities))
	for _, told := range d.Capacities {
		reports = append(reports, placement.CapacityReport{Upstream: told.GetUpstream(), Report: concurrency.Report{
			Stated: float64(told.GetSlowdownPercent()) / 100, Age: time.Duration(told.GetAgoMs()) * time.Millisecond,
			Learned: float64(told.GetLearnedPercent()) / 100, Limit: int(min(told.GetLimit(), math.MaxInt32)),
		}})
	}
	c.placer.mergeCapacities(reports)
}

// forget does nothing: what an instance told expires by itself.
func (c capacities) forget(string) {}

func percent(factor float64) uint32 { return uint32(math.Round(100 * max(0, factor))) }

// capacityReports returns at most most reports of upstreams that changed noticeably.
func (p *placer) capacityReports(most int) []placement.CapacityReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.balancer.CapacityReports(most, p.now())
}

// mergeCapacities takes over reports of another instance.
func (p *placer) mergeCapacities(reports []placement.CapacityReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for _, r := range reports {
		p.balancer.MergeCapacity(r, now)
	}
}

// Answered records that the answer to an attempt has arrived.
func (p *placer) Answered(attempt *placement.Attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.balancer.Answered(attempt, p.now())
}

// Room returns the capacity of a service's upstreams for all instances together.
func (p *placer) Room(service string) concurrency.Room {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.balancer.Room(service, p.now())
}

package edge

import (
	"cmp"
	"slices"
	"strings"

	"github.com/fescuestep/fescuestep/pkg/admission"
	"github.com/fescuestep/fescuestep/pkg/placement"
	rpc "github.com/fescuestep/fescuestep/rpc/edge"
)

// maxUsageFlows limits the flows in a digest; each takes about 20 bytes.
const maxUsageFlows = 24

// maxDemandPrefixes limits the prefixes in a digest; each takes 14 bytes.
const maxDemandPrefixes = 8

// secondsPerMinute converts arrivals: digests tell whole numbers per minute, which are
// small and precise enough.
const secondsPerMinute = 60

// usageState tells the other instances how customers use services at this one. It
// implements sharedState.
type usageState struct{ admitter *admitter }

func (u usageState) encode(d *rpc.Digest, partial bool) {
	if !partial {
		d.Usage = encodeUsage(u.admitter.nextUsage())
	}
}

func (u usageState) apply(sender string, incarnation uint64, d *rpc.Digest) {
	switch {
	case len(d.Usage) > 0:
		u.admitter.merge(sender, incarnation, decodeUsage(d.Usage))
	case !d.Partial:
		u.admitter.restarted(sender, incarnation)
	}
}

func (u usageState) forget(sender string) { u.admitter.forget(sender) }

// nextUsage returns the flows for the next digest, at most maxUsageFlows, by turns.
func (a *admitter) nextUsage() admission.Usage {
	a.mu.Lock()
	defer a.mu.Unlock()
	usage := a.controller.Usage(a.now())
	slices.SortFunc(usage, func(x, y admission.FlowUsage) int {
		return cmp.Or(strings.Compare(x.Service, y.Service), cmp.Compare(x.Class, y.Class), strings.Compare(x.Customer, y.Customer))
	})
	if len(usage) <= maxUsageFlows {
		return usage
	}
	from := a.nextFlow % len(usage)
	a.nextFlow = from + maxUsageFlows
	return append(usage[from:], usage[:from]...)[:maxUsageFlows]
}

func (a *admitter) merge(sender string, incarnation uint64, usage admission.Usage) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.controller.Merge(a.now(), sender, incarnation, usage)
}

// restarted drops the usage of an earlier process of an instance that has none now.
func (a *admitter) restarted(sender string, incarnation uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.controller.Restarted(a.now(), sender, incarnation)
}

func (a *admitter) forget(sender string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.controller.Forget(sender)
}

func encodeUsage(usage admission.Usage) (out []*rpc.Usage) {
	for _, u := range usage {
		if n := len(out); n == 0 || out[n-1].Service != u.Service || out[n-1].Class != u.Class {
			out = append(out, &rpc.Usage{Service: u.Service, Class: u.Class})
		}
		group := out[len(out)-1]
		group.Flows = append(group.Flows, &rpc.FlowUsage{
			Customer: u.Customer, Running: uint32(u.Running), Waiting: uint32(u.Waiting), PerMinute: uint32(u.PerSecond * secondsPerMinute),
		})
	}
	return out
}

func decodeUsage(groups []*rpc.Usage) (out admission.Usage) {
	for _, group := range groups {
		for _, f := range group.Flows {
			out = append(out, admission.FlowUsage{
				Service: group.Service, Class: group.Class, Customer: f.Customer,
				Running: int(f.Running), Waiting: int(f.Waiting), PerSecond: float64(f.PerMinute) / secondsPerMinute,
			})
		}
	}
	return out
}

// demandState tells the other instances for which prefixes many requests arrive at this one.
// It implements sharedState. What an instance told expires, so there is nothing to forget.
type demandState struct{ placer *placer }

func (s demandState) encode(d *rpc.Digest, partial bool) {
	if partial {
		return
	}
	for _, demand := range s.placer.prefixDemand(maxDemandPrefixes) {
		d.Prefixes = append(d.Prefixes, &rpc.PrefixDemand{Prefix: demand.Prefix, PerMinute: uint32(demand.PerSecond * secondsPerMinute)})
	}
}

func (s demandState) apply(sender string, _ uint64, d *rpc.Digest) {
	if len(d.Prefixes) == 0 {
		return
	}
	demand := make([]placement.PrefixDemand, 0, len(d.Prefixes))
	for _, told := range d.Prefixes[:min(len(d.Prefixes), maxDemandPrefixes)] {
		demand = append(demand, placement.PrefixDemand{Prefix: told.Prefix, PerSecond: float64(told.PerMinute) / secondsPerMinute})
	}
	s.placer.setPrefixDemand(sender, demand)
}

func (s demandState) forget(string) {}

package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/fescuestep/fescuestep/pkg/fleet"
	"github.com/fescuestep/fescuestep/pkg/movingrate"
)

const (
	// replicaShare is the share of an engine's time that the requests of one prefix may take
	// before another engine counts as an owner. Engines have other work, and some take more
	// than twice as long for a while; at a higher share the requests queue.
	replicaShare = 0.25
	// maxReplicas bounds the owners of one prefix. Each copy evicts others.
	maxReplicas = 8
	// seedInterval is the time between two requests, over all instances, that are sent to an
	// owner without a copy so that it computes one. It covers the time until the others know.
	seedInterval = 300 * time.Millisecond
	// maxTrackedPrefixes bounds the prefixes whose demand is known.
	maxTrackedPrefixes = 4096
	// minTrackedRate is the rate per second below which the demand for a prefix is forgotten.
	minTrackedRate = 0.02
	// toldDemandAge is how long what another instance told of its demand counts.
	toldDemandAge = 3 * time.Second
	// replicationMemory is how long replication goes on after it was last called for.
	replicationMemory = time.Minute
	// maxToldRate bounds the rate that another instance may tell.
	maxToldRate = 10_000
)

// PrefixDemand is the requests per second for a prefix that arrive at one instance. Prefix
// is Attempt.PrefixHash.
type PrefixDemand struct {
	Prefix    uint64
	PerSecond float64
}

// prefixDemand is the demand for one prefix.
type prefixDemand struct {
	own  movingrate.Rate
	told map[string]toldDemand // by instance
}

type toldDemand struct {
	perSecond float64
	at        time.Time
}

func (d *prefixDemand) perSecond(now time.Time) float64 {
	total := d.own.PerSecond(now)
	for instance, t := range d.told {
		if now.Sub(t.at) > toldDemandAge {
			delete(d.told, instance)
			continue
		}
		total += t.perSecond
	}
	return total
}

// replication tracks the demand for prefixes. Its zero value is ready for use.
type replication struct {
	demand  map[uint64]*prefixDemand
	enabled map[string]time.Time // by service: when it was last called for
	sweptAt time.Time
}

// ReplicatePrefixes turns replication on for the prompts of a service, for
// replicationMemory.
func (b *Balancer) ReplicatePrefixes(service string, now time.Time) {
	if b.replication.enabled == nil {
		b.replication.enabled = map[string]time.Time{}
	}
	b.replication.enabled[service] = now
}

func (r *replication) isEnabled(service string, now time.Time) bool {
	at, ok := r.enabled[service]
	return ok && now.Sub(at) <= replicationMemory
}

// entry returns the demand for a prefix, or nil if too many are tracked.
func (r *replication) entry(prefix uint64, now time.Time) *prefixDemand {
	if d := r.demand[prefix]; d != nil {
		return d
	}
	if r.demand == nil {
		r.demand = map[uint64]*prefixDemand{}
	}
	if len(r.demand) >= maxTrackedPrefixes {
		r.sweep(now)
		if len(r.demand) >= maxTrackedPrefixes {
			return nil
		}
	}
	d := &prefixDemand{told: map[string]toldDemand{}}
	r.demand[prefix] = d
	return d
}

// sweep forgets prefixes without demand, at most once a second.
func (r *replication) sweep(now time.Time) {
	if now.Sub(r.sweptAt) < time.Second {
		return
	}
	r.sweptAt = now
	for prefix, d := range r.demand {
		if d.perSecond(now) < minTrackedRate {
			delete(r.demand, prefix)
		}
	}
}

// recordDemand counts a request that is sent.
func (b *Balancer) recordDemand(a *Attempt, now time.Time) {
	if !a.hasOwner || !b.replication.isEnabled(a.Upstream.Service, now) {
		return
	}
	if d := b.replication.entry(a.PrefixHash, now); d != nil {
		d.own.Add(1, now)
	}
}

// PrefixDemand returns the prefixes for which most requests arrive at this instance, at most
// n, and forgets those without demand.
func (b *Balancer) PrefixDemand(n int, now time.Time) []PrefixDemand {
	b.replication.sweep(now)
	var out []PrefixDemand
	for prefix, d := range b.replication.demand {
		if rate := d.own.PerSecond(now); rate >= minTrackedRate {
			out = append(out, PrefixDemand{prefix, rate})
		}
	}
	slices.SortFunc(out, func(x, y PrefixDemand) int {
		return cmp.Or(cmp.Compare(y.PerSecond, x.PerSecond), cmp.Compare(x.Prefix, y.Prefix))
	})
	return out[:min(n, len(out))]
}

// SetPrefixDemand records what another instance tells of its demand.
func (b *Balancer) SetPrefixDemand(instance string, demand []PrefixDemand, now time.Time) {
	for _, told := range demand {
		if !(told.PerSecond >= 0) {
			continue // also ignores NaN
		}
		if d := b.replication.entry(told.Prefix, now); d != nil {
			d.told[instance] = toldDemand{min(told.PerSecond, maxToldRate), now}
		}
	}
}

// replicaCount returns how many engines count as owners of a prompt's prefix.
func (b *Balancer) replicaCount(p *prompt, engines int, perSecond float64) int {
	const millisecondsPerSecond = 1000
	tokens := perSecond * float64(max(1, p.PromptTokens-p.sharedTokens))
	need := math.Ceil(tokens / (replicaShare * float64(b.meanSpeed) * millisecondsPerSecond))
	return int(min(max(need, 1), maxReplicas, max(1, float64(engines)/2)))
}

// setReplicas determines the engines that count as owners of a prompt because its prefix is
// in demand: the first of the ranking that all instances share.
func (b *Balancer) setReplicas(now time.Time, engines []*fleet.Upstream, p *prompt) {
	if p.sharedTokens < minSharedTokens || !b.replication.isEnabled(p.Service.Name, now) {
		return
	}
	root := p.keysFor(0)[p.sharedParts-1]
	d := b.replication.demand[root]
	if d == nil {
		return
	}
	p.demand = d.perSecond(now)
	n := b.replicaCount(p, len(engines), p.demand)
	if n < 2 {
		return
	}
	type ranked struct {
		weight   uint64
		upstream *fleet.Upstream
	}
	list := make([]ranked, 0, len(engines))
	for _, u := range engines {
		if b.available(now, u, p.Query) {
			list = append(list, ranked{xxh3.HashStringSeed(u.ID, root), u})
		}
	}
	slices.SortFunc(list, func(x, y ranked) int { return cmp.Compare(y.weight, x.weight) })
	for _, r := range list[:min(n, len(list))] {
		p.replicas = append(p.replicas, r.upstream)
	}
}

// seedReplica returns the estimate of an owner that has no copy of a prefix in demand, if
// this request is to make it compute one. Otherwise the copies would come only when the
// requests queue at the engines that have one.
func (b *Balancer) seedReplica(now time.Time, p *prompt) (e estimate, ok bool) {
	if len(p.replicas) < 2 || b.rng.Float64()*p.demand*seedInterval.Seconds() > 1 {
		return estimate{}, false
	}
	for _, u := range p.replicas {
		if b.hasCached(now, u, p) || !b.acceptsWork(now, u, p.Query) || !b.withinLimit(u, now) {
			continue
		}
		e = b.estimate(now, u, p)
		if e.cost <= maxComputeWait && b.weightsAllowed(now.Add(waitSafetyFactor*e.cost), u, p.Model) {
			b.recordWish(u, now)
			return e, true
		}
	}
	return estimate{}, false
}

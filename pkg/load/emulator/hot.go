package emulator

import "time"

// demandInterval is the time between two full digests of an instance, which tell the demand
// for prefixes.
const demandInterval = 240 * time.Millisecond

// toldPrefixes is the number of prefixes in a full digest.
const toldPrefixes = 8

// Hot returns a deployment of 89 engines with few slots, in 4 failure domains, in which one
// shared part is in 0.3 of the long prompts. A seventh of the engines take 2.5 times as
// long. Load is a factor on the requests.
func Hot(load float64) *Deployment {
	d := &Deployment{
		Engine: Spec{
			Slots: 12, Chunk: 4096, KVTokens: 161_971, TokenBytes: 163_840, LinkMbps: 1_100_000,
			Step: 5610 * time.Microsecond, StepPerRequest: 16500 * time.Nanosecond, TokensPerMS: 54.6, PairTime: 367 * time.Microsecond,
		},
		Domains: 4, Instances: 24,
		Classes: []Class{
			{
				Name: "long", PerSecond: 84.6 * load, Target: 800 * time.Millisecond, Priority: 1, Output: 20,
				Shared: []Level{{Things: 250, Size: Size{Mean: 13_300, Spread: 0.7, Most: 39_900}, Hot: 0.3}},
				Own:    Size{Mean: 3_720, Spread: 1.1, Most: 53_200},
			},
			{
				Name: "short", PerSecond: 474 * load, Target: 600 * time.Millisecond, Output: 8,
				Shared: []Level{{Things: 8, Size: Size{Mean: 55, Spread: 0.4, Most: 138}}, {Things: 1750, Size: Size{Mean: 37, Spread: 0.7, Most: 110}}},
				Own:    Size{Mean: 291, Spread: 1.4, Most: 1_830},
			},
		},
		Exchange: Exchange{News: 24 * time.Millisecond, Interval: demandInterval, Refresh: 25 * time.Millisecond},
	}
	for i := range 89 {
		slower := 1.0
		if i%7 == 3 {
			slower = 2.5
		}
		d.Slowness = append(d.Slowness, slower)
	}
	return d
}

// replicating is the placement with replication of prefixes in demand.
type replicating struct{ *books }

func (p replicating) start(end time.Duration) {
	p.books.start(end)
	for i := range p.list {
		p.r.every(demandInterval*time.Duration(i)/time.Duration(len(p.list)), demandInterval, end, func(now time.Duration) { p.tellDemand(now, i) })
	}
}

// tellDemand tells the demand for prefixes at an instance to the others.
func (b *books) tellDemand(now time.Duration, from int) {
	b.list[from].ReplicatePrefixes(b.service.Name, epoch.Add(now))
	demand := b.list[from].PrefixDemand(toldPrefixes, epoch.Add(now))
	b.r.events.after(now+toEngine, func(now time.Duration) {
		for i, book := range b.list {
			if i != from {
				book.SetPrefixDemand(domainName(from), demand, epoch.Add(now))
			}
		}
	})
}

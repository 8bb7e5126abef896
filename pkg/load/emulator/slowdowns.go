package emulator

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuestep/fescuestep/pkg/call"
)

// Slowdowns describes machines that are slow for a while, because they share their
// hardware with other work. The zero value is machines that are not.
type Slowdowns struct {
	Share  float64       // of the engines that are slow at any moment
	Factor float64       // on the times of a slow engine
	Period time.Duration // after which others are slow
	Stated bool          // engines state it in their answers
	False  bool          // they state the usual time while they are slow, and the reverse
}

// SharedMachines returns the deployment of docs/hard-load.md whose model servers share
// their machines with other work: 89 engines with 12 slots in 4 failure domains.
func SharedMachines(load float64, instances int) *Deployment {
	d := &Deployment{
		Engine: Spec{
			Slots: 12, Chunk: 4096, KVTokens: 161_971, TokenBytes: 163_840, LinkMbps: 1_100_000,
			Step: 5610 * time.Microsecond, StepPerRequest: 30 * time.Microsecond, TokensPerMS: 54.6, PairTime: 200 * time.Microsecond,
		},
		Domains: 4, Instances: instances, StoreMbps: 340_000, StoreKV: 1_630_000,
		Classes: []Class{
			{
				Name: "long", PerSecond: 84.6 * load, Target: 800 * time.Millisecond, Priority: 1, Output: 20,
				Shared: []Level{{Things: 600, Size: Size{Mean: 13_300, Spread: 0.7, Most: 39_900}}},
				Own:    Size{Mean: 3_720, Spread: 1.1, Most: 53_200},
			},
			{
				Name: "short", PerSecond: 474 * load, Target: 600 * time.Millisecond, Output: 8,
				Shared: []Level{{Things: 8, Size: Size{Mean: 55, Spread: 0.4, Most: 138}}, {Things: 1750, Size: Size{Mean: 37, Spread: 0.7, Most: 110}}},
				Own:    Size{Mean: 291, Spread: 1.4, Most: 1_830},
			},
		},
		Exchange: Exchange{
			News:     time.Duration(instances) * time.Millisecond,
			Interval: max(digestInterval, time.Duration(instances)*10*time.Millisecond),
			Refresh:  25 * time.Millisecond,
		},
		Slowdowns: Slowdowns{Share: 0.15, Factor: 2.5, Period: 600 * time.Millisecond, Stated: true},
	}
	for range 89 {
		d.Slowness = append(d.Slowness, 1)
	}
	return d
}

// slowDown makes other engines slow at each period until end.
func (r *run) slowDown(seed uint64, end time.Duration) {
	s := r.d.Slowdowns
	if s.Period <= 0 {
		return
	}
	rng := rand.New(rand.NewPCG(seed, 2))
	r.every(0, s.Period, end, func(time.Duration) {
		for i, e := range r.engines {
			e.now = 1
			if rng.Float64() < s.Share {
				e.now = s.Factor
			}
			e.slower = r.d.Slowness[i] * e.now
		}
	})
}

// load returns what an engine states in the head of an answer.
func (r *run) load(e *engine) call.Load {
	l := call.Load{Running: len(e.running), Waiting: len(e.waiting), Slots: e.spec.Slots}
	s := r.d.Slowdowns
	if !s.Stated {
		return l
	}
	l.WorkTimePercent = int(100 * e.now)
	if s.False {
		l.WorkTimePercent = int(100 * (1 + s.Factor - e.now))
	}
	return l
}

// Named returns the deployment with a name, with the load as a factor on its requests.
func Named(name string, load float64) (*Deployment, error) {
	switch name {
	case "small":
		return Small(load), nil
	case "grown":
		return Grown(load, 65), nil
	case "shared":
		return SharedMachines(load, 24), nil
	case "hot":
		return Hot(load), nil
	case "shared-unstated":
		d := SharedMachines(load, 24)
		d.Slowdowns.Stated = false
		return d, nil
	case "shared-false":
		d := SharedMachines(load, 24)
		d.Slowdowns.False = true
		return d, nil
	}
	return nil, errors.Newf("unknown deployment %q, have small, grown, shared, shared-unstated, shared-false, hot", name)
}

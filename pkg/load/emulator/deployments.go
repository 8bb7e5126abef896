package emulator

import (
	"slices"
	"time"
)

// Small returns a deployment like those of the users' letter: 12 engines, a third
// of them slower, 9 instances in 4 failure domains. Load is a factor on the
// requests.
func Small(load float64) *Deployment {
	d := &Deployment{
		Engine: Spec{
			Slots: 64, Chunk: 2048, KVTokens: 150_000, TokenBytes: 163_840, LinkMbps: 1_100_000,
			Step: 3090 * time.Microsecond, StepPerRequest: 16500 * time.Nanosecond, TokensPerMS: 61.8, PairTime: 367 * time.Microsecond,
		},
		Domains: 4, Instances: 9, StoreMbps: 340_000, StoreKV: 1_630_000,
		Classes: []Class{
			{
				Name: "long", PerSecond: 18.5 * load, Target: 600 * time.Millisecond, Priority: 1, Output: 20,
				Shared: []Level{{Things: 250, Size: Size{Mean: 13_300, Spread: 0.7, Most: 39_900}}},
				Own:    Size{Mean: 3_720, Spread: 1.1, Most: 53_200},
			},
			{
				Name: "short", PerSecond: 185 * load, Target: 400 * time.Millisecond, Output: 8,
				Shared: []Level{{Things: 8, Size: Size{Mean: 55, Spread: 0.4, Most: 138}}, {Things: 1750, Size: Size{Mean: 37, Spread: 0.7, Most: 110}}},
				Own:    Size{Mean: 291, Spread: 1.4, Most: 1_830},
			},
		},
	}
	for i := range 12 {
		slower := 1.0
		if i%3 == 2 {
			slower = 1.3
		}
		d.Slowness = append(d.Slowness, slower)
	}
	return d
}

// Grown returns a deployment of many engines: 60 with small tokens, on which each
// running request makes a step longer, in 3 failure domains, and prompts with much that
// is their own. What instances know of each other is older the more of them there are.
func Grown(load float64, instances int) *Deployment {
	d := &Deployment{
		Engine: Spec{
			Slots: 64, Chunk: 1024, KVTokens: 236_934, TokenBytes: 18_432, LinkMbps: 550_000,
			Step: 2890 * time.Microsecond, StepPerRequest: 101 * time.Microsecond, TokensPerMS: 55, PairTime: 165 * time.Microsecond,
		},
		Domains: 3, Instances: instances, StoreMbps: 52_000, StoreKV: 1_057_136,
		Classes: []Class{
			{
				Name: "long", PerSecond: 94.3 * load, Target: time.Second, Priority: 1, Output: 48,
				Shared: []Level{{Things: 1, Size: Size{Mean: 512, Spread: 0.4, Most: 1_280}}, {Things: 396, Size: Size{Mean: 4_870, Spread: 0.7, Most: 14_600}}},
				Own:    Size{Mean: 6_610, Spread: 0.7, Most: 39_000},
			},
			{
				Name: "short", PerSecond: 189 * load, Target: 500 * time.Millisecond, Output: 3,
				Shared: []Level{{Things: 16, Size: Size{Mean: 341, Spread: 0.4, Most: 851}}, {Things: 792, Size: Size{Mean: 227, Spread: 0.7, Most: 681}}},
				Own:    Size{Mean: 1_800, Spread: 0.7, Most: 10_000},
			},
		},
		Exchange: Exchange{
			News:     time.Duration(instances) * time.Millisecond,
			Interval: max(digestInterval, time.Duration(instances)*10*time.Millisecond),
			Refresh:  25 * time.Millisecond,
		},
	}
	for range 60 {
		d.Slowness = append(d.Slowness, 1)
	}
	return d
}

// Rate returns the requests a second of all classes.
func (d *Deployment) Rate() float64 {
	total := 0.0
	for _, c := range d.Classes {
		total += c.PerSecond
	}
	return total
}

func sortByTime(arrivals []arrival) {
	slices.SortStableFunc(arrivals, func(a, b arrival) int { return int(a.at - b.at) })
}

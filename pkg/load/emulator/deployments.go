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

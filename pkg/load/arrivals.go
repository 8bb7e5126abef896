package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/fescuestep/fescuestep/pkg/block"
)

// Arrival is one request of the open loop. It is the same for all policies.
type Arrival struct {
	At        time.Duration
	Customer  int
	Instance  int
	Path      []string // names of the prompt's blocks, from the root
	Blocks    []block.Hash
	Tokens    int // prompt tokens
	MaxOutput int
	Short     bool
	Excess    bool // sent by the overloader above its usual rate
	Within    bool // within the customer's rate and burst
	Timeout   time.Duration
}

// Deadlines of both profiles: a counter call is useless after a few seconds.
const (
	shortTimeout = 5 * time.Second
	longTimeout  = 20 * time.Second
)

// generator draws arrivals from one random source.
type generator struct {
	profile  *Profile
	rng      *rand.Rand
	seeds    []block.Hash // chain seed by customer
	sessions int
	out      []Arrival
}

// Arrivals returns the arrivals of one run in time order. With overload, the
// profile's overloader sends OverFactor times its rate in the middle third of
// the run; the other arrivals are the same with and without.
func Arrivals(p *Profile, seed uint64, duration time.Duration, overload bool) []Arrival {
	g := &generator{profile: p, rng: rand.New(rand.NewPCG(seed, 0xa55))}
	for _, c := range p.Customers {
		id := block.Identity{CacheScope: c.ID, Model: p.Pool, WeightsVersion: "1"}
		g.seeds = append(g.seeds, id.Seed())
	}
	g.open(duration, 1, 0, duration, false)
	if overload {
		g.rng = rand.New(rand.NewPCG(seed, 0xb66))
		g.open(duration, p.OverFactor-1, duration/3, 2*duration/3, true)
	}
	sort.SliceStable(g.out, func(i, j int) bool { return g.out[i].At < g.out[j].At })
	markWithin(p, g.out, duration)
	return g.out
}

// open draws Poisson arrivals between from and to.
func (g *generator) open(duration time.Duration, factor float64, from, to time.Duration, excess bool) {
	for i, c := range g.profile.Customers {
		if excess && i != g.profile.Overloader {
			continue
		}
		rate := g.profile.Rate * c.Share * factor
		for at := from + g.gap(rate); at < to; at += g.gap(rate) {
			g.one(at, i, duration, excess)
		}
	}
}

func (g *generator) gap(rate float64) time.Duration {
	return time.Duration(g.rng.ExpFloat64() / rate * float64(time.Second))
}

// one adds a short call, a call about a document, or with a lower rate the
// start of a session whose calls make up SessionShare of the long calls.
func (g *generator) one(at time.Duration, customer int, duration time.Duration, excess bool) {
	p := g.profile
	switch {
	case g.rng.Float64() < p.ShortShare:
		g.short(at, customer, excess)
	case g.rng.Float64() >= p.SessionShare:
		g.long(at, customer, g.document(at, customer), excess)
	case g.rng.Float64() < 1/float64(p.SessionCalls):
		g.session(at, customer, duration, excess)
	}
}

func (g *generator) short(at time.Duration, customer int, excess bool) {
	var path []string
	if g.rng.Float64() < 0.5 {
		path = []string{"root.0"} // the customer's system prompt
	}
	g.add(Arrival{
		At: at, Customer: customer, Path: path, Short: true, Excess: excess,
		Tokens:    len(path)*BlockTokens + 80 + g.rng.IntN(400),
		MaxOutput: 20 + g.rng.IntN(40), Timeout: shortTimeout,
	})
}

func (g *generator) long(at time.Duration, customer int, path []string, excess bool) {
	g.add(Arrival{
		At: at, Customer: customer, Path: path, Excess: excess,
		Tokens:    len(path)*BlockTokens + 100 + g.rng.IntN(600),
		MaxOutput: 60 + g.rng.IntN(120), Timeout: longTimeout,
	})
}

// session adds calls that share a prefix no other session has.
func (g *generator) session(at time.Duration, customer int, duration time.Duration, excess bool) {
	g.sessions++
	doc := g.document(at, customer)
	shared := g.profile.Levels[0] + g.profile.Levels[1]
	path := append([]string(nil), doc[:min(shared, len(doc))]...)
	for i := range 2 + g.rng.IntN(4) {
		path = append(path, fmt.Sprintf("s%d.%d.%t", g.sessions, i, excess))
	}
	calls := 1 + g.rng.IntN(2*g.profile.SessionCalls-1)
	for range calls {
		if at >= duration {
			return
		}
		g.long(at, customer, path, excess)
		at += time.Duration(g.rng.ExpFloat64() * float64(g.profile.SessionGap))
	}
}

// document returns the block path of a document, cut at one of the nesting
// levels. The popular children of each node change with every shift.
func (g *generator) document(at time.Duration, customer int) []string {
	p := g.profile
	epoch := int(at / p.Shift)
	name := "root"
	var path []string
	depth := 2 + g.rng.IntN(len(p.Levels)-1)
	for level := range depth {
		if level > 0 {
			child := g.zipf(p.Branches[level])
			child = (child + epoch*(level-1) + customer) % p.Branches[level]
			name = fmt.Sprintf("%s/%d", name, child)
		}
		for i := range p.Levels[level] {
			path = append(path, fmt.Sprintf("%s.%d", name, i))
		}
	}
	return path
}

// zipf draws from n ranks.
func (g *generator) zipf(n int) int {
	total := 0.0
	for i := range n {
		total += math.Pow(float64(i+1), -g.profile.ZipfS)
	}
	v := g.rng.Float64() * total
	for i := range n {
		if v -= math.Pow(float64(i+1), -g.profile.ZipfS); v < 0 {
			return i
		}
	}
	return n - 1
}

func (g *generator) add(a Arrival) {
	a.Instance = g.rng.IntN(g.profile.Instances)
	h := g.seeds[a.Customer]
	for _, name := range a.Path {
		h = block.NextHash(h, []byte(name))
		a.Blocks = append(a.Blocks, h)
	}
	g.out = append(g.out, a)
}

// HitRateBound returns the prefix hit rate of an unlimited cache with perfect
// routing: every block is a miss only the first time it occurs.
func HitRateBound(arrivals []Arrival) float64 {
	seen := map[block.Hash]bool{}
	hit, total := 0, 0
	for i := range arrivals {
		a := &arrivals[i]
		total += a.Tokens
		for _, h := range a.Blocks {
			if seen[h] {
				hit += BlockTokens
			}
			seen[h] = true
		}
	}
	if total == 0 {
		return 0
	}
	return float64(hit) / float64(total)
}

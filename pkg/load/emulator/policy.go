package emulator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/zeebo/xxh3"

	"github.com/fescuestep/fescuestep/pkg/fleet"
	"github.com/fescuestep/fescuestep/pkg/placement"
	"github.com/fescuestep/fescuestep/pkg/routing"
)

func keyOf(id string) uint64 { return xxh3.HashString(id) }

// Names of the policies.
const (
	Fescuestep    = "fescuestep"     // the placement of edge instances
	LeastRequests = "least_requests" // the engine with the fewest requests, as told in digests
	InstantCounts = "instant_counts" // the same with the counts of all instances at once, which no fleet has
	Replication   = "replication"    // fescuestep with replication of prefixes in demand
	PrefixHash    = "prefix_hash"    // always the engine to which the shared parts hash
)

// Policies returns the names of all policies.
func Policies() []string {
	return []string{Fescuestep, Replication, LeastRequests, InstantCounts, PrefixHash}
}

func (r *run) usePolicy(name string, seed uint64) error {
	switch name {
	case Fescuestep:
		r.policy = newBooks(r, seed)
	case Replication:
		r.policy = replicating{newBooks(r, seed)}
	case LeastRequests:
		r.policy = newCounts(r)
	case InstantCounts:
		r.policy = instant{newCounts(r)}
	case PrefixHash:
		r.policy = hashes{newCounts(r)}
	default:
		return errors.Newf("unknown policy %q, have %v", name, Policies())
	}
	return nil
}

// counts sends a request where the fewest run, as far as its instance knows: its
// own requests now, and those of the others at the last digest.
type counts struct {
	r    *run
	own  [][]int // by instance and engine
	told []int   // of all instances at the last digest, by engine
	mine [][]int // part of told by instance
}

func newCounts(r *run) *counts {
	c := &counts{r: r, told: make([]int, len(r.engines))}
	for range r.d.Instances {
		c.own = append(c.own, make([]int, len(r.engines)))
		c.mine = append(c.mine, make([]int, len(r.engines)))
	}
	return c
}

func (c *counts) choose(_ time.Duration, a *arrival, _ bool) (Choice, any) {
	best, least := 0, 0
	for i := range c.told {
		n := c.told[i] - c.mine[a.instance][i] + c.own[a.instance][i]
		if i == 0 || n < least {
			best, least = i, n
		}
	}
	return Choice{Engine: best, Source: NoSource}, best
}

func (c *counts) sent(_ time.Duration, a *arrival, ticket any)  { c.own[a.instance][ticket.(int)]++ }
func (c *counts) first(time.Duration, *arrival, any, bool)      {}
func (c *counts) ended(_ time.Duration, a *arrival, ticket any) { c.own[a.instance][ticket.(int)]-- }

func (c *counts) start(end time.Duration) {
	interval := max(digestInterval, c.r.d.Exchange.Interval)
	c.r.every(interval, interval, end, c.tick)
}

func (c *counts) tick(time.Duration) {
	clear(c.told)
	for i, own := range c.own {
		copy(c.mine[i], own)
		for e, n := range own {
			c.told[e] += n
		}
	}
}

// instant knows the requests of all instances without delay.
type instant struct{ *counts }

func (i instant) choose(now time.Duration, a *arrival, again bool) (Choice, any) {
	i.tick(now)
	return i.counts.choose(now, a, again)
}

// hashes sends requests with shared parts to the engine that they hash to.
type hashes struct{ *counts }

func (h hashes) choose(now time.Duration, a *arrival, again bool) (Choice, any) {
	if len(a.parts) < 2 {
		return h.counts.choose(now, a, again)
	}
	best, most := 0, uint64(0)
	for i := range h.told {
		if weight := xxh3.HashStringSeed(fmt.Sprint(i), a.parts[len(a.parts)-2].key); weight >= most {
			best, most = i, weight
		}
	}
	return Choice{Engine: best, Source: NoSource}, best
}

// books is the placement of edge instances: a book for each, which hear of each
// other's long prompts as news and of the rest by digests.
type books struct {
	r       *run
	list    []*placement.Balancer
	service *routing.Service
	store   *routing.KVStore
	addrs   map[string]int // engines by address

	exchange *exchange // nil: every piece of news tells the work of all
}

// epoch is the time of a run's start; books want absolute times.
var epoch = time.Unix(0, 0)

func newBooks(r *run, seed uint64) *books {
	d := r.d
	b := &books{r: r, addrs: map[string]int{}, service: &routing.Service{Name: "llm", Engine: &routing.Engine{
		Slots: d.Engine.Slots, KVTokens: d.Engine.KVTokens, TokenBytes: int(d.Engine.TokenBytes), LinkMbps: d.Engine.LinkMbps, Models: []string{"m"},
	}}}
	if d.StoreMbps > 0 {
		b.store = &routing.KVStore{Addr: "store", Domain: domainName(0), KVTokens: d.StoreKV, LinkMbps: d.StoreMbps}
	}
	var listed []*fleet.Upstream
	for i, e := range r.engines {
		u := &fleet.Upstream{
			ID: fmt.Sprintf("e%03d", i), Service: "llm", Addr: fmt.Sprintf("engine-%d", i),
			Domain: domainName(e.domain), Slots: e.spec.Slots, Weights: map[string]int{"m": 1},
		}
		b.addrs[u.Addr] = i
		listed = append(listed, u)
	}
	for i := range d.Instances {
		book := placement.NewBalancer(placement.Config{
			Domain: domainName(i % d.Domains), PrefillTokensPerMS: placement.DefaultPrefillTokensPerMS, OldWeightsPeriod: time.Hour,
		}, rand.New(rand.NewPCG(seed, uint64(i))))
		book.SetView(fleet.NewView(listed))
		book.SetInstanceCount(d.Instances)
		b.list = append(b.list, book)
	}
	if d.Exchange != (Exchange{}) {
		b.exchange = newExchange(r, b.list)
	}
	return b
}

func domainName(i int) string { return fmt.Sprint("z", i) }

func (b *books) choose(now time.Duration, a *arrival, again bool) (Choice, any) {
	book := b.list[a.instance]
	class := &b.r.d.Classes[a.class]
	ticket, _, err := book.Pick(epoch.Add(now), placement.Query{
		Service: b.service, Model: "m", Parts: a.ids, PromptTokens: a.prompt, MaxTokens: class.Output, CacheStore: b.store,
	})
	if err != nil {
		return Choice{Refused: true}, nil
	}
	if wait := book.RemainingComputeTime(ticket, epoch.Add(now)); wait > 0 && !again {
		return Choice{Wait: wait}, nil
	}
	choice := Choice{Engine: b.addrs[ticket.Upstream.Addr], Source: NoSource, Save: ticket.SaveTo != ""}
	if ticket.FetchFrom != "" {
		choice.Source = StoreSource
		if i, ok := b.addrs[ticket.FetchFrom]; ok {
			choice.Source = i
		}
	}
	return choice, ticket
}

func (b *books) sent(now time.Duration, a *arrival, ticket any) {
	t := ticket.(*placement.Attempt)
	b.list[a.instance].Begin(t, epoch.Add(now))
	if t.IsLong() {
		b.tell(now, a.instance, placement.Announcement{Upstream: t.Upstream.ID, Keys: t.SharedKeys(), ReadyIn: t.ExpectedTTFT, NewTokens: t.NewTokens()})
	}
}

func (b *books) first(now time.Duration, a *arrival, ticket any, saved bool) {
	t := ticket.(*placement.Attempt)
	engine := b.r.engines[b.addrs[t.Upstream.Addr]]
	b.list[a.instance].RecordLoad(t.Upstream.ID, b.r.load(engine), epoch.Add(now))
	speed := b.list[a.instance].FirstToken(t, saved, epoch.Add(now))
	if !t.IsLong() {
		return
	}
	placed := placement.Announcement{Upstream: t.Upstream.ID, Keys: t.SharedKeys(), Speed: speed}
	if saved {
		placed.NewStoreTokens = t.NewStoreTokens()
	}
	b.tell(now, a.instance, placed)
}

func (b *books) ended(now time.Duration, a *arrival, ticket any) {
	b.list[a.instance].Done(ticket.(*placement.Attempt), placement.OK, epoch.Add(now))
}

// tell brings a piece of news, and the work that changed, to the other instances.
func (b *books) tell(now time.Duration, from int, placed placement.Announcement) {
	if b.exchange != nil {
		b.exchange.tell(now, from, placed)
		return
	}
	b.r.events.after(now+newsDelay, func(now time.Duration) {
		for i, book := range b.list {
			if i != from {
				book.ApplyAnnouncement(placed, epoch.Add(now))
				book.SetPeerWork(b.others(i), placement.KnowledgeAge{}, epoch.Add(now))
			}
		}
	})
}

// others sums the work of the other instances.
func (b *books) others(of int) map[string]placement.Work {
	total := map[string]placement.Work{}
	for i, book := range b.list {
		if i == of {
			continue
		}
		for id, w := range book.OwnWork() {
			total[id] = sum(total[id], w)
		}
	}
	return total
}

func sum(a, b placement.Work) placement.Work {
	return placement.Work{Requests: a.Requests + b.Requests, PrefillTokens: a.PrefillTokens + b.PrefillTokens, KVTokens: a.KVTokens + b.KVTokens}
}

func (b *books) start(end time.Duration) {
	if b.exchange != nil {
		b.exchange.start(end)
		return
	}
	b.r.every(digestInterval, digestInterval, end, func(now time.Duration) {
		for i, book := range b.list {
			book.SetPeerWork(b.others(i), placement.KnowledgeAge{}, epoch.Add(now))
		}
	})
}

// quantile returns the p-quantile of durations, 0 if there are none.
func quantile(list []time.Duration, p float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	sorted := slices.Clone(list)
	slices.Sort(sorted)
	return sorted[min(len(sorted)-1, int(p*float64(len(sorted))))]
}

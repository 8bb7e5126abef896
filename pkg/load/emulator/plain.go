package emulator

import (
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/fescuestep/fescuestep/pkg/fleet"
	"github.com/fescuestep/fescuestep/pkg/placement"
	"github.com/fescuestep/fescuestep/pkg/routing"
)

// PlainResult is what callers of a plain service got, by the kind of upstream that
// answered.
type PlainResult struct {
	Slow, Usual       int           // answers of the slow upstream, and of the others
	SlowP99, UsualP99 time.Duration // of each
	P99               time.Duration // of all
}

// plainServer is a plain upstream with a queue.
type plainServer struct {
	id      string
	took    time.Duration // of each request
	slots   int
	running int
	waiting []func(now time.Duration)
}

// PlayPlain plays requests to 6 plain upstreams with 6 slots, of which one takes slowness
// times the usual 60 ms, through so many instances. Nothing states that it is slow.
func PlayPlain(seed uint64, length time.Duration, instances int, perSecond, slowness float64) PlainResult {
	const upstreams, slots = 6, 6
	d := &Deployment{Domains: 4, Instances: instances, Exchange: Exchange{
		News: time.Duration(instances) * time.Millisecond, Interval: max(digestInterval, time.Duration(instances)*10*time.Millisecond), Refresh: 25 * time.Millisecond,
	}}
	r := &run{d: d}
	service := &routing.Service{Name: "plain"}
	servers := map[string]*plainServer{}
	var listed []*fleet.Upstream
	for i := range upstreams {
		s := &plainServer{id: fmt.Sprint("p", i), took: usualTime, slots: slots}
		if i == 0 {
			s.took = time.Duration(float64(usualTime) * slowness)
		}
		servers[s.id] = s
		listed = append(listed, &fleet.Upstream{ID: s.id, Service: service.Name, Domain: domainName(i % d.Domains), Slots: slots})
	}
	var books []*placement.Balancer
	for i := range instances {
		b := placement.NewBalancer(placement.Config{Domain: domainName(i % d.Domains)}, rand.New(rand.NewPCG(seed, uint64(i))))
		b.SetView(fleet.NewView(listed))
		b.SetInstanceCount(instances)
		books = append(books, b)
	}
	newExchange(r, books).start(length + drainTime)
	var slow, usual, all []time.Duration
	rng := rand.New(rand.NewPCG(seed, 4))
	for at := 0.0; at < length.Seconds(); at += rng.ExpFloat64() / perSecond {
		b := books[rng.IntN(instances)]
		r.events.after(time.Duration(at*float64(time.Second)), func(begun time.Duration) {
			a, _, err := b.Pick(epoch.Add(begun), placement.Query{Service: service})
			if err != nil || !b.Begin(a, epoch.Add(begun)) {
				return
			}
			s := servers[a.Upstream.ID]
			s.serve(r, begun+toEngine, func(now time.Duration) {
				b.Answered(a, epoch.Add(now))
				b.Done(a, placement.OK, epoch.Add(now))
				all = append(all, now-begun)
				if s.took > usualTime {
					slow = append(slow, now-begun)
					return
				}
				usual = append(usual, now-begun)
			})
		})
	}
	for len(r.events.list) > 0 {
		e := r.events.next()
		e.run(e.at)
	}
	return PlainResult{len(slow), len(usual), quantile(slow, 0.99), quantile(usual, 0.99), quantile(all, 0.99)}
}

// serve runs a request when a slot is free.
func (s *plainServer) serve(r *run, at time.Duration, end func(now time.Duration)) {
	r.events.after(at, func(now time.Duration) {
		s.waiting = append(s.waiting, end)
		s.begin(r, now)
	})
}

func (s *plainServer) begin(r *run, now time.Duration) {
	for s.running < s.slots && len(s.waiting) > 0 {
		end := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.running++
		r.events.after(now+s.took, func(now time.Duration) {
			s.running--
			end(now + toEngine)
			s.begin(r, now)
		})
	}
}

// WritePlain plays the same load with upstreams that are all usual, and with one at a
// quarter of the speed, and prints what callers got.
func WritePlain(out io.Writer, seed uint64, length time.Duration, instances int) {
	for _, perSecond := range []float64{196, 390} {
		for _, slowness := range []float64{1, 4} {
			r := PlayPlain(seed, length, instances, perSecond, slowness)
			fmt.Fprintf(out, "%.0f/s, one upstream takes %.0f times as long: p99 %.0f ms; %d answers of the slow one, p99 %.0f ms; others %d, p99 %.0f ms\n",
				perSecond, slowness, milliseconds(r.P99), r.Slow, milliseconds(r.SlowP99), r.Usual, milliseconds(r.UsualP99))
		}
	}
}

package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuestep/fescuestep/pkg/routing"
	"github.com/fescuestep/fescuestep/platform/standin"
)

// Options of one run.
type Options struct {
	Binary    string // the fescuestep program
	OldBinary string // an older build, which instances run until they are started again; empty: none
	Seed      uint64
	Duration  time.Duration // of the faults
	Instances int
	Callers   int // per instance
	Out       io.Writer
}

const (
	// quietSpan before a planned stop without any fault makes cut requests the
	// system's own doing.
	quietSpan = 3 * time.Second
	// settleSpan is given to the system after the last fault.
	settleSpan = 12 * time.Second
	// startSpan is given to the processes at the start.
	startSpan = 15 * time.Second
	pollSpan  = 50 * time.Millisecond
)

// span is the time of a fault.
type span struct {
	name       string
	planned    bool
	begin, end time.Time // end zero: not over
}

// run is the state of one run.
type run struct {
	o        Options
	s        *system
	callers  []*caller
	mu       sync.Mutex
	spans    []*span
	findings []string
}

// Run plays one seed and returns what broke a promise.
func Run(ctx context.Context, o Options) ([]string, error) {
	pid := os.Getpid()
	network := fmt.Sprintf("127.%d.%d", 10+pid%200, pid/200%250)
	s, err := newSystem(o, network)
	if err != nil {
		return nil, err
	}
	r := &run{o: o, s: s}
	defer func() {
		if len(r.findings) > 0 {
			_, _ = fmt.Fprintf(o.Out, "logs are kept in %s\n", s.dir)
		}
		s.close(len(r.findings) > 0)
	}()
	if !r.await(startSpan, r.allReady) {
		r.found("the instances are not ready %v after their start", startSpan)
		return r.findings, nil
	}
	r.play(ctx)
	if err := ctx.Err(); err != nil {
		return nil, errors.Wrap(err, "the run was broken off")
	}
	return r.findings, nil
}

func (r *run) found(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.findings = append(r.findings, fmt.Sprintf(format, args...))
}

func (r *run) play(ctx context.Context) {
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for _, p := range r.s.processes {
		for range r.o.Callers {
			c := newCaller(p, r.o.Seed, len(r.callers))
			r.callers = append(r.callers, c)
			wg.Go(func() { c.run(ctx, stop) })
		}
	}
	r.inject(ctx)
	r.checkSettled(ctx)
	close(stop)
	wg.Wait()
	r.checkOutcomes()
}

// inject begins faults one after the other; they overlap.
func (r *run) inject(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.o.Seed, 0))
	var wg sync.WaitGroup
	busy := map[string]bool{}
	var mu sync.Mutex
	until := time.Now().Add(r.o.Duration)
	for time.Now().Before(until) && ctx.Err() == nil {
		f := r.s.draw(rng)
		target := f.name[strings.LastIndexByte(f.name, ' ')+1:]
		mu.Lock()
		taken := busy[target]
		busy[target] = true
		mu.Unlock()
		if !taken {
			wg.Go(func() {
				r.apply(f)
				mu.Lock()
				busy[target] = false
				mu.Unlock()
			})
		}
		time.Sleep(time.Duration(100+rng.IntN(900)) * time.Millisecond)
	}
	wg.Wait()
}

func (r *run) apply(f fault) {
	sp := &span{name: f.name, planned: f.planned, begin: time.Now()}
	r.mu.Lock()
	r.spans = append(r.spans, sp)
	r.mu.Unlock()
	f.begin()
	time.Sleep(f.lasts)
	f.end()
	r.mu.Lock()
	sp.end = time.Now()
	r.mu.Unlock()
}

func (r *run) await(limit time.Duration, ok func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(pollSpan) {
		if ok() {
			return true
		}
	}
	return ok()
}

func (r *run) allReady() bool {
	for _, p := range r.s.processes {
		if !p.running() || !p.ready() {
			return false
		}
	}
	return true
}

// checkSettled checks, after all faults are healed, that every instance serves,
// that a withdrawn key stops everywhere and that all engines have the weights.
func (r *run) checkSettled(ctx context.Context) {
	if !r.await(settleSpan, r.allReady) {
		r.found("not all instances are ready %v after the last fault", settleSpan)
	}
	r.s.mustApply(func(c *routing.Config) { delete(c.Keys, keyTaken) })
	r.s.nameWeights()
	for _, p := range r.s.processes {
		c := newCaller(p, r.o.Seed, -1)
		n := 0
		probe := func(key string) int {
			n++
			return c.call(ctx, fmt.Sprintf("settled-%s-%d", p.name, n), pathRead, key).status
		}
		if !r.await(settleSpan, func() bool { return probe(keyTaken) == http.StatusUnauthorized }) {
			r.found("%s still takes a withdrawn key %v later", p.name, settleSpan)
		}
		if !r.await(settleSpan, func() bool { return probe(keyKept) == http.StatusOK }) {
			r.found("%s does not serve %v after the last fault", p.name, settleSpan)
		}
	}
	if !r.await(settleSpan, r.allWeights) {
		r.found("not all engines have the named weights after %v", settleSpan)
	}
}

func (r *run) allWeights() bool {
	for _, e := range r.s.engines {
		if e.Version() != r.s.version {
			return false
		}
	}
	return true
}

// checkOutcomes compares what callers saw with what reached the servers.
func (r *run) checkOutcomes() {
	runs := r.arrivals()
	served, total := 0, 0
	for _, c := range r.callers {
		for _, o := range c.outcomes {
			total++
			if o.status == http.StatusOK && o.whole {
				served++
			}
			r.checkOutcome(o, runs[o.id])
		}
	}
	r.mu.Lock()
	faults := len(r.spans)
	r.mu.Unlock()
	_, _ = fmt.Fprintf(r.o.Out, "seed %d: %d faults, %d of %d requests served, %d findings\n", r.o.Seed, faults, served, total, len(r.findings))
}

// arrivals counts the runs of every request and checks what servers may see.
func (r *run) arrivals() map[string]int {
	runs := map[string]int{}
	for _, u := range append(append([]*upstream(nil), r.s.engines...), r.s.services...) {
		for _, a := range u.ReceivedRequests() {
			if a.Executed {
				runs[a.ID]++
			}
			r.checkArrival(u, a)
		}
	}
	return runs
}

func (r *run) checkArrival(u *upstream, a standin.ReceivedRequest) {
	if a.Header.Get("Authorization") != "" {
		r.found("%s: the key reached %s", a.ID, u.ID)
	}
	if string(a.Body) != "body of "+a.ID {
		r.found("%s: the body reached %s as %q", a.ID, u.ID, a.Body)
	}
}

func (r *run) checkOutcome(o outcome, runs int) {
	once := o.path == pathOrder || o.path == pathLong
	if once && runs > 1 {
		r.found("%s (%s): ran %d times", o.id, o.path, runs)
	}
	refused := o.status == http.StatusServiceUnavailable || o.status == http.StatusTooManyRequests ||
		o.status == http.StatusRequestTimeout || o.status == http.StatusMisdirectedRequest
	if once && refused && runs > 0 {
		r.found("%s (%s): refused with %d though it ran", o.id, o.path, o.status)
	}
	if o.status == http.StatusOK && !o.cut && !o.whole {
		r.found("%s (%s): the answer looks complete and is not the server's", o.id, o.path)
	}
	if o.status == http.StatusUnauthorized || o.status == http.StatusNotFound {
		r.found("%s (%s): refused with %d though key and route are known", o.id, o.path, o.status)
	}
	if o.cut && r.onlyPlanned(o) {
		r.found("%s (%s): cut at %s under planned work only", o.id, o.path, o.process)
	}
}

// onlyPlanned reports whether nothing but planned work happened from a while
// before the request to its end.
func (r *run) onlyPlanned(o outcome) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, sp := range r.spans {
		over := !sp.end.IsZero() && sp.end.Before(o.sent.Add(-quietSpan))
		if !sp.planned && !over && sp.begin.Before(o.ended) {
			return false
		}
	}
	return true
}

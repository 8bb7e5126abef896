package load

import (
	"math/rand/v2"
	"time"

	"github.com/fescuestep/fescuestep/pkg/code"
	"github.com/fescuestep/fescuestep/pkg/retry"
	"github.com/fescuestep/fescuestep/pkg/upstream"
)

// localDelay is the one-way delay within a failure domain.
const localDelay = 100 * time.Microsecond

// instance is one router instance in virtual time: the decision code of
// pkg/upstream with modelled polls and network delays.
type instance struct {
	run    *virtualRun
	number int
	domain string
	core   *upstream.Scheduler
	retry  *retry.Policy
	rng    *rand.Rand
	starts int
	down   bool
	ticks  time.Duration              // time of the next scheduled tick, 0 for none
	sent   map[*upstream.Grant]func() // withdraws a request from its engine
}

func (v *virtualRun) newInstance(number int, policy string) (*instance, error) {
	in := &instance{
		run:    v,
		number: number,
		domain: v.options.Profile.Domains[number%len(v.options.Profile.Domains)],
		rng:    rand.New(rand.NewPCG(v.options.Seed, uint64(number))),
	}
	return in, in.start(policy)
}

// start begins an incarnation without any state, as after a restart.
func (in *instance) start(policy string) error {
	v := in.run
	set := settings(v.options.Profile, policy, in.rng.Uint64())
	if v.options.Adjust != nil {
		v.options.Adjust(&set)
	}
	core, err := upstream.NewScheduler(v.clock.time(), set)
	if err != nil {
		return err
	}
	in.starts++
	in.down = false
	in.core, in.retry, in.ticks = core, retry.NewPolicy(), 0
	core.SetInstances(v.options.Profile.Instances)
	core.OnExport(in.export)
	in.sent = map[*upstream.Grant]func(){}
	if policy == "fescuestep" {
		core.OnMove(in.move)
		core.OnProbe(func(ids []string) {
			for _, id := range ids {
				e := in.engine(id)
				in.run.probes++
				in.later(in.delay(e), func() { in.pollReport(e) })
			}
		})
	}
	core.OnList(v.clock.time(), v.listed)
	in.every(listPoll, func() { core.OnList(v.clock.time(), v.listed) })
	for _, e := range v.fleet.engines {
		in.every(reportPoll, func() { in.pollReport(e) })
		in.every(eventPoll, func() { in.pollEvents(e) })
	}
	return nil
}

// every runs f at intervals with jitter until the instance restarts.
func (in *instance) every(interval time.Duration, f func()) {
	start := in.starts
	var again func()
	again = func() {
		if in.starts != start || in.down {
			return
		}
		f()
		in.arm()
		in.run.clock.after(jitter(interval, in.rng), again)
	}
	in.run.clock.after(time.Duration(in.rng.Int64N(int64(interval))), again)
}

// jitter spreads polls of several instances over the interval.
func jitter(d time.Duration, rng *rand.Rand) time.Duration {
	return d*3/4 + time.Duration(rng.Int64N(int64(d)/2))
}

func (in *instance) delay(e *modelEngine) time.Duration {
	if e.domain == in.domain {
		return localDelay
	}
	return in.run.options.Profile.OneWayDelay
}

func (in *instance) pollReport(e *modelEngine) {
	if e.down {
		in.core.OnPollFailed(e.id)
		return
	}
	r := e.load()
	r.Age += in.delay(e)
	in.later(in.delay(e), func() { in.core.OnReport(in.run.clock.time(), e.id, &r) })
}

func (in *instance) pollEvents(e *modelEngine) {
	if e.down {
		in.core.OnPollFailed(e.id)
		return
	}
	b := e.events(in.core.Position(e.id))
	in.later(in.delay(e), func() { in.core.OnEvents(in.run.clock.time(), e.id, &b) })
}

// later runs f after a delay unless the instance has restarted meanwhile.
func (in *instance) later(d time.Duration, f func()) {
	start := in.starts
	in.run.clock.after(d, func() {
		if in.starts == start && !in.down {
			f()
			in.arm()
		}
	})
}

// arm schedules the next tick of the state machine.
func (in *instance) arm() {
	next, ok := in.core.NextTick(in.run.clock.time())
	if !ok {
		return
	}
	at := in.run.clock.since(next)
	if in.ticks > in.run.clock.now && in.ticks <= at {
		return
	}
	in.ticks = at
	in.later(at-in.run.clock.now, func() { in.core.Tick(in.run.clock.time()) })
}

// request is one arrival on its way through an instance.
type request struct {
	in      *instance
	arrival *Arrival
	attempt int
	moves   int
	exclude []string
	start   int // incarnation of the instance
	ended   bool
	timings Timings
}

// arrive takes a request from the load balancer, which passes over instances
// that are down.
func (in *instance) arrive(a *Arrival) {
	v := in.run
	for range v.instances {
		if !in.down {
			break
		}
		in = v.instances[(in.number+1)%len(v.instances)]
	}
	r := &request{in: in, arrival: a, start: in.starts}
	if !v.options.NoQuota && !v.quota[a.Customer].take(v.clock.now, a.charge()) {
		r.end(Timings{Refused: true, RateLimited: true, Code: code.RateExceeded})
		return
	}
	v.clock.at(a.At+a.Timeout, r.timeout)
	r.submit()
}

func (r *request) submit() {
	in, a := r.in, r.arrival
	customer := &in.run.options.Profile.Customers[a.Customer]
	q := upstream.Query{
		Pool: in.run.options.Profile.Pool, Customer: customer.ID, Weight: customer.Weight,
		FromDomain: in.domain, Tokens: a.Tokens, MaxOutput: a.MaxOutput, Blocks: a.Blocks,
		Deadline: in.run.clock.origin.Add(a.At + a.Timeout), Exclude: r.exclude, Moves: r.moves,
	}
	w := in.core.Submit(in.run.clock.time(), &q, r.decided)
	in.run.clock.at(a.At+a.Timeout, func() {
		if r.alive() {
			in.core.Expire(w)
		}
	})
	in.arm()
}

func (r *request) decided(w *upstream.Waiter) {
	if w.Err != nil {
		r.end(Timings{Refused: true, Code: w.Err.Code})
		return
	}
	g := w.Grant
	e := r.in.engine(g.Choice().Upstream.ID)
	if r.attempt == 0 {
		r.in.retry.RecordRequest(r.in.run.clock.time(), w.Customer(), e.id)
	}
	r.in.run.clock.after(r.in.delay(e), func() { r.transfer(e, g) })
}

// transfer imports blocks from the KV store, then sends the request.
func (r *request) transfer(e *modelEngine, g *upstream.Grant) {
	in := r.in
	if !r.alive() {
		r.end(Timings{Lost: true})
		return
	}
	t, ok := in.core.StartImport(g)
	if !ok || e.down {
		r.send(e, g)
		return
	}
	delay := in.delay(e)
	in.run.clock.after(transferTime(len(t.Blocks)), func() {
		done := 0
		if !e.down && e.incarnation == t.Incarnation {
			done = e.importBlocks(t.Blocks)
		}
		in.later(delay, func() { in.core.FinishImport(in.run.clock.time(), g, t, done) })
		in.run.clock.after(2*delay, func() { r.send(e, g) })
	})
}

// export writes computed blocks to the KV store.
func (in *instance) export(t upstream.Transfer) {
	e := in.engine(t.UpstreamID)
	in.run.clock.after(in.delay(e)+transferTime(len(t.Blocks)), func() {
		if e.down || e.incarnation != t.Incarnation {
			return
		}
		done := e.exportBlocks(t.Blocks)
		in.later(in.delay(e), func() { in.core.FinishExport(in.run.clock.time(), t, done) })
	})
}

func (in *instance) engine(id string) *modelEngine {
	for _, e := range in.run.fleet.engines {
		if e.id == id {
			return e
		}
	}
	return nil
}

func (r *request) send(e *modelEngine, g *upstream.Grant) {
	in := r.in
	delay := in.delay(e)
	j := &job{arrival: r.arrival}
	j.firstToken = func(cachedTokens int) {
		if j.finished {
			return
		}
		r.timings.CachedTokens, r.timings.PromptTokens = cachedTokens, r.arrival.Tokens
		in.run.clock.after(delay, func() {
			r.timings.TTFT = in.run.clock.now - r.arrival.At
			if r.alive() {
				in.core.FirstToken(in.run.clock.time(), g, cachedTokens)
				in.arm()
			}
		})
	}
	j.done = func(ok, started bool) {
		in.run.clock.after(delay, func() { r.over(e, g, ok, started) })
	}
	in.sent[g] = func() { r.withdraw(e, g, j) }
	if !e.submit(j) {
		in.run.clock.after(delay, func() { r.refusedBy(e, g) })
	}
}

// alive reports whether the instance that took the request still runs.
func (r *request) alive() bool { return r.in.starts == r.start && !r.in.down }

func (r *request) over(e *modelEngine, g *upstream.Grant, ok, started bool) {
	if !r.alive() {
		r.end(Timings{TTFT: r.timings.TTFT, Truncated: started, Lost: !started})
		return
	}
	result := upstream.OK
	if !ok {
		result = upstream.Failed
	}
	r.in.core.Done(r.in.run.clock.time(), g, result)
	r.in.arm()
	switch {
	case ok:
		r.timings.Total = r.in.run.clock.now - r.arrival.At
		r.end(r.timings)
	case started:
		r.timings.Truncated = true
		r.end(r.timings)
	default:
		r.retry(e, code.MayHaveRun)
	}
}

func (r *request) refusedBy(e *modelEngine, g *upstream.Grant) {
	if !r.alive() {
		r.end(Timings{Lost: true})
		return
	}
	r.in.core.Done(r.in.run.clock.time(), g, upstream.Unreachable)
	r.in.arm()
	r.retry(e, code.NotRun)
}

// retry tries again elsewhere. Completions are idempotent.
func (r *request) retry(e *modelEngine, run code.RunState) {
	in := r.in
	wait, ok := in.retry.Retry(in.run.clock.time(), retry.FailedAttempt{
		Customer: in.run.options.Profile.Customers[r.arrival.Customer].ID, Upstream: e.id,
		Index: r.attempt, RunState: run, Idempotent: true,
		Deadline: in.run.clock.origin.Add(r.arrival.At + r.arrival.Timeout),
	}, in.rng)
	if !ok {
		r.end(Timings{Refused: run == code.NotRun, Failed: run != code.NotRun, Code: code.UpstreamUnreachable})
		return
	}
	r.attempt++
	r.exclude = append(r.exclude, e.id)
	in.run.clock.after(wait, func() {
		if r.alive() {
			r.submit()
		} else {
			r.end(Timings{Lost: true})
		}
	})
}

// timeout counts a request that nobody answered. One that waits in the router
// has been refused by then; one that was streaming gets its rest.
func (r *request) timeout() {
	if r.timings.TTFT == 0 && !r.ended {
		r.in.run.clock.after(time.Millisecond, func() {
			if !r.ended && r.timings.TTFT == 0 {
				r.end(Timings{Lost: !r.alive(), Unanswered: r.alive()})
			}
		})
	}
}

func (r *request) end(t Timings) {
	if !r.ended {
		r.ended = true
		r.in.run.recorder.Record(r.arrival, t)
	}
}

// move withdraws a request that is stuck and submits it again.
func (in *instance) move(g *upstream.Grant) bool {
	withdraw := in.sent[g]
	if withdraw == nil {
		return false
	}
	in.later(0, withdraw)
	return true
}

func (r *request) withdraw(e *modelEngine, g *upstream.Grant, j *job) {
	if r.ended || j.finished || r.timings.TTFT > 0 {
		return
	}
	in := r.in
	in.run.clock.after(in.delay(e), func() { e.cancel(j) })
	in.core.Done(in.run.clock.time(), g, upstream.Cancelled)
	r.moves++
	r.exclude = append(r.exclude, e.id)
	in.run.moved++
	r.submit()
}

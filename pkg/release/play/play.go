// Package play plays rollouts with good and bad versions in virtual time: instances that
// tell each other statements with the delays of digests, upstreams whose latency rises with
// their load, and machines that are slow by turns. It measures what pkg/release decides.
package play

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/fescuestep/fescuestep/pkg/release"
)

// Kind is a kind of new version.
type Kind struct {
	Fails, Slow bool // what it does to a bad answer; neither: a good version
	When        string
}

// Kinds returns a good version and eight kinds of bad ones.
func Kinds() []Kind {
	out := []Kind{{When: "good"}}
	for _, when := range []string{"at once", "later", "under load", "on one route"} {
		out = append(out, Kind{Fails: true, When: when}, Kind{Slow: true, When: when})
	}
	return out
}

// String returns the name used in the table.
func (k Kind) String() string {
	switch {
	case k.Fails:
		return "fails " + k.When
	case k.Slow:
		return "slow " + k.When
	}
	return "good"
}

// Options are the properties of a run.
type Options struct {
	Kind      Kind
	Instances int
	Upstreams int           // of each version
	Rate      float64       // requests per second of the service
	Duration  time.Duration // of the order
	Seed      uint64
	Plain     bool // the routes of a plain service instead of those of a model
}

// Result is what a run showed.
type Result struct {
	Requests    int // of the service until the deadline of the rollout, or the end of the rollout
	Exposed     int // those sent to the new version
	Bad         int // bad answers
	Phase       release.Phase
	Final       bool
	Ended       time.Duration // when the phase became final at the leader, after the order
	AfterBad    time.Duration // from the 50th bad answer to the last request to the new version
	OldAtEnd    int           // requests that ran at the old version when the rollout completed
	Reason      string
	Missing     []string // what the shift waited for last
	bad50       time.Duration
	lastRequest time.Duration
}

const (
	step        = 10 * time.Millisecond
	failRate    = 0.3
	slowFactor  = 4.0
	serviceTime = 60 * time.Millisecond
	slots       = 12
	machineTime = 600 * time.Millisecond // until other machines are slow
	machineSlow = 0.15                   // share of the machines that are
	machineCost = 2.5
	storeDelay  = 20 * time.Millisecond
	// waves is the amplitude of the load over time.
	waves, wavePeriod = 0.5, 13 * time.Second
)

type upstream struct {
	release.Upstream
	running int
	slow    bool
}

type request struct {
	instance *instance
	u        *upstream
	sample   release.Sample
}

type instance struct {
	name     string
	rollout  *release.Rollout
	running  map[string]int // by version
	nextFull time.Duration
	news     bool
}

type message struct {
	from      int
	statement release.Statement
	to        int
}

type run struct {
	Options
	rng       *rand.Rand
	start     time.Time
	now       time.Duration
	instances []*instance
	upstreams []*upstream
	ending    map[time.Duration][]request
	messages  map[time.Duration][]message
	writes    map[time.Duration]*release.Record
	writing   bool
	badFrom   time.Duration
	result    Result
}

// Play plays one rollout until its deadline and as long again.
func Play(o Options) Result {
	r := &run{
		Options: o, rng: rand.New(rand.NewPCG(o.Seed, uint64(o.Instances))), start: time.Unix(1000, 0),
		ending: map[time.Duration][]request{}, messages: map[time.Duration][]message{}, writes: map[time.Duration]*release.Record{},
	}
	order := release.Order{Service: "s", To: "v2", Duration: o.Duration}
	var listed []release.Upstream
	for i := range 2 * o.Upstreams {
		u := &upstream{Upstream: release.Upstream{ID: fmt.Sprintf("u%d", i), Software: [...]string{"v1", "v2"}[i%2], Slots: slots}}
		r.upstreams = append(r.upstreams, u)
		listed = append(listed, u.Upstream)
	}
	for i := range o.Instances {
		in := &instance{
			name: fmt.Sprintf("i%d", i), running: map[string]int{}, nextFull: time.Duration(r.rng.Int64N(int64(r.fullInterval()))),
			rollout: release.NewRollout(order, release.DefaultBounds(), o.Instances, true, r.start),
		}
		in.rollout.SetUpstreams(listed)
		in.rollout.Adopt(nil, r.start)
		r.instances = append(r.instances, in)
	}
	if o.Kind.When == "later" {
		r.badFrom = time.Duration((0.1 + 0.4*r.rng.Float64()) * float64(o.Duration))
	}
	for r.now < 2*o.Duration && !r.result.Final {
		r.step()
	}
	r.result.AfterBad = 0
	if r.result.bad50 > 0 {
		r.result.AfterBad = max(0, r.result.lastRequest-r.result.bad50)
	}
	return r.result
}

func (r *run) fullInterval() time.Duration {
	return max(200*time.Millisecond, 10*time.Millisecond*time.Duration(r.Instances)).Truncate(step)
}

// partialDelay is how long news wait and travel.
func (r *run) partialDelay() time.Duration {
	return (max(4*time.Millisecond, time.Millisecond*time.Duration(r.Instances)) + 2*step).Truncate(step)
}

func (r *run) step() {
	at := r.start.Add(r.now)
	if r.now%machineTime == 0 {
		for _, u := range r.upstreams {
			u.slow = r.rng.Float64() < machineSlow
		}
	}
	r.deliver(at)
	for _, q := range r.ending[r.now] {
		r.end(q)
	}
	delete(r.ending, r.now)
	wave := 1 + waves*math.Sin(2*math.Pi*float64(r.now)/float64(wavePeriod))
	for range r.poisson(r.Rate * wave * step.Seconds()) {
		r.request(at)
	}
	for i, in := range r.instances {
		in.news = in.rollout.Tick(at) || in.news
		full := r.now >= in.nextFull
		if full {
			in.nextFull = r.now + r.fullInterval()
		}
		if full || in.news {
			r.tell(i, in.rollout.Statement(at, full))
			in.news = false
		}
	}
	r.lead(at)
	r.now += step
}

func (r *run) tell(from int, s release.Statement) {
	if s.Totals != nil {
		copied := release.Totals{}
		for group, pair := range s.Totals {
			copied[group] = pair
		}
		s.Totals = copied
	}
	at := r.now + r.partialDelay()
	for to := range r.instances {
		if to != from {
			r.messages[at] = append(r.messages[at], message{from, s, to})
		}
	}
}

func (r *run) deliver(at time.Time) {
	for _, m := range r.messages[r.now] {
		in := r.instances[m.to]
		in.news = in.rollout.Hear(r.instances[m.from].name, 1, m.statement, at) || in.news
	}
	delete(r.messages, r.now)
	if rec := r.writes[r.now]; rec != nil {
		r.writing = false
		leader := r.instances[0]
		leader.rollout.Adopt(rec, at)
		leader.news = true
		if _, final := leader.rollout.Phase(); final {
			r.finish(leader.rollout)
		}
	}
}

func (r *run) finish(leader *release.Rollout) {
	r.result.Phase, r.result.Final = leader.Phase()
	r.result.Ended, r.result.Reason = r.now, leader.Reason()
	for _, u := range r.upstreams {
		if u.Software == "v1" && r.result.Phase == release.Completed {
			r.result.OldAtEnd += u.running
		}
	}
}

// lead does what the holder of the lease does, the first instance.
func (r *run) lead(at time.Time) {
	leader := r.instances[0]
	leader.rollout.SetLeader(at.Add(time.Second))
	if r.writing || r.now%(10*step) != 0 {
		return
	}
	var peers []release.Peer
	for _, in := range r.instances[1:] {
		peers = append(peers, release.Peer{Name: in.name, Live: true})
	}
	before, _ := leader.rollout.Phase()
	write := leader.rollout.Lead(at, peers)
	if after, _ := leader.rollout.Phase(); after != before {
		leader.news = true
	}
	r.result.Phase, _ = leader.rollout.Phase()
	r.result.Missing = leader.rollout.Waiting(at, peers)
	if write != nil {
		r.writing = true
		r.writes[r.now+storeDelay] = write
	}
}

// route has a share of the requests, with a number of prefixes; 0: none.
type route struct {
	name     string
	share    float64
	prefixes int
}

var (
	modelRoutes = []route{{"long", 0.15, 12}, {"short", 0.85, 200}}
	plainRoutes = []route{{"order", 0.7, 0}, {"read", 0.3, 0}}
)

func (o Options) routes() []route {
	if o.Plain {
		return plainRoutes
	}
	return modelRoutes
}

func (r *run) request(at time.Time) {
	in := r.instances[r.rng.IntN(len(r.instances))]
	routes := r.routes()
	x, route := r.rng.Float64(), 0
	for x > routes[route].share && route < len(routes)-1 {
		x -= routes[route].share
		route++
	}
	var prefix []string
	if n := routes[route].prefixes; n > 0 {
		prefix = []string{fmt.Sprintf("%s-%d", routes[route].name, r.rng.IntN(n))}
	}
	key := release.Key(fmt.Sprintf("c%d", r.rng.IntN(16)), prefix, fmt.Sprintf("r%d", r.rng.Uint64()))
	choice := in.rollout.Choose(key, at)
	if r.now < r.Duration {
		r.result.Requests++
	}
	u := r.pick(&choice)
	if u == nil && choice.New {
		in.rollout.Refund()
		choice = in.rollout.Fallback(at)
		u = r.pick(&choice)
	}
	if u != nil && in.rollout.MaySend(u.Software, at) {
		r.send(in, u, routes[route].name)
	}
}

func (r *run) pick(c *release.Choice) *upstream {
	var best *upstream
	for range 8 {
		u := r.upstreams[r.rng.IntN(len(r.upstreams))]
		best = r.better(c, best, u)
	}
	if best == nil {
		for _, u := range r.upstreams {
			best = r.better(c, best, u)
		}
	}
	return best
}

func (r *run) better(c *release.Choice, best, u *upstream) *upstream {
	if c.Refuse || c.Excludes(u.ID) || (c.Software != nil && *c.Software != u.Software) || u.running >= 3*slots {
		return best
	}
	if best == nil || u.running < best.running {
		return u
	}
	return best
}

func (r *run) send(in *instance, u *upstream, route string) {
	u.running++
	in.running[u.Software]++
	in.rollout.SetRunning(in.running["v1"])
	isNew := u.Software == "v2"
	took := float64(serviceTime) * math.Exp(0.3*r.rng.NormFloat64()) * max(1, float64(u.running)/slots)
	if u.slow {
		took *= machineCost
	}
	bad := isNew && r.isBad(u, route)
	failed := r.rng.Float64() < 0.002
	if bad && r.Kind.Slow {
		took *= slowFactor
	}
	if bad && r.Kind.Fails && r.rng.Float64() < failRate {
		failed = true
	}
	if isNew {
		if r.now < r.Duration {
			r.result.Exposed++
		}
		r.result.lastRequest = r.now
	}
	q := request{in, u, release.Sample{Group: route, New: isNew, Bad: failed, Latency: time.Duration(took)}}
	at := (r.now + max(step, time.Duration(took))).Truncate(step)
	r.ending[at] = append(r.ending[at], q)
	if isNew && (failed || bad && r.Kind.Slow) {
		r.result.Bad++
		if r.result.Bad == 50 {
			r.result.bad50 = at
		}
	}
}

func (r *run) isBad(u *upstream, route string) bool {
	switch r.Kind.When {
	case "at once":
		return true
	case "later":
		return r.now >= r.badFrom
	case "under load":
		average := r.Rate * serviceTime.Seconds() / float64(r.Upstreams)
		return float64(u.running) >= max(2, 0.6*average)
	case "on one route":
		return route == r.routes()[1].name
	}
	return false
}

func (r *run) end(q request) {
	q.u.running--
	q.instance.running[q.u.Software]--
	q.instance.rollout.SetRunning(q.instance.running["v1"])
	q.instance.rollout.RecordAnswer(q.u.ID, q.sample)
}

func (r *run) poisson(mean float64) int {
	limit, p, n := math.Exp(-mean), 1.0, -1
	for p > limit {
		p *= r.rng.Float64()
		n++
	}
	return n
}

package emulator

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"time"

	"github.com/fescuestep/fescuestep/pkg/call"
	"github.com/fescuestep/fescuestep/pkg/concurrency"
)

// limiter learns how many requests to have at an upstream.
type limiter interface {
	limit(now time.Duration) int
	sample(now, took time.Duration, running int, l call.Load)
}

const (
	listedSlots = 24 // that the upstream of a trial lists, and the most that a limiter allows
	usualTime   = 60 * time.Millisecond
)

func bounded(limit float64) float64 { return min(max(limit, 1), listedSlots) }

// gradient lowers the limit by the ratio of the long-term to the current latency.
type gradient struct{ value, long float64 }

func (g *gradient) limit(time.Duration) int { return int(g.value) }
func (g *gradient) sample(_, took time.Duration, running int, _ call.Load) {
	latency := float64(took)
	if g.long == 0 {
		g.long = latency
	}
	g.long += (latency - g.long) / 600
	if float64(running) < g.value/2 {
		return
	}
	ratio := min(max(1.5*g.long/latency, 0.5), 1)
	g.value = bounded(0.8*g.value + 0.2*(g.value*ratio+math.Sqrt(g.value)))
}

// aimd adds to the limit after each good answer and takes a tenth after a slow one.
type aimd struct{ value float64 }

func (a *aimd) limit(time.Duration) int { return int(a.value) }
func (a *aimd) sample(_, took time.Duration, running int, _ call.Load) {
	switch {
	case took > 2*usualTime:
		a.value = bounded(a.value * 0.9)
	case float64(running) >= a.value/2:
		a.value = bounded(a.value + 1/a.value)
	}
}

// minimum keeps the estimated queue, from the least latency seen, between two bounds.
type minimum struct{ value, least float64 }

func (m *minimum) limit(time.Duration) int { return int(m.value) }
func (m *minimum) sample(_, took time.Duration, _ int, _ call.Load) {
	latency := float64(took)
	if m.least == 0 || latency < m.least {
		m.least = latency
	}
	m.least *= 1.0005 // forgets the least one within some thousand answers
	switch queue := m.value * (1 - m.least/latency); {
	case queue < 3:
		m.value = bounded(m.value + 1/m.value)
	case queue > 6:
		m.value = bounded(m.value - 1/m.value)
	}
}

// queueing is the limit of pkg/concurrency.
type queueing struct {
	tracker *concurrency.Tracker
	stated  bool
}

func (q *queueing) limit(now time.Duration) int { return q.tracker.Limit(epoch.Add(now)) }
func (q *queueing) sample(now, took time.Duration, running int, l call.Load) {
	if q.stated {
		q.tracker.RecordStatement(epoch.Add(now), call.Load{WorkTimePercent: l.WorkTimePercent})
	}
	q.tracker.RecordSample(epoch.Add(now), concurrency.Sample{Took: took, Usual: usualTime, Running: running})
}

func newQueueing(stated bool) *queueing {
	return &queueing{concurrency.NewTracker(concurrency.PlainConfig(listedSlots), time.Time{}), stated}
}

// LimitResult is what a way of learning a limit did in a trial.
type LimitResult struct {
	Name       string
	LimitError float64       // mean distance of the limit from the slots, as a share of them
	Answered   float64       // answers as a share of those that the slots allow
	P99        time.Duration // of answers
}

// limitTrial is an upstream with a queue that is offered half as much again as it can
// serve. Its slots are 12, 6 and 12 for a third of the time each, and it takes 2.5 times
// as long for 600 ms at a time, a share of slow of all times.
type limitTrial struct {
	events  events
	rng     *rand.Rand
	end     time.Duration
	slow    float64
	factor  float64
	waiting []time.Duration // arrivals
	found   []int           // requests that those found, themselves included
	running int
	busy    time.Duration // of slots that could have worked
	took    []time.Duration
	learn   limiter
	every   int // answers of which one is measured, as by one of so many instances
	answers int
}

func (t *limitTrial) slots(now time.Duration) int {
	if now > t.end/3 && now < 2*t.end/3 {
		return 6
	}
	return 12
}

func (t *limitTrial) begin(now time.Duration) {
	for t.running < t.slots(now) && len(t.waiting) > 0 {
		at, found := t.waiting[0], t.found[0]
		t.waiting, t.found = t.waiting[1:], t.found[1:]
		t.running++
		const spread = 0.3
		work := float64(usualTime) * math.Exp(spread*t.rng.NormFloat64()-spread*spread/2) * t.factor
		t.events.after(now+time.Duration(work), func(now time.Duration) {
			t.running--
			t.answers++
			t.took = append(t.took, now-at)
			if t.answers%t.every == 0 {
				t.learn.sample(now, now-at, found, call.Load{Running: t.running, Waiting: len(t.waiting), WorkTimePercent: int(100 * t.factor)})
			}
			t.begin(now)
		})
	}
}

// TryLimits tries each way of learning a limit on the same load.
func TryLimits(seed uint64, length time.Duration, slow float64, instances int) []LimitResult {
	var out []LimitResult
	for _, c := range []struct {
		name  string
		learn limiter
	}{
		{"listed slots", &aimd{listedSlots}}, {"gradient", &gradient{value: listedSlots}}, {"aimd", &aimd{listedSlots}},
		{"latency minimum", &minimum{value: listedSlots}}, {"queueing", newQueueing(false)}, {"queueing, stated", newQueueing(true)},
	} {
		t := &limitTrial{rng: rand.New(rand.NewPCG(seed, 3)), end: length, slow: slow, factor: 1, learn: c.learn, every: instances}
		if c.name == "listed slots" {
			t.every = math.MaxInt // learns nothing
		}
		out = append(out, t.play(c.name))
	}
	return out
}

func (t *limitTrial) play(name string) LimitResult {
	const period, step, perSecond = 600 * time.Millisecond, 10 * time.Millisecond, 300
	r := LimitResult{Name: name}
	steps := 0
	for at := time.Duration(0); at < t.end; at += step {
		t.events.after(at, func(now time.Duration) {
			if now%period == 0 {
				t.factor = 1
				if t.rng.Float64() < t.slow {
					t.factor = 2.5
				}
			}
			steps++
			slots := t.slots(now)
			r.LimitError += math.Abs(float64(t.learn.limit(now)-slots)) / float64(slots)
			t.busy += time.Duration(float64(step) * float64(slots) / t.factor)
		})
	}
	for at := 0.0; at < t.end.Seconds(); at += t.rng.ExpFloat64() / perSecond {
		t.events.after(time.Duration(at*float64(time.Second)), func(now time.Duration) {
			if here := t.running + len(t.waiting); here < t.learn.limit(now) {
				t.waiting, t.found = append(t.waiting, now), append(t.found, here+1)
				t.begin(now)
			}
		})
	}
	for len(t.events.list) > 0 {
		e := t.events.next()
		e.run(e.at)
	}
	r.LimitError /= float64(steps)
	r.Answered = float64(len(t.took)) * usualTime.Seconds() / t.busy.Seconds()
	r.P99 = quantile(t.took, 0.99)
	return r
}

// WriteLimits prints results of TryLimits as a table.
func WriteLimits(out io.Writer, results []LimitResult) {
	for _, r := range results {
		fmt.Fprintf(out, "%-18s limit error %.3f, answered %.3f, p99 %.0f ms\n", r.Name, r.LimitError, r.Answered, milliseconds(r.P99))
	}
}

package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/fescuestep/fescuestep/pkg/concurrency"
)

// kind is one kind of requests of a customer.
type kind struct {
	customer string
	priority int // of the route
	tokens   int
	work     time.Duration
	target   time.Duration
	deadline time.Duration
	rate     func(t time.Duration, domain int) float64 // per second in one of the domains
}

// tally is what the callers of one kind got.
type tally struct {
	sent, served, waited, refused int
	windows                       map[int]*[2]int // sent and served by second
}

func (t *tally) share() float64 { return float64(t.served) / float64(max(1, t.sent)) }

// worstWindow returns the least share served of the requests that were sent within a second.
func (t *tally) worstWindow() float64 {
	worst := 1.0
	for _, w := range t.windows {
		worst = min(worst, float64(w[1])/float64(max(1, w[0])))
	}
	return worst
}

type running struct {
	instance, kind int
	id             uint64
	left           time.Duration
	sentAt         time.Duration
}

// fleet plays kinds of requests against instances that share one service. Requests beyond
// its slots make all of them slower. Instances hear of each other every 200 ms.
type fleet struct {
	instances, domains int
	slots              func(t time.Duration) float64
	kinds              []kind
	apartFrom          time.Duration // when the two halves of the instances cease to hear of each other; 0: never
	returns            bool          // refused callers send again once after Retry-After

	controllers []*Controller
	told        []int // running at each instance, as the others know it
	tallies     []tally
	byDomain    [4]tally                   // of the callers in each failure domain
	returnsAt   map[time.Duration][][2]int // instance and kind, by time rounded to a step
	returned    map[int]int                // returning callers by tenth of a second
	peak        float64                    // most that ran at once after the first 2 s, as a share of the slots
	busy        float64                    // slot-seconds used
}

const (
	step   = 5 * time.Millisecond
	settle = 3 * time.Second // in which nothing is sent any more
)

func (f *fleet) play(d time.Duration, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	f.tallies = make([]tally, len(f.kinds))
	f.told = make([]int, f.instances)
	f.returnsAt, f.returned = map[time.Duration][][2]int{}, map[int]int{}
	for i := range f.instances {
		f.controllers = append(f.controllers, New(fmt.Sprint("i", i)))
	}
	for k := range f.tallies {
		f.tallies[k].windows = map[int]*[2]int{}
	}
	waiting := map[uint64]*running{}
	var active []*running
	id := uint64(0)
	send := func(t time.Duration, i, k int, again bool) {
		now, kind := time.Unix(1000, 0).Add(t), &f.kinds[k]
		id++
		r := &running{i, k, id, kind.work, t}
		decision := f.controllers[i].Arrive(now, Request{
			ID: id, Service: "llm", Customer: kind.customer, RoutePriority: kind.priority, PromptTokens: kind.tokens, Deadline: now.Add(kind.deadline), Target: kind.target,
		})
		w := &f.tallies[k]
		if !again {
			w.sent++
			f.byDomain[i%f.domains].sent++
			if w.windows[int(t/time.Second)] == nil {
				w.windows[int(t/time.Second)] = &[2]int{}
			}
			w.windows[int(t/time.Second)][0]++
		}
		switch decision.Action {
		case Admit:
			active = append(active, r)
		case Wait:
			w.waited++
			waiting[id] = r
		case Refuse:
			f.refused(t, r, decision, again)
		}
	}
	for t := time.Duration(0); t < d+settle; t += step {
		now := time.Unix(1000, 0).Add(t)
		slots := f.slots(t)
		speed := min(1, slots/float64(max(1, len(active))))
		if t > 2*time.Second {
			f.peak = max(f.peak, float64(len(active))/slots)
		}
		f.busy += min(slots, float64(len(active))) * step.Seconds()
		kept := active[:0]
		for _, r := range active {
			if r.left -= time.Duration(float64(step) * speed); r.left > 0 {
				kept = append(kept, r)
				continue
			}
			f.controllers[r.instance].Done(now, r.id)
			if t-r.sentAt <= f.kinds[r.kind].deadline {
				f.tallies[r.kind].served++
				f.byDomain[r.instance%f.domains].served++
				if w := f.tallies[r.kind].windows[int(r.sentAt/time.Second)]; w != nil {
					w[1]++
				}
			}
		}
		active = kept
		f.tell(t, now)
		counts := make([]int, f.instances)
		for _, r := range active {
			counts[r.instance]++
		}
		for i, c := range f.controllers {
			total := counts[i]
			for j, n := range f.told {
				if i != j && f.hears(t, i, j) {
					total += n
				}
			}
			c.SetRoom("llm", concurrency.Room{Total: int(slots), Free: max(0, int(slots)-total)})
			for _, o := range c.Poll(now) {
				r := waiting[o.ID]
				delete(waiting, o.ID)
				if o.Action == Admit {
					active = append(active, r)
				} else {
					f.refused(t, r, o.Decision, false)
				}
			}
		}
		for _, again := range f.returnsAt[t] {
			f.returned[int(t/(100*time.Millisecond))]++
			send(t, again[0], again[1], true)
		}
		for i := range f.instances {
			for k := range f.kinds {
				if t >= d {
					break
				}
				mean := f.kinds[k].rate(t, i%f.domains) * step.Seconds() * float64(f.domains) / float64(f.instances)
				for u := rng.Float64(); u > math.Exp(-mean); u *= rng.Float64() {
					send(t, i, k, false)
				}
			}
		}
	}
}

func (f *fleet) hears(t time.Duration, i, j int) bool {
	return f.apartFrom == 0 || t < f.apartFrom || (i < f.instances/2) == (j < f.instances/2)
}

// tell passes the usage of the instances whose turn it is to the others.
func (f *fleet) tell(t time.Duration, now time.Time) {
	const turns = int(200 * time.Millisecond / step)
	for i, c := range f.controllers {
		if int(t/step)%turns != i%turns {
			continue
		}
		usage := c.Usage(now)
		f.told[i] = 0
		for _, u := range usage {
			f.told[i] += u.Running
		}
		for j, other := range f.controllers {
			if j != i && f.hears(t, i, j) {
				other.Merge(now, fmt.Sprint("i", i), 1, usage)
			}
		}
	}
}

func (f *fleet) refused(t time.Duration, r *running, d Decision, again bool) {
	f.tallies[r.kind].refused++
	if f.returns && !again {
		at := (t + d.RetryAfter).Truncate(step) + step
		f.returnsAt[at] = append(f.returnsAt[at], [2]int{r.instance, r.kind})
	}
}

// worst returns the least share served of a tenth of the kinds and of all requests within
// any second, among the kinds from first on.
func (f *fleet) worst(first int) (tenth, second float64) {
	var shares []float64
	all := tally{windows: map[int]*[2]int{}}
	for k := first; k < len(f.kinds); k++ {
		shares = append(shares, f.tallies[k].share())
		for i, w := range f.tallies[k].windows {
			if all.windows[i] == nil {
				all.windows[i] = &[2]int{}
			}
			all.windows[i][0] += w[0]
			all.windows[i][1] += w[1]
		}
	}
	slices.Sort(shares)
	return shares[len(shares)/10], all.worstWindow()
}

func (f *fleet) log(t *testing.T) {
	for k := range f.tallies {
		w := &f.tallies[k]
		t.Logf("%-12s sent %5d served %.3f waited %4d refused %4d worst second %.2f", f.kinds[k].customer, w.sent, w.share(), w.waited, w.refused, w.worstWindow())
	}
	t.Logf("peak %.2f of the slots, %.0f slot-seconds", f.peak, f.busy)
}

func steady(perSecond float64) func(time.Duration, int) float64 {
	return func(time.Duration, int) float64 { return perSecond / 4 }
}

func burst(perSecond, factor float64, from, to time.Duration) func(time.Duration, int) float64 {
	return func(t time.Duration, _ int) float64 {
		if t >= from && t < to {
			return perSecond * factor / 4
		}
		return perSecond / 4
	}
}

func short(customer string, rate func(time.Duration, int) float64) kind {
	return kind{customer, 0, 383, 100 * time.Millisecond, 600 * time.Millisecond, 5 * time.Second, rate}
}

func long(customer string, rate func(time.Duration, int) float64) kind {
	return kind{customer, 1, 17_020, 400 * time.Millisecond, 800 * time.Millisecond, 10 * time.Second, rate}
}

func constant(slots float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return slots }
}

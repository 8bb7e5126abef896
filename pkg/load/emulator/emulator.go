// Package emulator plays a load against a model of engines in virtual time, to
// compare ways of placing requests within seconds and without a network. Engines
// compute prompts in pieces between the tokens of other requests, keep parts of
// prompts until they need the room, and move KV cache over links; instances
// learn of each other's placements with a delay.
package emulator

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/fescuestep/fescuestep/pkg/call"
)

// Class is a kind of request.
type Class struct {
	Name      string
	PerSecond float64
	Target    time.Duration // for the first token
	Shared    []Level       // leading parts of the prompt
	Own       Size          // tokens of the last part
	Output    int           // tokens
	Priority  int
}

// Level is a part of a prompt that requests have in common.
type Level struct {
	Things int // different parts
	Size   Size
	Hot    float64 // share of the requests that have the first thing whatever is drawn
}

// Size is a log-normal number of tokens.
type Size struct {
	Mean, Spread float64
	Most         int
}

func (s Size) draw(rng *rand.Rand) int {
	v := s.Mean * math.Exp(s.Spread*rng.NormFloat64()-s.Spread*s.Spread/2)
	return max(1, min(int(v), s.Most))
}

// Deployment is what a load is played against.
type Deployment struct {
	Engine    Spec
	Slowness  []float64 // factor on the times of each engine
	Domains   int
	Instances int
	StoreMbps float64 // link of the store of KV cache; 0: there is none
	StoreKV   int     // room of the store in tokens
	Classes   []Class
	Exchange  Exchange
	Slowdowns Slowdowns
}

// Exchange tells how instances learn of each other's work. The zero value is that of
// a few instances: every piece of news tells the work of all.
type Exchange struct {
	News     time.Duration // delay of a partial digest
	Interval time.Duration // between the full digests of an instance
	Refresh  time.Duration // between two sums of what the others have told
}

// arrival is one request of the load.
type arrival struct {
	at       time.Duration
	class    int
	instance int
	parts    []part
	ids      []call.PromptPart
	prompt   int
}

// draw makes the arrivals of a load, the same for every policy.
func (d *Deployment) draw(seed uint64, length time.Duration) []arrival {
	rng := rand.New(rand.NewPCG(seed, 1))
	var out []arrival
	for c, class := range d.Classes {
		sizes := make([][]int, len(class.Shared))
		for l, level := range class.Shared {
			for range level.Things {
				sizes[l] = append(sizes[l], level.Size.draw(rng))
			}
		}
		for at := 0.0; ; {
			at += rng.ExpFloat64() / class.PerSecond
			if at >= length.Seconds() {
				break
			}
			a := arrival{at: time.Duration(at * float64(time.Second)), class: c, instance: rng.IntN(d.Instances)}
			prefix := class.Name
			for l, level := range class.Shared {
				thing := rng.IntN(level.Things)
				if level.Hot > 0 && rng.Float64() < level.Hot {
					thing = 0
				}
				prefix += "/" + strconv.Itoa(thing)
				a.add(prefix, sizes[l][thing])
			}
			a.add(prefix+"/own"+strconv.Itoa(len(out)), class.Own.draw(rng))
			out = append(out, a)
		}
	}
	return out
}

func (a *arrival) add(id string, tokens int) {
	a.ids = append(a.ids, call.PromptPart{ID: id, Tokens: tokens})
	a.parts = append(a.parts, part{keyOf(id), tokens})
	a.prompt += tokens
}

// event is something that happens at a time.
type event struct {
	at  time.Duration
	seq int
	run func(now time.Duration)
}

type events struct {
	list []event
	seq  int
}

func (e *events) Len() int { return len(e.list) }
func (e *events) Less(i, j int) bool {
	return e.list[i].at < e.list[j].at || (e.list[i].at == e.list[j].at && e.list[i].seq < e.list[j].seq)
}
func (e *events) Swap(i, j int) { e.list[i], e.list[j] = e.list[j], e.list[i] }
func (e *events) Push(x any)    { e.list = append(e.list, x.(event)) }
func (e *events) Pop() any {
	last := e.list[len(e.list)-1]
	e.list = e.list[:len(e.list)-1]
	return last
}

func (e *events) after(at time.Duration, run func(now time.Duration)) {
	e.seq++
	heap.Push(e, event{at, e.seq, run})
}

// next removes the earliest event.
func (e *events) next() event { return heap.Pop(e).(event) }

// Choice is where a policy sends a request.
type Choice struct {
	Engine  int
	Source  int // engine to fetch from; StoreSource, or NoSource
	Save    bool
	Wait    time.Duration // before it is chosen again; 0: it is sent
	Refused bool
}

// Sources that are no engine.
const (
	NoSource    = -1
	StoreSource = -2
)

// policy places the requests of all instances.
type policy interface {
	choose(now time.Duration, a *arrival, again bool) (Choice, any)
	sent(now time.Duration, a *arrival, ticket any)
	first(now time.Duration, a *arrival, ticket any, saved bool)
	ended(now time.Duration, a *arrival, ticket any)
	start(end time.Duration) // schedules the exchange between instances
}

const (
	// digestInterval is between the whole digests of instances.
	digestInterval = 200 * time.Millisecond
	// newsDelay is the time of a piece of news between instances.
	newsDelay = 5 * time.Millisecond
	// toEngine is the way of a request to an engine.
	toEngine = time.Millisecond
	// longestMove is the wait from which a move is not started.
	longestMove = 2 * time.Second
	// farMove is how much longer moves between domains take.
	farMove = 2
	// drainTime lets what was sent last end.
	drainTime = 20 * time.Second
)

// run is one load under one policy.
type run struct {
	d       *Deployment
	events  events
	engines []*engine
	store   *lru
	seen    map[uint64]bool
	policy  policy
	result  *Result
}

func newRun(d *Deployment, name string) *run {
	r := &run{d: d, store: newLRU(), seen: map[uint64]bool{}, result: newResult(d, name)}
	for i, slower := range d.Slowness {
		r.engines = append(r.engines, &engine{spec: d.Engine, slower: slower, now: 1, domain: i % d.Domains, memory: newLRU()})
	}
	return r
}

// play plays the arrivals to their end.
func (r *run) play(arrivals []arrival, length time.Duration) *Result {
	for i := range arrivals {
		a := &arrivals[i]
		r.events.after(a.at, func(now time.Duration) { r.place(now, a, false) })
	}
	r.slowDown(uint64(len(arrivals)), length+drainTime)
	r.policy.start(length + drainTime)
	for len(r.events.list) > 0 {
		e := r.events.next()
		e.run(e.at)
	}
	return r.result
}

// every calls f at each interval until end.
func (r *run) every(first, interval, end time.Duration, f func(now time.Duration)) {
	for at := first; at < end; at += interval {
		r.events.after(at, f)
	}
}

func (r *run) place(now time.Duration, a *arrival, again bool) {
	choice, ticket := r.policy.choose(now, a, again)
	switch {
	case choice.Refused:
		r.result.refused(a)
		return
	case choice.Wait > 0:
		r.events.after(now+choice.Wait, func(now time.Duration) { r.place(now, a, true) })
		return
	}
	r.policy.sent(now, a, ticket)
	r.events.after(r.fetched(now+toEngine, a, choice), func(now time.Duration) { r.arrive(now, a, choice, ticket) })
}

// fetched returns when the engine has what it fetches.
func (r *run) fetched(now time.Duration, a *arrival, c Choice) time.Duration {
	to := r.engines[c.Engine]
	held := to.memory.leading(a.parts, now)
	switch c.Source {
	case NoSource, c.Engine:
		return now
	case StoreSource:
		return r.move(now, to, r.store, r.d.StoreMbps, 0, a.parts, held)
	}
	from := r.engines[c.Source]
	return r.move(now, to, from.memory, from.spec.LinkMbps, from.domain, a.parts, held)
}

// move copies the leading parts that a keeper has beyond the engine's own. The
// moves of an engine run one after the other.
func (r *run) move(now time.Duration, to *engine, from *lru, mbps float64, domain int, parts []part, held int) time.Duration {
	there := from.leading(parts, now)
	if there <= held {
		return now + toEngine
	}
	start := max(now, to.linkAt)
	if start-now > longestMove {
		return now
	}
	end := start + moveTime(there-held, r.d.Engine.TokenBytes, min(mbps, to.spec.LinkMbps), to.domain != domain)
	to.linkAt = end
	moved := 0
	for i := range parts {
		if moved+parts[i].tokens > there {
			break
		}
		moved += parts[i].tokens
		to.memory.use(parts[:i+1], now)
	}
	to.memory.limit(to.spec.KVTokens - to.used())
	r.result.Moved += there - held
	return end
}

func moveTime(tokens int, tokenBytes, mbps float64, far bool) time.Duration {
	const bitsPerByte, bitsPerMbit = 8, 1e6
	seconds := float64(tokens) * tokenBytes * bitsPerByte / (mbps * bitsPerMbit)
	if far {
		seconds *= farMove
	}
	return time.Duration(seconds * float64(time.Second))
}

func (r *run) arrive(now time.Duration, a *arrival, c Choice, ticket any) {
	e := r.engines[c.Engine]
	class := &r.d.Classes[a.class]
	e.submit(&job{
		parts: a.parts, prompt: a.prompt, output: max(1, class.Output), priority: class.Priority, arrived: now,
		onFirst: func(now time.Duration, reread int) {
			r.result.first(a, now-a.at, reread)
			saved := c.Save && r.save(now, e, a.parts)
			r.policy.first(now, a, ticket, saved)
		},
		onEnd: func(now time.Duration) { r.policy.ended(now, a, ticket) },
	})
	if !e.active {
		r.step(now, e)
	}
}

// save copies the prompt to the store over the engine's link.
func (r *run) save(now time.Duration, e *engine, parts []part) bool {
	start := max(now, e.linkAt)
	if start-now > longestMove {
		return false
	}
	tokens := 0
	for _, p := range parts {
		tokens += p.tokens
	}
	end := start + moveTime(tokens, r.d.Engine.TokenBytes, e.spec.LinkMbps, e.domain != 0)
	e.linkAt = end
	r.events.after(end, func(now time.Duration) {
		r.store.use(parts, now)
		r.store.limit(r.d.StoreKV)
	})
	return true
}

func (r *run) step(now time.Duration, e *engine) {
	end, ok := e.step(now, r.seen)
	if !ok {
		return
	}
	r.events.after(end, func(now time.Duration) {
		e.finish(now, r.seen)
		r.step(now, e)
	})
}

package load

import (
	"container/list"
	"fmt"
	"slices"
	"time"

	"github.com/fescuestep/fescuestep/pkg/block"
	"github.com/fescuestep/fescuestep/pkg/engine"
)

// Figures of the engine model, equal to the defaults of the engine stand-in.
const (
	modelPrefillPerSec  = 20_000
	modelCapacity       = 96 // blocks
	modelLifetime       = 5 * time.Second
	modelTokenTime      = 8 * time.Millisecond
	modelTokenTimeEach  = 500 * time.Microsecond
	modelMaxRunning     = 32
	modelReportInterval = 100 * time.Millisecond
	modelEventLag       = 50 * time.Millisecond
	modelKVPerSec       = 100_000
)

// job is one request on a model engine.
type job struct {
	arrival    *Arrival
	firstToken func(cachedTokens int) // called when the prefill is done
	done       func(ok, started bool) // called at the end or when the engine crashes
	queued     int                    // uncached tokens on arrival
	started    bool                   // the prefill is done
	finished   bool
}

// fleet is the engines of one policy and what they share.
type fleet struct {
	clock   *clock
	engines []*modelEngine
	kv      map[block.Hash]bool
	wasted  int // tokens prefilled although some engine had them cached
	prefill int // tokens prefilled
}

// modelEngine is a deterministic engine in virtual time: a batch with a limited
// number of slots, one prefill at a time and a least recently used cache whose
// unused blocks expire.
type modelEngine struct {
	fleet       *fleet
	id          string
	domain      string
	starts      int
	incarnation string
	down        bool

	slots   int // taken
	waiting []*job
	ready   []*job // in the batch, waiting for prefill
	busy    bool   // a prefill is running
	running map[*job]bool
	queued  int // uncached tokens waiting

	blocks map[block.Hash]*list.Element
	order  *list.List // of cached, most recently used first
	seq    uint64
	log    []loggedEvent
	lose   int // events to lose
	report engine.LoadReport
	taken  time.Duration // time of the report
}

type cached struct {
	hash block.Hash
	used time.Duration
}

type loggedEvent struct {
	engine.Event
	at time.Duration
}

func newFleet(c *clock, p *Profile) *fleet {
	f := &fleet{clock: c, kv: map[block.Hash]bool{}}
	for i := range p.Engines {
		e := &modelEngine{
			fleet:  f,
			id:     fmt.Sprintf("%s-%02d", p.Pool, i),
			domain: p.Domains[i%len(p.Domains)],
		}
		e.restart()
		f.engines = append(f.engines, e)
		c.after(time.Duration(i)*modelReportInterval/time.Duration(p.Engines), e.sample)
	}
	return f
}

// restart begins a new incarnation with an empty cache.
func (e *modelEngine) restart() {
	e.starts++
	e.incarnation = fmt.Sprintf("%s/%d", e.id, e.starts)
	e.down, e.busy = false, false
	e.slots, e.queued, e.seq = 0, 0, 0
	e.waiting, e.ready, e.log = nil, nil, nil
	e.running = map[*job]bool{}
	e.blocks, e.order = map[block.Hash]*list.Element{}, list.New()
	e.report = engine.LoadReport{Incarnation: e.incarnation, Weights: "1"}
	e.taken = e.fleet.clock.now
}

// crash ends all requests and forgets the cache.
func (e *modelEngine) crash() {
	e.down = true
	jobs := append(append([]*job(nil), e.waiting...), e.ready...)
	for j := range e.running {
		jobs = append(jobs, j)
	}
	sortJobs(jobs)
	e.waiting, e.ready, e.running = nil, nil, map[*job]bool{}
	for _, j := range jobs {
		e.finish(j, false)
	}
}

func (e *modelEngine) finish(j *job, ok bool) {
	if !j.finished {
		j.finished = true
		j.done(ok, j.started)
	}
}

// sample takes a load report.
func (e *modelEngine) sample() {
	e.fleet.clock.after(modelReportInterval, e.sample)
	if e.down {
		return
	}
	e.taken = e.fleet.clock.now
	e.report = engine.LoadReport{
		Incarnation:    e.incarnation,
		Weights:        "1",
		Running:        e.slots,
		Waiting:        len(e.waiting),
		QueuedTokens:   e.queued,
		CachedBlocks:   len(e.blocks),
		CapacityBlocks: modelCapacity,
	}
}

// load answers a report poll.
func (e *modelEngine) load() engine.LoadReport {
	r := e.report
	r.Age = e.fleet.clock.now - e.taken
	return r
}

// submit takes a request. It reports false when the connection is refused.
func (e *modelEngine) submit(j *job) bool {
	if e.down {
		return false
	}
	j.queued = j.arrival.Tokens - e.match(j.arrival.Blocks)*BlockTokens
	e.queued += j.queued
	if e.slots >= modelMaxRunning {
		e.waiting = append(e.waiting, j)
		return true
	}
	e.slots++
	e.ready = append(e.ready, j)
	e.next()
	return true
}

// next starts the next prefill.
func (e *modelEngine) next() {
	if e.busy || len(e.ready) == 0 {
		return
	}
	j := e.ready[0]
	e.ready = e.ready[1:]
	e.busy = true
	e.running[j] = true
	now := e.fleet.clock.now
	e.expire(now)
	hit := e.match(j.arrival.Blocks)
	for i := hit - 1; i >= 0; i-- {
		e.touch(j.arrival.Blocks[i], now)
	}
	uncached := j.arrival.Tokens - hit*BlockTokens
	e.fleet.prefill += uncached
	e.fleet.countWaste(j.arrival.Blocks[hit:])
	work := time.Duration(float64(uncached) / modelPrefillPerSec * float64(time.Second))
	start := e.starts
	e.fleet.clock.after(work, func() {
		if e.starts == start && !e.down && !j.finished {
			e.prefilled(j, hit)
		}
	})
}

func (e *modelEngine) prefilled(j *job, hit int) {
	now := e.fleet.clock.now
	e.insert(j.arrival.Blocks, now)
	e.busy = false
	e.queued -= j.queued
	j.started = true
	j.firstToken(hit * BlockTokens)
	each := modelTokenTime + time.Duration(e.slots-1)*modelTokenTimeEach
	start := e.starts
	e.fleet.clock.after(time.Duration(j.arrival.MaxOutput)*each, func() {
		if e.starts == start && !e.down {
			e.complete(j)
		}
	})
	e.next()
}

func (e *modelEngine) complete(j *job) {
	delete(e.running, j)
	e.leaveBatch()
	e.finish(j, true)
}

// countWaste adds the blocks about to be prefilled that an engine has cached.
func (f *fleet) countWaste(blocks []block.Hash) {
	for _, h := range blocks {
		for _, e := range f.engines {
			if _, ok := e.blocks[h]; ok && !e.down {
				f.wasted += BlockTokens
				break
			}
		}
	}
}

// cancel ends a job without calling it back. A running prefill stops.
func (e *modelEngine) cancel(j *job) {
	if j.finished || j.started {
		return
	}
	j.finished = true
	e.queued -= j.queued
	if i := slices.Index(e.waiting, j); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
		return
	}
	if i := slices.Index(e.ready, j); i >= 0 {
		e.ready = slices.Delete(e.ready, i, i+1)
	} else if e.running[j] {
		delete(e.running, j)
		e.busy = false
	} else {
		return // of an earlier incarnation
	}
	e.leaveBatch()
	e.next()
}

// leaveBatch gives the place of an ended job to the next waiting one.
func (e *modelEngine) leaveBatch() {
	if len(e.waiting) > 0 {
		e.ready = append(e.ready, e.waiting[0])
		e.waiting = e.waiting[1:]
		e.next()
		return
	}
	e.slots--
}

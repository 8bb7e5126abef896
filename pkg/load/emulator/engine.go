package emulator

import (
	"sort"
	"time"
)

// Spec describes a kind of engine.
type Spec struct {
	Slots          int           // requests that run at once
	Chunk          int           // prompt tokens in one step
	KVTokens       int           // memory in tokens
	TokenBytes     float64       // KV cache of a token
	LinkMbps       float64       // of moves of KV cache
	Step           time.Duration // least time of a step
	StepPerRequest time.Duration // that each running request adds
	TokensPerMS    float64       // prompt tokens computed in a millisecond
	PairTime       time.Duration // of attention over a million pairs of tokens
}

// part is one part of a prompt under a version of weights.
type part struct {
	key    uint64
	tokens int
}

// job is a request at an engine.
type job struct {
	parts    []part
	prompt   int // tokens
	output   int // tokens to make
	priority int
	arrived  time.Duration
	onFirst  func(now time.Duration, reread int)
	onEnd    func(now time.Duration)

	had    int // prompt tokens that were cached when it began
	done   int // prompt tokens that are in memory
	made   int // output tokens
	reread int // computed tokens of shared parts that some engine had computed before
}

// engine computes jobs in steps: first the next pieces of prompts, and one token
// for each request whose prompt is done.
type engine struct {
	spec    Spec
	slower  float64 // factor on all its times
	now     float64 // part of slower that lasts for a while only
	domain  int
	waiting []*job
	running []*job
	memory  *lru
	linkAt  time.Duration // when its link is free
	at      time.Duration // end of the step under way
	active  bool
}

// submit queues a job by priority and arrival.
func (e *engine) submit(j *job) {
	i := sort.Search(len(e.waiting), func(i int) bool {
		w := e.waiting[i]
		return w.priority > j.priority || (w.priority == j.priority && w.arrived > j.arrived)
	})
	e.waiting = append(e.waiting, nil)
	copy(e.waiting[i+1:], e.waiting[i:])
	e.waiting[i] = j
}

// used returns the tokens of running requests that no cached part holds.
func (e *engine) used() int {
	used := 0
	for _, j := range e.running {
		used += j.prompt - j.had + j.output
	}
	return used
}

// admit lets waiting jobs begin while there are slots and memory.
func (e *engine) admit(now time.Duration) {
	for len(e.waiting) > 0 && len(e.running) < e.spec.Slots {
		j := e.waiting[0]
		need := e.used() + j.prompt + j.output
		if need > e.spec.KVTokens && len(e.running) > 0 {
			return
		}
		e.waiting = e.waiting[1:]
		j.had = e.memory.leading(j.parts, now)
		j.done = j.had
		e.running = append(e.running, j)
		e.memory.limit(e.spec.KVTokens - e.used())
	}
}

// step starts the next step and returns when it ends; false: nothing to do.
func (e *engine) step(now time.Duration, seen map[uint64]bool) (time.Duration, bool) {
	e.admit(now)
	if len(e.running) == 0 {
		e.active = false
		return 0, false
	}
	budget := e.spec.Chunk
	computed, pairs := 0, 0.0
	for _, j := range e.running {
		take := min(budget, j.prompt-j.done)
		if take <= 0 {
			continue
		}
		pairs += float64(take) * (float64(j.done) + float64(take)/2)
		j.countReread(take, seen)
		j.done += take
		budget -= take
		computed += take
	}
	took := e.spec.Step + time.Duration(len(e.running))*e.spec.StepPerRequest
	took += time.Duration(float64(computed) / e.spec.TokensPerMS * float64(time.Millisecond))
	took += time.Duration(pairs / 1e6 * float64(e.spec.PairTime))
	e.at = now + time.Duration(float64(took)*e.slower)
	e.active = true
	return e.at, true
}

// countReread counts the shared parts among the next tokens that were computed
// before.
func (j *job) countReread(take int, seen map[uint64]bool) {
	from, to, at := j.done, j.done+take, 0
	for i, p := range j.parts {
		shared := i < len(j.parts)-1
		overlap := min(to, at+p.tokens) - max(from, at)
		if shared && overlap > 0 && seen[p.key] {
			j.reread += overlap
		}
		at += p.tokens
	}
}

// finish ends the step: prompts that are done have their first token, others one
// more.
func (e *engine) finish(now time.Duration, seen map[uint64]bool) {
	kept := e.running[:0]
	var ended []*job
	for _, j := range e.running {
		if j.done < j.prompt {
			kept = append(kept, j)
			continue
		}
		j.made++
		if j.made == 1 {
			for _, p := range j.parts {
				seen[p.key] = true
			}
			e.memory.use(j.parts, now)
			j.had = j.prompt // its prompt is held by cached parts now
			j.onFirst(now, j.reread)
		}
		if j.made < j.output {
			kept = append(kept, j)
			continue
		}
		ended = append(ended, j)
	}
	e.running = kept
	e.memory.limit(e.spec.KVTokens - e.used())
	for _, j := range ended {
		j.onEnd(now)
	}
}

// lru keeps parts of prompts; those used least lately make room.
type lru struct {
	parts map[uint64]*kept
	total int
}

type kept struct {
	tokens int
	at     time.Duration
}

func newLRU() *lru { return &lru{parts: map[uint64]*kept{}} }

// leading returns the tokens of the leading parts that are kept, and counts that
// as their use.
func (l *lru) leading(parts []part, now time.Duration) int {
	tokens := 0
	for _, p := range parts {
		k := l.parts[p.key]
		if k == nil {
			break
		}
		k.at = now
		tokens += p.tokens
	}
	return tokens
}

// use keeps the parts.
func (l *lru) use(parts []part, now time.Duration) {
	for _, p := range parts {
		k := l.parts[p.key]
		if k == nil {
			k = &kept{tokens: p.tokens}
			l.parts[p.key] = k
			l.total += p.tokens
		}
		k.at = now
	}
}

// limit drops parts until the rest fits into the room.
func (l *lru) limit(room int) {
	for l.total > room && len(l.parts) > 0 {
		var oldest uint64
		first := true
		for key, k := range l.parts {
			if first || k.at < l.parts[oldest].at || (k.at == l.parts[oldest].at && key < oldest) {
				oldest, first = key, false
			}
		}
		l.total -= l.parts[oldest].tokens
		delete(l.parts, oldest)
	}
}

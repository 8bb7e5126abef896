package shard

import (
	"container/heap"
	"container/list"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fescuestep/fescuestep/pkg/block"
	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/engine"
	rpc "github.com/fescuestep/fescuestep/rpc/peer"
)

// cacheEngine is an engine with a cache that evicts the least recently used
// block and logs events.
type cacheEngine struct {
	id, domain  string
	incarnation int
	capacity    int
	blocks      map[block.Hash]*list.Element
	order       *list.List
	log         []engine.Event
	seq         uint64
	restarted   time.Duration
	recent      int // requests in this tick second
}

type cachedBlock struct{ hash, parent block.Hash }

func (e *cacheEngine) restart(now time.Duration) {
	e.incarnation++
	e.blocks, e.order = map[block.Hash]*list.Element{}, list.New()
	e.log, e.seq, e.restarted = nil, 0, now
}

func (e *cacheEngine) publish(kind engine.EventKind, parent block.Hash, blocks ...block.Hash) {
	e.seq++
	e.log = append(e.log, engine.Event{Seq: e.seq, Kind: kind, Blocks: blocks, Parent: parent})
}

// serve runs a prompt and returns how many leading blocks were cached.
func (e *cacheEngine) serve(chain []block.Hash) int {
	hits := 0
	for hits < len(chain) && e.blocks[chain[hits]] != nil {
		hits++
	}
	for i := len(chain) - 1; i >= 0; i-- {
		if el := e.blocks[chain[i]]; el != nil {
			e.order.MoveToFront(el)
			continue
		}
		parent := block.Hash(1) // stands for the seed
		if i > 0 {
			parent = chain[i-1]
		}
		e.blocks[chain[i]] = e.order.PushFront(cachedBlock{chain[i], parent})
	}
	if hits < len(chain) {
		e.publish(engine.Stored, e.blocks[chain[hits]].Value.(cachedBlock).parent, slices.Clone(chain[hits:])...)
	}
	for e.order.Len() > e.capacity {
		last := e.order.Remove(e.order.Back()).(cachedBlock)
		delete(e.blocks, last.hash)
		e.publish(engine.Removed, 0, last.hash)
	}
	return hits
}

func (e *cacheEngine) events(at engine.Position) *engine.EventBatch {
	b := &engine.EventBatch{Incarnation: fmt.Sprint(e.incarnation), Weights: "1", Seq: e.seq}
	if at.Incarnation != b.Incarnation {
		b.Snapshot = true
		for el := e.order.Front(); el != nil; el = el.Next() {
			c := el.Value.(cachedBlock)
			b.Blocks, b.Parents = append(b.Blocks, c.hash), append(b.Parents, c.parent)
		}
		return b
	}
	for i := range e.log {
		if e.log[i].Seq > at.Seq {
			b.Events = append(b.Events, e.log[i])
		}
	}
	return b
}

// trim forgets events that every reader has seen.
func (e *cacheEngine) trim(kept int) {
	if n := len(e.log) - kept; n > 0 {
		e.log = slices.Delete(e.log, 0, n)
	}
}

// instance is one router instance of the simulation.
type instance struct {
	self     config.Member
	follower *Follower
	owner    *Owner
	down     bool
}

// timed is an action at a virtual time.
type timed struct {
	at  time.Duration
	seq int
	run func()
}

type agenda []timed

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(timed)) }
func (a *agenda) Pop() any {
	x := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return x
}

// fleet runs instances and engines in virtual time over a faulty network.
type fleet struct {
	tb               testing.TB
	now              time.Duration
	rng              *rand.Rand
	pace             Pace
	revision         uint64
	instances        []*instance
	engines          []*cacheEngine
	agenda           agenda
	seq              int
	lose, twice      float64
	late             float64 // probability of a delay beyond the call timeout
	messages, bytes  int
	forwarded, drops int
}

const (
	tick        = 20 * time.Millisecond
	pollEvery   = 200 * time.Millisecond
	callTimeout = 600 * time.Millisecond
)

func newFleet(tb testing.TB, instances, engines, capacity int, pace Pace) *fleet {
	f := &fleet{tb: tb, rng: rand.New(rand.NewPCG(1, uint64(instances))), pace: pace}
	for i := range instances {
		x := &instance{self: config.Member{ID: fmt.Sprintf("r%03d", i), Incarnation: "1", Domain: fmt.Sprintf("d%d", i%7)}}
		f.boot(x)
		f.instances = append(f.instances, x)
	}
	for i := range engines {
		e := &cacheEngine{id: fmt.Sprintf("e%04d", i), domain: fmt.Sprintf("d%d", i%7), capacity: capacity}
		e.restart(0)
		f.engines = append(f.engines, e)
	}
	f.reassign()
	return f
}

func (f *fleet) boot(x *instance) {
	x.follower, x.owner, x.down = NewFollower(x.self, f.pace), NewOwner(x.self), false
}

// reassign publishes the membership of the running instances.
func (f *fleet) reassign() {
	var m config.Membership
	for _, x := range f.instances {
		if !x.down {
			m.Members = append(m.Members, x.self)
		}
	}
	f.revision++
	assigned := NewMap(f.revision, m)
	for _, x := range f.instances {
		if !x.down {
			// Instances learn of a change at different times.
			f.after(time.Duration(f.rng.IntN(500))*time.Millisecond, func() { x.assign(f, assigned) })
		}
	}
}

func (x *instance) assign(f *fleet, m *Map) {
	if x.follower.assigned != nil && x.follower.assigned.Revision > m.Revision {
		return
	}
	x.owner.SetMap(m)
	x.follower.SetMap(m)
	x.list(f)
}

func (x *instance) list(f *fleet) {
	listed := map[string]Listed{}
	for _, e := range f.engines {
		listed[e.id] = Listed{Pool: "m", Domain: e.domain}
	}
	x.follower.SetEngines(f.now, listed)
}

func (f *fleet) after(d time.Duration, run func()) {
	f.seq++
	heap.Push(&f.agenda, timed{f.now + d, f.seq, run})
}

// step advances time by one tick.
func (f *fleet) step() {
	f.now += tick
	for len(f.agenda) > 0 && f.agenda[0].at <= f.now {
		heap.Pop(&f.agenda).(timed).run()
	}
	poll := f.now%pollEvery == 0
	for _, x := range f.instances {
		if x.down || x.follower.assigned == nil {
			continue
		}
		if poll {
			f.poll(x)
		}
		for _, m := range x.follower.Due(f.now) {
			f.send(x, m)
		}
		if f.now%time.Second == 0 {
			x.owner.Expire(f.now)
		}
	}
	if f.now%time.Second == 0 {
		for _, e := range f.engines {
			e.trim(5000)
			e.recent = 0
		}
	}
}

func (f *fleet) poll(x *instance) {
	for _, id := range x.follower.Engines() {
		at := slices.IndexFunc(f.engines, func(e *cacheEngine) bool { return e.id == id })
		e := f.engines[at]
		b := e.events(x.follower.Position(id))
		for _, ev := range b.Events {
			f.forwarded += len(ev.Blocks)
		}
		x.follower.OnEvents(f.now, id, b)
		x.follower.OnReport(f.now, id, engine.LoadReport{Incarnation: b.Incarnation, Weights: "1", Running: e.recent})
	}
}

// send carries a message over the faulty network.
func (f *fleet) send(x *instance, m Message) {
	wire, err := proto.Marshal(m.Request)
	if err != nil {
		f.tb.Fatal(err)
	}
	f.messages++
	f.bytes += len(wire)
	sender := x.follower
	answered := false
	f.after(callTimeout, func() {
		if !answered && x.follower == sender {
			f.drops++
			sender.Failed(m)
		}
	})
	delay := time.Millisecond
	if f.rng.Float64() < f.late {
		delay += time.Duration(f.rng.IntN(5000)) * time.Millisecond
	}
	copies := 1
	if f.rng.Float64() < f.twice {
		copies = 2
	}
	if f.rng.Float64() < f.lose {
		copies = 0
	}
	for i := range copies {
		f.after(delay*time.Duration(1+40*i), func() {
			resp := f.receive(m.To, wire)
			if resp == nil || answered || f.rng.Float64() < f.lose {
				return
			}
			if x.follower == sender && delay < callTimeout {
				answered = true
				sender.Answered(m, resp)
			}
		})
	}
}

func (f *fleet) receive(to config.Member, wire []byte) *rpc.ForwardResponse {
	for _, y := range f.instances {
		if y.self.ID == to.ID && y.self.Incarnation == to.Incarnation && !y.down && y.owner.assigned != nil {
			var req rpc.ForwardRequest
			if err := proto.Unmarshal(wire, &req); err != nil {
				f.tb.Fatal(err)
			}
			return y.owner.Forward(f.now, &req)
		}
	}
	return nil
}

// owner returns the running owner of a root as the newest membership has it.
func (f *fleet) owner(root block.Hash) *instance {
	p := PartitionOf(root)
	for _, x := range f.instances {
		if !x.down && x.owner.assigned != nil && x.owner.assigned.Owns(x.self, p) {
			return x
		}
	}
	return nil
}

// lookUp asks the owner of a prompt's root, as a request would.
func (f *fleet) lookUp(chain []block.Hash) []*rpc.Holder {
	x := f.owner(chain[0])
	if x == nil {
		return nil
	}
	req := &rpc.LookupRequest{Prompts: []*rpc.Prompt{{Pool: "m"}}}
	for _, h := range chain {
		req.Prompts[0].Blocks = append(req.Prompts[0].Blocks, uint64(h))
	}
	return x.owner.Lookup(f.now, req, f.rng).Prompts[0].Holders
}

// holding returns the holders without the spares.
func holding(holders []*rpc.Holder) []*rpc.Holder {
	return slices.DeleteFunc(slices.Clone(holders), func(h *rpc.Holder) bool { return h.Levels == 0 })
}

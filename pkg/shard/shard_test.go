package shard

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fescuestep/fescuestep/pkg/block"
)

// prompts draws nested prompts: a few roots are hot, and each level branches.
type prompts struct {
	rng  *rand.Rand
	root *rand.Zipf
	next *rand.Zipf
	tail uint64
}

func newPrompts(seed uint64, roots int) *prompts {
	rng := rand.New(rand.NewPCG(seed, 7))
	return &prompts{rng: rng, root: rand.NewZipf(rng, 1.1, 8, uint64(roots-1)), next: rand.NewZipf(rng, 2.2, 1, 15)}
}

// draw returns the chain of a prompt of levels blocks, the last two its own.
func (p *prompts) draw(levels int) []block.Hash {
	chain := make([]block.Hash, 0, levels)
	parent := block.Hash(mix(p.root.Uint64() + 99))
	chain = append(chain, parent)
	for i := 1; i < levels; i++ {
		branch := p.next.Uint64()
		if i >= levels-2 {
			p.tail++
			branch = 1<<32 + p.tail
		}
		parent = block.Hash(mix(uint64(parent) + branch*0x9e3779b97f4a7c15))
		chain = append(chain, parent)
	}
	return chain
}

// serve sends prompts to engines, the holder of the longest prefix first, and
// checks that no answer names an incarnation that ended long ago.
func (f *fleet) serve(p *prompts, n int) {
	for range n {
		chain := p.draw(8)
		e := f.engines[p.rng.IntN(len(f.engines))]
		for _, h := range f.lookUp(chain) {
			x := f.byID(h.Engine)
			if h.Incarnation != fmt.Sprint(x.incarnation) && f.now-x.restarted > 20*time.Second {
				f.tb.Fatalf("%v after the restart of %s a lookup names incarnation %s", f.now-x.restarted, h.Engine, h.Incarnation)
			}
		}
		e.serve(chain)
	}
}

func (f *fleet) byID(id string) *cacheEngine {
	for _, e := range f.engines {
		if e.id == id {
			return e
		}
	}
	return nil
}

func (f *fleet) run(d time.Duration, p *prompts, perTick int) {
	for end := f.now + d; f.now < end; {
		f.step()
		f.serve(p, perTick)
	}
}

// differences counts blocks of engines that their owners lack, entries that
// are wrong and entries that are uncertain.
func (f *fleet) differences() (missing, wrong, uncertain int) {
	for _, e := range f.engines {
		held := 0
		for _, x := range f.instances {
			o := x.owner.engines[e.id]
			if x.down || o == nil {
				continue
			}
			for _, part := range o.parts {
				held += x.owner.index.BlockCount(part.handle)
				if x.owner.index.NeedsSnapshot(part.handle) {
					uncertain++
				}
			}
			for h := range e.blocks {
				for _, part := range o.parts {
					if n, _ := x.owner.index.CachedPrefix(part.handle, f.now, []block.Hash{h}); n == 1 {
						held--
						missing--
					}
				}
			}
		}
		missing += len(e.blocks)
		wrong += held
	}
	return missing, wrong, uncertain
}

var testPace = Pace{Interval: 200 * time.Millisecond, KeepAlive: 2 * time.Second, Resync: 20000, MaxBlocks: 500}

// Guards against index parts that differ from the engines' caches once a fault
// is over: entries that an owner lacks, keeps by mistake or never becomes
// certain of again.
func TestFaults(t *testing.T) {
	for name, fault := range map[string]func(f *fleet, p *prompts){
		"none":             func(*fleet, *prompts) {},
		"lost messages":    func(f *fleet, p *prompts) { f.lose = 0.2; f.run(5*time.Second, p, 10) },
		"repeated":         func(f *fleet, p *prompts) { f.twice = 0.5; f.run(5*time.Second, p, 10) },
		"late":             func(f *fleet, p *prompts) { f.late = 0.3; f.run(10*time.Second, p, 10) },
		"owner restarts":   func(f *fleet, p *prompts) { f.crash(f.instances[2], 3*time.Second, p, true) },
		"member gone":      func(f *fleet, p *prompts) { f.crash(f.instances[4], 3*time.Second, p, false) },
		"all restart":      func(f *fleet, p *prompts) { f.herd(p) },
		"engines restart":  func(f *fleet, p *prompts) { f.engines[3].restart(f.now); f.engines[9].restart(f.now) },
		"engine events":    func(f *fleet, p *prompts) { f.engines[5].seq += 3; f.engines[5].serve(p.draw(8)) },
		"follower flutter": func(f *fleet, p *prompts) { f.flutter(p) },
		"everything": func(f *fleet, p *prompts) {
			f.lose, f.twice, f.late = 0.1, 0.1, 0.1
			f.flutter(p)
			f.engines[1].restart(f.now)
			f.crash(f.instances[5], 2*time.Second, p, true)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 6, 24, 100, testPace)
			p := newPrompts(3, 200)
			f.run(5*time.Second, p, 10)
			fault(f, p)
			f.run(2*time.Second, p, 10)
			f.lose, f.twice, f.late = 0, 0, 0
			f.run(45*time.Second, p, 0)
			if m, w, u := f.differences(); m != 0 || w != 0 || u != 0 {
				t.Errorf("%d blocks missing, %d wrong entries, %d parts uncertain", m, w, u)
			}
		})
	}
}

// crash stops an instance; the membership follows after the delay.
func (f *fleet) crash(x *instance, delay time.Duration, p *prompts, restart bool) {
	x.down = true
	f.run(delay, p, 10)
	if restart {
		x.self.Incarnation += "'"
		f.boot(x)
	}
	f.reassign()
	f.run(time.Second, p, 10)
}

func (f *fleet) herd(p *prompts) {
	for _, x := range f.instances {
		x.self.Incarnation += "'"
		f.boot(x)
	}
	f.reassign()
	f.run(time.Second, p, 10)
}

// flutter takes an instance out of the membership and back in while others
// miss some of the changes.
func (f *fleet) flutter(p *prompts) {
	for range 4 {
		f.instances[1].down = true
		f.reassign()
		f.run(300*time.Millisecond, p, 10)
		f.instances[1].down = false
		f.reassign()
		f.run(300*time.Millisecond, p, 10)
	}
}

// Guards against a restart of all instances that sends its resyncs at once.
func TestResyncIsPaced(t *testing.T) {
	pace := testPace
	pace.Resync = 500
	f := newFleet(t, 6, 24, 400, pace)
	p := newPrompts(3, 200)
	f.run(20*time.Second, p, 40)
	f.herd(p)
	f.bytes = 0
	f.run(5*time.Second, p, 0)
	// 8 bytes a block, at most as much again for the frames of small parts, and
	// a list of waiting partitions of 3 bytes each in a message.
	if perSecond := f.bytes / 5 / len(f.instances); perSecond > 500*16+5*4096*3 {
		t.Errorf("%d bytes a second and instance during a paced resync", perSecond)
	}
}

// Guards against an assignment that moves more than the share of a member that
// joins or leaves, and against partitions or engines without anybody.
func TestAssignmentMovesLittle(t *testing.T) {
	f := newFleet(t, 50, 0, 1, testPace)
	f.step()
	f.now = time.Second
	f.step()
	before := f.instances[0].owner.assigned
	f.instances[7].down = true
	f.reassign()
	f.now = 2 * time.Second
	f.step()
	after, moved := f.instances[0].owner.assigned, 0
	for p := range Partition(Partitions) {
		was, _ := before.Owner(p)
		now, ok := after.Owner(p)
		if !ok || now.ID == f.instances[7].self.ID {
			t.Fatalf("partition %d belongs to %q", p, now.ID)
		}
		if was.ID != now.ID {
			moved++
			if was.ID != f.instances[7].self.ID {
				t.Errorf("partition %d moved from %s to %s", p, was.ID, now.ID)
			}
		}
	}
	if moved == 0 {
		t.Error("the member that left owned nothing")
	}
	if x, _ := after.Follower("e1", "d3"); x.Domain != "d3" {
		t.Errorf("follower in failure domain %s, want the engine's", x.Domain)
	}
}

package control_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/control"
	"github.com/fescuestep/fescuestep/pkg/external"
	"github.com/fescuestep/fescuestep/pkg/standin/table"
)

// world simulates candidates with their own clocks against one table whose
// calls are late, lost before or lost after execution.
type world struct {
	rng    *rand.Rand
	now    time.Duration // true time
	table  *table.Store
	events []event
	nodes  []*node
	sends  []sent

	uncovered int
}

type event struct {
	at  time.Duration
	run func()
}

// node is a candidate; its clock runs with an offset and up to 1% too fast or
// too slow.
type node struct {
	lease  *control.Lease
	offset time.Duration
	speed  float64
	paused time.Duration // true time until which it does nothing
	cutOff time.Duration // true time until which its table calls are lost
}

// sent is the time in which a command may be under way.
type sent struct {
	token    uint64
	from, to time.Duration
}

func (n *node) clock(now time.Duration) time.Duration {
	return n.offset + time.Duration(float64(now)*n.speed)
}

const step = 10 * time.Millisecond

func newWorld(seed int64, nodes int) *world {
	w := &world{rng: rand.New(rand.NewPCG(uint64(seed), 0)), table: table.NewStore(table.Options{})}
	for i := range nodes {
		w.nodes = append(w.nodes, &node{
			lease:  control.NewLease(control.DefaultLeaseConfig(), fmt.Sprint("n", i)),
			offset: time.Duration(w.rng.Int64N(int64(time.Hour))),
			speed:  0.99 + 0.02*w.rng.Float64(),
		})
	}
	return w
}

func (w *world) after(d time.Duration, run func()) {
	w.events = append(w.events, event{w.now + d, run})
}

func (w *world) delay() time.Duration {
	if w.rng.IntN(20) == 0 {
		return time.Duration(w.rng.Int64N(int64(6 * time.Second)))
	}
	return time.Duration(w.rng.Int64N(int64(30 * time.Millisecond)))
}

// call starts a table call of a node; one in ten is lost on the way and one in
// ten on the way back.
func (w *world) call(n *node, s control.LeaseStep) {
	lost := w.rng.IntN(10)
	if w.now < n.cutOff {
		lost = 0
	}
	w.after(w.delay(), func() {
		var rows []external.Row
		var version uint64
		err := error(external.ErrOutcomeUnknown)
		switch {
		case lost == 0:
		case s.Kind == control.LeaseRead:
			rows, err = w.table.Get(context.Background(), control.LeaseKey)
		default:
			version, err = w.table.Commit(context.Background(), s.Txn)
		}
		if lost == 1 {
			err = external.ErrOutcomeUnknown
		}
		w.after(w.delay(), func() { w.deliver(n, s, rows, version, err) })
	})
}

// deliver hands a result over when the node is not paused.
func (w *world) deliver(n *node, s control.LeaseStep, rows []external.Row, version uint64, err error) {
	if w.now < n.paused {
		w.after(n.paused-w.now, func() { w.deliver(n, s, rows, version, err) })
		return
	}
	if s.Kind == control.LeaseCommit {
		n.lease.CommitDone(n.clock(w.now), w.rng, version, err)
		return
	}
	var row external.Row
	if err == nil {
		row = rows[0]
	}
	n.lease.ReadDone(n.clock(w.now), w.rng, row, err)
}

func (w *world) runEvents() {
	due := w.events
	w.events = nil
	for _, e := range due {
		if e.at > w.now {
			w.events = append(w.events, e)
			continue
		}
		e.run()
	}
}

// advance lets every node act once.
func (w *world) advance() {
	w.now += step
	w.runEvents()
	for _, n := range w.nodes {
		if w.now < n.paused {
			continue
		}
		if w.rng.IntN(1000) == 0 {
			n.paused = w.now + time.Duration(w.rng.Int64N(int64(8*time.Second)))
			continue
		}
		if w.rng.IntN(1000) == 0 {
			n.cutOff = w.now + time.Duration(w.rng.Int64N(int64(8*time.Second)))
		}
		clock := n.clock(w.now)
		if s := n.lease.Next(clock, w.rng, true); s.Kind != control.LeaseIdle {
			w.call(n, s)
		}
		w.record(n, clock)
	}
}

// record notes the commands that a node may send now. Those to upstreams that
// ignore tokens must end while the lease is valid.
func (w *world) record(n *node, clock time.Duration) {
	token, until, ok := n.lease.Held(clock)
	if !ok {
		return
	}
	timeout := control.DefaultLeaseConfig().CommandTimeout
	if n.lease.MaySend(clock, false) && clock+timeout > until {
		w.uncovered++
	}
	end := w.now + time.Duration(float64(timeout)/n.speed)
	w.sends = append(w.sends, sent{token, w.now, end})
}

// TestLeaseExcludes guards against commands of two leaders being under way at
// once, over pauses, late calls, lost answers and clocks that differ; against
// commands that outlive the lease; and against a token that does not increase.
func TestLeaseExcludes(t *testing.T) {
	for seed := range int64(40) {
		w := newWorld(seed, 3)
		for w.now < 3*time.Minute {
			w.advance()
		}
		takeovers := 0
		for i := 1; i < len(w.sends); i++ {
			before, s := w.sends[i-1], w.sends[i]
			if s.token < before.token {
				t.Fatalf("seed %d: token %d after %d at %v", seed, s.token, before.token, s.from)
			}
			if s.token == before.token {
				continue
			}
			takeovers++
			if s.from < before.to {
				t.Fatalf("seed %d: command with token %d at %v overlaps one with token %d until %v", seed, s.token, s.from, before.token, before.to)
			}
		}
		if w.uncovered > 0 {
			t.Errorf("seed %d: %d commands outlive the lease", seed, w.uncovered)
		}
		if takeovers == 0 {
			t.Errorf("seed %d: no takeover in 3 minutes, the run proves nothing", seed)
		}
	}
}

// TestLostAnswer guards against a leader that waits for its own lease to
// expire because the answer to its commit was lost.
func TestLostAnswer(t *testing.T) {
	store := table.NewStore(table.Options{})
	rng := rand.New(rand.NewPCG(1, 0))
	l := control.NewLease(control.DefaultLeaseConfig(), "a")
	ctx := context.Background()
	read := func(now time.Duration) {
		rows, _ := store.Get(ctx, control.LeaseKey)
		l.ReadDone(now, rng, rows[0], nil)
	}
	if s := l.Next(0, rng, true); s.Kind != control.LeaseRead {
		t.Fatalf("first step %v, want a read", s.Kind)
	}
	read(0)
	s := l.Next(0, rng, true)
	store.Faults.Set(table.Faults{LoseAnswers: 1})
	version, err := store.Commit(ctx, s.Txn)
	l.CommitDone(time.Second, rng, version, err)
	if _, _, ok := l.Held(time.Second); ok {
		t.Error("held before the commit was read back")
	}
	if s := l.Next(2*time.Second, rng, true); s.Kind != control.LeaseRead {
		t.Fatalf("step %v, want a read", s.Kind)
	}
	read(2 * time.Second)
	if token, until, ok := l.Held(2 * time.Second); !ok || token != 1 || until != 3*time.Second {
		t.Errorf("held %v, token %d until %v, want token 1 until 3s after the commit was sent", ok, token, until)
	}
}

// TestTakeoverWait guards against a takeover without the margin for clocks of
// different speed.
func TestTakeoverWait(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 0))
	cfg := control.DefaultLeaseConfig()
	value, _ := json.Marshal(control.LeaseRow{Holder: "b", Token: 5})
	l := control.NewLease(cfg, "a")
	l.Next(0, rng, true)
	l.ReadDone(time.Second, rng, external.Row{Key: control.LeaseKey, Version: 3, Value: value}, nil)
	due := time.Second + cfg.TTL + cfg.CommandTimeout + cfg.MaxClockDrift
	if s := l.Next(due-1, rng, true); s.Kind == control.LeaseCommit {
		t.Error("takeover before the wait was over")
	}
	l.ReadDone(due-1, rng, external.Row{Key: control.LeaseKey, Version: 3, Value: value}, nil)
	if s := l.Next(due, rng, true); s.Kind != control.LeaseCommit {
		t.Errorf("step %v when the wait is over, want a commit", s.Kind)
	}
}

// TestInvalidRow guards against a takeover from a row whose token is unknown.
func TestInvalidRow(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 0))
	l := control.NewLease(control.DefaultLeaseConfig(), "a")
	l.Next(0, rng, true)
	l.ReadDone(0, rng, external.Row{Key: control.LeaseKey, Version: 3, Value: []byte("{")}, nil)
	if s := l.Next(time.Hour, rng, true); s.Kind == control.LeaseCommit || l.Err() == nil {
		t.Errorf("step %v, error %v, want no commit and an error", s.Kind, l.Err())
	}
}

// TestRelease guards against a planned stop that leaves upstreams without a
// leader until the lease expires.
func TestRelease(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 0))
	value, _ := json.Marshal(control.LeaseRow{Holder: "b", Token: 5, Released: true})
	l := control.NewLease(control.DefaultLeaseConfig(), "a")
	l.Next(0, rng, true)
	l.ReadDone(0, rng, external.Row{Key: control.LeaseKey, Version: 3, Value: value}, nil)
	if s := l.Next(0, rng, true); s.Kind != control.LeaseCommit {
		t.Fatalf("step %v, want a commit", s.Kind)
	}
	l.CommitDone(0, rng, 4, nil)
	if token, _, ok := l.Held(0); !ok || token != 6 {
		t.Errorf("token %d, held %v, want 6", token, ok)
	}
}

// TestCandidate guards against no instance or all instances watching the lease,
// and against the loss of one failure domain taking all candidates.
func TestCandidate(t *testing.T) {
	var members []config.Member
	for i := range 700 {
		members = append(members, config.Member{ID: fmt.Sprint("i", i), Leaving: i%2 == 0, Domain: fmt.Sprint("d", i%7)})
	}
	n := 0
	domains := map[string]bool{}
	for _, m := range members {
		if control.IsCandidate(members, m.ID) {
			n++
			domains[m.Domain] = true
			if m.Leaving {
				t.Errorf("leaving instance %s is a candidate", m.ID)
			}
		}
	}
	if n != control.MaxCandidates || len(domains) != n {
		t.Errorf("%d candidates in %d failure domains, want %d in as many", n, len(domains), control.MaxCandidates)
	}
}

func FuzzDecodeLease(f *testing.F) {
	f.Fuzz(func(t *testing.T, value []byte) {
		row, err := control.DecodeLease(external.Row{Version: 1, Value: value})
		if err == nil && (row.Holder == "" || row.Token == 0) {
			t.Errorf("accepted a row without holder or token: %+v", row)
		}
	})
}

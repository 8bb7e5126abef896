package control_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/control"
	"github.com/fescuestep/fescuestep/pkg/external"
	"github.com/fescuestep/fescuestep/pkg/history"
	"github.com/fescuestep/fescuestep/pkg/standin/table"
)

// simulation runs candidates, each with its own clock, against one table whose
// calls are delayed, lost before execution or lost after it.
type simulation struct {
	rng        *rand.Rand
	now        time.Duration // reference time
	store      leaseStore
	events     []event
	candidates []*candidate
	commands   []commandWindow

	uncovered int // commands to upstreams that ignore tokens and that may outlive the lease
}

// leaseStore executes the table calls of a simulation.
type leaseStore interface {
	read() (external.Row, error)
	commit(txn external.Txn) (history.Position, error)
}

// tableStore is a table that never loses what it has acknowledged.
type tableStore struct{ *table.Store }

func (s tableStore) read() (external.Row, error) {
	rows, err := s.Get(context.Background(), control.LeaseKey)
	if err != nil {
		return external.Row{}, err
	}
	return rows[0], nil
}

func (s tableStore) commit(txn external.Txn) (history.Position, error) {
	version, err := s.Commit(context.Background(), txn)
	return history.Position{Version: version}, err
}

type event struct {
	at  time.Duration
	run func()
}

// candidate is an instance whose clock has an offset and runs up to 1% too fast
// or too slow.
type candidate struct {
	lease  *control.Lease
	offset time.Duration
	speed  float64
	paused time.Duration // reference time until which it does nothing
	cutOff time.Duration // reference time until which its table calls are lost
}

// commandWindow is the period in which a command with a token may be in flight.
type commandWindow struct {
	token    uint64
	holder   *candidate
	from, to time.Duration
}

func (c *candidate) clock(now time.Duration) time.Duration {
	return c.offset + time.Duration(float64(now)*c.speed)
}

const step = 10 * time.Millisecond

func newSimulation(seed int64, candidates int) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(uint64(seed), 0)), store: tableStore{table.NewStore(table.Options{})}}
	for i := range candidates {
		s.candidates = append(s.candidates, &candidate{
			lease:  control.NewLease(control.DefaultLeaseConfig(), fmt.Sprint("n", i)),
			offset: time.Duration(s.rng.Int64N(int64(time.Hour))),
			speed:  0.99 + 0.02*s.rng.Float64(),
		})
	}
	return s
}

func (s *simulation) after(d time.Duration, run func()) {
	s.events = append(s.events, event{s.now + d, run})
}

func (s *simulation) delay() time.Duration {
	if s.rng.IntN(20) == 0 {
		return time.Duration(s.rng.Int64N(int64(6 * time.Second)))
	}
	return time.Duration(s.rng.Int64N(int64(30 * time.Millisecond)))
}

// call starts a table call of a candidate. One in ten is lost before execution and
// one in ten loses its answer.
func (s *simulation) call(c *candidate, next control.LeaseStep) {
	lost := s.rng.IntN(10)
	if s.now < c.cutOff {
		lost = 0
	}
	s.after(s.delay(), func() {
		var row external.Row
		var at history.Position
		err := error(external.ErrOutcomeUnknown)
		switch {
		case lost == 0:
		case next.Kind == control.LeaseRead:
			row, err = s.store.read()
		default:
			at, err = s.store.commit(next.Txn)
		}
		if lost == 1 {
			err = external.ErrOutcomeUnknown
		}
		s.after(s.delay(), func() { s.deliver(c, next, row, at, err) })
	})
}

// deliver passes a result to the candidate as soon as it is not paused.
func (s *simulation) deliver(c *candidate, next control.LeaseStep, row external.Row, at history.Position, err error) {
	if s.now < c.paused {
		s.after(c.paused-s.now, func() { s.deliver(c, next, row, at, err) })
		return
	}
	if next.Kind == control.LeaseCommit {
		c.lease.CommitDone(c.clock(s.now), s.rng, at, err)
		return
	}
	c.lease.ReadDone(c.clock(s.now), s.rng, row, err)
}

func (s *simulation) runEvents() {
	due := s.events
	s.events = nil
	for _, e := range due {
		if e.at > s.now {
			s.events = append(s.events, e)
			continue
		}
		e.run()
	}
}

// advance moves the time by one step and lets every candidate act once.
func (s *simulation) advance() {
	s.now += step
	s.runEvents()
	for _, c := range s.candidates {
		if s.now < c.paused {
			continue
		}
		if s.rng.IntN(1000) == 0 {
			c.paused = s.now + time.Duration(s.rng.Int64N(int64(8*time.Second)))
			continue
		}
		if s.rng.IntN(1000) == 0 {
			c.cutOff = s.now + time.Duration(s.rng.Int64N(int64(8*time.Second)))
		}
		clock := c.clock(s.now)
		if next := c.lease.Next(clock, s.rng, true); next.Kind != control.LeaseIdle {
			s.call(c, next)
		}
		s.record(c, clock)
	}
}

// record adds the command that a candidate may send now. It counts commands to
// upstreams that ignore tokens and whose timeout ends after the lease.
func (s *simulation) record(c *candidate, clock time.Duration) {
	token, until, ok := c.lease.Held(clock)
	if !ok {
		return
	}
	timeout := control.DefaultLeaseConfig().CommandTimeout
	if c.lease.MaySend(clock, false) && clock+timeout > until {
		s.uncovered++
	}
	end := s.now + time.Duration(float64(timeout)/c.speed)
	s.commands = append(s.commands, commandWindow{token, c, s.now, end})
}

// TestLeaseExcludes guards against commands of two leaders in flight at the same
// time, commands that outlive the lease, and a token that does not increase, with
// pauses, late calls, lost answers and clocks that differ.
func TestLeaseExcludes(t *testing.T) {
	for seed := range int64(40) {
		s := newSimulation(seed, 3)
		for s.now < 3*time.Minute {
			s.advance()
		}
		takeovers, err := s.check()
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		if takeovers == 0 {
			t.Errorf("seed %d: no takeover in 3 minutes, so the run does not test exclusion", seed)
		}
	}
}

// check returns an error if commands of two holders were in flight at the same time,
// if a token decreased or had two holders, or if a command may outlive the lease.
func (s *simulation) check() (takeovers int, err error) {
	for i := 1; i < len(s.commands); i++ {
		before, command := s.commands[i-1], s.commands[i]
		switch {
		case command.token < before.token:
			return 0, errors.Newf("token %d after %d at %v", command.token, before.token, command.from)
		case command.token == before.token && command.holder != before.holder:
			return 0, errors.Newf("token %d has two holders at %v", command.token, command.from)
		case command.token == before.token:
			continue
		case command.from < before.to:
			return 0, errors.Newf("command with token %d at %v overlaps one with token %d until %v", command.token, command.from, before.token, before.to)
		}
		takeovers++
	}
	if s.uncovered > 0 {
		return 0, errors.Newf("%d commands outlive the lease", s.uncovered)
	}
	return takeovers, nil
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
	l.CommitDone(time.Second, rng, history.Position{Version: version}, err)
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

// TestTakeoverWait guards against a takeover without the margin for clocks that
// run at different rates.
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

// TestInvalidRow guards against a takeover from a row that another writer has spoiled while commands of its holder are in flight, or with a token that was in use, and against no leader for good.
func TestInvalidRow(t *testing.T) {
	for _, spoiled := range []string{"{", `{"holder":"b","token":18446744073709551615}`, `{"holder":7}`, ""} {
		rng := rand.New(rand.NewPCG(1, 0))
		cfg := control.DefaultLeaseConfig()
		l := control.NewLease(cfg, "a")
		l.Next(0, rng, true)
		valid, _ := json.Marshal(control.LeaseRow{Holder: "b", Token: 7})
		l.ReadDone(0, rng, external.Row{Key: control.LeaseKey, Version: 7, Value: valid}, nil)
		row := external.Row{Key: control.LeaseKey, Version: 9, Value: []byte(spoiled)}
		l.Next(time.Second, rng, true)
		l.ReadDone(time.Second, rng, row, nil)
		if l.Err() == nil {
			t.Fatalf("%q: no error", spoiled)
		}
		due := time.Second + cfg.TTL + cfg.CommandTimeout + cfg.MaxClockDrift
		if s := l.Next(due-1, rng, true); s.Kind == control.LeaseCommit {
			t.Errorf("%q: takeover before the wait was over", spoiled)
		}
		l.ReadDone(due-1, rng, row, nil)
		if s := l.Next(due, rng, true); s.Kind != control.LeaseCommit {
			t.Fatalf("%q: step %v when the wait is over, want a commit", spoiled, s.Kind)
		}
		l.CommitDone(due, rng, history.Position{Version: 10}, nil)
		if token, _, ok := l.Held(due); !ok || token < 9 || l.Err() != nil {
			t.Errorf("%q: held %v with token %d, error %v; want one above those of earlier versions", spoiled, ok, token, l.Err())
		}
	}
}

// TestRelease guards against a planned shutdown that leaves upstreams without a
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
	l.CommitDone(0, rng, history.Position{Version: 4}, nil)
	if token, _, ok := l.Held(0); !ok || token != 6 {
		t.Errorf("token %d, held %v, want 6", token, ok)
	}
}

// TestReleaseWithoutAnswerEndsTheLease guards against a holder that acts on after its release has taken effect, because the answer was lost, late or an error, and against a late release that ends a lease which was renewed.
func TestReleaseWithoutAnswerEndsTheLease(t *testing.T) {
	for name, err := range map[string]error{"no answer yet": nil, "unknown": external.ErrOutcomeUnknown, "not done": external.ErrUnavailable, "conflict": external.ErrConflict} {
		rng := rand.New(rand.NewPCG(1, 0))
		l := control.NewLease(control.DefaultLeaseConfig(), "a")
		l.Next(0, rng, true)
		l.ReadDone(0, rng, external.Row{Key: control.LeaseKey}, nil)
		l.Next(0, rng, true)
		l.CommitDone(0, rng, history.Position{Version: 4}, nil)
		if _, _, ok := l.Held(0); !ok {
			t.Fatal("not held")
		}
		if s := l.Release(0, rng); s.Kind != control.LeaseCommit {
			t.Fatalf("%s: step %v, want a commit", name, s.Kind)
		}
		if err != nil {
			l.CommitDone(time.Millisecond, rng, history.Position{}, err)
		}
		if _, _, ok := l.Held(2 * time.Millisecond); ok || l.MaySend(2*time.Millisecond, true) || !l.Releasing(2*time.Millisecond) {
			t.Errorf("%s: held after the release was sent", name)
		}
		if err == nil {
			continue
		}
		now := time.Second + time.Millisecond
		for s := l.Next(now, rng, true); s.Kind != control.LeaseCommit; s = l.Next(now, rng, true) {
			if s.Kind != control.LeaseRead {
				t.Fatalf("%s: step %v, want a read or a renewal", name, s.Kind)
			}
			own, _ := json.Marshal(control.LeaseRow{Holder: "a", Token: 1})
			l.ReadDone(now, rng, external.Row{Key: control.LeaseKey, Version: 4, Value: own}, nil)
			if _, _, ok := l.Held(now); ok {
				t.Errorf("%s: held by a row from before the release, which may still take effect", name)
			}
		}
		l.CommitDone(now, rng, history.Position{Version: 5}, nil)
		if _, _, ok := l.Held(now); !ok {
			t.Errorf("%s: not held after a renewal, which makes a late release fail", name)
		}
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

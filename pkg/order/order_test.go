package order

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"github.com/fescuestep/fescuestep/pkg/chain"
	"github.com/fescuestep/fescuestep/pkg/code"
	"github.com/fescuestep/fescuestep/pkg/external"
)

// TestMain fixes the seed unless the command line gives one.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("20261204")
		_ = flag.Set("rapid.checks", "2500")
		_ = flag.Set("rapid.steps", "120") // several faults in one order need long runs
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// world simulates table, object store, order server and clock around calls
// whose steps interleave in any order.
type world struct {
	t       *rapid.T
	now     time.Time
	rows    map[string]external.Row
	version uint64
	objects map[string][]byte
	late    []Action // commits that may still take effect
	calls   []*simCall
	jobs    []*Cleanup
	ran     map[string][]int // executions per key, by call
	time    int64            // logical time of the history
	history []porcupine.Operation
	down    bool // table and object store are in an outage
}

type simCall struct {
	*Call
	id    int
	key   string
	body  int
	next  Action
	lost  *Outcome // of an execution that has not been reported yet
	start int64
	ended bool
	sends int
}

var errLost = errors.Mark(errors.New("lost"), external.ErrOutcomeUnknown)

const margin = time.Minute

func newWorld(t *rapid.T) *world {
	return &world{t: t, now: time.Unix(1e9, 0), rows: map[string]external.Row{}, objects: map[string][]byte{}, ran: map[string][]int{}}
}

func (w *world) tick() int64 { w.time++; return w.time }

func (w *world) request() {
	c := &simCall{id: len(w.calls) + 1, key: rapid.SampledFrom([]string{"a", "b"}).Draw(w.t, "key"), body: rapid.IntRange(1, 2).Draw(w.t, "body")}
	q := Request{KeySpace: "s", Key: c.key, Timeout: 10 * time.Second, Fingerprint: Fingerprint{byte(c.body)}}
	limits := DefaultLimits()
	limits.MaxInlineBody = 10 // answers of calls with an even number are larger
	c.Call = NewCall(q, fmt.Sprint("token", c.id), "owner", limits)
	c.start = w.tick()
	c.next = c.Start(w.now)
	w.calls = append(w.calls, c)
}

func (w *world) apply(a Action) (uint64, error) {
	if w.rows[a.Condition.Key].Version != a.Condition.Version {
		return 0, external.ErrConflict
	}
	w.version++
	if a.Write.Delete {
		delete(w.rows, a.Write.Key)
		return w.version, nil
	}
	w.rows[a.Write.Key] = external.Row{Key: a.Write.Key, Value: a.Write.Value, Version: w.version}
	return w.version, nil
}

// commit applies a commit with a drawn fault.
func (w *world) commit(a Action) (uint64, error) {
	if w.down {
		return 0, external.ErrUnavailable
	}
	switch rapid.SampledFrom([]string{"ok", "ok", "ok", "down", "answer lost", "late", "never"}).Draw(w.t, "commit") {
	case "down":
		return 0, external.ErrUnavailable
	case "answer lost":
		_, _ = w.apply(a)
		return 0, errLost
	case "late":
		w.late = append(w.late, a)
		return 0, errLost
	case "never":
		return 0, errLost
	}
	return w.apply(a)
}

func (w *world) fails(what string) error {
	if w.down || rapid.IntRange(0, 4).Draw(w.t, what) == 0 {
		return external.ErrUnavailable
	}
	return nil
}

func (w *world) step(c *simCall) {
	a := c.next
	switch a.Kind {
	case ActionCommit:
		version, err := w.commit(a)
		c.next = c.Committed(w.now, version, err)
	case ActionRead:
		c.next = c.Loaded(w.now, w.rows[c.RowKey()], w.fails("read"))
	case ActionWait:
		w.now = w.now.Add(a.Delay)
		c.next = c.Waited(w.now)
	case ActionSend:
		w.send(c)
	case ActionStore:
		err := w.fails("store")
		if err == nil {
			w.objects[a.ObjectKey] = a.Data
		}
		c.next = c.Stored(w.now, err)
	case ActionFetch:
		c.next = c.Fetched(w.now, w.objects[a.ObjectKey], w.fails("fetch"))
	case ActionFinish:
		w.finish(c)
	}
}

// send takes two steps, so that a crash can come between execution and report.
func (w *world) send(c *simCall) {
	if c.lost != nil {
		o := *c.lost
		c.lost = nil
		c.next = c.Sent(w.now, o)
		return
	}
	if o, late := c.next.DeadlinePassed(w.now); late {
		c.lost = &o
		return
	}
	c.sends++
	body := []byte(fmt.Sprintf("%0*d", 4+c.id%2*16, c.id))
	unknown := Outcome{Err: code.New(code.UpstreamFailed, "cut")}
	switch rapid.SampledFrom([]string{"answer", "answer", "answer cut", "refused", "lost"}).Draw(w.t, "send") {
	case "answer":
		w.ran[c.key] = append(w.ran[c.key], c.id)
		c.lost = &Outcome{Response: &chain.Response{Status: 200, Body: body}}
	case "answer cut":
		w.ran[c.key] = append(w.ran[c.key], c.id)
		c.lost = &unknown
	case "refused":
		c.lost = &Outcome{NotSent: true, Err: code.New(code.UpstreamUnreachable, "refused")}
	case "lost":
		c.lost = &unknown
	}
}

type input struct {
	call int
	key  string
	body int
}

// output is the call whose answer was given, or 0 and the run state.
type output struct {
	answer int
	run    code.RunState
}

func (w *world) finish(c *simCall) {
	c.ended = true
	if c.next.Cleanup != nil {
		w.jobs = append(w.jobs, c.next.Cleanup)
	}
	out := output{}
	if r := c.next.Response; r != nil {
		_, _ = fmt.Sscanf(string(r.Body), "%d", &out.answer)
	} else {
		out.run = c.next.Err.Run
	}
	if out.run == code.NotRun && slices.Contains(w.ran[c.key], c.id) {
		w.t.Fatalf("call %d ran and was told %v", c.id, c.next.Err)
	}
	w.record(c, out)
}

func (w *world) record(c *simCall, out output) {
	w.history = append(w.history, porcupine.Operation{
		ClientId: c.id, Input: input{c.id, c.key, c.body}, Call: c.start, Output: out, Return: w.tick(),
	})
}

func (w *world) crash(c *simCall) {
	c.ended = true
	w.record(c, output{run: code.MayHaveRun})
}

func (w *world) clean(i int) {
	job := w.jobs[i]
	w.jobs = append(w.jobs[:i], w.jobs[i+1:]...)
	cond, write, done := job.Next(w.rows[job.RowKey])
	if done {
		return
	}
	if _, err := w.commit(Action{Condition: cond, Write: write}); err != nil {
		w.jobs = append(w.jobs, job)
	}
}

// resolve lets the operator state the truth about an unresolved order.
func (w *world) resolve(key string) {
	row := w.rows[Request{KeySpace: "s", Key: key}.RowKey()]
	if row.Version == 0 {
		return
	}
	rec, err := Decode(row.Value)
	if err != nil {
		w.t.Fatal(err)
	}
	rec, err = Resolve(rec, len(w.ran[key]) > 0, "op", "", w.now, margin)
	if err != nil {
		return
	}
	_, _ = w.apply(Action{Condition: external.Condition{Key: row.Key, Version: row.Version}, Write: external.Write{Key: row.Key, Value: rec.Encode()}})
}

func (w *world) live() []*simCall {
	var live []*simCall
	for _, c := range w.calls {
		if !c.ended {
			live = append(live, c)
		}
	}
	return live
}

func (w *world) check(*rapid.T) {
	for key, by := range w.ran {
		if len(by) > 1 {
			w.t.Fatalf("order %s ran %d times, for calls %v", key, len(by), by)
		}
	}
	for _, c := range w.calls {
		if c.sends > 1 {
			w.t.Fatalf("call %d was sent %d times", c.id, c.sends)
		}
	}
}

func (w *world) actions() map[string]func(*rapid.T) {
	step := func(t *rapid.T) {
		if live := w.live(); len(live) > 0 {
			w.step(live[rapid.IntRange(0, len(live)-1).Draw(t, "call")])
		}
	}
	return map[string]func(*rapid.T){
		"":        w.check,
		"request": func(*rapid.T) { w.request() },
		"step 1":  step, "step 2": step, "step 3": step, "step 4": step, "step 5": step, // steps are the most frequent
		"crash": func(t *rapid.T) {
			if live := w.live(); len(live) > 0 && rapid.IntRange(0, 3).Draw(t, "really") == 0 {
				w.crash(live[rapid.IntRange(0, len(live)-1).Draw(t, "call")])
			}
		},
		"late commit": func(t *rapid.T) {
			if len(w.late) > 0 {
				i := rapid.IntRange(0, len(w.late)-1).Draw(t, "commit")
				_, _ = w.apply(w.late[i])
				w.late = append(w.late[:i:i], w.late[i+1:]...)
			}
		},
		"clean": func(t *rapid.T) {
			if len(w.jobs) > 0 {
				w.clean(rapid.IntRange(0, len(w.jobs)-1).Draw(t, "job"))
			}
		},
		"time": func(t *rapid.T) {
			w.now = w.now.Add(rapid.SampledFrom([]time.Duration{time.Millisecond, 6 * time.Second, 2 * time.Minute}).Draw(t, "by"))
		},
		"outage":  func(*rapid.T) { w.down = !w.down },
		"resolve": func(t *rapid.T) { w.resolve(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key")) },
	}
}

// TestFaults guards against an order that runs twice, against a false "not
// run" and against an answer that belongs to no execution, under any
// interleaving of calls, crashes, pauses, table and upstream faults.
func TestFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(w.actions())
		w.down = false
		for _, c := range w.live() {
			for range 1000 {
				if c.ended {
					break
				}
				w.step(c)
			}
			if !c.ended {
				t.Fatalf("call %d does not end", c.id)
			}
		}
		w.check(t)
		if !porcupine.CheckOperations(Model().ToModel(), w.history) {
			t.Fatalf("history is not linearizable: %+v", w.history)
		}
	})
}

// TestLateClaim guards against an order that is sent under an old claim of its
// own, which took effect late and which an operator may have resolved. Found by
// TestFaults with seed 12 after 8,709 runs.
func TestLateClaim(t *testing.T) {
	now := time.Unix(1e9, 0)
	c := NewCall(Request{KeySpace: "s", Key: "k", Timeout: 10 * time.Second}, "token", "owner", DefaultLimits())
	first := c.Start(now)
	c.Committed(now, 0, errLost)
	now = now.Add(2 * time.Minute)
	c.Loaded(now, external.Row{}, nil) // claims again
	c.Committed(now, 0, external.ErrConflict)
	a := c.Loaded(now, external.Row{Version: 1, Value: first.Write.Value}, nil)
	if a.Kind != ActionCommit || !a.Write.Delete {
		t.Errorf("got %+v, want the claim released", a)
	}
}

// ranBy is the state of one order: the call that ran it and its body.
type ranBy struct{ call, body int }

// Model is an order that runs at most once: an answer is that of the one
// execution, and a call that may have run is the execution or is none.
func Model() *porcupine.NondeterministicModel {
	return &porcupine.NondeterministicModel{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			byKey := map[string][]porcupine.Operation{}
			for _, op := range history {
				key := op.Input.(input).key
				byKey[key] = append(byKey[key], op)
			}
			var parts [][]porcupine.Operation
			for _, part := range byKey {
				parts = append(parts, part)
			}
			return parts
		},
		Init: func() []any { return []any{ranBy{}} },
		Step: func(state, in, out any) []any {
			s, i, o := state.(ranBy), in.(input), out.(output)
			self := ranBy{i.call, i.body}
			switch {
			case o.answer == i.call && s.call == 0:
				return []any{self}
			case o.answer != 0 && (s.call != o.answer || s.body != i.body):
				return nil
			case o.answer == 0 && o.run != code.NotRun && s.call == 0:
				return []any{s, self}
			}
			return []any{s}
		},
	}
}

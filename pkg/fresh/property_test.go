package fresh_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/fresh"
	"github.com/fescuestep/fescuestep/pkg/member"
)

// Small periods keep the interesting interleavings likely. The margin is 2.5%
// of the window, as in production; clocks drift by up to 1%.
var params = fresh.Params{Window: 2000, Margin: 50}

// instance is one router process in the model.
type instance struct {
	id      string
	starts  int
	rate    float64 // speed of its clock
	tracker *fresh.Tracker
	queries []query
	poll    *fresh.Poll
}

// query is an answer on its way to the instance that asked at sent.
type query struct {
	apply func()
}

// world drives trackers, polls and acceptances with an adversarial network,
// table and scheduler.
type world struct {
	t         *rapid.T
	now       float64
	members   []config.Membership // by revision
	accepted  uint64
	instances []*instance
	a         *fresh.Acceptance
	acks      []func() // sent acknowledgements, delivered any number of times
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t}
	var m config.Membership
	for i := range rapid.IntRange(2, 4).Draw(t, "instances") {
		x := &instance{id: fmt.Sprint("r", i), rate: rapid.Float64Range(0.99, 1.01).Draw(t, "clock")}
		w.instances = append(w.instances, x)
		m.Members = append(m.Members, config.Member{ID: x.id, Incarnation: x.incarnation()})
	}
	w.members = []config.Membership{m}
	for _, x := range w.instances {
		x.tracker = fresh.NewTracker(params)
		w.hold(x, 0)
	}
	return w
}

func (x *instance) incarnation() string { return fmt.Sprint(x.starts) }

// clock returns the instance's own reading of the time.
func (w *world) clock(x *instance) time.Duration { return time.Duration(w.now*x.rate) + 10_000 }

func (w *world) head() uint64 { return uint64(len(w.members) - 1) }

func (w *world) isMember(x *instance, revision uint64) bool {
	_, ok := member.Find(w.members[revision], x.id, x.incarnation())
	return ok
}

func (w *world) hold(x *instance, revision uint64) {
	before := x.tracker.Revision()
	if x.tracker.HasState() && revision < before {
		return
	}
	x.tracker.SetRevision(revision, w.isMember(x, revision))
}

func (w *world) pick(label string) *instance {
	return w.instances[rapid.IntRange(0, len(w.instances)-1).Draw(w.t, label)]
}

func (w *world) check(*rapid.T) {
	for _, x := range w.instances {
		if x.tracker.Fresh(w.clock(x)) && x.tracker.Revision() < w.accepted {
			w.t.Fatalf("%s is fresh with revision %d while %d is accepted", x.id, x.tracker.Revision(), w.accepted)
		}
	}
}

func (w *world) tick(t *rapid.T) {
	w.now += float64(rapid.SampledFrom([]int{1, 30, 500, 900, 1950}).Draw(t, "pass"))
}

// later queues the effect of an answer; it is lost if the instance restarts.
func (x *instance) later(f func()) { x.queries = append(x.queries, query{f}) }

func (w *world) readTable(*rapid.T) {
	x, revision := w.pick("reader"), w.head()
	sent := w.clock(x)
	x.later(func() {
		x.tracker.RecordHead(sent, revision)
		w.hold(x, revision)
	})
}

func (w *world) sync(*rapid.T) {
	x, y := w.pick("asker"), w.pick("speaker")
	if x != y && y.tracker.HasState() {
		w.exchange(x, y)
	}
}

func (w *world) exchange(x, y *instance) {
	sent := w.clock(x)
	toMember := x.tracker.IsMember() && w.isMember(x, y.tracker.Revision())
	s := y.tracker.StatementFor(w.clock(y), toMember)
	x.later(func() {
		if s.Member && s.Fresh {
			x.tracker.RecordRelayed(sent, s.Age, s.Revision)
		}
		w.hold(x, s.Revision)
	})
}

func (w *world) startPoll(*rapid.T) {
	x := w.pick("asker")
	if !x.tracker.HasState() {
		return
	}
	x.poll = w.newPoll(x)
}

func (w *world) newPoll(x *instance) *fresh.Poll {
	revision := x.tracker.Revision()
	poll := fresh.NewPoll(w.clock(x), revision, w.members[revision])
	if x.tracker.IsMember() {
		poll.RecordAnswer(x.id, x.incarnation(), fresh.Statement{Revision: revision, Member: true})
	}
	return poll
}

func (w *world) vote(*rapid.T) {
	x, y := w.pick("asker"), w.pick("voter")
	if x.poll == nil || x == y {
		return
	}
	toMember := x.tracker.IsMember() && w.isMember(x, y.tracker.Revision())
	s, poll, incarnation := y.tracker.StatementFor(w.clock(y), toMember), x.poll, y.incarnation()
	x.later(func() {
		poll.RecordAnswer(y.id, incarnation, s)
		if poll.HasMajority() {
			x.tracker.RecordMajority(poll.Sent, poll.Revision)
		}
	})
}

func (w *world) deliver(t *rapid.T) {
	x := w.pick("receiver")
	if len(x.queries) == 0 {
		return
	}
	i := rapid.IntRange(0, len(x.queries)-1).Draw(t, "answer")
	q := x.queries[i]
	if !rapid.Bool().Draw(t, "again") {
		x.queries = append(x.queries[:i:i], x.queries[i+1:]...)
	}
	q.apply()
}

func (w *world) acknowledge(*rapid.T) {
	x := w.pick("member")
	if !x.tracker.HasState() {
		return
	}
	id, incarnation := x.id, x.incarnation()
	revision, clear := x.tracker.Revision(), x.tracker.GrantsExpired(w.clock(x))
	w.acks = append(w.acks, func() {
		if w.a != nil {
			w.a.RecordAcknowledgement(w.acceptorClock(), id, incarnation, revision, clear)
		}
	})
}

// acceptorClock is the clock of the first instance; the acceptance itself
// survives its crashes, which only makes it quicker.
func (w *world) acceptorClock() time.Duration { return w.clock(w.instances[0]) }

func (w *world) deliverAck(t *rapid.T) {
	if len(w.acks) > 0 {
		w.acks[rapid.IntRange(0, len(w.acks)-1).Draw(t, "ack")]()
	}
}

func (w *world) accept(*rapid.T) {
	if w.a == nil {
		if w.head() > w.accepted {
			w.a = fresh.NewAcceptance(params, w.head(), w.members[w.accepted:])
		}
		return
	}
	if w.a.Accepted(w.acceptorClock()) {
		w.accepted = max(w.accepted, w.a.Revision())
		w.a = nil
	}
}

// change commits a configuration change; without bound most runs would be
// nothing but changes that nobody follows.
func (w *world) change(*rapid.T) {
	if w.head() < w.accepted+2 {
		w.members = append(w.members, w.members[w.head()])
	}
}

func (w *world) join(*rapid.T) {
	x := w.pick("joiner")
	if !x.tracker.HasState() {
		return
	}
	b := member.Batch{Joins: []config.Member{{ID: x.id, Incarnation: x.incarnation()}}}
	if m, changed := b.Apply(w.members[w.head()]); changed {
		w.members = append(w.members, m)
	}
}

func (w *world) remove(*rapid.T) {
	m := w.members[w.head()].Members
	if len(m) < 2 {
		return
	}
	gone := m[rapid.IntRange(0, len(m)-1).Draw(w.t, "removed")]
	next, _ := member.Batch{Leaves: []member.IncarnationKey{{ID: gone.ID, Incarnation: gone.Incarnation}}}.Apply(w.members[w.head()])
	w.members = append(w.members, next)
}

func (w *world) crash(*rapid.T) {
	x := w.pick("crashed")
	x.starts++
	x.tracker = fresh.NewTracker(params)
	x.queries, x.poll = nil, nil
}

// refresh lets an instance read the table or ask another one without delay.
func (w *world) refresh(t *rapid.T) {
	x := w.pick("refreshed")
	n := len(x.queries)
	if rapid.Bool().Draw(t, "table") {
		sent, revision := w.clock(x), w.head()
		x.later(func() { x.tracker.RecordHead(sent, revision); w.hold(x, revision) })
	} else if y := w.pick("speaker"); x != y && y.tracker.HasState() {
		w.exchange(x, y)
	}
	for _, q := range x.queries[n:] {
		q.apply()
	}
	x.queries = x.queries[:n]
}

// majority lets an instance poll all others without delay.
func (w *world) majority(*rapid.T) {
	x := w.pick("poller")
	if !x.tracker.HasState() {
		return
	}
	poll := w.newPoll(x)
	for _, y := range w.instances {
		if x != y && w.rarely("silent") {
			toMember := x.tracker.IsMember() && w.isMember(x, y.tracker.Revision())
			poll.RecordAnswer(y.id, y.incarnation(), y.tracker.StatementFor(w.clock(y), toMember))
		}
	}
	if poll.HasMajority() {
		x.tracker.RecordMajority(poll.Sent, poll.Revision)
	}
}

func (w *world) rarely(label string) bool { return rapid.IntRange(0, 4).Draw(w.t, label) > 0 }

// spread lets most instances hold the head and acknowledge it at once.
func (w *world) spread(*rapid.T) {
	for _, x := range w.instances {
		if !w.rarely("left out") {
			continue
		}
		w.hold(x, w.head())
		if x.tracker.HasState() && w.a != nil {
			w.a.RecordAcknowledgement(w.acceptorClock(), x.id, x.incarnation(), w.head(), x.tracker.GrantsExpired(w.clock(x)))
		}
	}
}

// settle makes every member acknowledge the head clearly, so that it is accepted.
func (w *world) settle(*rapid.T) {
	a := fresh.NewAcceptance(params, w.head(), w.members[w.accepted:])
	for _, x := range w.instances {
		if x.tracker.HasState() {
			w.hold(x, w.head())
		}
		if x.tracker.HasState() {
			a.RecordAcknowledgement(w.acceptorClock(), x.id, x.incarnation(), w.head(), x.tracker.GrantsExpired(w.clock(x)))
		}
	}
	if a.Accepted(w.acceptorClock()) {
		w.accepted = w.head()
	}
}

// restart crashes an instance that then loads its state from another one.
func (w *world) restart(t *rapid.T) {
	w.crash(t)
	w.refresh(t)
}

// disturb does something rare.
func (w *world) disturb(t *rapid.T) {
	actions := []func(*rapid.T){w.crash, w.restart, w.join, w.remove}
	if i := rapid.IntRange(0, 7).Draw(t, "disturbance"); i < len(actions) {
		actions[i](t)
	}
}

// Guards against an authorization that is exercised after its revocation was
// accepted, with crashes, restarts without memory, pauses, lost, repeated and
// late messages, table outages, membership changes and drifting clocks. An
// outage or a pause is an action that is not drawn while time passes.
func TestFreshInstancesHoldAcceptedRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"":            w.check,
			"tick":        w.tick,
			"table":       w.readTable,
			"sync":        w.sync,
			"poll":        w.startPoll,
			"vote":        w.vote,
			"deliver":     w.deliver,
			"deliver2":    w.deliver,
			"acknowledge": w.acknowledge,
			"ack":         w.deliverAck,
			"accept":      w.accept,
			"refresh":     w.refresh,
			"refresh2":    w.refresh,
			"majority":    w.majority,
			"spread":      w.spread,
			"accept2":     w.accept,
			"settle":      w.settle,
			"change":      w.change,
			"disturb":     w.disturb,
		})
	})
}

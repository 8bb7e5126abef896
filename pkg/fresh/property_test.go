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

// params has short periods so that events often fall close to the end of a
// window. The margin is 2.5% of the window, as in production; clocks drift by up
// to 1%.
var params = fresh.Params{Window: 2000, Margin: 50}

// instance is one router process in the simulation.
type instance struct {
	id       string
	restarts int
	rate     float64 // speed of its clock relative to real time
	tracker  *fresh.Tracker
	answers  []pendingAnswer
	poll     *fresh.Poll
}

// pendingAnswer is an answer in flight; apply delivers it to the instance that
// asked.
type pendingAnswer struct {
	apply func()
}

// simulation drives trackers, polls and acceptances under an adversarial
// network, table and scheduler.
type simulation struct {
	t          *rapid.T
	now        float64
	members    []config.Membership // by revision
	accepted   uint64
	instances  []*instance
	acceptance *fresh.Acceptance
	acks       []func() // sent acknowledgements; each may be delivered any number of times
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{t: t}
	var m config.Membership
	for i := range rapid.IntRange(2, 4).Draw(t, "instances") {
		x := &instance{id: fmt.Sprint("r", i), rate: rapid.Float64Range(0.99, 1.01).Draw(t, "clock")}
		s.instances = append(s.instances, x)
		m.Members = append(m.Members, config.Member{ID: x.id, Incarnation: x.incarnation()})
	}
	s.members = []config.Membership{m}
	for _, x := range s.instances {
		x.tracker = fresh.NewTracker(params)
		s.setRevision(x, 0)
	}
	return s
}

func (x *instance) incarnation() string { return fmt.Sprint(x.restarts) }

// clock returns the reading of an instance's own clock.
func (s *simulation) clock(x *instance) time.Duration { return time.Duration(s.now*x.rate) + 10_000 }

func (s *simulation) head() uint64 { return uint64(len(s.members) - 1) }

func (s *simulation) isMember(x *instance, revision uint64) bool {
	_, ok := member.Find(s.members[revision], x.id, x.incarnation())
	return ok
}

func (s *simulation) setRevision(x *instance, revision uint64) {
	before := x.tracker.Revision()
	if x.tracker.HasState() && revision < before {
		return
	}
	x.tracker.SetRevision(revision, s.isMember(x, revision))
}

func (s *simulation) drawInstance(label string) *instance {
	return s.instances[rapid.IntRange(0, len(s.instances)-1).Draw(s.t, label)]
}

func (s *simulation) check(*rapid.T) {
	for _, x := range s.instances {
		if x.tracker.Fresh(s.clock(x)) && x.tracker.Revision() < s.accepted {
			s.t.Fatalf("%s is fresh with revision %d while %d is accepted", x.id, x.tracker.Revision(), s.accepted)
		}
	}
}

func (s *simulation) advanceTime(t *rapid.T) {
	s.now += float64(rapid.SampledFrom([]int{1, 30, 500, 900, 1950}).Draw(t, "pass"))
}

// queueAnswer queues an answer for delivery; it is lost if the instance restarts.
func (x *instance) queueAnswer(apply func()) { x.answers = append(x.answers, pendingAnswer{apply}) }

func (s *simulation) readTable(*rapid.T) {
	x, revision := s.drawInstance("reader"), s.head()
	sent := s.clock(x)
	x.queueAnswer(func() {
		x.tracker.RecordHead(sent, revision)
		s.setRevision(x, revision)
	})
}

func (s *simulation) requestStatement(*rapid.T) {
	x, y := s.drawInstance("asker"), s.drawInstance("speaker")
	if x != y && y.tracker.HasState() {
		s.exchange(x, y)
	}
}

func (s *simulation) exchange(x, y *instance) {
	sent := s.clock(x)
	toMember := x.tracker.IsMember() && s.isMember(x, y.tracker.Revision())
	statement := y.tracker.StatementFor(s.clock(y), toMember)
	x.queueAnswer(func() {
		if statement.Member && statement.Fresh {
			x.tracker.RecordRelayed(sent, statement.Age, statement.Revision)
		}
		s.setRevision(x, statement.Revision)
	})
}

func (s *simulation) startPoll(*rapid.T) {
	x := s.drawInstance("asker")
	if !x.tracker.HasState() {
		return
	}
	x.poll = s.newPoll(x)
}

func (s *simulation) newPoll(x *instance) *fresh.Poll {
	revision := x.tracker.Revision()
	poll := fresh.NewPoll(s.clock(x), revision, s.members[revision])
	if x.tracker.IsMember() {
		poll.RecordAnswer(x.id, x.incarnation(), fresh.Statement{Revision: revision, Member: true})
	}
	return poll
}

func (s *simulation) vote(*rapid.T) {
	x, y := s.drawInstance("asker"), s.drawInstance("voter")
	if x.poll == nil || x == y {
		return
	}
	toMember := x.tracker.IsMember() && s.isMember(x, y.tracker.Revision())
	statement, poll, incarnation := y.tracker.StatementFor(s.clock(y), toMember), x.poll, y.incarnation()
	x.queueAnswer(func() {
		poll.RecordAnswer(y.id, incarnation, statement)
		if poll.HasMajority() {
			x.tracker.RecordMajority(poll.Sent, poll.Revision)
		}
	})
}

func (s *simulation) deliver(t *rapid.T) {
	x := s.drawInstance("receiver")
	if len(x.answers) == 0 {
		return
	}
	i := rapid.IntRange(0, len(x.answers)-1).Draw(t, "answer")
	answer := x.answers[i]
	if !rapid.Bool().Draw(t, "again") {
		x.answers = append(x.answers[:i:i], x.answers[i+1:]...)
	}
	answer.apply()
}

func (s *simulation) acknowledge(*rapid.T) {
	x := s.drawInstance("member")
	if !x.tracker.HasState() {
		return
	}
	id, incarnation := x.id, x.incarnation()
	revision, grantsExpired := x.tracker.Revision(), x.tracker.GrantsExpired(s.clock(x))
	s.acks = append(s.acks, func() {
		if s.acceptance != nil {
			s.acceptance.RecordAcknowledgement(s.acceptorClock(), id, incarnation, revision, grantsExpired)
		}
	})
}

// acceptorClock returns the reading of the first instance's clock. The
// acceptance survives crashes of that instance, which only makes revisions
// accepted earlier than in production.
func (s *simulation) acceptorClock() time.Duration { return s.clock(s.instances[0]) }

func (s *simulation) deliverAck(t *rapid.T) {
	if len(s.acks) > 0 {
		s.acks[rapid.IntRange(0, len(s.acks)-1).Draw(t, "ack")]()
	}
}

func (s *simulation) accept(*rapid.T) {
	if s.acceptance == nil {
		if s.head() > s.accepted {
			s.acceptance = fresh.NewAcceptance(params, s.head(), s.members[s.accepted:])
		}
		return
	}
	if s.acceptance.Accepted(s.acceptorClock()) {
		s.accepted = max(s.accepted, s.acceptance.Revision())
		s.acceptance = nil
	}
}

// change commits a configuration change. The number of unaccepted revisions is
// bounded, because otherwise most runs would consist of changes that no instance
// acknowledges.
func (s *simulation) change(*rapid.T) {
	if s.head() < s.accepted+2 {
		s.members = append(s.members, s.members[s.head()])
	}
}

func (s *simulation) join(*rapid.T) {
	x := s.drawInstance("joiner")
	if !x.tracker.HasState() {
		return
	}
	b := member.Batch{Joins: []config.Member{{ID: x.id, Incarnation: x.incarnation()}}}
	if m, changed := b.Apply(s.members[s.head()]); changed {
		s.members = append(s.members, m)
	}
}

func (s *simulation) remove(*rapid.T) {
	m := s.members[s.head()].Members
	if len(m) < 2 {
		return
	}
	gone := m[rapid.IntRange(0, len(m)-1).Draw(s.t, "removed")]
	next, _ := member.Batch{Leaves: []member.IncarnationKey{{ID: gone.ID, Incarnation: gone.Incarnation}}}.Apply(s.members[s.head()])
	s.members = append(s.members, next)
}

func (s *simulation) crash(*rapid.T) {
	x := s.drawInstance("crashed")
	x.restarts++
	x.tracker = fresh.NewTracker(params)
	x.answers, x.poll = nil, nil
}

// refresh makes an instance read the table or ask another one, without delay.
func (s *simulation) refresh(t *rapid.T) {
	x := s.drawInstance("refreshed")
	n := len(x.answers)
	if rapid.Bool().Draw(t, "table") {
		sent, revision := s.clock(x), s.head()
		x.queueAnswer(func() { x.tracker.RecordHead(sent, revision); s.setRevision(x, revision) })
	} else if y := s.drawInstance("speaker"); x != y && y.tracker.HasState() {
		s.exchange(x, y)
	}
	for _, answer := range x.answers[n:] {
		answer.apply()
	}
	x.answers = x.answers[:n]
}

// pollAll makes an instance poll all others without delay; some do not answer.
func (s *simulation) pollAll(*rapid.T) {
	x := s.drawInstance("poller")
	if !x.tracker.HasState() {
		return
	}
	poll := s.newPoll(x)
	for _, y := range s.instances {
		if x != y && s.usually("silent") {
			toMember := x.tracker.IsMember() && s.isMember(x, y.tracker.Revision())
			poll.RecordAnswer(y.id, y.incarnation(), y.tracker.StatementFor(s.clock(y), toMember))
		}
	}
	if poll.HasMajority() {
		x.tracker.RecordMajority(poll.Sent, poll.Revision)
	}
}

// usually returns true in most cases.
func (s *simulation) usually(label string) bool { return rapid.IntRange(0, 4).Draw(s.t, label) > 0 }

// acknowledgeHead makes most instances hold the head and acknowledge it at once.
func (s *simulation) acknowledgeHead(*rapid.T) {
	for _, x := range s.instances {
		if !s.usually("left out") {
			continue
		}
		s.setRevision(x, s.head())
		if x.tracker.HasState() && s.acceptance != nil {
			s.acceptance.RecordAcknowledgement(s.acceptorClock(), x.id, x.incarnation(), s.head(), x.tracker.GrantsExpired(s.clock(x)))
		}
	}
}

// acceptHead makes every instance with state acknowledge the head, which accepts
// it unless a grant to a non-member is still valid.
func (s *simulation) acceptHead(*rapid.T) {
	a := fresh.NewAcceptance(params, s.head(), s.members[s.accepted:])
	for _, x := range s.instances {
		if x.tracker.HasState() {
			s.setRevision(x, s.head())
		}
		if x.tracker.HasState() {
			a.RecordAcknowledgement(s.acceptorClock(), x.id, x.incarnation(), s.head(), x.tracker.GrantsExpired(s.clock(x)))
		}
	}
	if a.Accepted(s.acceptorClock()) {
		s.accepted = s.head()
	}
}

// restart crashes an instance and refreshes one, which may be the same.
func (s *simulation) restart(t *rapid.T) {
	s.crash(t)
	s.refresh(t)
}

// disturb crashes, restarts, joins or removes an instance, or does nothing.
func (s *simulation) disturb(t *rapid.T) {
	actions := []func(*rapid.T){s.crash, s.restart, s.join, s.remove}
	if i := rapid.IntRange(0, 7).Draw(t, "disturbance"); i < len(actions) {
		actions[i](t)
	}
}

// Guards against an instance that still authorizes by a revision after a newer
// one, such as a revocation, was accepted. The simulation covers crashes,
// restarts without state, pauses, lost, repeated and late messages, table
// outages, membership changes and drifting clocks. An outage or a pause is an
// action that is not drawn while time advances.
func TestFreshInstancesHoldAcceptedRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		t.Repeat(map[string]func(*rapid.T){
			"":            s.check,
			"tick":        s.advanceTime,
			"table":       s.readTable,
			"sync":        s.requestStatement,
			"poll":        s.startPoll,
			"vote":        s.vote,
			"deliver":     s.deliver,
			"deliver2":    s.deliver,
			"acknowledge": s.acknowledge,
			"ack":         s.deliverAck,
			"accept":      s.accept,
			"refresh":     s.refresh,
			"refresh2":    s.refresh,
			"majority":    s.pollAll,
			"spread":      s.acknowledgeHead,
			"accept2":     s.accept,
			"settle":      s.acceptHead,
			"change":      s.change,
			"disturb":     s.disturb,
		})
	})
}

package quota_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fescuestep/fescuestep/internal/rapidtest"
	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/quota"
)

// TestMain fixes the seeds, so that the result is the same in every run.
func TestMain(m *testing.M) { rapidtest.Main(m, 10000, 80) }

// Quota of the customer in the property test.
const (
	rate  = 1000.0
	burst = 600.0
)

// simInstance is one instance, both as share holder and as entry instance. Its clock
// runs at its own speed.
type simInstance struct {
	id              string
	startCount      int
	clockSpeed      float64
	holder          *quota.Holder
	pool            *quota.GrantPool
	revision        uint64
	sequence        uint64
	pendingMessages []func()
	charges         []*requestCharge
}

// requestCharge is the tokens charged to one admitted request.
type requestCharge struct {
	record       *admittedTokens
	grantParts   []quota.GrantPart
	ownTokens    int
	ownChargedAt time.Duration
	holder       *quota.Holder
	spentSince   map[quota.GrantID]time.Duration
}

// admittedTokens is the tokens of one admitted request that have not been refunded.
type admittedTokens struct {
	at     float64 // ns
	tokens float64
}

// simulation is a model of several instances. It follows the rules that pkg/fresh
// guarantees: an instance acts on its revision only while it is fresh, and no
// revision is accepted while an instance is fresh with an older one.
type simulation struct {
	t                *rapid.T
	now              float64 // ns
	snapshots        []*config.Snapshot
	acceptedRevision uint64
	instances        []*simInstance
	admitted         []*admittedTokens
}

func (sim *simulation) clock(inst *simInstance) time.Duration {
	return time.Duration(sim.now*inst.clockSpeed) + time.Hour*time.Duration(1+len(inst.id))
}

func (inst *simInstance) incarnation() string { return fmt.Sprint(inst.startCount) }

func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{t: t}
	s := config.NewSnapshot()
	var m config.Membership
	for i := range rapid.IntRange(1, 4).Draw(t, "nodes") {
		inst := &simInstance{id: fmt.Sprint("r", i), clockSpeed: rapid.Float64Range(0.995, 1.005).Draw(t, "clock")}
		sim.instances = append(sim.instances, inst)
		m.Members = append(m.Members, config.Member{ID: inst.id, Incarnation: inst.incarnation()})
	}
	s.Members = m
	sim.snapshots = []*config.Snapshot{s}
	for _, inst := range sim.instances {
		sim.startInstance(inst)
	}
	sim.changeDeployment(nil)
	sim.acceptLatest(nil)
	for range 3 { // until the shares are in force and the buckets are full
		for _, inst := range sim.instances {
			sim.applySnapshots(inst, true)
			sim.acceptRevision(inst)
		}
		sim.now += 2 * float64(quota.LeaseDuration)
	}
	return sim
}

func (sim *simulation) startInstance(inst *simInstance) {
	inst.holder = quota.NewHolder(inst.id, inst.incarnation(), quota.LeaseDuration)
	inst.pool = quota.NewGrantPool(quota.LeaseDuration)
	inst.pendingMessages, inst.charges = nil, nil
	sim.applySnapshots(inst, false)
}

// applySnapshots applies the snapshots up to the newest revision at an instance, or
// only the newest one if contiguous is false.
func (sim *simulation) applySnapshots(inst *simInstance, contiguous bool) {
	from := inst.revision + 1
	if !contiguous {
		from = sim.latestRevision()
	}
	for r := from; r <= sim.latestRevision(); r++ {
		inst.holder.OnSnapshot(sim.clock(inst), sim.snapshots[r], contiguous)
	}
	inst.revision = sim.latestRevision()
}

func (sim *simulation) latestRevision() uint64 { return uint64(len(sim.snapshots) - 1) }

func (sim *simulation) acceptRevision(inst *simInstance) {
	inst.holder.OnAccepted(sim.clock(inst), min(sim.acceptedRevision, inst.revision))
}

func (sim *simulation) fresh(inst *simInstance) bool { return inst.revision >= sim.acceptedRevision }

func (sim *simulation) drawInstance(label string) *simInstance {
	return sim.instances[rapid.IntRange(0, len(sim.instances)-1).Draw(sim.t, label)]
}

func (sim *simulation) advanceTime(t *rapid.T) {
	ms := rapid.SampledFrom([]float64{0, 1, 20, 200, 500, 990, 1010}).Draw(t, "ms")
	sim.now += ms * float64(time.Millisecond)
	for _, inst := range sim.instances {
		if rapid.IntRange(0, 3).Draw(t, "paused") > 0 {
			sim.acceptRevision(inst)
		}
	}
}

// admitRequest charges one request at an instance to granted tokens, to the
// instance's own share or to both.
func (sim *simulation) admitRequest(t *rapid.T) {
	inst := sim.drawInstance("entry")
	want := rapid.SampledFrom([]int{1, 50, 300, 2000}).Draw(t, "tokens") // limited to what is available
	c := &requestCharge{holder: inst.holder, ownChargedAt: sim.clock(inst), spentSince: map[quota.GrantID]time.Duration{}}
	fromPool := min(want, inst.pool.Total(sim.clock(inst)))
	c.grantParts, _ = inst.pool.Take(sim.clock(inst), fromPool, nil)
	if rest := want - fromPool; rest > 0 && sim.fresh(inst) {
		c.ownTokens = inst.holder.Charge(sim.clock(inst), "guild", rest)
	}
	c.record = &admittedTokens{sim.now, float64(fromPool + c.ownTokens)}
	if c.record.tokens > 0 {
		sim.admitted = append(sim.admitted, c.record)
		inst.charges = append(inst.charges, c)
	}
}

// requestGrant requests tokens from a holder. The grant arrives later, repeatedly or
// never.
func (sim *simulation) requestGrant(t *rapid.T) {
	inst, h := sim.drawInstance("entry"), sim.drawInstance("holder")
	if inst == h || !sim.fresh(h) {
		return
	}
	sent := sim.clock(inst)
	g := h.holder.IssueGrant(sim.clock(h), "guild", rapid.SampledFrom([]int{10, 100, 1000}).Draw(t, "tokens"))
	part := quota.GrantPart{Tokens: g.Tokens, GrantID: quota.GrantID{
		Holder: h.id, Incarnation: h.incarnation(), Number: g.Number, GrantedAt: g.GrantedAt}}
	inst.pendingMessages = append(inst.pendingMessages, func() { inst.pool.Add(sim.clock(inst), sent, part) })
}

// settleRequest ends a request and returns its unused tokens.
func (sim *simulation) settleRequest(t *rapid.T) {
	inst := sim.drawInstance("entry")
	if len(inst.charges) == 0 {
		return
	}
	i := rapid.IntRange(0, len(inst.charges)-1).Draw(t, "charge")
	c := inst.charges[i]
	inst.charges = append(inst.charges[:i:i], inst.charges[i+1:]...)
	unused := int(c.record.tokens) * rapid.IntRange(0, 2).Draw(t, "unused") / 2
	c.record.tokens -= float64(unused)
	own := min(unused, c.ownTokens)
	c.holder.Refund(sim.clock(inst), "guild", own, c.ownChargedAt)
	unused -= own
	for _, p := range c.grantParts {
		returned := min(unused, p.Tokens)
		unused -= returned
		s := quota.Settlement{Customer: "guild", GrantNumber: p.Number, GrantedAt: p.GrantedAt, Unused: returned}
		if since, ok := c.spentSince[p.GrantID]; ok {
			s.SpentSince = since
		} else {
			s.Spent = p.Tokens - returned
		}
		sim.sendSettlement(inst, p.GrantID, s, nil)
	}
}

// reportSpent tells the holders that the granted tokens of running requests are
// spent.
func (sim *simulation) reportSpent(*rapid.T) {
	inst := sim.drawInstance("entry")
	for _, c := range inst.charges {
		for _, p := range c.grantParts {
			if _, ok := c.spentSince[p.GrantID]; ok {
				continue
			}
			c.spentSince[p.GrantID] = p.SpentSince(0, quota.LeaseDuration)
			s := quota.Settlement{Customer: "guild", GrantNumber: p.Number, GrantedAt: p.GrantedAt, Spent: p.Tokens}
			sim.sendSettlement(inst, p.GrantID, s, func(at time.Duration) { c.spentSince[p.GrantID] = p.SpentSince(at, quota.LeaseDuration) })
		}
	}
}

// returnUnspent returns unspent grants.
func (sim *simulation) returnUnspent(*rapid.T) {
	inst := sim.drawInstance("entry")
	for _, p := range inst.pool.Release(sim.clock(inst), 0, 0, nil) {
		sim.sendSettlement(inst, p.GrantID, quota.Settlement{Customer: "guild", GrantNumber: p.Number, GrantedAt: p.GrantedAt, Unused: p.Tokens}, nil)
	}
}

// sendSettlement sends a settlement to a holder. It may arrive late, repeatedly or
// never, and so may the answer with the time at which it was processed.
func (sim *simulation) sendSettlement(from *simInstance, to quota.GrantID, s quota.Settlement, answer func(time.Duration)) {
	from.sequence++
	sequence, incarnation := from.sequence, from.incarnation()
	for _, h := range sim.instances {
		if h.id != to.Holder {
			continue
		}
		h.pendingMessages = append(h.pendingMessages, func() {
			if h.incarnation() != to.Incarnation {
				return
			}
			at := sim.clock(h)
			if h.holder.HandleSettlements(at, from.id, incarnation, sequence, []quota.Settlement{s}) && answer != nil {
				answer(at)
			}
		})
	}
}

func (sim *simulation) deliverMessage(t *rapid.T) {
	inst := sim.drawInstance("receiver")
	if len(inst.pendingMessages) == 0 {
		return
	}
	i := rapid.IntRange(0, len(inst.pendingMessages)-1).Draw(t, "message")
	m := inst.pendingMessages[i]
	if rapid.IntRange(0, 3).Draw(t, "again") > 0 {
		inst.pendingMessages = append(inst.pendingMessages[:i:i], inst.pendingMessages[i+1:]...)
	}
	m()
}

// crash restarts an instance without its state. What it had charged to requests
// stays counted as admitted.
func (sim *simulation) crash(*rapid.T) {
	inst := sim.drawInstance("crashed")
	inst.startCount++
	sim.startInstance(inst)
}

// changeDeployment commits a configuration that contains the customer.
func (sim *simulation) changeDeployment(*rapid.T) {
	d := &config.Deployment{Name: "ucab", Customers: []config.Customer{{ID: "guild", RatePerSecond: rate, Burst: burst}}}
	sim.commitChange(config.Change{Deployment: d})
}

// changeMembership commits a membership of randomly chosen instances.
func (sim *simulation) changeMembership(t *rapid.T) {
	var m config.Membership
	for _, inst := range sim.instances {
		if rapid.IntRange(0, 3).Draw(t, "member") > 0 {
			m.Members = append(m.Members, config.Member{ID: inst.id, Incarnation: inst.incarnation()})
		}
	}
	sim.commitChange(config.Change{Members: &m})
}

// toggleCustomer commits a configuration without the customer, or one with it if it
// was removed.
func (sim *simulation) toggleCustomer(*rapid.T) {
	if sim.snapshots[sim.latestRevision()].Customer("guild") == nil {
		sim.changeDeployment(nil)
		return
	}
	sim.commitChange(config.Change{Deployment: &config.Deployment{Name: "ucab"}})
}

func (sim *simulation) commitChange(c config.Change) {
	c.Revision = sim.latestRevision() + 1
	s, err := sim.snapshots[sim.latestRevision()].Apply(c)
	if err != nil {
		sim.t.Fatal(err)
	}
	sim.snapshots = append(sim.snapshots, s)
	if sim.t != nil {
		for _, inst := range sim.instances {
			if rapid.Bool().Draw(sim.t, "learns") {
				sim.applySnapshots(inst, true)
			}
		}
	}
}

func (sim *simulation) applyAtOne(*rapid.T) { sim.applySnapshots(sim.drawInstance("learner"), true) }

// acceptLatest accepts the newest revision; instances that do not hold it are no
// longer fresh.
func (sim *simulation) acceptLatest(*rapid.T) { sim.acceptedRevision = sim.latestRevision() }

// injectRareEvent crashes an instance or commits a change in 5 of 13 calls.
func (sim *simulation) injectRareEvent(t *rapid.T) {
	actions := []func(*rapid.T){sim.crash, sim.changeMembership, sim.changeMembership, sim.toggleCustomer, sim.changeDeployment}
	if i := rapid.IntRange(0, 12).Draw(t, "disturbance"); i < len(actions) {
		actions[i](t)
	}
}

// checkNoOvershoot charges all admitted tokens to one bucket that has the whole quota
// and fails if its level becomes negative.
func (sim *simulation) checkNoOvershoot(*rapid.T) {
	level, last := burst, 0.0
	for _, a := range sim.admitted {
		level = min(burst, level+rate*1.005*(a.at-last)/1e9)
		last = a.at
		level -= a.tokens
		if level < -1e-3 {
			sim.t.Fatalf("%.3f tokens more admitted than rate and burst allow", -level)
		}
	}
}

// Guards against admitting more than a customer's rate and burst allow in the
// presence of crashes, pauses, late, lost and repeated messages, refunds, changes of
// membership and configuration, and clock drift. The rate is checked at the speed of
// the fastest clock.
func TestNoOvershoot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		t.Repeat(map[string]func(*rapid.T){
			"":         sim.checkNoOvershoot,
			"tick":     sim.advanceTime,
			"tick2":    sim.advanceTime,
			"request":  sim.admitRequest,
			"request2": sim.admitRequest,
			"acquire":  sim.requestGrant,
			"acquire2": sim.requestGrant,
			"deliver":  sim.deliverMessage,
			"deliver2": sim.deliverMessage,
			"deliver3": sim.deliverMessage,
			"settle":   sim.settleRequest,
			"report":   sim.reportSpent,
			"giveup":   sim.returnUnspent,
			"disturb":  sim.injectRareEvent,
			"learn":    sim.applyAtOne,
			"accept":   sim.acceptLatest,
		})
	})
}

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

// TestMain keeps the verdict the same in every run.
func TestMain(m *testing.M) { rapidtest.Main(m, 10000, 80) }

// Quota of the customer in the property test.
const (
	rate  = 1000.0
	burst = 600.0
)

// simInstance is one instance as holder and as entry. Its clock runs at its own speed.
type simInstance struct {
	id       string
	starts   int
	speed    float64
	holder   *quota.Holder
	stock    *quota.GrantPool
	revision uint64
	sequence uint64
	messages []func()
	charges  []*charge
}

// charge is one admitted request.
type charge struct {
	entry  *admitted
	parts  []quota.GrantPart
	own    int
	ownAt  time.Duration
	holder *quota.Holder
	since  map[quota.GrantID]time.Duration
}

type admitted struct {
	at     float64
	tokens float64
}

// simulation follows the rules that pkg/fresh guarantees: an instance acts on its
// revision only while it is fresh, and no revision is accepted while an
// instance is fresh with an older one.
type simulation struct {
	t         *rapid.T
	now       float64 // ns
	snapshots []*config.Snapshot
	accepted  uint64
	nodes     []*simInstance
	log       []*admitted
}

func (w *simulation) clock(n *simInstance) time.Duration {
	return time.Duration(w.now*n.speed) + time.Hour*time.Duration(1+len(n.id))
}

func (n *simInstance) incarnation() string { return fmt.Sprint(n.starts) }

func newWorld(t *rapid.T) *simulation {
	w := &simulation{t: t}
	s := config.NewSnapshot()
	var m config.Membership
	for i := range rapid.IntRange(1, 4).Draw(t, "nodes") {
		n := &simInstance{id: fmt.Sprint("r", i), speed: rapid.Float64Range(0.995, 1.005).Draw(t, "clock")}
		w.nodes = append(w.nodes, n)
		m.Members = append(m.Members, config.Member{ID: n.id, Incarnation: n.incarnation()})
	}
	s.Members = m
	w.snapshots = []*config.Snapshot{s}
	for _, n := range w.nodes {
		w.start(n)
	}
	w.change(nil)
	w.accept(nil)
	for range 3 { // the shares are in force and the buckets full
		for _, n := range w.nodes {
			w.sync(n, true)
			w.tend(n)
		}
		w.now += 2 * float64(quota.LeaseDuration)
	}
	return w
}

func (w *simulation) start(n *simInstance) {
	n.holder = quota.NewHolder(n.id, n.incarnation(), quota.LeaseDuration)
	n.stock = quota.NewGrantPool(quota.LeaseDuration)
	n.messages, n.charges = nil, nil
	w.sync(n, false)
}

// sync makes the newest revision the held one.
func (w *simulation) sync(n *simInstance, contiguous bool) {
	from := n.revision + 1
	if !contiguous {
		from = w.head()
	}
	for r := from; r <= w.head(); r++ {
		n.holder.OnSnapshot(w.clock(n), w.snapshots[r], contiguous)
	}
	n.revision = w.head()
}

func (w *simulation) head() uint64 { return uint64(len(w.snapshots) - 1) }

func (w *simulation) tend(n *simInstance) {
	n.holder.OnAccepted(w.clock(n), min(w.accepted, n.revision))
}

func (w *simulation) fresh(n *simInstance) bool { return n.revision >= w.accepted }

func (w *simulation) pick(label string) *simInstance {
	return w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(w.t, label)]
}

func (w *simulation) tick(t *rapid.T) {
	ms := rapid.SampledFrom([]float64{0, 1, 20, 200, 500, 990, 1010}).Draw(t, "ms")
	w.now += ms * float64(time.Millisecond)
	for _, n := range w.nodes {
		if rapid.IntRange(0, 3).Draw(t, "paused") > 0 {
			w.tend(n)
		}
	}
}

// request admits one request at an instance from grants, own share or both.
func (w *simulation) request(t *rapid.T) {
	n := w.pick("entry")
	want := rapid.SampledFrom([]int{1, 50, 300, 2000}).Draw(t, "tokens") // or all there is
	c := &charge{holder: n.holder, ownAt: w.clock(n), since: map[quota.GrantID]time.Duration{}}
	fromStock := min(want, n.stock.Total(w.clock(n)))
	c.parts, _ = n.stock.Take(w.clock(n), fromStock, nil)
	if rest := want - fromStock; rest > 0 && w.fresh(n) {
		c.own = n.holder.Charge(w.clock(n), "guild", rest)
	}
	c.entry = &admitted{w.now, float64(fromStock + c.own)}
	if c.entry.tokens > 0 {
		w.log = append(w.log, c.entry)
		n.charges = append(n.charges, c)
	}
}

// acquire asks a holder for tokens; the grant arrives later, twice or never.
func (w *simulation) acquire(t *rapid.T) {
	n, h := w.pick("entry"), w.pick("holder")
	if n == h || !w.fresh(h) {
		return
	}
	sent := w.clock(n)
	g := h.holder.IssueGrant(w.clock(h), "guild", rapid.SampledFrom([]int{10, 100, 1000}).Draw(t, "tokens"))
	part := quota.GrantPart{Tokens: g.Tokens, GrantID: quota.GrantID{
		Holder: h.id, Incarnation: h.incarnation(), Number: g.Number, GrantedAt: g.GrantedAt}}
	n.messages = append(n.messages, func() { n.stock.Add(w.clock(n), sent, part) })
}

// settle ends a request: the rest it did not use goes back.
func (w *simulation) settle(t *rapid.T) {
	n := w.pick("entry")
	if len(n.charges) == 0 {
		return
	}
	i := rapid.IntRange(0, len(n.charges)-1).Draw(t, "charge")
	c := n.charges[i]
	n.charges = append(n.charges[:i:i], n.charges[i+1:]...)
	unused := int(c.entry.tokens) * rapid.IntRange(0, 2).Draw(t, "unused") / 2
	c.entry.tokens -= float64(unused)
	own := min(unused, c.own)
	c.holder.Refund(w.clock(n), "guild", own, c.ownAt)
	unused -= own
	for _, p := range c.parts {
		back := min(unused, p.Tokens)
		unused -= back
		s := quota.Settlement{Customer: "guild", GrantNumber: p.Number, GrantedAt: p.GrantedAt, Unused: back}
		if since, ok := c.since[p.GrantID]; ok {
			s.SpentSince = since
		} else {
			s.Spent = p.Tokens - back
		}
		w.send(n, p.GrantID, s, nil)
	}
}

// report tells the holders that the parts of a running request are spent.
func (w *simulation) report(*rapid.T) {
	n := w.pick("entry")
	for _, c := range n.charges {
		for _, p := range c.parts {
			if _, ok := c.since[p.GrantID]; ok {
				continue
			}
			c.since[p.GrantID] = p.SpentSince(0, quota.LeaseDuration)
			s := quota.Settlement{Customer: "guild", GrantNumber: p.Number, GrantedAt: p.GrantedAt, Spent: p.Tokens}
			w.send(n, p.GrantID, s, func(at time.Duration) { c.since[p.GrantID] = p.SpentSince(at, quota.LeaseDuration) })
		}
	}
}

// giveUp returns unspent grants.
func (w *simulation) giveUp(*rapid.T) {
	n := w.pick("entry")
	for _, p := range n.stock.Release(w.clock(n), 0, 0, nil) {
		w.send(n, p.GrantID, quota.Settlement{Customer: "guild", GrantNumber: p.Number, GrantedAt: p.GrantedAt, Unused: p.Tokens}, nil)
	}
}

// send puts a settlement on its way: it may arrive late, repeatedly or never,
// and so may the answer with the time at which it was processed.
func (w *simulation) send(from *simInstance, to quota.GrantID, s quota.Settlement, answer func(time.Duration)) {
	from.sequence++
	sequence, incarnation := from.sequence, from.incarnation()
	for _, h := range w.nodes {
		if h.id != to.Holder {
			continue
		}
		h.messages = append(h.messages, func() {
			if h.incarnation() != to.Incarnation {
				return
			}
			at := w.clock(h)
			if h.holder.HandleSettlements(at, from.id, incarnation, sequence, []quota.Settlement{s}) && answer != nil {
				answer(at)
			}
		})
	}
}

func (w *simulation) deliver(t *rapid.T) {
	n := w.pick("receiver")
	if len(n.messages) == 0 {
		return
	}
	i := rapid.IntRange(0, len(n.messages)-1).Draw(t, "message")
	m := n.messages[i]
	if rapid.IntRange(0, 3).Draw(t, "again") > 0 {
		n.messages = append(n.messages[:i:i], n.messages[i+1:]...)
	}
	m()
}

// crash restarts an instance without memory. Charges of its own share stay in
// the log with what they charged.
func (w *simulation) crash(*rapid.T) {
	n := w.pick("crashed")
	n.starts++
	w.start(n)
}

// change commits a configuration with another rate, or the first one.
func (w *simulation) change(*rapid.T) {
	d := &config.Deployment{Name: "ucab", Customers: []config.Customer{{ID: "guild", RatePerSecond: rate, Burst: burst}}}
	w.commit(config.Change{Deployment: d})
}

// joinOrLeave commits another membership.
func (w *simulation) joinOrLeave(t *rapid.T) {
	var m config.Membership
	for _, n := range w.nodes {
		if rapid.IntRange(0, 3).Draw(t, "member") > 0 {
			m.Members = append(m.Members, config.Member{ID: n.id, Incarnation: n.incarnation()})
		}
	}
	w.commit(config.Change{Members: &m})
}

func (w *simulation) removeOrAdd(*rapid.T) {
	if w.snapshots[w.head()].Customer("guild") == nil {
		w.change(nil)
		return
	}
	w.commit(config.Change{Deployment: &config.Deployment{Name: "ucab"}})
}

func (w *simulation) commit(c config.Change) {
	c.Revision = w.head() + 1
	s, err := w.snapshots[w.head()].Apply(c)
	if err != nil {
		w.t.Fatal(err)
	}
	w.snapshots = append(w.snapshots, s)
	if w.t != nil {
		for _, n := range w.nodes {
			if rapid.Bool().Draw(w.t, "learns") {
				w.sync(n, true)
			}
		}
	}
}

func (w *simulation) learn(*rapid.T) { w.sync(w.pick("learner"), true) }

// accept accepts the newest revision; instances that do not hold it are no
// longer fresh.
func (w *simulation) accept(*rapid.T) { w.accepted = w.head() }

// disturb does something rare.
func (w *simulation) disturb(t *rapid.T) {
	actions := []func(*rapid.T){w.crash, w.joinOrLeave, w.joinOrLeave, w.removeOrAdd, w.change}
	if i := rapid.IntRange(0, 12).Draw(t, "disturbance"); i < len(actions) {
		actions[i](t)
	}
}

// check keeps the level of one bucket with the whole quota.
func (w *simulation) check(*rapid.T) {
	level, last := burst, 0.0
	for _, a := range w.log {
		level = min(burst, level+rate*1.005*(a.at-last)/1e9)
		last = a.at
		level -= a.tokens
		if level < -1e-3 {
			w.t.Fatalf("%.3f tokens more than rate and burst allow", -level)
		}
	}
}

// Guards against overshoot of a customer's rate and burst with crashes, pauses,
// late, lost and repeated messages, refunds, changes of membership and
// configuration, and drifting clocks. The rate is checked with the speed of the
// fastest clock.
func TestNoOvershoot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"":         w.check,
			"tick":     w.tick,
			"tick2":    w.tick,
			"request":  w.request,
			"request2": w.request,
			"acquire":  w.acquire,
			"acquire2": w.acquire,
			"deliver":  w.deliver,
			"deliver2": w.deliver,
			"deliver3": w.deliver,
			"settle":   w.settle,
			"report":   w.report,
			"giveup":   w.giveUp,
			"disturb":  w.disturb,
			"learn":    w.learn,
			"accept":   w.accept,
		})
	})
}

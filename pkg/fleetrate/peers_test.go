package fleetrate

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// model is the level of one customer's bucket, brought up to date for each peer at every
// step.
type model struct {
	rate  Rate
	level float64
	peers map[string]*modelPeer
}

type modelPeer struct {
	incarnation                    uint64
	updatedAt                      time.Time
	reported, spendRate, estimated float64
}

// advance brings the level up to date in steps that end where a peer becomes silent.
func (m *model) advance(from, to time.Time) {
	for from.Before(to) {
		end := to
		for _, p := range m.peers {
			if at := p.updatedAt.Add(peerTimeout); at.After(from) && at.Before(end) {
				end = at
			}
		}
		m.step(end, end.Sub(from))
		from = end
	}
}

func (m *model) step(now time.Time, d time.Duration) {
	earned := m.rate.PerSecond * d.Seconds()
	spentByPeers := 0.0
	for _, p := range m.peers {
		spent := p.spendRate * d.Seconds()
		if now.Sub(p.updatedAt) > peerTimeout {
			spent = earned / float64(len(m.peers)+1)
		}
		p.estimated += spent
		spentByPeers += spent
	}
	m.level = min(m.rate.Burst, m.level+earned-spentByPeers)
}

func (m *model) update(instance string, incarnation uint64, total float64, now time.Time) {
	p := m.peers[instance]
	if p == nil {
		return
	}
	if p.incarnation == 0 {
		*p = modelPeer{incarnation: incarnation, updatedAt: now, reported: total, spendRate: m.rate.PerSecond / float64(len(m.peers)+1)}
		return
	}
	if p.incarnation != incarnation {
		p.incarnation, p.reported = incarnation, 0
	}
	spent := total - p.reported
	m.level = min(m.rate.Burst, m.level-spent+p.estimated)
	p.reported, p.spendRate, p.estimated, p.updatedAt = total, max(0, spent/now.Sub(p.updatedAt).Seconds()), 0, now
}

// pauses are the times between two calls in the tests with a model. The longest is twice
// the time after which an instance that is lost is removed.
var pauses = []time.Duration{
	step, step, step, step, step, step, step, step,
	time.Second, peerTimeout, peerTimeout + step, 10 * time.Second, time.Minute, 2 * time.Minute,
}

// step is the shortest pause.
const step = 10 * time.Millisecond

// TestLevelsEqualThoseOfAModel guards against buckets that differ from ones which are
// brought up to date for every peer at every step: an estimate that is not corrected by
// the next report, and a peer that counts twice or not at all after it fell silent, for
// however long, was removed or restarted.
func TestLevelsEqualThoseOfAModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rates := map[string]Rate{"a": {PerSecond: 1000, Burst: 3000}, "b": {PerSecond: 50, Burst: 20}}
		l := New("self")
		l.Configure(rates, start)
		models := map[string]*model{}
		for customer, rate := range rates {
			models[customer] = &model{rate: rate, peers: map[string]*modelPeer{}}
		}
		totals := map[string]map[string]float64{}
		incarnations := map[string]uint64{}
		now := start
		for s := range rapid.IntRange(300, 1500).Draw(t, "steps") {
			before := now
			now = now.Add(step)
			if s%50 == 0 {
				now = before.Add(rapid.SampledFrom(pauses).Draw(t, "pause"))
			}
			for _, m := range models {
				m.advance(before, now)
			}
			instance := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "instance"))
			customer := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "customer")
			switch rapid.IntRange(0, 150).Draw(t, "event") {
			case 0, 1, 2:
				reported := map[string]float64{}
				for customer, m := range models {
					total := totals[instance][customer] + rapid.SampledFrom([]float64{0, 0, 5, 500, 9000}).Draw(t, "spent")
					reported[customer] = total
					m.update(instance, incarnations[instance]+1, total, now)
				}
				totals[instance] = reported
				l.UpdatePeer(instance, incarnations[instance]+1, reported, now)
			case 3:
				l.AddPeer(instance, now)
				for _, m := range models {
					if m.peers[instance] == nil {
						m.peers[instance] = &modelPeer{}
					}
				}
			case 4:
				l.RemovePeer(instance, now)
				for _, m := range models {
					delete(m.peers, instance)
				}
			case 5:
				incarnations[instance]++
				totals[instance] = nil
			case 6:
				l.Refill(now)
			case 7:
				if ok, _ := l.Take(customer, 10, now); ok {
					models[customer].level -= 10
				}
			case 8:
				rates[customer] = Rate{PerSecond: rates[customer].PerSecond + 1, Burst: rates[customer].Burst}
				models[customer].rate = rates[customer]
				l.Configure(rates, now)
			}
		}
		l.Refill(now)
		for customer, m := range models {
			if got := l.Level(customer); math.Abs(got-m.level) > 1e-6*(1+math.Abs(m.level)) {
				t.Fatalf("customer %s: level %v, want %v", customer, got, m.level)
			}
		}
	})
}

// TestReportsCostNothingWithoutSpending guards against reports that bring the buckets of
// all customers up to date for all peers: that was two thirds of the processor time of
// an idle instance among 80.
func TestReportsCostNothingWithoutSpending(t *testing.T) {
	l := New("self")
	rates, totals := map[string]Rate{}, map[string]float64{}
	for i := range 16 {
		rates[fmt.Sprint(i)], totals[fmt.Sprint(i)] = Rate{PerSecond: 100, Burst: 100}, 0
	}
	l.Configure(rates, start)
	for i := range 80 {
		l.AddPeer(fmt.Sprint(i), start)
		l.UpdatePeer(fmt.Sprint(i), 1, totals, start)
	}
	now := start.Add(time.Second)
	for range 2 {
		for i := range 80 {
			l.UpdatePeer(fmt.Sprint(i), 1, totals, now)
		}
		now = now.Add(time.Second)
	}
	for customer, b := range l.buckets {
		if at := start.Add(time.Second); !b.refilledAt.Equal(at) || math.Abs(b.peerRate) > 1e-9 {
			t.Fatalf("customer %s: refilled at %v, want %v; rate of the peers %v", customer, b.refilledAt, at, b.peerRate)
		}
	}
}

// TestReportAfterSilenceCorrectsTheEstimate guards against shares that stay subtracted
// for a peer that was cut off and spent less.
func TestReportAfterSilenceCorrectsTheEstimate(t *testing.T) {
	l := New("self")
	l.Configure(map[string]Rate{customer: {PerSecond: 100, Burst: 1e6}}, start)
	l.AddPeer("other", start)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	levelIs := func(seconds int, want float64) {
		t.Helper()
		if l.Refill(at(seconds)); math.Abs(l.Level(customer)-want) > 1e-6 {
			t.Errorf("after %d s: level %v, want %v", seconds, l.Level(customer), want)
		}
	}
	for seconds, total := range []float64{0, 0, 50} {
		if seconds > 0 {
			l.UpdatePeer("other", 1, map[string]float64{customer: total}, at(seconds))
		}
	}
	levelIs(2, 200-50-50)            // the share before the first report, and what was reported
	levelIs(5, 100+300-50*1.5-150/2) // 1.5 s at the last rate, then the share
	l.UpdatePeer("other", 1, map[string]float64{customer: 60}, at(10))
	levelIs(10, 100+800-10)
}

// TestLostPeerIsRemovedWithoutPanic guards against a limiter that removes a silent peer by
// itself while its caller removes the same one.
func TestLostPeerIsRemovedWithoutPanic(t *testing.T) {
	for _, silence := range []time.Duration{peerTimeout, time.Minute - 1, time.Minute, time.Minute + 1, time.Hour} {
		l := New("self")
		l.Configure(map[string]Rate{customer: {PerSecond: 100, Burst: 1e6}}, start)
		l.AddPeer("lost", start)
		l.RemovePeer("lost", start.Add(silence))
		l.Refill(start.Add(silence + time.Second))
		if got, want := l.Level(customer), 50*silence.Seconds()+100; math.Abs(got-want) > 1e-6 {
			t.Errorf("removed after %v: level %v 1 s later, want %v", silence, got, want)
		}
	}
}

// TestLateReportDoesNotAddARemovedPeer guards against a peer that nobody removes, since
// its report was handled after its removal.
func TestLateReportDoesNotAddARemovedPeer(t *testing.T) {
	l := New("self")
	l.Configure(map[string]Rate{customer: {PerSecond: 100, Burst: 1e6}}, start)
	l.AddPeer("lost", start)
	l.RemovePeer("lost", start)
	l.UpdatePeer("lost", 1, map[string]float64{customer: 10}, start)
	l.Refill(start.Add(time.Second))
	if got := l.Level(customer); got != 100 {
		t.Errorf("level %v after 1 s alone, want 100", got)
	}
}

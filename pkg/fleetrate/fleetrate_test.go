package fleetrate

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

const customer = "c"

// limiters returns the limiters of n instances that know each other as peers.
func limiters(n int, rate Rate, now time.Time) []*Limiter {
	out := make([]*Limiter, n)
	for i := range out {
		out[i] = New(fmt.Sprint(i))
		out[i].Configure(map[string]Rate{customer: rate}, now)
		for j := range n {
			if j != i {
				out[i].AddPeer(fmt.Sprint(j), now)
			}
		}
	}
	return out
}

// TestFleetKeepsTheRate guards against a customer that gets more than its rate
// and burst over all instances while reports are lost and instances are
// partitioned or restarted.
func TestFleetKeepsTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "instances")
		rate := Rate{PerSecond: 1000, Burst: 1000}
		list := limiters(n, rate, start)
		incarnation := make([]uint64, n)
		cut := make([]bool, n)
		const step = 100 * time.Millisecond
		const largest = 50.0
		admitted, changes := 0.0, 0 // changes: partitions, their ends and restarts
		steps := rapid.IntRange(20, 200).Draw(t, "steps")
		for s := range steps {
			now := start.Add(time.Duration(s+1) * step)
			offered := rapid.IntRange(0, 10).Draw(t, "offered")
			for i, l := range list {
				for range offered {
					tokens := rapid.Float64Range(1, largest).Draw(t, "tokens")
					if ok, _ := l.Take(customer, tokens, now); ok {
						admitted += tokens
					}
				}
				if rapid.IntRange(0, 60).Draw(t, "cut") == 0 {
					cut[i] = !cut[i]
					changes++
				}
				if rapid.IntRange(0, 80).Draw(t, "restart") == 0 {
					changes++
					incarnation[i]++
					list[i] = limiters(n, rate, now)[i]
				}
			}
			exchange(list, incarnation, cut, now)
		}
		// Until a report arrives, each instance may spend the whole rate. A
		// partitioned instance is noticed after peerTimeout. A restarted one
		// begins with part of a burst.
		elapsed := float64(steps) * step.Seconds()
		perStep := largest * 10
		unseen := float64(n) * (perStep + rate.PerSecond*peerTimeout.Seconds())
		bound := rate.Burst + rate.PerSecond*elapsed + unseen*float64(1+changes)
		if n == 1 {
			bound = rate.Burst + rate.PerSecond*elapsed + largest*float64(1+changes)
		}
		if admitted > bound {
			t.Fatalf("admitted %.0f tokens in %.1f s, bound %.0f", admitted, elapsed, bound)
		}
	})
}

func exchange(list []*Limiter, incarnation []uint64, cut []bool, now time.Time) {
	for i, from := range list {
		for j, to := range list {
			if i != j && !cut[i] && !cut[j] {
				to.UpdatePeer(fmt.Sprint(i), incarnation[i]+1, from.Spent(), now)
			}
		}
	}
}

// TestCutOffInstancesShareTheRate guards against partitioned instances that each
// spend the whole rate.
func TestCutOffInstancesShareTheRate(t *testing.T) {
	const n = 5
	rate := Rate{PerSecond: 1000, Burst: 1000}
	list := limiters(n, rate, start)
	admitted := 0.0
	const seconds = 30
	for s := range seconds * 100 {
		now := start.Add(time.Duration(s) * 10 * time.Millisecond)
		for _, l := range list {
			if ok, _ := l.Take(customer, 10, now); ok && s >= 500 {
				admitted += 10
			}
		}
	}
	perSecond := admitted / (seconds - 5)
	if perSecond > rate.PerSecond*1.05 || perSecond < rate.PerSecond*0.9 {
		t.Errorf("%.0f tokens a second admitted by %d partitioned instances, rate %.0f", perSecond, n, rate.PerSecond)
	}
}

// TestOneBusyInstanceGetsTheWholeRate guards against a rate that is divided
// among the instances although all but one spend nothing.
func TestOneBusyInstanceGetsTheWholeRate(t *testing.T) {
	rate := Rate{PerSecond: 1000, Burst: 1000}
	list := limiters(4, rate, start)
	admitted := 0.0
	for s := range 1000 {
		now := start.Add(time.Duration(s) * 10 * time.Millisecond)
		if ok, _ := list[0].Take(customer, 20, now); ok {
			admitted += 20
		}
		if s%20 == 0 {
			exchange(list, make([]uint64, 4), make([]bool, 4), now)
		}
	}
	if perSecond := admitted / 10; perSecond < 950 {
		t.Errorf("%.0f tokens a second admitted of a rate of %.0f", perSecond, rate.PerSecond)
	}
}

func TestRefusalReturnsRetryDelay(t *testing.T) {
	l := New("self")
	l.Configure(map[string]Rate{customer: {PerSecond: 100, Burst: 100}}, start)
	now := start.Add(time.Second) // the bucket is full
	if ok, _ := l.Take(customer, 300, now); !ok {
		t.Fatal("a full bucket refuses a request larger than its burst")
	}
	ok, wait := l.Take(customer, 1, now)
	if ok || math.Abs(wait.Seconds()-2.01) > 0.02 {
		t.Fatalf("ok %v with retry delay %v, want a refusal with 2.01s", ok, wait)
	}
	if ok, _ := l.Take(customer, 1, now.Add(wait)); !ok {
		t.Error("refused after the returned retry delay")
	}
}

func TestRefundedTokensAreNotCounted(t *testing.T) {
	l := New("self")
	l.Configure(map[string]Rate{customer: {PerSecond: 100, Burst: 100}}, start)
	now := start.Add(time.Second)
	l.Take(customer, 60, now)
	l.Refund(customer, 60)
	if l.Level(customer) != 100 || l.Spent()[customer] != 0 {
		t.Errorf("level %v, spent %v after a refund, want 100 and 0", l.Level(customer), l.Spent())
	}
}

func TestCustomerWithoutRateIsNotLimited(t *testing.T) {
	l := New("self")
	if ok, _ := l.Take("other", 1e9, start); !ok {
		t.Error("a customer without a rate is refused")
	}
}

// TestOverloadInLargeFleet guards against a customer that sends several times
// its rate and gets more than the bound of a sliding window, because reports of
// what the peers spend arrive with a delay.
func TestOverloadInLargeFleet(t *testing.T) {
	const (
		n        = 75
		step     = 10 * time.Millisecond
		interval = 75  // steps between two reports of an instance
		window   = 800 // steps
		offered  = 4.2 // times the rate
		quiet    = 300 // steps before the overload
	)
	rate := Rate{PerSecond: 400_000, Burst: 400_000}
	list := limiters(n, rate, start)
	const tokens = 2000.0
	due := make([]float64, n) // tokens of requests not yet sent, by instance
	var spent []float64       // by step
	for s := range 3000 {
		now := start.Add(time.Duration(s) * step)
		admitted := 0.0
		load := 0.5
		if s >= quiet {
			load = offered
		}
		for i, l := range list {
			due[i] += rate.PerSecond * load * step.Seconds() / n
			for due[i] >= tokens {
				due[i] -= tokens
				if ok, _ := l.Take(customer, tokens, now); ok {
					admitted += tokens
				}
			}
			if (s+i)%interval == 0 {
				totals := l.Spent()
				for j, other := range list {
					if j != i {
						other.UpdatePeer(fmt.Sprint(i), 1, totals, now)
					}
				}
			}
		}
		spent = append(spent, admitted)
	}
	maxWindow, inWindow, total := 0.0, 0.0, 0.0
	for s, x := range spent {
		inWindow += x
		if s >= window {
			inWindow -= spent[s-window]
		}
		maxWindow = max(maxWindow, inWindow)
		if s >= quiet {
			total += x
		}
	}
	bound := (rate.PerSecond*8 + rate.Burst) * 1.1
	if maxWindow > bound {
		t.Errorf("%.0f tokens in 8 s, want at most %.0f", maxWindow, bound)
	}
	if mean := total / 27; mean < 0.9*rate.PerSecond {
		t.Errorf("%.0f tokens a second served of a rate of %.0f", mean, rate.PerSecond)
	}
}

// TestRestartOfAllUnderOverload guards against a customer that exceeds its rate
// because all instances restart at once and know nothing of each other's spending.
func TestRestartOfAllUnderOverload(t *testing.T) {
	const (
		n        = 75
		step     = 10 * time.Millisecond
		interval = 75
		tokens   = 2000.0
		offered  = 4.2
	)
	rate := Rate{PerSecond: 400_000, Burst: 400_000}
	list := limiters(n, rate, start)
	due := make([]float64, n)
	admitted := 0.0
	for s := range 200 {
		now := start.Add(time.Duration(s) * step)
		for i, l := range list {
			due[i] += rate.PerSecond * offered * step.Seconds() / n
			for due[i] >= tokens {
				due[i] -= tokens
				if ok, _ := l.Take(customer, tokens, now); ok {
					admitted += tokens
				}
			}
			if (s+i)%interval == interval-1 {
				totals := l.Spent()
				for j, other := range list {
					if j != i {
						other.UpdatePeer(fmt.Sprint(i), 1, totals, now)
					}
				}
			}
		}
	}
	// 2 s of the rate, one request per instance, and the delay of one report.
	if bound := rate.PerSecond*2 + n*tokens + rate.PerSecond*0.75; admitted > bound {
		t.Errorf("%.0f tokens in the first 2 s, want at most %.0f", admitted, bound)
	}
}

// TestLargeRequestsInLargeFleet guards against every instance admitting one large
// request at the moment when the bucket becomes positive again, also after a
// restart of all instances.
func TestLargeRequestsInLargeFleet(t *testing.T) {
	const (
		n        = 75
		step     = 10 * time.Millisecond
		interval = 75
		window   = 800 // steps
		tokens   = 17_000.0
		offered  = 3.0     // times the rate
		restart  = 1200    // step at which all instances restart
		slack    = 190_000 // tokens that the platform allows beyond the bound for delayed reports
	)
	rate := Rate{PerSecond: 407_000, Burst: 407_000}
	list := limiters(n, rate, start)
	incarnation := uint64(1)
	due := make([]float64, n)
	for i := range due {
		due[i] = tokens * float64(i) / n
	}
	var spent []float64
	for s := range 2400 {
		now := start.Add(time.Duration(s) * step)
		if s == restart {
			incarnation++
			list = limiters(n, rate, now)
		}
		admitted := 0.0
		for i, l := range list {
			if s >= 300 {
				due[i] += rate.PerSecond * offered * step.Seconds() / n
			}
			for due[i] >= tokens {
				due[i] -= tokens
				if ok, _ := l.Take(customer, tokens, now); ok {
					admitted += tokens
				}
			}
			if s%interval == 0 { // all report at once, as after a simultaneous start
				totals := l.Spent()
				for j, other := range list {
					if j != i {
						other.UpdatePeer(fmt.Sprint(i), incarnation, totals, now)
					}
				}
			}
		}
		spent = append(spent, admitted)
	}
	maxWindow, inWindow, total, inSecond, maxSecond := 0.0, 0.0, 0.0, 0.0, 0.0
	for s, x := range spent {
		inWindow += x
		if s >= window {
			inWindow -= spent[s-window]
		}
		maxWindow = max(maxWindow, inWindow)
		inSecond += x
		if s >= 100 {
			inSecond -= spent[s-100]
		}
		maxSecond = max(maxSecond, inSecond)
		if s >= 300 {
			total += x
		}
	}
	if bound := (rate.PerSecond*8+rate.Burst)*1.1 + slack; maxWindow > bound {
		t.Errorf("%.0f tokens in 8 s, want at most %.0f", maxWindow, bound)
	}
	if bound := (rate.PerSecond + rate.Burst) * 1.1; maxSecond > bound+slack {
		t.Errorf("%.0f tokens in 1 s, want at most %.0f", maxSecond, bound+slack)
	}
	t.Logf("maximum in 8 s %.0f, in 1 s %.0f, mean per second %.0f", maxWindow, maxSecond, total/21)
	if mean := total / 21; mean < 0.85*rate.PerSecond {
		t.Errorf("%.0f tokens a second served of a rate of %.0f", mean, rate.PerSecond)
	}
}

// TestStartedInstanceTakesTheLevel guards against a newly started instance that
// refuses requests which the other instances would admit.
func TestStartedInstanceTakesTheLevel(t *testing.T) {
	rate := Rate{PerSecond: 1000, Burst: 1000}
	l := limiters(6, rate, start)[0]
	l.SeedLevel(customer, 900, start)
	l.SeedLevel(customer, -5000, start) // only the first call has an effect
	for i := range 8 {
		if ok, _ := l.Take(customer, 50, start); !ok {
			t.Fatalf("request %d of 50 tokens is refused at a level of 900", i)
		}
	}
	if level := l.Level(customer); level != 500 {
		t.Errorf("level %.0f after 8 requests of 50 tokens, want 500", level)
	}
}

package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fescuestep/fescuestep/pkg/call"
	"github.com/fescuestep/fescuestep/pkg/concurrency"
)

// countPicks returns to which upstreams n requests go that end before the next one, each
// at another of the balancers.
func countPicks(t *testing.T, list []*Balancer, n int, now time.Time, q Query) map[string]int {
	t.Helper()
	count := map[string]int{}
	for i := range n {
		b := list[i%len(list)]
		a := mustPick(t, b, now, q)
		b.Begin(a, now)
		b.Done(a, Cancelled, now)
		count[a.Upstream.ID]++
	}
	return count
}

// TestStatedSlowdownMovesRequests guards against requests that wait at an engine, or at a
// plain upstream, which stated that it is slow, and against one that gets none after the
// statement has expired.
func TestStatedSlowdownMovesRequests(t *testing.T) {
	short := Query{Service: llm, Model: "m", PromptTokens: 3000, MaxTokens: 8}
	for id, q := range map[string]Query{"e00": short, "o00": {Service: orders}} {
		a, b := newTestBalancer(2, 1), newTestBalancer(2, 1)
		a.RecordLoad(id, call.Load{WorkTimePercent: 250}, start)
		for _, r := range a.CapacityReports(12, start) {
			b.MergeCapacity(r, start)
		}
		for name, list := range map[string][]*Balancer{"informed by the upstream": {a}, "informed by the other": {b}} {
			if n := countPicks(t, list, 20, start, q)[id]; n != 0 {
				t.Errorf("%s, %s: %d of 20 requests while it is slow", id, name, n)
			}
			if n := countPicks(t, list, 20, start.Add(3*time.Second), q)[id]; n == 0 {
				t.Errorf("%s, %s: no requests after its statement has expired", id, name)
			}
		}
		if r := b.CapacityReports(12, start); len(r) != 0 {
			t.Errorf("%s: what was told is told again: %v", id, r)
		}
	}
}

// TestReportsAreFewAndBounded guards against digests that grow with the number of answers,
// and against a change that is not told because others came first.
func TestReportsAreFewAndBounded(t *testing.T) {
	b := newTestBalancer(30, 1)
	for _, percent := range []int{100, 250, 252, 248} {
		for _, u := range b.view.ByService("llm") {
			b.RecordLoad(u.ID, call.Load{WorkTimePercent: percent}, start)
		}
	}
	told := 0
	for _, want := range []int{12, 12, 6, 0} {
		got := len(b.CapacityReports(12, start))
		if told += got; got != want {
			t.Errorf("%d reports, want %d", got, want)
		}
	}
}

// TestRestartDoesNotRush guards against instances that all start at once, know nothing of
// each other's requests, and send them all to the one upstream that states to be fast.
func TestRestartDoesNotRush(t *testing.T) {
	var list []*Balancer
	for i := range 24 {
		b := newTestBalancer(8, 1)
		b.rng = rand.New(rand.NewPCG(7, uint64(i)))
		for _, u := range b.view.ByService("orders") {
			b.RecordLoad(u.ID, call.Load{Slots: 6, WorkTimePercent: 100}, start)
		}
		b.RecordLoad("o03", call.Load{Slots: 6, WorkTimePercent: 1}, start)
		list = append(list, b)
	}
	if n := countPicks(t, list, 240, start, Query{Service: orders})["o03"]; n > 120 {
		t.Errorf("%d of 240 requests go to one of 8 upstreams", n)
	}
}

// TestSlowPlainUpstreamGetsLess guards against a plain upstream that states nothing, takes
// four times as long and gets as many requests as the others, and against one that gets
// none any more once it has recovered.
func TestSlowPlainUpstreamGetsLess(t *testing.T) {
	b := newTestBalancer(4, 1)
	now := start
	play := func(slowness time.Duration) (slow int) {
		for range 100 {
			now = now.Add(400 * time.Millisecond)
			var atOnce []*Attempt
			for range 4 {
				atOnce = append(atOnce, mustPick(t, b, now, Query{Service: orders}))
				b.Begin(atOnce[len(atOnce)-1], now)
			}
			for _, a := range atOnce {
				took := 60 * time.Millisecond
				if a.Upstream.ID == "o00" { // the nearest
					took *= slowness
					slow++
				}
				b.Answered(a, now.Add(took))
				b.Done(a, OK, now.Add(took))
			}
		}
		return slow
	}
	if n := play(4); n > 40 {
		t.Errorf("the slow upstream gets %d of 400 requests", n)
	}
	if n := play(1) + play(1); n < 140 {
		t.Errorf("the nearest upstream gets %d of 800 requests after it recovered", n)
	}
}

// TestFewSlowAnswersStarveNoPlainUpstream guards against an upstream that gets no requests for as long as the others seem faster than the mean, which few slow answers raise.
func TestFewSlowAnswersStarveNoPlainUpstream(t *testing.T) {
	const perWindow = 320 // 8 s
	for seed := range uint64(20) {
		b := newTestBalancer(2, 1)
		for _, u := range b.view.ByService("orders") {
			u.Domain = b.cfg.Domain
		}
		random := rand.New(rand.NewPCG(seed, 1))
		now := start
		for window := range 4 {
			count := map[string]int{}
			for range perWindow {
				now = now.Add(25 * time.Millisecond)
				a := mustPick(t, b, now, Query{Service: orders})
				b.Begin(a, now)
				took := 700 * time.Microsecond
				if random.IntN(20) == 0 {
					took = 30 * time.Millisecond
				}
				b.Answered(a, now.Add(took))
				b.Done(a, OK, now.Add(took))
				count[a.Upstream.ID]++
			}
			if least := min(count["o00"], count["o01"]); least < perWindow/10 {
				t.Errorf("seed %d, window %d: %v of %d requests, the upstreams are equal", seed, window, count, perWindow)
			}
		}
	}
}

// TestPreemptedMeasurementsAreIgnored guards against a lasting slowdown learned from a
// prompt during which the stated one began or ended.
func TestPreemptedMeasurementsAreIgnored(t *testing.T) {
	b := newTestBalancer(1, 1)
	a := mustPick(t, b, start, longQuery("a"))
	b.Begin(a, start)
	now := start.Add(time.Second)
	b.RecordLoad("e00", call.Load{WorkTimePercent: 250}, now)
	if speed := b.FirstToken(a, false, now); speed != 0 {
		t.Errorf("measured %v tokens per millisecond", speed)
	}
	b.Done(a, OK, now)
	a = mustPick(t, b, now, longQuery("b"))
	b.Begin(a, now)
	if speed := b.FirstToken(a, false, now.Add(500*time.Millisecond)); speed < 80 || speed > 90 {
		t.Errorf("17,000 tokens in 500 ms at 2.5 times the usual time: measured %v tokens per millisecond, want 85", speed)
	}
	b.MergeCapacity(CapacityReport{"unknown", concurrency.Report{Stated: 9}}, now)
}

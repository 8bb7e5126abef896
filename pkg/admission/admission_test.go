package admission

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// mixed returns short and long requests of n customers that need about the given number of
// slots together, two fifths of them for long requests. The first customer has a fifth.
func mixed(n int, slots float64) (kinds []kind) {
	for i := range n {
		share := 0.8 / float64(n-1)
		if i == 0 {
			share = 0.2
		}
		name := fmt.Sprint("c", i)
		kinds = append(kinds, short(name, steady(0.6*slots*share/0.1)), long(name, steady(0.4*slots*share/0.4)))
	}
	return kinds
}

// Guards against delays and refusals while there is room for all.
func TestRoomForAll(t *testing.T) {
	t.Parallel()
	f := &fleet{instances: 24, domains: 4, slots: constant(300), kinds: mixed(16, 150)}
	f.play(20*time.Second, 1)
	for k := range f.tallies {
		if w := &f.tallies[k]; w.waited+w.refused > 0 {
			t.Errorf("%s: %d waited, %d refused", f.kinds[k].customer, w.waited, w.refused)
		}
	}
}

// Guards against a customer at six times its usual rate that takes the room of those at
// theirs.
func TestBurstOfOneCustomer(t *testing.T) {
	t.Parallel()
	for instances, customers := range map[int]int{1: 16, 24: 16, 80: 6} {
		f := &fleet{instances: instances, domains: 4, slots: constant(300), kinds: mixed(customers, 220)}
		f.kinds[0].rate = burst(0.6*220*0.2/0.1, 6, 14*time.Second, 20*time.Second)
		f.kinds[1].rate = burst(0.4*220*0.2/0.4, 6, 14*time.Second, 20*time.Second)
		f.play(22*time.Second, 1)
		f.log(t)
		if tenth, second := f.worst(2); tenth < 0.95 || second < 0.9 {
			t.Errorf("%d instances: %.3f of the worst tenth and %.3f in the worst second served while another customer sent six times its usual", instances, tenth, second)
		}
		if f.tallies[0].refused == 0 {
			t.Error("nothing of the burst was refused")
		}
		if f.peak > 1.5 {
			t.Errorf("%.2f of the slots ran at once", f.peak)
		}
	}
}

// Guards against short requests that starve long ones, which have the lesser priority, and
// against long ones that block short ones.
func TestLongBesideShort(t *testing.T) {
	t.Parallel()
	for _, flood := range []int{0, 1} {
		f := &fleet{instances: 24, domains: 4, slots: constant(200), kinds: []kind{short("a", steady(600)), long("a", steady(150)), short("b", steady(300)), long("b", steady(75))}}
		rate := f.kinds[flood].rate(0, 0) * 4
		f.kinds[flood].rate = burst(rate, 5, 14*time.Second, 20*time.Second)
		f.play(24*time.Second, 1)
		f.log(t)
		for k := range f.kinds {
			if w := &f.tallies[k]; k != flood && w.share() < 0.95 {
				t.Errorf("flood of kind %d: %.3f of kind %d served", flood, w.share(), k)
			}
		}
	}
}

// Guards against a failure domain whose callers wait or are refused at the top of their wave
// while the others have room.
func TestWavesBetweenDomains(t *testing.T) {
	t.Parallel()
	f := &fleet{instances: 24, domains: 4, slots: constant(300), kinds: mixed(16, 200)}
	for k := range f.kinds {
		mean := f.kinds[k].rate(0, 0)
		f.kinds[k].rate = func(t time.Duration, domain int) float64 {
			phase := 2 * math.Pi * (t.Seconds()/13 - float64(domain)/12)
			return mean * (1 + 0.55*math.Sin(phase))
		}
	}
	f.play(30*time.Second, 1)
	f.log(t)
	if tenth, second := f.worst(0); tenth < 0.99 || second < 0.97 {
		t.Errorf("%.3f of the worst tenth and %.3f in the worst second served", tenth, second)
	}
	for domain := range f.byDomain {
		if share := f.byDomain[domain].share(); share < 0.99 {
			t.Errorf("%.3f served in domain %d", share, domain)
		}
	}
}

// Guards against refused callers that all return at once, which makes the next overload:
// two thirds of the room are lost for 3 s.
func TestReturningCallers(t *testing.T) {
	t.Parallel()
	f := &fleet{instances: 24, domains: 4, kinds: mixed(16, 200), returns: true, slots: func(t time.Duration) float64 {
		if t >= 15*time.Second && t < 18*time.Second {
			return 80
		}
		return 300
	}}
	f.play(30*time.Second, 1)
	f.log(t)
	total, most := 0, 0
	for _, n := range f.returned {
		total += n
		most = max(most, n)
	}
	t.Logf("%d returned, at most %d in a tenth of a second", total, most)
	if total < 500 || most > total/10 {
		t.Errorf("%d of %d returned in a tenth of a second", most, total)
	}
}

// Guards against an order of service other than the one by customers' priority, then the
// route's, when not even the usual demand can be served.
func TestPriorityWhenRoomIsLost(t *testing.T) {
	t.Parallel()
	kinds := []kind{short("a", steady(800)), short("b", steady(800)), short("c", steady(800))}
	for i := range kinds {
		kinds[i].priority = i
	}
	f := &fleet{instances: 24, domains: 4, kinds: kinds, slots: func(t time.Duration) float64 {
		if t >= 15*time.Second {
			return 120
		}
		return 300
	}}
	f.play(30*time.Second, 1)
	f.log(t)
	first, second, third := f.tallies[0].share(), f.tallies[1].share(), f.tallies[2].share()
	if first < 0.99 || second > first || third > second || third < 0.4 {
		t.Errorf("%.2f, %.2f and %.2f served in the order of priority", first, second, third)
	}
}

// Guards against too much at the upstreams while halves of the fleet do not hear of each
// other, and against idle room once they have learned the length of the requests.
func TestPartition(t *testing.T) {
	t.Parallel()
	f := &fleet{instances: 24, domains: 4, slots: constant(200), kinds: mixed(16, 400), apartFrom: 10 * time.Second}
	f.play(20*time.Second, 1)
	f.log(t)
	if f.peak > 1.5 {
		t.Errorf("%.2f of the slots ran at once", f.peak)
	}
	if f.busy < 0.9*200*20 {
		t.Errorf("%.0f slot-seconds used", f.busy)
	}
}

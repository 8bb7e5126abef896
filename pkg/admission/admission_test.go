package admission

import (
	"fmt"
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
	for instances, seeds := range map[int]uint64{1: 3, 24: 3, 80: 1} {
		for seed := range seeds {
			f := &fleet{instances: instances, domains: 4, slots: constant(300), kinds: mixed(16, 220)}
			f.kinds[0].rate = burst(0.6*220*0.2/0.1, 6, 20*time.Second, 28*time.Second)
			f.kinds[1].rate = burst(0.4*220*0.2/0.4, 6, 20*time.Second, 28*time.Second)
			f.play(35*time.Second, seed)
			f.log(t)
			for k := 2; k < len(f.kinds); k++ {
				if w := &f.tallies[k]; w.share() < 0.95 {
					t.Errorf("%d instances, %s: %.3f served while another sent six times its usual", instances, f.kinds[k].customer, w.share())
				}
			}
			if f.tallies[0].refused == 0 {
				t.Error("nothing of the burst was refused")
			}
			if f.peak > 1.5 {
				t.Errorf("%.2f of the slots ran at once", f.peak)
			}
		}
	}
}

// Guards against short requests that starve long ones, which have the lesser priority, and
// against long ones that block short ones.
func TestLongBesideShort(t *testing.T) {
	for _, flood := range []int{0, 1} {
		f := &fleet{instances: 24, domains: 4, slots: constant(200), kinds: []kind{short("a", steady(600)), long("a", steady(150)), short("b", steady(300)), long("b", steady(75))}}
		rate := f.kinds[flood].rate(0, 0) * 4
		f.kinds[flood].rate = burst(rate, 5, 20*time.Second, 28*time.Second)
		f.play(35*time.Second, 1)
		f.log(t)
		for k := range f.kinds {
			if w := &f.tallies[k]; k != flood && w.share() < 0.95 {
				t.Errorf("flood of kind %d: %.3f of kind %d served", flood, w.share(), k)
			}
		}
	}
}

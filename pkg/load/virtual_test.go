package load

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/fescuestep/fescuestep/pkg/pick"
)

func virtual(t *testing.T, profile string, change func(*Options)) []Result {
	t.Helper()
	p, err := ProfileFor(profile)
	if err != nil {
		t.Fatal(err)
	}
	o := Options{Profile: p, Seed: 3, Duration: 30 * time.Second, Policies: pick.PolicyNames()}
	if change != nil {
		change(&o)
	}
	r, err := RunVirtual(o)
	if err != nil {
		t.Fatal(err)
	}
	return r.Policies
}

// TestTargets guards against decisions that fall behind the best baseline on
// the same arrivals: the targets of the design page, in virtual time. The p99
// of one run rests on about 28 requests, so that three runs are averaged.
func TestTargets(t *testing.T) {
	for _, profile := range ProfileNames() {
		var own, base Result
		for seed := uint64(1); seed <= 3; seed++ {
			r := virtual(t, profile, func(o *Options) {
				o.Seed, o.Duration, o.Policies = seed, time.Minute, []string{pick.NameFescuestep, pick.NamePrefixHash}
			})
			if r[0].PrefixHitRate < 0.95*r[0].HitRateBound {
				t.Errorf("%s seed %d: hit rate %.3f of %.3f", profile, seed, r[0].PrefixHitRate, r[0].HitRateBound)
			}
			if r[0].RefusedWithinRate+r[0].Unanswered+r[0].FailedAfterStart != 0 {
				t.Errorf("%s seed %d: %+v", profile, seed, r[0])
			}
			own.TTFTP99 += r[0].TTFTP99 / 3
			base.TTFTP99 += r[1].TTFTP99 / 3
			own.WastedTokens += r[0].WastedTokens
			base.WastedTokens += r[1].WastedTokens
		}
		if own.TTFTP99 > base.TTFTP99/2 {
			t.Errorf("%s: TTFT p99 %.0f ms, baseline %.0f ms", profile, own.TTFTP99, base.TTFTP99)
		}
		if own.WastedTokens > base.WastedTokens/2 {
			t.Errorf("%s: wasted %d tokens, baseline %d", profile, own.WastedTokens, base.WastedTokens)
		}
	}
}

// TestOverloadIsolation guards against one customer at 5 times its rate that
// moves the tail of the others.
func TestOverloadIsolation(t *testing.T) {
	for _, profile := range ProfileNames() {
		own := virtual(t, profile, func(o *Options) { o.Overload, o.Policies = true, o.Policies[:1] })[0]
		if own.WorstCustomerTTFTP99 > 1.25*own.WorstCustomerWithout {
			t.Errorf("%s: worst other customer %.0f ms, without the overload %.0f ms", profile, own.WorstCustomerTTFTP99, own.WorstCustomerWithout)
		}
	}
}

// TestFaults guards against requests that stay unanswered or are refused
// within the rate because engines crash, events are lost or an instance
// restarts, and against state of an instance that outlives its restart.
func TestFaults(t *testing.T) {
	for seed := uint64(1); seed <= 4; seed++ {
		own := virtual(t, "ucab", func(o *Options) {
			o.Seed, o.Duration, o.Policies = seed, time.Minute, o.Policies[:1]
			o.Faults = StandardFaults(o.Duration)
		})[0]
		if own.Unanswered+own.FailedAfterStart != 0 || own.RefusedWithinRateShare >= 0.01 {
			t.Errorf("seed %d: %+v", seed, own)
		}
	}
}

// TestRepeatable guards against virtual runs that depend on map order or on
// the clock of the machine.
func TestRepeatable(t *testing.T) {
	short := func(o *Options) { o.Duration, o.Faults = 5*time.Second, StandardFaults(5*time.Second) }
	if d := cmp.Diff(virtual(t, "skovgaard", short), virtual(t, "skovgaard", short)); d != "" {
		t.Error(d)
	}
}

package concurrency

import (
	"math"
	"testing"
	"time"

	"github.com/fescuestep/fescuestep/pkg/call"
)

var start = time.Unix(1000, 0)

const usual = 100 * time.Millisecond

// measure adds n measurements of unqueued requests that took ratio times as long as usual.
func measure(t *Tracker, at time.Time, n int, ratio float64) time.Time {
	for range n {
		at = at.Add(200 * time.Millisecond)
		t.RecordSample(at, Sample{Took: time.Duration(ratio * float64(usual)), Usual: usual, Running: 1})
	}
	return at
}

func wantFactor(t *testing.T, what string, tr *Tracker, now time.Time, low, high float64) {
	t.Helper()
	if got := tr.SlowdownFactor(now); !(got >= low && got <= high) {
		t.Errorf("%s: slowdown %.2f, want %.2f to %.2f", what, got, low, high)
	}
}

// TestStatementExpires guards against a statement that is believed long after the machine
// has recovered, and against one that has no effect.
func TestStatementExpires(t *testing.T) {
	tr := NewTracker(EngineConfig(12), time.Time{})
	wantFactor(t, "nothing known", tr, start, 1, 1)
	tr.RecordStatement(start, call.Load{WorkTimePercent: 250})
	wantFactor(t, "stated", tr, start.Add(statementValidity), 2.5, 2.5)
	wantFactor(t, "expired", tr, start.Add(2*time.Second), 1, 1.05)
	tr.RecordStatement(start, call.Load{WorkTimePercent: 250})
	if got := tr.Stretch(start, 2*time.Second); got < 2*time.Second || got > 2500*time.Millisecond {
		t.Errorf("work of 2 s is expected to take %v, though the machine recovers meanwhile", got)
	}
}

// TestConstantFigure guards against a figure that never changes and keeps requests away
// from an upstream that is as fast as usual, whether or not measurements contradict it.
func TestConstantFigure(t *testing.T) {
	tr, measured := NewTracker(EngineConfig(12), time.Time{}), NewTracker(EngineConfig(12), time.Time{})
	now := start
	for range 100 {
		now = now.Add(200 * time.Millisecond)
		tr.RecordStatement(now, call.Load{WorkTimePercent: 250})
		measured.RecordStatement(now, call.Load{WorkTimePercent: 250})
		measured.RecordSample(now, Sample{Took: usual, Usual: usual, Running: 1})
	}
	wantFactor(t, "without measurements", tr, now, 1, 1.1)
	wantFactor(t, "with measurements", measured, now, 0.9, 1.1)
}

// TestInvertedFigure guards against a figure that is wrong in both directions: it states
// the usual time while work is slow and the reverse.
func TestInvertedFigure(t *testing.T) {
	tr := NewTracker(EngineConfig(12), time.Time{})
	now := start
	for i := range 60 {
		stated, ratio := 250, 1.0
		if i/3%2 == 1 {
			stated, ratio = 100, 2.5
		}
		tr.RecordStatement(now, call.Load{WorkTimePercent: stated})
		now = measure(tr, now, 1, ratio)
	}
	if tr.trust.ok() || tr.Report(now).Stated != 0 {
		t.Error("the figure is still trusted or told to others")
	}
	tr.RecordStatement(now, call.Load{WorkTimePercent: 1000})
	wantFactor(t, "after an extreme figure", tr, now, 0.9, 2.5)
}

// TestHonestFigureIsTrusted guards against measurements, which lag behind, that make a
// figure ignored which is right.
func TestHonestFigureIsTrusted(t *testing.T) {
	tr := NewTracker(EngineConfig(12), time.Time{})
	now := start
	for i := range 60 {
		stated := 100
		if i/3%4 == 1 {
			stated = 250
		}
		tr.RecordStatement(now, call.Load{WorkTimePercent: stated})
		now = measure(tr, now, 1, float64(stated)/100)
	}
	tr.RecordStatement(now, call.Load{WorkTimePercent: 250})
	wantFactor(t, "slow", tr, now, 2.4, 2.6)
	tr.RecordStatement(now, call.Load{WorkTimePercent: 100})
	wantFactor(t, "usual", tr, now, 0.95, 1.05)
}

// TestSlowForOneInstance guards against an upstream that one instance avoids for no
// reason, or that all avoid, since it is slow for one of them only.
func TestSlowForOneInstance(t *testing.T) {
	list := make([]*Tracker, 24)
	for i := range list {
		list[i] = NewTracker(PlainConfig(6), time.Time{})
	}
	now := start
	for range 30 {
		for i, tr := range list {
			ratio := 1.0
			if i == 0 {
				ratio = 4
			}
			measure(tr, now, 1, ratio)
		}
		now = now.Add(200 * time.Millisecond)
		for i, tr := range list {
			for j, other := range list {
				if i != j {
					tr.Merge(now, other.Report(now))
				}
			}
		}
	}
	wantFactor(t, "the instance with the slow link", list[0], now, 2, 4)
	wantFactor(t, "another instance", list[1], now, 0.95, 1.2)
}

// TestReportedSpeedIsAdopted guards against an instance without requests of its own that
// does not learn what the others measured.
func TestReportedSpeedIsAdopted(t *testing.T) {
	a, b := NewTracker(PlainConfig(6), time.Time{}), NewTracker(PlainConfig(6), time.Time{})
	now := start
	for range 20 {
		now = measure(a, now, 1, 4)
		b.Merge(now, a.Report(now))
	}
	wantFactor(t, "without measurements", b, now, 3.5, 4)
	if r := b.Report(now); r.Learned != 0 {
		t.Errorf("forwards what it was told: %+v", r)
	}
	b.Merge(now, Report{Stated: math.Inf(1), Learned: math.Inf(1), Limit: math.MaxInt})
	b.Merge(now, Report{Stated: math.NaN(), Learned: math.NaN(), Limit: math.MinInt, Age: -time.Hour})
	if f := b.SlowdownFactor(now); !(f >= 1 && f <= maxRatio) || b.Limit(now) < 1 || b.Limit(now) > 6 {
		t.Errorf("faulty reports lead to slowdown %v, limit %d", f, b.Limit(now))
	}
}

// TestLimitFollowsTheUpstream guards against a limit that stays at the listed slots though
// the upstream runs half as many at once, and against one that falls to nothing because
// the upstream, or every one, is slow.
func TestLimitFollowsTheUpstream(t *testing.T) {
	tr := NewTracker(PlainConfig(12), time.Time{})
	now := start
	play := func(slots int, speed float64) {
		for i := range 400 {
			n := 1 + i%12
			now = now.Add(10 * time.Millisecond)
			ratio := speed * max(1, float64(n)/float64(slots))
			tr.RecordSample(now, Sample{Took: time.Duration(ratio * float64(usual)), Usual: usual, Running: n})
		}
	}
	for _, c := range []struct {
		slots int
		speed float64
	}{{6, 1}, {12, 1}, {12, 4}, {6, 4}} {
		play(c.slots, c.speed)
		if got := tr.Limit(now); got < c.slots*3/4 || got > c.slots*4/3 {
			t.Errorf("%d slots at %.0f times the usual time: limit %d", c.slots, c.speed, got)
		}
	}
	tr.RecordStatement(now, call.Load{Running: 1, Waiting: 1 << 30, Slots: 12})
	if got := tr.Limit(now); got < 1 {
		t.Errorf("limit %d after a false statement", got)
	}
}

// TestNewProcessStartsConservatively guards against the full load on a process that has
// just started, and against a clock that is behind by hours.
func TestNewProcessStartsConservatively(t *testing.T) {
	tr := NewTracker(PlainConfig(12), start)
	for _, c := range []struct {
		age  time.Duration
		want int
	}{{0, 3}, {time.Second, 6}, {rampTime, 12}, {-time.Hour, 12}} {
		if got := tr.Limit(start.Add(c.age)); got != c.want {
			t.Errorf("limit %d at age %v, want %d", got, c.age, c.want)
		}
	}
}

// TestRoom guards against free capacity of one upstream that is offset by the queue of
// another, and against a wait although a slot is free.
func TestRoom(t *testing.T) {
	var r Room
	r.Add(4, 8, time.Second)
	if r.Free != 0 || r.Total != 4 || r.Wait != 1250*time.Millisecond {
		t.Errorf("one full upstream: %+v", r)
	}
	r.Add(4, 4, time.Second)
	if r.Wait != 250*time.Millisecond {
		t.Errorf("two full upstreams: %+v", r)
	}
	r.Add(4, 3, time.Second)
	if r.Free != 1 || r.Total != 12 || r.Wait != 0 {
		t.Errorf("one free slot: %+v", r)
	}
}

// TestFullSlotsEndALowerStatement guards against a limit that stays low although the upstream states that all of its slots run.
func TestFullSlotsEndALowerStatement(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := NewTracker(EngineConfig(16), time.Time{})
	tracker.RecordStatement(now, call.Load{Running: 6, Waiting: 2, Slots: 16})
	if got := tracker.Limit(now); got != 6 {
		t.Fatalf("limit %d, want 6", got)
	}
	tracker.RecordStatement(now, call.Load{Running: 16, Waiting: 2, Slots: 16})
	if got := tracker.Limit(now); got != 16 {
		t.Errorf("limit %d, want 16", got)
	}
}

// TestRisingFigureIsNotConstant guards against a figure that rises in small steps and loses its weight like one that never changes.
func TestRisingFigureIsNotConstant(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := NewTracker(EngineConfig(16), time.Time{})
	percent := 100.0
	for range 30 {
		now = now.Add(500 * time.Millisecond)
		percent *= 1.05
		tracker.RecordStatement(now, call.Load{Slots: 16, WorkTimePercent: int(percent)})
	}
	if got, want := tracker.SlowdownFactor(now), percent/100; got < 0.9*want {
		t.Errorf("slowdown %.2f, stated %.2f", got, want)
	}
}

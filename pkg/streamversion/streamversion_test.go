package streamversion

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const llm = "llm"

var start = time.Unix(1000, 0)

func serving(versions ...string) map[string]map[string]bool {
	set := map[string]bool{}
	for _, v := range versions {
		set[v] = true
	}
	return map[string]map[string]bool{llm: set}
}

// originOf returns where alone a stream of the service may go on.
func originOf(m *Memory, stream Stream, now time.Time) (Origin, bool) {
	if origin, ok := m.Origin(stream, now); ok {
		return origin, true
	}
	return m.Only([]string{llm}, nil, now)
}

// expectOrigin fails the test unless the origin of a stream is a version, or unknown ("").
func expectOrigin(t *testing.T, m *Memory, stream Stream, now time.Time, want string) {
	t.Helper()
	got, ok := originOf(m, stream, now)
	if ok != (want != "") || got.Software != want && ok {
		t.Errorf("origin %+v, %v; want %q", got, ok, want)
	}
}

// TestUnknownStreamNeedsOneVersionForTheWholeWindow guards against guessing the version of a stream that may have begun at one that has left.
func TestUnknownStreamNeedsOneVersionForTheWholeWindow(t *testing.T) {
	m := NewMemory()
	m.SetServing(serving("v1"), start)
	expectOrigin(t, m, 1, start.Add(minWindow-1), "") // what served before the start is not known
	expectOrigin(t, m, 1, start.Add(minWindow), "v1")
	m.SetServing(serving("v1", "v2"), start.Add(minWindow))
	expectOrigin(t, m, 1, start.Add(minWindow), "")
	m.SetServing(serving("v2"), start.Add(2*minWindow))
	expectOrigin(t, m, 1, start.Add(3*minWindow-1), "")
	expectOrigin(t, m, 1, start.Add(3*minWindow), "v2")
}

// TestVersionThatOthersSawMakesAStreamUnknown guards against guessing the version of a stream that may have begun at one that has come and gone unseen.
func TestVersionThatOthersSawMakesAStreamUnknown(t *testing.T) {
	m := NewMemory()
	m.SetServing(serving("v1"), start)
	for _, c := range []struct {
		lately []string
		want   bool
	}{{nil, true}, {[]string{"v1"}, true}, {[]string{"v1", "v2"}, false}, {[]string{"v2"}, false}} {
		stored := map[string]Served{}
		if c.lately != nil {
			stored[llm] = Served{Versions: c.lately}
		}
		if only, ok := m.Only([]string{llm}, stored, start.Add(minWindow)); ok != c.want || (ok && only != Origin{llm, "v1"}) {
			t.Errorf("others saw %v: %+v, %v; want %v", c.lately, only, ok, c.want)
		}
	}
}

// TestServedVersionsOutlastARestart guards against an instance that forgets, or refuses for long, after a restart of all.
func TestServedVersionsOutlastARestart(t *testing.T) {
	for name, c := range map[string]struct {
		stored []string
		want   string
	}{
		"one":                      {[]string{"v1"}, "v1"},
		"another had just left":    {[]string{"v0", "v1"}, ""},
		"another alone had served": {[]string{"v0"}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			m := NewMemory()
			m.SetServing(serving("v1"), start)
			m.AdoptServed(map[string]Served{llm: {Versions: c.stored}}, start)
			expectOrigin(t, m, 1, start, c.want)
			expectOrigin(t, m, 1, start.Add(minWindow), "v1")
		})
	}
}

// TestLongWaitMakesTheWindowLonger guards against forgetting a version while a caller that waits longer may still take up a stream that began there.
func TestLongWaitMakesTheWindowLonger(t *testing.T) {
	m := NewMemory()
	m.AdoptServed(map[string]Served{}, start)
	m.SetServing(serving("v1"), start)
	m.Begin(Beginning{2, Origin{llm, "v1"}, start.Add(3 * minWindow)}, start)
	m.SetServing(serving("v2"), start)
	expectOrigin(t, m, 1, start.Add(2*minWindow), "")
	expectOrigin(t, m, 2, start.Add(2*minWindow), "v1")
	expectOrigin(t, m, 1, start.Add(3*minWindow), "v2")
	expectOrigin(t, m, 2, start.Add(3*minWindow+1), "v2")
}

// TestStreamsAreToldOnceSeveralVersionsServe guards against streams of which only one instance knows when a second version comes, and against telling them while one version serves.
func TestStreamsAreToldOnceSeveralVersionsServe(t *testing.T) {
	m := NewMemory()
	m.SetServing(serving("v1"), start)
	until := start.Add(time.Minute)
	m.Begin(Beginning{1, Origin{llm, "v1"}, until}, start)
	m.Learn(Beginning{2, Origin{llm, "v1"}, until}, start)
	if told, more := m.Untold(9, start); len(told) > 0 || more {
		t.Errorf("told %v beside one version", told)
	}
	m.SetServing(serving("v1", "v2"), start)
	m.Begin(Beginning{3, Origin{llm, "v2"}, until}, start)
	m.Begin(Beginning{3, Origin{llm, "v2"}, until}, start)
	if told, more := m.Untold(1, start); len(told) != 1 || told[0].Stream != 1 || !more {
		t.Errorf("told %v, more %v; want stream 1 first", told, more)
	}
	if told, more := m.Untold(9, start); len(told) != 1 || told[0].Stream != 3 || more {
		t.Errorf("told %v, more %v; want stream 3", told, more)
	}
}

// TestStreamsAreForgotten guards against memory that grows with the streams that were ever served.
func TestStreamsAreForgotten(t *testing.T) {
	m := NewMemory()
	now := start
	for i := range 3 * maxStreams {
		now = start.Add(time.Duration(i) * time.Millisecond)
		m.Begin(Beginning{Stream(i), Origin{llm, "v1"}, now.Add(8 * time.Second)}, now)
	}
	if n := len(m.streams); n > 9000 {
		t.Errorf("%d streams are remembered, 8,000 run", n)
	}
	for i := range 2 * maxStreams {
		m.Learn(Beginning{Stream(1<<32) + Stream(i), Origin{llm, "v1"}, now.Add(time.Hour)}, now)
	}
	if n := len(m.streams); n > maxStreams {
		t.Errorf("%d streams are remembered, at most %d allowed", n, maxStreams)
	}
}

// TestNoStreamGoesOnAtAnotherVersion guards against a wrong origin after any order of releases, beginnings that were told or not, and restarts of all.
func TestNoStreamGoesOnAtAnotherVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		versions := []string{"v1"}
		fleet := restarted(versions, versions, now)
		var began []Beginning
		for step := range 60 {
			now = now.Add(time.Duration(rapid.IntRange(0, 8000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				versions = rapid.SampledFrom([][]string{{"v1"}, {"v1", "v2"}, {"v2"}, {"v2", "v3"}}).Draw(t, "versions")
				for _, m := range fleet {
					m.SetServing(serving(versions...), now)
				}
			case 1:
				fleet = restarted(versions, fleet[0].Versions(llm, now), now)
			case 2:
				b := Beginning{Stream(step), Origin{llm, rapid.SampledFrom(versions).Draw(t, "software")}, now.Add(8 * time.Second)}
				began = append(began, b)
				fleet[0].Begin(b, now)
				if rapid.Bool().Draw(t, "told") {
					fleet[1].Learn(b, now)
				}
			}
			for _, b := range began {
				for i, m := range fleet {
					if got, ok := originOf(m, b.Stream, now); ok && got != b.Origin && !now.After(b.Until) {
						t.Fatalf("instance %d: stream of %+v goes on at %+v", i, b.Origin, got)
					}
				}
			}
		}
	})
}

// restarted returns two instances that have just started. stored is what the store keeps.
func restarted(versions, stored []string, now time.Time) []*Memory {
	fleet := []*Memory{NewMemory(), NewMemory()}
	for _, m := range fleet {
		m.SetServing(serving(versions...), now)
		m.AdoptServed(map[string]Served{llm: {Versions: stored}}, now)
	}
	return fleet
}

package streamversion

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// servingAll returns services that serve one version each.
func servingAll(names ...string) map[string]map[string]bool {
	out := map[string]map[string]bool{}
	for _, name := range names {
		out[name] = map[string]bool{"v1": true}
	}
	return out
}

// TestStreamsOfSplitRouteAreTold guards against streams that are refused at every instance but the one that relayed them, since each service of their route has one version.
func TestStreamsOfSplitRouteAreTold(t *testing.T) {
	m := restartedAt(servingAll("a", "b", "c"), start)
	m.SetRoutes(Routes{Shared: [][]string{{"a", "b"}}}, start)
	until := start.Add(time.Minute)
	m.Begin(Beginning{1, Origin{"a", "v1"}, until}, start)
	m.Begin(Beginning{2, Origin{"b", "v1"}, until}, start)
	m.Begin(Beginning{3, Origin{"c", "v1"}, until}, start)
	told, _ := m.Untold(9, start)
	if len(told) != 2 || told[0].Stream != 1 || told[1].Stream != 2 {
		t.Errorf("told %v, want streams 1 and 2", told)
	}
	for services, want := range map[string]bool{"a": false, "b": false, "c": true} {
		if _, ok := m.Only([]string{services}, nil, start); ok != want {
			t.Errorf("%s: an origin is inferred: %v, want %v", services, ok, want)
		}
	}
}

// TestStreamsOfMovedRouteAreNotInferred guards against a stream that goes on at the service to which its route has moved since, at instances that did not see it begin.
func TestStreamsOfMovedRouteAreNotInferred(t *testing.T) {
	m := restartedAt(servingAll("a", "b", "c"), start)
	m.Begin(Beginning{1, Origin{"a", "v1"}, start.Add(time.Minute)}, start)
	m.SetRoutes(Routes{Moved: [][]string{{"a", "b"}}}, start)
	m.SetRoutes(Routes{Moved: [][]string{{"b", "c"}}}, start)
	if told, _ := m.Untold(9, start); len(told) != 1 {
		t.Errorf("told %v, want the stream that began before its route moved", told)
	}
	if only, ok := m.Only([]string{"c"}, nil, start.Add(minWindow)); ok {
		t.Errorf("inferred %v, though the route led elsewhere when callers began to wait", only)
	}
	if only, ok := m.Only([]string{"c"}, nil, start.Add(time.Minute)); !ok || only != (Origin{"c", "v1"}) {
		t.Errorf("inferred %v, %v later; want c", only, ok)
	}
}

// TestMovedRouteOutlastsARestart guards against an instance that starts after a route has moved and takes all streams for those of its new service.
func TestMovedRouteOutlastsARestart(t *testing.T) {
	before := restartedAt(servingAll("a", "b"), start)
	before.SetRoutes(Routes{Moved: [][]string{{"a", "b"}}}, start)
	stored := map[string]Served{"b": {Versions: []string{"v1"}, Alternatives: before.Alternatives("b", start)}}
	m := NewMemory()
	m.SetServing(servingAll("a", "b"), start)
	m.AdoptServed(stored, start)
	if only, ok := m.Only([]string{"b"}, nil, start); ok {
		t.Errorf("inferred %v", only)
	}
	late := restartedAt(servingAll("a", "b"), start)
	if only, ok := late.Only([]string{"b"}, stored, start); ok {
		t.Errorf("an instance that does not know the new configuration: inferred %v", only)
	}
}

func restartedAt(serving map[string]map[string]bool, now time.Time) *Memory {
	m := NewMemory()
	m.SetServing(serving, now)
	m.AdoptServed(map[string]Served{}, now)
	return m
}

// TestWhatIsInferredAndWhatIsToldAgree guards against streams that neither are told nor can be inferred, and against wrong origins, after any order of splits and moves of a route, releases and beginnings.
func TestWhatIsInferredAndWhatIsToldAgree(t *testing.T) {
	const wait = 8 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		now := start
		serving := servingAll("a", "b", "c")
		teller, other := restartedAt(serving, now), restartedAt(serving, now)
		route := []string{"a"}
		var began []Beginning
		for step := range 60 {
			now = now.Add(time.Duration(rapid.IntRange(0, 8000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				next := rapid.SampledFrom([][]string{{"a"}, {"b"}, {"a", "b"}, {"b", "c"}, {"a", "b", "c"}}).Draw(t, "route")
				r := Routes{Shared: [][]string{next}, Moved: [][]string{slices.Concat(route, next)}}
				teller.SetRoutes(r, now)
				other.SetRoutes(r, now)
				route = next
			case 1:
				name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "service")
				serving[name] = rapid.SampledFrom([]map[string]bool{{"v1": true}, {"v1": true, "v2": true}, {"v2": true}}).Draw(t, "versions")
				teller.SetServing(serving, now)
				other.SetServing(serving, now)
			default:
				name := rapid.SampledFrom(route).Draw(t, "at")
				software := "v1"
				if !serving[name]["v1"] || (serving[name]["v2"] && rapid.Bool().Draw(t, "new")) {
					software = "v2"
				}
				b := Beginning{Stream(step), Origin{name, software}, now.Add(wait)}
				began = append(began, b)
				teller.Begin(b, now)
			}
			told, _ := teller.Untold(1000, now)
			for _, b := range told {
				other.Learn(b, now)
			}
			for _, b := range began {
				if now.After(b.Until) {
					continue
				}
				got, ok := other.Origin(b.Stream, now)
				if !ok {
					got, ok = other.Only(route, nil, now)
				}
				if !ok || got != b.Origin {
					t.Fatalf("a stream of %+v on a route to %v: %+v, %v", b.Origin, route, got, ok)
				}
			}
		}
	})
}

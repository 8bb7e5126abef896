package fleet

import (
	"testing"
	"time"

	"github.com/fescuestep/fescuestep/pkg/history"
)

func atEra(era, version uint64) history.Position {
	return history.Position{Era: era, Version: version}
}

func available(r *Registry, id string) bool {
	u := r.View().ByID(id)
	return u != nil && !u.Draining
}

func process(id string, startMS int64) *Upstream {
	u := testUpstream(id)
	u.StartTimeMS = startMS
	return u
}

// TestStatedDepartureHolds guards against new requests to an upstream that said in a
// response that it leaves, while the store still lists it as ready, and against a
// process that is shut out because an earlier one with its ID left.
func TestStatedDepartureHolds(t *testing.T) {
	r := NewRegistry()
	r.Put(process("a", 10), at(1), start)
	if !r.Leave(Departure{ID: "a", StartTimeMS: 10, Stated: true}, start) || available(r, "a") {
		t.Error("available after it stated that it leaves")
	}
	r.Put(process("a", 10), at(2), start)
	r.Expire(start.Add(time.Minute))
	if available(r, "a") {
		t.Error("available again because its entry was written again")
	}
	r.Remove("a", at(3), start)
	r.Put(process("a", 10), at(4), start)
	if available(r, "a") {
		t.Error("available again because its entry was removed for a moment")
	}
	r.Put(process("a", 20), at(5), start)
	if !available(r, "a") {
		t.Error("the next process with the ID is not available")
	}
	if r.Leave(Departure{ID: "a", StartTimeMS: 10, Stated: true}, start); !available(r, "a") {
		t.Error("a late departure of the earlier process holds for the next one")
	}
}

// TestDepartureBeforeListing guards against an instance that learns from another one
// that an upstream left, and then reads an older entry of it.
func TestDepartureBeforeListing(t *testing.T) {
	r := NewRegistry()
	r.MarkEraSeen(start)
	r.Leave(Departure{ID: "a", StartTimeMS: 10, At: atEra(1, 100)}, start)
	r.Put(process("a", 10), atEra(2, 90), start)
	if available(r, "a") {
		t.Error("an entry from before the departure is used")
	}
}

// TestCopyBringsNoUpstreamBack guards against an upstream that is used again because
// an older copy of the store lists it as ready: it was draining, or removed.
func TestCopyBringsNoUpstreamBack(t *testing.T) {
	for name, leave := range map[string]func(*Registry){
		"draining": func(r *Registry) {
			u := process("a", 10)
			u.Draining = true
			r.Put(u, atEra(1, 100), start)
		},
		"removed": func(r *Registry) { r.Remove("a", atEra(1, 100), start) },
	} {
		r := NewRegistry()
		r.MarkEraSeen(start)
		r.Put(process("a", 10), atEra(1, 50), start)
		r.Put(process("b", 10), atEra(1, 51), start)
		leave(r)
		restored := start.Add(time.Minute)
		r.MarkStoreRestored(restored)
		r.Put(process("a", 10), atEra(2, 50), restored)
		r.Put(process("b", 10), atEra(2, 51), restored)
		if available(r, "a") || !available(r, "b") {
			t.Errorf("%s: available: a %v, b %v", name, available(r, "a"), available(r, "b"))
		}
		r.Put(process("a", 10), atEra(2, 101), restored)
		if !available(r, "a") {
			t.Errorf("%s: not available although its entry was surely written again", name)
		}
	}
}

// TestOutdatedEntryIsBelievedLater guards against an upstream that is shut out for good
// because its entry was written again under a version of the earlier era.
func TestOutdatedEntryIsBelievedLater(t *testing.T) {
	r := NewRegistry()
	r.MarkEraSeen(start)
	r.Put(process("a", 10), atEra(1, 50), start)
	r.Remove("a", atEra(1, 100), start)
	restored := start.Add(time.Minute)
	r.MarkStoreRestored(restored)
	r.Put(process("a", 10), atEra(2, 80), restored)
	if r.Expire(restored.Add(outdatedEntryPeriod - 1)); available(r, "a") {
		t.Error("believed too early")
	}
	if !r.Expire(restored.Add(outdatedEntryPeriod)) || !available(r, "a") {
		t.Error("still not available, although the platform would have removed an entry of the copy")
	}
}

// TestUpstreamMissingFromCopyStays guards against dropping upstreams that started after
// the copy was taken, until they write their entries again.
func TestUpstreamMissingFromCopyStays(t *testing.T) {
	r := NewRegistry()
	r.Put(process("a", 10), atEra(1, 50), start)
	r.MarkStoreRestored(start)
	r.Remove("a", atEra(2, 40), start)
	if !available(r, "a") {
		t.Error("dropped at once")
	}
	r.Put(process("a", 10), atEra(2, 45), start)
	r.Expire(start.Add(time.Hour))
	if !available(r, "a") {
		t.Error("dropped although its entry was written again")
	}
}

// TestDeparturesAreForgotten guards against memory that grows with every upstream that
// ever left.
func TestDeparturesAreForgotten(t *testing.T) {
	r := NewRegistry()
	r.Put(process("a", 10), at(1), start)
	r.Leave(Departure{ID: "a", StartTimeMS: 10, Stated: true}, start)
	r.Remove("a", at(2), start)
	r.Expire(start)
	if r.Expire(start.Add(departureMemory)); len(r.Departures()) != 1 {
		t.Error("forgotten too early")
	}
	if r.Expire(start.Add(departureMemory + time.Second)); len(r.Departures()) != 0 {
		t.Error("never forgotten")
	}
}

// TestUnknownProcessIsNotShutOut guards against an upstream that gets no requests for
// good because an earlier process with its ID left, and neither states its start time.
func TestUnknownProcessIsNotShutOut(t *testing.T) {
	r := NewRegistry()
	r.Put(process("a", 0), at(1), start)
	r.Leave(Departure{ID: "a", Stated: true}, start)
	r.Expire(start.Add(unknownProcessMemory))
	if available(r, "a") {
		t.Error("available too early")
	}
	if r.Expire(start.Add(unknownProcessMemory + time.Second)); !available(r, "a") {
		t.Error("shut out for good")
	}
}

// TestLateReportBringsNoDrainingProcessBack guards against an upstream that is used again, because the store carries out a report from before its departure after that.
func TestLateReportBringsNoDrainingProcessBack(t *testing.T) {
	r := NewRegistry()
	draining := process("a", 10)
	draining.Draining = true
	r.Put(draining, at(5), start)
	r.Put(process("a", 10), at(6), start)
	if available(r, "a") {
		t.Error("a process that drains is available again")
	}
	r.Remove("a", at(7), start)
	r.Put(process("a", 10), at(8), start)
	if available(r, "a") {
		t.Error("a process that drained is available again after its removal")
	}
	r.Put(process("a", 20), at(9), start)
	if !available(r, "a") {
		t.Error("the next process with the ID is not available")
	}
	r.Remove("a", at(10), start)
	r.Put(process("a", 20), at(11), start)
	if !available(r, "a") {
		t.Error("a process whose entry lapsed is not available again")
	}
}

// TestDrainingProcessIsBelievedLater guards against an upstream that is shut out for good, because a foreign row listed it as draining.
func TestDrainingProcessIsBelievedLater(t *testing.T) {
	r := NewRegistry()
	draining := process("a", 10)
	draining.Draining = true
	r.Put(draining, at(5), start)
	r.Put(process("a", 10), at(6), start)
	if r.Expire(start.Add(outdatedEntryPeriod - 1)); available(r, "a") {
		t.Error("believed too early")
	}
	if !r.Expire(start.Add(outdatedEntryPeriod)) || !available(r, "a") {
		t.Error("still not available, although reports from before have long been carried out")
	}
}

// TestEntryWithoutStartTimeBringsNoUpstreamBack guards against requests to an upstream that leaves, since another writer left an entry without a start time under its key.
func TestEntryWithoutStartTimeBringsNoUpstreamBack(t *testing.T) {
	leaves := map[string]func(r *Registry){
		"listed as draining": func(r *Registry) {
			draining := process("a", 10)
			draining.Draining = true
			r.Put(draining, at(2), start)
		},
		"stated":  func(r *Registry) { r.Leave(Departure{ID: "a", StartTimeMS: 10, Stated: true}, start) },
		"removed": func(r *Registry) { r.Remove("a", at(2), start) },
	}
	for name, leave := range leaves {
		r := NewRegistry()
		r.Put(process("a", 10), at(1), start)
		leave(r)
		later := start.Add(10 * time.Second)
		if r.Put(testUpstream("a"), at(3), later); available(r, "a") {
			t.Errorf("%s: available again by an entry without a start time", name)
		}
		r.Expire(later.Add(time.Minute))
		if r.Remove("a", at(4), later); available(r, "a") {
			t.Errorf("%s: available after the odd entry was removed", name)
		}
		if r.Put(testUpstream("a"), at(5), later); available(r, "a") {
			t.Errorf("%s: available by a second odd entry", name)
		}
		if r.Put(process("a", 20), at(6), later); !available(r, "a") {
			t.Errorf("%s: the next process with the ID is not available", name)
		}
	}
}

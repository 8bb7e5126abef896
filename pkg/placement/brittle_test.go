package placement

import (
	"errors"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/fescuestep/fescuestep/pkg/fleet"
	"github.com/fescuestep/fescuestep/pkg/routing"
)

// newBrittleBalancer returns a balancer with one plain upstream of 8 slots that is
// brittle, and three other instances.
func newBrittleBalancer(now time.Time, maxRefusals int) (*Balancer, *Attempt) {
	b := NewBalancer(Config{Instance: "self"}, rand.New(rand.NewPCG(1, 2)))
	u := &fleet.Upstream{ID: "p0", Service: "orders", Slots: 8}
	b.SetView(fleet.NewView([]*fleet.Upstream{u}))
	for _, name := range []string{"a", "b", "c"} {
		b.Limits().AddInstance(name)
	}
	a := &Attempt{Upstream: u, sentAt: now}
	b.RecordBrittle(a, maxRefusals, now)
	return b, a
}

func pickOrders(b *Balancer, now time.Time) (*Attempt, error) {
	a, _, err := b.Pick(now, Query{Service: &routing.Service{Name: "orders"}})
	return a, err
}

// TestBrittleUpstreamGetsOwnPlacesOnly guards against several instances that fill the same places of an upstream that ends under refusals, and against refusing requests that another instance has a place for.
func TestBrittleUpstreamGetsOwnPlacesOnly(t *testing.T) {
	now := time.Unix(1000, 0)
	b, _ := newBrittleBalancer(now, 3)
	own := b.Limits().OwnPlaces("p0", 8)
	sent := 0
	for ; sent < 20; sent++ {
		a, err := pickOrders(b, now)
		if err != nil {
			break
		}
		b.Begin(a, now)
	}
	if sent != own {
		t.Errorf("%d requests were sent to an idle upstream, want %d, the own places", sent, own)
	}
	_, err := pickOrders(b, now)
	var none *NoUpstreamError
	if !errors.As(err, &none) || len(none.PlaceOwners) != 3 || slices.Contains(none.PlaceOwners, "self") {
		t.Errorf("%v, owners %v; want the three other instances", err, none)
	}
	b.SetPeerWork(map[string]Work{"p0": {Requests: 4}}, KnowledgeAge{}, now)
	if _, err := pickOrders(b, now); err == nil {
		t.Error("a request beyond the own places beside the work of others")
	}
}

// TestRefusalOfIdleBrittleUpstreamHolds guards against trying an upstream again before it bears another refusal, and against a told refusal that shortens a longer hold.
func TestRefusalOfIdleBrittleUpstreamHolds(t *testing.T) {
	now := time.Unix(1000, 0)
	b, a := newBrittleBalancer(now, 2)
	r, tell := b.RecordRefusal(a.Upstream, now)
	if !tell || r.Hold < time.Second {
		t.Errorf("told %v, held back for %s after a refusal; three a second are fatal", tell, r.Hold)
	}
	b.ApplyRefusal(Refusal{"p0", 1, 10 * time.Millisecond}, now)
	if _, err := pickOrders(b, now.Add(r.Hold-1)); err == nil {
		t.Error("tried again within the hold")
	}
	for n := time.Duration(2); ; n++ { // until the place that is tried first is this instance's
		if _, err := pickOrders(b, now.Add(n*r.Hold)); err == nil {
			break
		}
		if n > 20 {
			t.Fatal("not tried again")
		}
	}
}

// TestRefusalHalvesTheRoom guards against many refusals by an upstream that has less room than it states, and against leaving its room unused for long.
func TestRefusalHalvesTheRoom(t *testing.T) {
	now := time.Unix(1000, 0)
	b, a := newBrittleBalancer(now, 2)
	b.SetPeerWork(map[string]Work{"p0": {Requests: 7}}, KnowledgeAge{}, now)
	if r, _ := b.RecordRefusal(a.Upstream, now); r.Room != 3 || r.Hold > refusedBusyTime {
		t.Errorf("%+v after a refusal beside 6 requests", r)
	}
	known := b.brittle["orders"]
	if early, late := b.placesAt(a.Upstream, known, now.Add(900*time.Millisecond)), b.placesAt(a.Upstream, known, now.Add(10*time.Second)); early != 3 || late != 8 {
		t.Errorf("room %d after 0.9 s and %d after 10 s", early, late)
	}
}

// TestNextProcessOfBrittleUpstreamBeginsWithTheLearnedRoom guards against an upstream that ends again as soon as it is back, since nobody remembers how little room it had.
func TestNextProcessOfBrittleUpstreamBeginsWithTheLearnedRoom(t *testing.T) {
	now := time.Unix(1000, 0)
	b, a := newBrittleBalancer(now, 2)
	b.SetPeerWork(map[string]Work{"p0": {Requests: 7}}, KnowledgeAge{}, now)
	b.RecordRefusal(a.Upstream, now)
	next := &fleet.Upstream{ID: "p0", Service: "orders", Slots: 8, StartTimeMS: 1}
	b.SetView(fleet.NewView([]*fleet.Upstream{next}))
	if places := b.placesAt(next, b.brittle["orders"], now); places != 3 {
		t.Errorf("the next process has room for %d requests, want 3", places)
	}
}

// TestBrittleEndsWithAnswersWithoutIt guards against a statement that holds for ever, and one that an answer from before it ends.
func TestBrittleEndsWithAnswersWithoutIt(t *testing.T) {
	now := time.Unix(1000, 0)
	b, a := newBrittleBalancer(now, 2)
	if b.RecordNotBrittle(a, now.Add(time.Second)) {
		t.Error("ended by the answer to an earlier request")
	}
	later := &Attempt{Upstream: a.Upstream, sentAt: now.Add(time.Second)}
	if !b.RecordNotBrittle(later, now.Add(2*time.Second)) {
		t.Error("not ended by the answer to a later request")
	}
	if _, tell := b.RecordRefusal(a.Upstream, now); tell {
		t.Error("a refusal is told after the statement has ended")
	}
}

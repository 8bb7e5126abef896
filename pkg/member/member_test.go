package member_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/external"
	"github.com/fescuestep/fescuestep/pkg/member"
)

func membership(n int) config.Membership {
	var m config.Membership
	for i := range n {
		m.Members = append(m.Members, config.Member{ID: fmt.Sprintf("r%03d", i), Incarnation: "1", Domain: fmt.Sprint("d", i%7)})
	}
	return m
}

// Guards against shares that move when an instance that does not hold them
// joins or leaves: each moved share is temporarily unavailable.
func TestShareHoldersMoveMinimally(t *testing.T) {
	before := membership(100)
	after := config.Membership{Members: before.Members[1:]}
	removed := before.Members[0].ID
	for i := range 500 {
		customer := fmt.Sprint("customer", i)
		held := false
		old := map[string]bool{}
		for _, x := range member.ShareHolders(before, customer) {
			held = held || x.ID == removed
			old[x.ID] = true
		}
		moved := 0
		for _, x := range member.ShareHolders(after, customer) {
			if !old[x.ID] {
				moved++
			}
		}
		if held && moved != 1 || !held && moved != 0 {
			t.Fatalf("%s: %d holders changed; the removed instance was a holder: %v", customer, moved, held)
		}
	}
}

// Guards against the choice of a leaving instance as share holder or relay.
func TestLeavingMembersAreNotChosen(t *testing.T) {
	m := membership(3)
	m.Members[1].Leaving = true
	for _, x := range append(member.ShareHolders(m, "guild"), member.Relays(m, "d1")...) {
		if x.Leaving {
			t.Fatalf("leaving member %s is chosen", x.ID)
		}
	}
	if len(m.Members) != 3 {
		t.Fatal("the membership was modified")
	}
}

// Guards against a late leave that removes the newer incarnation of an instance,
// and against a join that results in two incarnations of one ID.
func TestBatchKeepsIncarnationsApart(t *testing.T) {
	m := membership(2)
	joined, changed := member.Batch{Joins: []config.Member{{ID: "r000", Incarnation: "2"}}}.Apply(m)
	if !changed || len(joined.Members) != 2 || joined.Members[0].Incarnation != "2" {
		t.Fatalf("members %v", joined)
	}
	same, changed := member.Batch{Leaves: []member.IncarnationKey{{ID: "r000", Incarnation: "1"}}}.Apply(joined)
	if changed {
		t.Fatal("a late leave removed the newer incarnation: " + cmp.Diff(joined, same))
	}
	if m.Members[0].Incarnation != "1" {
		t.Fatal("the original membership was modified")
	}
}

// Guards against the removal of a member that is missing from the instance list
// only for a while or because the list is empty.
func TestRemovalNeedsContinuousAbsence(t *testing.T) {
	m := membership(2)
	tracker := member.NewAbsenceTracker(10*time.Second, 3*time.Second)
	absent := []external.Instance{{ID: "r001"}}
	both := append(absent, external.Instance{ID: "r000"})
	observations := []struct {
		at     time.Duration
		listed []external.Instance
		gone   int
	}{
		{0, absent, 0}, {2, both, 0}, {4, absent, 0}, {6, absent, 0}, {10, absent, 0}, // the gap from 6 to 10 s is too long
		{12, absent, 0}, {14, absent, 0}, {16, absent, 0}, {18, absent, 0}, {19, nil, 0}, // the empty list restarts the grace period
		{20, absent, 0}, {22, absent, 0}, {24, absent, 0}, {26, absent, 0}, {28, absent, 0}, {29, absent, 0}, {30, absent, 1},
	}
	for _, o := range observations {
		if got := tracker.RemovalCandidates(o.at*time.Second, m, o.listed); len(got) != o.gone {
			t.Fatalf("at %d s: removal candidates %v, want %d", o.at, got, o.gone)
		}
	}
}

// TestRelaysHaveWideLinks guards against changes that pass the narrow links of a failure domain first, and against a domain without relays when its wide members are gone.
func TestRelaysHaveWideLinks(t *testing.T) {
	var members []member.Linked
	for i := range 60 {
		m := member.Linked{Member: config.Member{ID: fmt.Sprint("n", i), Domain: "z"}, LinkMbps: 10}
		if i < 2 {
			m.LinkMbps = 200
		}
		members = append(members, m)
	}
	if got := member.LinkedRelays(members, "z"); len(got) != 3 || got[0].ID > "n1" || got[1].ID > "n1" {
		t.Errorf("relays: %+v", got)
	}
	members[0].Leaving, members[1].Leaving = true, true
	if got := member.LinkedRelays(members, "z"); len(got) != 3 {
		t.Errorf("without the wide members: %+v", got)
	}
	var plain config.Membership
	for i := range members {
		members[i].LinkMbps = 0
		plain.Members = append(plain.Members, members[i].Member)
	}
	if got, want := member.LinkedRelays(members, "z"), member.Relays(plain, "z"); !slices.Equal(got, want) {
		t.Errorf("links are not known: %+v, want %+v", got, want)
	}
}

package member_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/external"
	"github.com/fescuestep/fescuestep/pkg/member"
)

func fleet(n int) config.Membership {
	var m config.Membership
	for i := range n {
		m.Members = append(m.Members, config.Member{ID: fmt.Sprintf("r%03d", i), Incarnation: "1", Domain: fmt.Sprint("d", i%7)})
	}
	return m
}

// Guards against shares that move when an instance that does not hold them
// joins or leaves: every moved share is unavailable for a while.
func TestHoldersMoveLittle(t *testing.T) {
	before := fleet(100)
	after := config.Membership{Members: before.Members[1:]}
	gone := before.Members[0].ID
	for i := range 500 {
		customer := fmt.Sprint("customer", i)
		held := false
		old := map[string]bool{}
		for _, x := range member.ShareHolders(before, customer) {
			held = held || x.ID == gone
			old[x.ID] = true
		}
		moved := 0
		for _, x := range member.ShareHolders(after, customer) {
			if !old[x.ID] {
				moved++
			}
		}
		if held && moved != 1 || !held && moved != 0 {
			t.Fatalf("%s: %d holders moved, held by the leaving instance: %v", customer, moved, held)
		}
	}
}

// Guards against shares or relays at an instance that is leaving.
func TestLeavingMembersAreNotChosen(t *testing.T) {
	m := fleet(3)
	m.Members[1].Leaving = true
	for _, x := range append(member.ShareHolders(m, "guild"), member.Relays(m, "d1")...) {
		if x.Leaving {
			t.Fatalf("%s is chosen", x.ID)
		}
	}
	if len(m.Members) != 3 {
		t.Fatal("the membership was modified")
	}
}

// Guards against a late leave that removes the successor, and against a join
// that leaves two incarnations of one ID.
func TestBatchKeepsIncarnationsApart(t *testing.T) {
	m := fleet(2)
	joined, changed := member.Batch{Joins: []config.Member{{ID: "r000", Incarnation: "2"}}}.Apply(m)
	if !changed || len(joined.Members) != 2 || joined.Members[0].Incarnation != "2" {
		t.Fatalf("members %v", joined)
	}
	same, changed := member.Batch{Leaves: []member.IncarnationKey{{ID: "r000", Incarnation: "1"}}}.Apply(joined)
	if changed {
		t.Fatal("a late leave removed the successor: " + cmp.Diff(joined, same))
	}
	if m.Members[0].Incarnation != "1" {
		t.Fatal("the older membership was modified")
	}
}

// Guards against the removal of a member that the list shows late, misses once
// or misses because it is empty.
func TestWatchNeedsLastingAbsence(t *testing.T) {
	m := fleet(2)
	w := member.NewAbsenceTracker(10*time.Second, 3*time.Second)
	one := []external.Instance{{ID: "r001"}}
	both := append(one, external.Instance{ID: "r000"})
	looks := []struct {
		at     time.Duration
		listed []external.Instance
		gone   int
	}{
		{0, one, 0}, {2, both, 0}, {4, one, 0}, {6, one, 0}, {10, one, 0}, // too long without a look
		{12, one, 0}, {14, one, 0}, {16, one, 0}, {18, one, 0}, {19, nil, 0}, // empty: starts again
		{20, one, 0}, {22, one, 0}, {24, one, 0}, {26, one, 0}, {28, one, 0}, {29, one, 0}, {30, one, 1},
	}
	for _, l := range looks {
		if got := w.RemovalCandidates(l.at*time.Second, m, l.listed); len(got) != l.gone {
			t.Fatalf("at %d s: gone %v, want %d", l.at, got, l.gone)
		}
	}
}

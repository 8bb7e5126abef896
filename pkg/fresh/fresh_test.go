package fresh_test

import (
	"testing"
	"time"

	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/fresh"
)

func membership(ids ...string) config.Membership {
	var m config.Membership
	for _, id := range ids {
		m.Members = append(m.Members, config.Member{ID: id, Incarnation: id + "1"})
	}
	return m
}

func trackerAt(revision uint64, member bool) *fresh.Tracker {
	t := fresh.NewTracker(fresh.DefaultParams())
	t.SetRevision(revision, member)
	return t
}

// Guards against freshness of an instance whose acknowledgement isn't needed: a
// non-member reads the table, all members acknowledge the next change, and the
// non-member still acts on the older revision.
func TestNonMemberIsNotFreshByTable(t *testing.T) {
	x := trackerAt(3, false)
	x.RecordHead(time.Second, 3)
	if x.Fresh(time.Second) {
		t.Fatal("a non-member is fresh after a read of the table")
	}
	x.RecordRelayed(time.Second, 0, 3)
	if !x.Fresh(time.Second) {
		t.Fatal("a non-member is not fresh after a member relayed evidence to it")
	}
}

// Guards against unanimous acceptance while a non-member may still rely on an
// earlier statement of a member.
func TestGrantDelaysUnanimousAcceptance(t *testing.T) {
	p := fresh.DefaultParams()
	sender := trackerAt(3, true)
	sender.RecordHead(0, 3)
	if s := sender.StatementFor(time.Second, false); !s.Fresh {
		t.Fatal("the member is not fresh")
	}
	sender.SetRevision(4, true)
	a := fresh.NewAcceptance(p, 4, []config.Membership{membership("a")})
	a.RecordAcknowledgement(time.Second, "a", "a1", 4, sender.GrantsExpired(time.Second))
	if a.Accepted(time.Second) {
		t.Fatal("accepted before the grant to a non-member expired")
	}
	end := time.Second + p.Window + p.Margin
	a.RecordAcknowledgement(end-1, "a", "a1", 4, sender.GrantsExpired(end))
	if !a.Accepted(end - 1) {
		t.Fatal("not accepted although the only member acknowledged it after its grants expired")
	}
	sender.StatementFor(end, false)
	if !sender.GrantsExpired(end) {
		t.Fatal("a statement about the acknowledged revision delays its acceptance")
	}
	sender.SetRevision(5, true)
	if sender.GrantsExpired(end) {
		t.Fatal("a statement about revision 4 does not delay the acceptance of 5")
	}
}

// Guards against counting the vote of a restarted instance: its predecessor may
// have acknowledged a newer revision, which the new incarnation does not know.
func TestPollCountsRecordedIncarnationsOnly(t *testing.T) {
	poll := fresh.NewPoll(0, 3, membership("a", "b", "c"))
	yes := fresh.Statement{Revision: 3, Member: true}
	poll.RecordAnswer("a", "a1", yes)
	poll.RecordAnswer("a", "a1", yes)
	poll.RecordAnswer("b", "b2", yes)
	poll.RecordAnswer("c", "c1", fresh.Statement{Revision: 3})
	if poll.HasMajority() {
		t.Fatal("a repeated vote, another incarnation or an instance without state counted")
	}
	poll.RecordAnswer("b", "b1", yes)
	if !poll.HasMajority() {
		t.Fatal("two of three members are no majority")
	}
}

// Guards against relayed evidence that is valid for longer than the original.
func TestRelayedEvidenceKeepsItsAge(t *testing.T) {
	x := trackerAt(3, true)
	x.RecordRelayed(10*time.Second, 1500*time.Millisecond, 3)
	if end := 10500 * time.Millisecond; !x.Fresh(end-1) || x.Fresh(end) {
		t.Fatal("the window does not start at the relay's own evidence")
	}
	x.RecordRelayed(10*time.Second, -time.Second, 3)
	if x.Fresh(10500 * time.Millisecond) {
		t.Fatal("a negative age extended the window")
	}
}

// Guards against freshness from evidence about a revision that is not held yet.
func TestEvidenceWaitsForItsRevision(t *testing.T) {
	x := trackerAt(3, true)
	x.RecordHead(time.Second, 5)
	if x.Fresh(time.Second) {
		t.Fatal("fresh with a revision older than the head")
	}
	x.SetRevision(4, true)
	if x.Fresh(time.Second) {
		t.Fatal("fresh with a revision older than the head")
	}
	x.SetRevision(5, true)
	if !x.Fresh(time.Second) {
		t.Fatal("not fresh with the head's revision")
	}
	if x.SetRevision(4, true) || x.Revision() != 5 {
		t.Fatal("the revision went back")
	}
}

// Guards against acceptance by a majority of the newest membership alone:
// members removed since the last accepted revision may still be fresh.
func TestAcceptanceNeedsEveryElectorate(t *testing.T) {
	p := fresh.DefaultParams()
	a := fresh.NewAcceptance(p, 2, []config.Membership{membership("a", "b", "c"), membership("a")})
	a.RecordAcknowledgement(0, "a", "a1", 2, true)
	if a.Accepted(time.Hour) {
		t.Fatal("accepted without a majority of the older membership")
	}
	a.RecordAcknowledgement(0, "b", "b1", 2, true)
	if a.Accepted(p.Window) || !a.Accepted(p.Window+p.Margin) {
		t.Fatal("the revision is not accepted exactly when the window of the third member ends")
	}
	if got := a.Unacknowledged(); len(got) != 1 || got[0] != "c" {
		t.Fatalf("unacknowledged members %v, want c", got)
	}
}

// Guards against a removed instance that stays fresh: once it has acknowledged
// its removal and that is accepted, the next change is accepted without its
// acknowledgement.
func TestRemovedMemberLosesItsEvidence(t *testing.T) {
	x := trackerAt(3, true)
	x.RecordHead(time.Second, 3)
	x.RecordRelayed(time.Second, 0, 4)
	x.SetRevision(5, false)
	if x.Fresh(time.Second) {
		t.Fatal("fresh on evidence from its time as a member")
	}
	x.RecordRelayed(time.Second, 0, 4)
	if x.Fresh(time.Second) {
		t.Fatal("fresh on evidence about an older revision")
	}
	x.RecordRelayed(time.Second, 0, 5)
	if !x.Fresh(time.Second) {
		t.Fatal("not fresh although a member relayed evidence to it")
	}
}

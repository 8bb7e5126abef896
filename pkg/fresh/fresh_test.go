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

func holding(revision uint64, member bool) *fresh.Tracker {
	t := fresh.NewTracker(fresh.DefaultParams())
	t.SetRevision(revision, member)
	return t
}

// Guards against freshness of an instance that nobody waits for: a non-member
// reads the table, the next change is acknowledged by all members, and the
// non-member still acts on the older one.
func TestNonMemberIsNotFreshByTable(t *testing.T) {
	x := holding(3, false)
	x.RecordHead(time.Second, 3)
	if x.Fresh(time.Second) {
		t.Fatal("a non-member is fresh after a read of the table")
	}
	x.RecordRelayed(time.Second, 0, 3)
	if !x.Fresh(time.Second) {
		t.Fatal("a non-member is not fresh after a member vouched for it")
	}
}

// Guards against unanimous acceptance while a non-member may still rely on what
// a member told it before.
func TestVouchDelaysUnanimousAcceptance(t *testing.T) {
	p := fresh.DefaultParams()
	speaker := holding(3, true)
	speaker.RecordHead(0, 3)
	if s := speaker.StatementFor(time.Second, false); !s.Fresh {
		t.Fatal("the member is not fresh")
	}
	speaker.SetRevision(4, true)
	a := fresh.NewAcceptance(p, 4, []config.Membership{membership("a")})
	a.RecordAcknowledgement(time.Second, "a", "a1", 4, speaker.GrantsExpired(time.Second))
	if a.Accepted(time.Second) {
		t.Fatal("accepted while the vouched window is open")
	}
	end := time.Second + p.Window + p.Margin
	a.RecordAcknowledgement(end-1, "a", "a1", 4, speaker.GrantsExpired(end))
	if !a.Accepted(end - 1) {
		t.Fatal("not accepted although the only member acknowledged clearly")
	}
	speaker.StatementFor(end, false)
	if !speaker.GrantsExpired(end) {
		t.Fatal("a statement about the acknowledged revision delays its acceptance")
	}
	speaker.SetRevision(5, true)
	if speaker.GrantsExpired(end) {
		t.Fatal("a statement about revision 4 does not delay the acceptance of 5")
	}
}

// Guards against a vote of a restarted instance: its predecessor may have
// acknowledged a revision that the instance does not remember.
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

// Guards against evidence that lasts longer because it was passed on.
func TestRelayedEvidenceKeepsItsAge(t *testing.T) {
	x := holding(3, true)
	x.RecordRelayed(10*time.Second, 1500*time.Millisecond, 3)
	if end := 10500 * time.Millisecond; !x.Fresh(end-1) || x.Fresh(end) {
		t.Fatal("the window does not start at the relay's own evidence")
	}
	x.RecordRelayed(10*time.Second, -time.Second, 3)
	if x.Fresh(10500 * time.Millisecond) {
		t.Fatal("a negative age extended the window")
	}
}

// Guards against evidence about a revision that is not held yet.
func TestEvidenceWaitsForItsRevision(t *testing.T) {
	x := holding(3, true)
	x.RecordHead(time.Second, 5)
	if x.Fresh(time.Second) {
		t.Fatal("fresh with an older revision than the head")
	}
	x.SetRevision(4, true)
	if x.Fresh(time.Second) {
		t.Fatal("fresh with an older revision than the head")
	}
	x.SetRevision(5, true)
	if !x.Fresh(time.Second) {
		t.Fatal("not fresh with the head's revision")
	}
	if x.SetRevision(4, true) || x.Revision() != 5 {
		t.Fatal("the revision went back")
	}
}

// Guards against acceptance by the newest membership alone: members that were
// removed since the last accepted revision may still be fresh.
func TestAcceptanceNeedsEveryElectorate(t *testing.T) {
	p := fresh.DefaultParams()
	a := fresh.NewAcceptance(p, 2, []config.Membership{membership("a", "b", "c"), membership("a")})
	a.RecordAcknowledgement(0, "a", "a1", 2, true)
	if a.Accepted(time.Hour) {
		t.Fatal("accepted without a majority of the older membership")
	}
	a.RecordAcknowledgement(0, "b", "b1", 2, true)
	if a.Accepted(p.Window) || !a.Accepted(p.Window+p.Margin) {
		t.Fatal("the window of the third member is not waited for")
	}
	if got := a.Unacknowledged(); len(got) != 1 || got[0] != "c" {
		t.Fatalf("pending %v, want c", got)
	}
}

// Guards against a removed instance that stays fresh: once it has acknowledged
// its removal and that is accepted, the next change does not wait for it.
func TestRemovedMemberLosesItsEvidence(t *testing.T) {
	x := holding(3, true)
	x.RecordHead(time.Second, 3)
	x.RecordRelayed(time.Second, 0, 4)
	x.SetRevision(5, false)
	if x.Fresh(time.Second) {
		t.Fatal("fresh on what it learned as a member")
	}
	x.RecordRelayed(time.Second, 0, 4)
	if x.Fresh(time.Second) {
		t.Fatal("fresh on evidence about an older revision")
	}
	x.RecordRelayed(time.Second, 0, 5)
	if !x.Fresh(time.Second) {
		t.Fatal("not fresh although a member vouched for it")
	}
}

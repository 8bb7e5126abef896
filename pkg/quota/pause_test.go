package quota

import (
	"testing"
	"time"

	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/fresh"
)

// soleHolderSnapshot returns a snapshot in which one instance holds the customer's
// whole quota.
func soleHolderSnapshot(revision uint64, id string) *config.Snapshot {
	d := &config.Deployment{Customers: []config.Customer{{ID: "guild", RatePerSecond: 1000, Burst: 1000}}}
	m := config.Membership{Members: []config.Member{{ID: id, Incarnation: "1"}}}
	return config.Restore(revision, []*config.Deployment{d}, nil, m)
}

// TestPausedHolderAndMembershipChange guards against tokens that are spent twice when
// a holder is paused while a membership change moves its share to another instance:
// by the old holder after it resumes, by an instance that receives the old holder's
// grant late, or by the new holder before the leases of all grants have ended.
func TestPausedHolderAndMembershipChange(t *testing.T) {
	const paused, accepted = 7500 * time.Millisecond, 10 * time.Second
	const resumed = accepted + 100*time.Millisecond
	tracker := fresh.NewTracker(fresh.DefaultParams())
	oldHolder, newHolder := NewHolder("a", "1", LeaseDuration), NewHolder("b", "1", LeaseDuration)
	for _, h := range []*Holder{oldHolder, newHolder} {
		h.OnSnapshot(0, config.NewSnapshot(), false)
		h.OnSnapshot(0, soleHolderSnapshot(1, "a"), true)
		h.OnAccepted(0, 1)
		h.OnAccepted(5*time.Second, 1)
	}
	tracker.Hold(1, true)
	tracker.Head(paused, 1)
	if !tracker.Fresh(paused) {
		t.Fatal("the holder is not fresh before its pause")
	}
	granted := oldHolder.IssueGrant(paused, "guild", 500)
	if granted.Tokens != 500 {
		t.Fatalf("%d tokens granted before the pause, want 500", granted.Tokens)
	}
	pool := NewGrantPool(LeaseDuration)
	lateGrant := GrantPart{GrantID: GrantID{Holder: "a", Incarnation: "1", Number: granted.Number}, Tokens: granted.Tokens}
	if pool.Add(resumed, paused, lateGrant) || pool.Total(resumed) > 0 {
		t.Error("a grant that arrived after its lease can be spent")
	}
	if tracker.Fresh(resumed) {
		t.Error("the holder is fresh when it resumes")
	}
	newHolder.OnSnapshot(accepted-time.Second, soleHolderSnapshot(2, "b"), true)
	for now := accepted - time.Second; now < accepted+LeaseDuration; now += 10 * time.Millisecond {
		if now >= accepted {
			newHolder.OnAccepted(now, 2)
		}
		if level, _ := newHolder.Level(now, "guild"); level > 0 {
			t.Fatalf("the new holder has %d tokens %v after the acceptance, before the lease ended", level, now-accepted)
		}
	}
	newHolder.OnAccepted(accepted+LeaseDuration, 2)
	if level, _ := newHolder.Level(accepted+LeaseDuration+time.Second, "guild"); level == 0 {
		t.Error("the new holder never gets tokens")
	}
}

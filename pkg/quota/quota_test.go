package quota_test

import (
	"testing"
	"time"

	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/quota"
)

// newSoleHolder returns the only holder of the customer's quota. Its bucket is full
// at time ready.
func newSoleHolder(t testing.TB, ratePerSecond, burstTokens float64) (h *quota.Holder, ready time.Duration) {
	t.Helper()
	h = quota.NewHolder("a", "1", quota.LeaseDuration)
	s := snapshotOf(t, 1, []string{"a"}, ratePerSecond, burstTokens)
	h.OnSnapshot(0, s, false)
	h.OnAccepted(0, s.Revision)
	h.OnAccepted(quota.LeaseDuration, s.Revision)
	return h, time.Hour
}

func snapshotOf(t testing.TB, revision uint64, ids []string, ratePerSecond, burstTokens float64) *config.Snapshot {
	t.Helper()
	var m config.Membership
	for _, id := range ids {
		m.Members = append(m.Members, config.Member{ID: id, Incarnation: "1"})
	}
	d := &config.Deployment{Name: "ucab", Customers: []config.Customer{{ID: "guild", RatePerSecond: ratePerSecond, Burst: burstTokens}}}
	return config.Restore(revision, []*config.Deployment{d}, nil, m)
}

// Guards against a holder that grants right after its start, when grants of the
// instance's previous incarnation may still be in use, or that starts with a full
// bucket.
func TestHolderStartsEmptyAfterLease(t *testing.T) {
	h := quota.NewHolder("a", "1", quota.LeaseDuration)
	s := snapshotOf(t, 5, []string{"a"}, 1000, 500)
	h.OnSnapshot(0, s, false)
	h.OnAccepted(time.Second, 4)
	h.OnAccepted(time.Hour, 4)
	if g := h.IssueGrant(time.Hour, "guild", 10); g.Tokens != 0 {
		t.Fatalf("%d tokens granted before the revision is accepted", g.Tokens)
	}
	h.OnAccepted(time.Hour, 5)
	h.OnAccepted(time.Hour+quota.LeaseDuration-1, 5)
	if g := h.IssueGrant(time.Hour+quota.LeaseDuration-1, "guild", 10); g.Tokens != 0 {
		t.Fatalf("%d tokens granted within the lease", g.Tokens)
	}
	start := time.Hour + quota.LeaseDuration
	h.OnAccepted(start, 5)
	if g := h.IssueGrant(start+100*time.Millisecond, "guild", 500); g.Tokens != 100 {
		t.Fatalf("%d tokens after 100 ms, want 100", g.Tokens)
	}
}

// Guards against a share that grows while the instances that held the rest of it may
// still use it, and against a share that shrinks late.
func TestShareChanges(t *testing.T) {
	h, now := newSoleHolder(t, 1000, 600)
	h.OnSnapshot(now, snapshotOf(t, 2, []string{"a", "b"}, 1000, 600), true)
	if level, _ := h.Level(now, "guild"); level != 300 {
		t.Fatalf("level %d after the share was halved, want 300", level)
	}
	h.OnSnapshot(now, snapshotOf(t, 3, []string{"a"}, 1000, 600), true)
	h.OnAccepted(now, 2)
	h.OnAccepted(now+time.Minute, 2)
	if level, _ := h.Level(now+time.Minute, "guild"); level != 300 {
		t.Fatalf("level %d before the larger share is accepted, want 300", level)
	}
	h.OnAccepted(now+time.Minute, 3)
	h.OnAccepted(now+time.Minute+quota.LeaseDuration, 3)
	if level, _ := h.Level(now+time.Hour, "guild"); level != 600 {
		t.Fatalf("level %d after acceptance and lease, want 600", level)
	}
}

// Guards against a new customer that has to wait for tokens although no instance can
// have held its quota, and against a customer that gets a full bucket because it was
// removed and immediately added again.
func TestNewCustomerStartsAtOnce(t *testing.T) {
	h := quota.NewHolder("a", "1", quota.LeaseDuration)
	empty := snapshotOf(t, 1, []string{"a"}, 1000, 600)
	empty.Deployments = nil
	h.OnSnapshot(0, empty, false)
	h.OnAccepted(0, 1)
	h.OnAccepted(quota.LeaseDuration, 1)
	h.OnSnapshot(time.Minute, snapshotOf(t, 2, []string{"a"}, 1000, 600), true)
	if got := h.Charge(time.Minute, "guild", 600); got != 600 {
		t.Fatalf("%d tokens for a new customer, want 600", got)
	}
	h.OnSnapshot(time.Minute, empty, true)
	h.OnSnapshot(time.Minute, snapshotOf(t, 4, []string{"a"}, 1000, 600), true)
	if got := h.Charge(time.Minute, "guild", 600); got != 0 {
		t.Fatalf("%d tokens for a customer that was removed and added", got)
	}
}

// Guards against refunds of tokens that would have overflowed the bucket if they had
// never been charged.
func TestRefundIsLimitedByHeadroom(t *testing.T) {
	h, now := newSoleHolder(t, 1000, 600)
	h.Charge(now, "guild", 500)
	h.Refund(now+100*time.Millisecond, "guild", 500, now)
	if level, _ := h.Level(now+100*time.Millisecond, "guild"); level != 600 {
		t.Fatalf("level %d, want 600", level)
	}
	h.Charge(now+100*time.Millisecond, "guild", 500)
	later := now + 10*time.Second // the bucket is full again
	h.Level(later, "guild")
	h.Charge(later, "guild", 600)
	h.Refund(later, "guild", 500, now+100*time.Millisecond)
	if level, _ := h.Level(later, "guild"); level != 0 {
		t.Fatalf("level %d after a late refund, want 0", level)
	}
}

// Guards against a headroom history that loses a minimum when its bounded number of
// samples is exceeded.
func TestHeadroomHistoryIsConservative(t *testing.T) {
	h, now := newSoleHolder(t, 1000, 600)
	for i := range 500 { // headroom grows by one token each time
		h.Charge(now+time.Duration(i), "guild", 1)
	}
	h.Refund(now+500, "guild", 600, now-1)
	if level, _ := h.Level(now+500, "guild"); level > 100 {
		t.Fatalf("level %d: a refund from before the bucket was full was credited", level)
	}
}

// Guards against settlements that are applied twice when messages are repeated or
// arrive out of order.
func TestRepeatedReturnIsDropped(t *testing.T) {
	h, now := newSoleHolder(t, 1, 600)
	g := h.IssueGrant(now, "guild", 600)
	s := []quota.Settlement{{Customer: "guild", GrantNumber: g.Number, GrantedAt: g.GrantedAt, Unused: 100}}
	for _, sequence := range []uint64{2, 1, 2, 1, 2} {
		h.HandleSettlements(now, "b", "1", sequence, s)
	}
	if level, _ := h.Level(now, "guild"); level != 200 {
		t.Fatalf("level %d after two different returns of 100, want 200", level)
	}
}

// Guards against requests for tokens to holders that have none, and against a wait
// estimate (sent as Retry-After) that is wrong or can never be met.
func TestPlanAndWait(t *testing.T) {
	views := []*quota.HolderView{
		{Holder: "empty", Reported: true, Share: quota.Share{Rate: 100, Burst: 100}},
		{Holder: "full", Reported: true, Level: 80, Share: quota.Share{Rate: 100, Burst: 100}},
		{Holder: "down", Unavailable: true, Share: quota.Share{Rate: 100, Burst: 100}},
		{Holder: "unknown", Share: quota.Share{Rate: 100, Burst: 100}},
	}
	requests := quota.PlanRequests(0, views, 150)
	if len(requests) != 2 || requests[0] != (quota.GrantRequest{Holder: "unknown", Tokens: 100}) || requests[1] != (quota.GrantRequest{Holder: "full", Tokens: 50}) {
		t.Fatalf("got requests %v, want 100 tokens from unknown and 50 from full", requests)
	}
	if d, ok := quota.EstimateWait(0, views, 200, 40); !ok || d != 200*time.Millisecond {
		t.Fatalf("wait %v %v, want 200ms for 60 tokens at 300 per second", d, ok)
	}
	if _, ok := quota.EstimateWait(0, views, 301, 0); ok {
		t.Fatal("got a wait for more tokens than the burst of the available holders")
	}
}

// BenchmarkAdmitOwnShare measures one admission from the instance's own share, with
// its refund.
// Target: 1 µs without allocation.
func BenchmarkAdmitOwnShare(b *testing.B) {
	h, now := newSoleHolder(b, 1e6, 1e6)
	b.ReportAllocs()
	for b.Loop() {
		now += time.Millisecond
		if h.Charge(now, "guild", 900) != 900 {
			b.Fatal("refused")
		}
		h.Refund(now, "guild", 100, now)
	}
}

// BenchmarkAdmitFromStock measures one admission from the pool of granted tokens,
// including the addition of the grant. Target: 1 µs without allocation.
func BenchmarkAdmitFromStock(b *testing.B) {
	pool := quota.NewGrantPool(quota.LeaseDuration)
	parts := make([]quota.GrantPart, 0, 8)
	now, number := time.Hour, uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		now += 100 * time.Millisecond
		number++
		pool.Add(now, now, quota.GrantPart{GrantID: quota.GrantID{Holder: "b", Incarnation: "1", Number: number}, Tokens: 1000})
		var ok bool
		if parts, ok = pool.Take(now, 1000, parts[:0]); !ok {
			b.Fatal("refused")
		}
	}
}

// BenchmarkLend measures one grant to another instance, with its settlement.
func BenchmarkLend(b *testing.B) {
	h, now := newSoleHolder(b, 1e6, 1e6)
	settlements := make([]quota.Settlement, 1)
	b.ReportAllocs()
	for i := uint64(1); b.Loop(); i++ {
		now += time.Millisecond
		g := h.IssueGrant(now, "guild", 900)
		settlements[0] = quota.Settlement{Customer: "guild", GrantNumber: g.Number, GrantedAt: g.GrantedAt, Unused: 100, Spent: 800}
		h.HandleSettlements(now, "b", "1", i, settlements)
	}
}

package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// playHot sends perSecond requests with one prefix to a balancer for d. Each ends when it is
// expected to. It returns the longest expected time to first token in the second half, and
// the engines that were used.
func playHot(t *testing.T, b *Balancer, perSecond int, from time.Time, d time.Duration) (longest time.Duration, used map[string]bool) {
	used = map[string]bool{}
	type running struct {
		a     *Attempt
		endAt time.Time
	}
	var open []running
	interval := time.Second / time.Duration(perSecond)
	for at, n := time.Duration(0), 0; at < d; at, n = at+interval, n+1 {
		now := from.Add(at)
		open = slices.DeleteFunc(open, func(r running) bool {
			if r.endAt.After(now) {
				return false
			}
			b.FirstToken(r.a, true, now)
			b.Done(r.a, OK, now)
			return true
		})
		q := longQuery("hot")
		q.CacheStore = nil
		q.Parts[1].ID = fmt.Sprint("own", n)
		a := mustPick(t, b, now, q)
		if !b.Begin(a, now) {
			t.Fatal("not begun")
		}
		if at > d/2 {
			longest = max(longest, a.ExpectedTTFT)
		}
		used[a.Upstream.ID] = true
		open = append(open, running{a, now.Add(a.ExpectedTTFT)})
	}
	for _, r := range open {
		b.Done(r.a, OK, r.endAt)
	}
	return longest, used
}

// TestHotPrefixIsReplicated guards against copies of a prefix in demand that come only when the
// requests queue at its owner, and against replication in deployments that do not call for it.
func TestHotPrefixIsReplicated(t *testing.T) {
	const perSecond, length = 25, 6 * time.Second
	plain := newTestBalancer(24, 1)
	without, few := playHot(t, plain, perSecond, start, length)
	b := newTestBalancer(24, 1)
	b.ReplicatePrefixes("llm", start)
	with, more := playHot(t, b, perSecond, start, length)
	t.Logf("longest expected time to first token: %v at %d engines without, %v at %d with replication", without, len(few), with, len(more))
	if len(more) <= len(few) || len(more) > 2*maxReplicas {
		t.Errorf("%d engines without, %d with replication", len(few), len(more))
	}
	// A prompt whose shared parts are cached takes 67 ms, and one behind it as much again.
	if with > 150*time.Millisecond {
		t.Errorf("a request is expected to wait %v", with)
	}
	if len(plain.PrefixDemand(8, start.Add(length))) != 0 {
		t.Error("demand is tracked although replication was not called for")
	}
}

// TestReplicasAreAgreedAndForgotten guards against instances that choose other owners for
// the same demand, against bad values of another instance, and against owners that remain
// after the demand.
func TestReplicasAreAgreedAndForgotten(t *testing.T) {
	a, b := newTestBalancer(24, 1), newTestBalancer(24, 1)
	a.ReplicatePrefixes("llm", start)
	b.ReplicatePrefixes("llm", start)
	playHot(t, a, 25, start, 4*time.Second)
	now := start.Add(4 * time.Second)
	b.SetPrefixDemand("a", a.PrefixDemand(8, now), now)
	b.SetPrefixDemand("odd", []PrefixDemand{{1, -1}, {2, 1e300}}, now)
	replicas := func(balancer *Balancer, now time.Time) []string {
		p := newPrompt(longQuery("hot"))
		balancer.setReplicas(now, balancer.view.ByService("llm"), p)
		var ids []string
		for _, u := range p.replicas {
			ids = append(ids, u.ID)
		}
		return ids
	}
	if first, second := replicas(a, now), replicas(b, now); len(first) < 2 || !slices.Equal(first, second) {
		t.Errorf("one instance has the owners %v, another %v", first, second)
	}
	later := now.Add(30 * time.Second)
	for _, balancer := range []*Balancer{a, b} {
		if left := replicas(balancer, later); len(left) != 0 || len(balancer.PrefixDemand(8, later)) != 0 {
			t.Errorf("%v remain without demand", left)
		}
	}
}

// TestRequestsLeaveTheirDomain guards against callers that wait in their failure domain
// while others have room.
func TestRequestsLeaveTheirDomain(t *testing.T) {
	b := newTestBalancer(24, 1)
	domains := map[string]int{}
	for i := range 60 {
		q := longQuery(fmt.Sprint("chain", i))
		q.CacheStore, q.PromptTokens, q.Parts = nil, 600, nil
		a := mustPick(t, b, start, q)
		if a.ExpectedTTFT > 100*time.Millisecond {
			t.Errorf("request %d waits %v", i, a.ExpectedTTFT)
		}
		b.Begin(a, start)
		domains[a.Upstream.Domain]++
		plain := mustPick(t, b, start, Query{Service: orders})
		b.Begin(plain, start)
	}
	if len(domains) != 4 {
		t.Errorf("requests went to %v", domains)
	}
	for _, u := range b.view.ByService("orders") {
		if n := b.TotalWork(u.ID).Requests; n > u.Slots {
			t.Errorf("%s has %d requests and %d slots while others have room", u.ID, n, u.Slots)
		}
	}
}

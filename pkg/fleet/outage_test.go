package fleet

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestUptimeOfOthersEndsTheDeferral guards against an instance that was cut off from the store and from the others, and goes on using an upstream that is removed just after, although the others know that the store was never away.
func TestUptimeOfOthersEndsTheDeferral(t *testing.T) {
	r := NewRegistry()
	replace(r, []*Upstream{testUpstream("a"), testUpstream("b")}, 1, start)
	back := outageUntil(r)
	r.Remove("a", at(2), back)
	heard := back.Add(200 * time.Millisecond)
	r.StoreUp(Uptime{Since: start.Add(minOutage - 1), Until: heard})
	if !r.Expire(heard) || listed(r, "a") {
		t.Error("a removal is still deferred")
	}
	if !r.Remove("b", at(3), heard) || listed(r, "b") {
		t.Error("a later removal is deferred")
	}
}

// TestUptimeSinceTheOutageEndsNoDeferral guards against the removal of live upstreams after an outage, since another instance tells that the store has answered it since.
func TestUptimeSinceTheOutageEndsNoDeferral(t *testing.T) {
	r := NewRegistry()
	replace(r, []*Upstream{testUpstream("a")}, 1, start)
	back := outageUntil(r)
	r.Remove("a", at(2), back)
	for _, u := range []Uptime{
		{Since: start.Add(minOutage), Until: back},
		{Since: start.Add(-time.Hour), Until: start},
		{Since: back.Add(-time.Second), Until: back.Add(time.Second)},
		{},
	} {
		if r.StoreUp(u); r.Expire(back) || !listed(r, "a") {
			t.Errorf("removed although the store was away before %v", u.Since)
		}
	}
}

// TestUptimeEndsNoDeferralOfARestoredStore guards against the removal of upstreams that an older copy of the store lacks, since the store was not away long.
func TestUptimeEndsNoDeferralOfARestoredStore(t *testing.T) {
	r := NewRegistry()
	replace(r, []*Upstream{testUpstream("a")}, 1, start)
	back := outageUntil(r)
	r.MarkStoreRestored(back)
	r.Remove("a", at(2), back)
	r.StoreUp(Uptime{Since: start, Until: back})
	if r.Expire(back.Add(ReconnectGracePeriod-1)) || !listed(r, "a") {
		t.Error("removed within the grace period after the return of a copy")
	}
	if !r.Expire(back.Add(ReconnectGracePeriod)) || listed(r, "a") {
		t.Error("still listed after the grace period")
	}
}

// storePlay is a store that is away at times, and two instances whose links to it, and to
// each other, are cut at times. Both call the store each callInterval.
type storePlay struct {
	now               time.Time
	away, cut, apart  bool // the store from all; the first instance from the store; the instances
	self, other       *Registry
	awaySince, backAt time.Time
	outages           int  // of minOutage or longer, as the calls show them
	heard             bool // the first instance has heard the other in this step
}

const callInterval = 100 * time.Millisecond

func (p *storePlay) step() {
	p.now = p.now.Add(callInterval)
	call(p.self, p.now, p.away || p.cut)
	call(p.other, p.now, p.away)
	if p.heard = !p.apart; p.heard {
		p.self.StoreUp(p.other.StoreUptime())
		p.other.StoreUp(p.self.StoreUptime())
	}
}

func call(r *Registry, at time.Time, fails bool) {
	if fails {
		r.StoreCallFailed(at)
	} else {
		r.StoreAnswered(at)
	}
}

func (p *storePlay) setAway(away bool) {
	switch {
	case away && !p.away:
		p.awaySince = p.now
	case !away && p.away:
		p.backAt = p.now.Add(callInterval)
		if p.backAt.Sub(p.awaySince) >= minOutage {
			p.outages++
		}
	}
	p.away = away
}

// TestOwnCutIsToldFromAnOutage guards against an instance that takes a cut of its own for an outage of the store once another one has told it, or an outage for a cut, in any order of both.
func TestOwnCutIsToldFromAnOutage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &storePlay{now: start, self: NewRegistry(), other: NewRegistry()}
		p.step()
		for range rapid.IntRange(1, 20).Draw(t, "changes") {
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				p.setAway(!p.away)
			case 1:
				p.cut = !p.cut
			default:
				p.apart = !p.apart
			}
			for range rapid.SampledFrom([]int{1, 5, 19, 20, 21, 40, 300, 1500}).Draw(t, "steps") {
				p.step()
				p.check(t)
			}
		}
	})
}

func (p *storePlay) check(t *rapid.T) {
	grace := p.self.GraceUntil()
	if p.outages == 0 && p.heard && !p.away && grace.After(p.now) {
		t.Fatalf("removals are deferred until %v though the store was never away", grace.Sub(start))
	}
	knows := p.outages > 0 && !p.away && !p.self.StoreUptime().Until.Before(p.backAt)
	if knows && p.backAt.Sub(p.awaySince) >= minOutage && grace.Before(p.backAt.Add(ReconnectGracePeriod)) {
		t.Fatalf("removals are deferred until %v, the store was back at %v", grace.Sub(start), p.backAt.Sub(start))
	}
}

package edge

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fescuestep/fescuestep/pkg/fleet"
	"github.com/fescuestep/fescuestep/pkg/placement"
	rpc "github.com/fescuestep/fescuestep/rpc/edge"
)

// TestSumsOfWorkEqualThoseOfAllDigests guards against sums that drift from what the
// digests tell: work that counts twice, that stays after its end or after its instance
// fell silent, left, restarted or was removed, and work at upstreams that are listed
// later.
func TestSumsOfWorkEqualThoseOfAllDigests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newTestPeers()
		now := time.Unix(1000, 0)
		p.now = func() time.Time { return now }
		told := map[string]map[string]placement.Work{}
		heardAt := map[string]time.Time{}
		var sequence uint64
		listed := []*fleet.Upstream{{ID: "u0", Service: "llm"}}
		p.placer.setView(fleet.NewView(listed))
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			name := fmt.Sprint("i", rapid.IntRange(0, 2).Draw(t, "instance"))
			d := newDigest(0, false)
			d.Sender.Name, sequence = name, sequence+1
			d.Sequence, d.Incarnation = sequence, 5
			switch rapid.IntRange(0, 8).Draw(t, "event") {
			case 0:
				if len(listed) < 3 {
					listed = append(listed, &fleet.Upstream{ID: fmt.Sprint("u", len(listed)), Service: "llm"})
					p.placer.setView(fleet.NewView(listed))
				}
			case 1:
				d.Leaving = true
				p.applyDigest(d)
				told[name], heardAt[name] = nil, now
			case 2:
				p.mu.Lock()
				p.expirePeers(now)
				p.mu.Unlock()
			default:
				d.Partial = p.byName[name] != nil && told[name] != nil && rapid.Bool().Draw(t, "partial")
				work := map[string]placement.Work{}
				for id, w := range told[name] {
					if d.Partial {
						work[id] = w
					}
				}
				for i := range 3 {
					id, requests := fmt.Sprint("u", i), rapid.IntRange(0, 3).Draw(t, "requests")
					if rapid.Bool().Draw(t, "left out") {
						continue
					}
					work[id] = placement.Work{Requests: requests, PrefillTokens: 10 * requests}
					d.Work = append(d.Work, &rpc.Work{Upstream: id, Requests: uint32(requests), Prefill: uint32(10 * requests)})
				}
				p.applyDigest(d)
				told[name], heardAt[name] = work, now
			}
			p.expireWork()
			p.sumPeerWork()
			for _, u := range listed {
				want := placement.Work{}
				for name, work := range told {
					if now.Sub(heardAt[name]) <= workMaxIntervals*digestInterval && p.byName[name] != nil {
						want.Requests += work[u.ID].Requests
						want.PrefillTokens += work[u.ID].PrefillTokens
					}
				}
				if got := p.placer.balancer.TotalWork(u.ID); got != want {
					t.Fatalf("work at %s: %+v, want %+v", u.ID, got, want)
				}
			}
		}
	})
}

// TestAgeOfWork guards against a placement that takes old work of the others for new, or
// counts instances that were not heard for long.
func TestAgeOfWork(t *testing.T) {
	p := newTestPeers()
	now := time.Unix(1000, 0)
	p.now = func() time.Time { return now }
	age := func() time.Duration {
		_, age, _ := p.takeChangedWork()
		return age.Others
	}
	if got := age(); got != 0 {
		t.Errorf("alone: age %v", got)
	}
	for i, name := range []string{"a", "b"} {
		d := newDigest(uint64(i+1), false)
		d.Sender.Name = name
		p.applyDigest(d)
		now = now.Add(100 * time.Millisecond)
	}
	if got := age(); got != 150*time.Millisecond {
		t.Errorf("age %v, want 150ms", got)
	}
	now = now.Add(workMaxIntervals*digestInterval - 150*time.Millisecond)
	if p.expireWork(); age() != workMaxIntervals*digestInterval-50*time.Millisecond {
		t.Errorf("after the silence of one of two: age %v", age())
	}
}

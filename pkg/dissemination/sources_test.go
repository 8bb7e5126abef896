package dissemination

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fescuestep/fescuestep/pkg/history"
)

// TestAllThatHaveACopyAreAsked guards against askers that all turn to the same instance.
func TestAllThatHaveACopyAreAsked(t *testing.T) {
	known := []Source{{Addr: "a", SameDomain: true, At: after}, {Addr: "b", SameDomain: true, At: after}, {Addr: "old", SameDomain: true, At: before}, {Addr: "far", At: after}}
	asked := map[string]int{}
	for seed := range uint64(300) {
		addr, _ := NewSources(rand.New(rand.NewPCG(seed, 1))).Next(time.Unix(1000, 0), before, known)
		asked[addr]++
	}
	if asked["a"] < 100 || asked["b"] < 100 || asked["a"]+asked["b"] != 300 {
		t.Errorf("asked: %v", asked)
	}
}

// TestOtherDomainsHelpWhenTheOwnIsBusy guards against an instance that waits for its busy neighbours while others have the change.
func TestOtherDomainsHelpWhenTheOwnIsBusy(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewSources(rand.New(rand.NewPCG(1, 1)))
	known := []Source{{Addr: "a", SameDomain: true, At: after}, {Addr: "far", At: after}, {Addr: "named", SameDomain: true, At: before}}
	if addr, _ := s.Next(now, before, known); addr != "a" {
		t.Fatalf("asked first: %q", addr)
	}
	s.Refused(now, "a", time.Second, nil, after)
	if addr, wait := s.Next(now, before, known); addr != "" || wait != foreignDelay {
		t.Errorf("asks %q in %v", addr, wait)
	}
	later := now.Add(foreignDelay)
	if addr, _ := s.Next(later, before, known); addr != "far" {
		t.Errorf("asks %q after %v", addr, foreignDelay)
	}
	s.Refused(later, "far", time.Second, []string{"named"}, after)
	if addr, _ := s.Next(later, before, known); addr != "named" {
		t.Errorf("asks %q, not the one that has got a copy", addr)
	}
}

// TestEachChangeIsAwaitedFromTheOwnDomain guards against copies from other domains, without the delay for the own, while new changes come all the time.
func TestEachChangeIsAwaitedFromTheOwnDomain(t *testing.T) {
	s := NewSources(rand.New(rand.NewPCG(1, 1)))
	at := func(version uint64) history.Position { return history.Position{Version: version} }
	now := time.Unix(1000, 0)
	for version := range uint64(20) {
		known := []Source{{Addr: "near", SameDomain: true, At: at(version)}, {Addr: "far", At: at(version + 1)}}
		if addr, wait := s.Next(now, at(version), known); addr != "" || wait != foreignDelay {
			t.Errorf("version %d: asks %q, next check after %v", version, addr, wait)
		}
		now = now.Add(foreignDelay)
		if addr, _ := s.Next(now, at(version), known); addr != "far" {
			t.Errorf("version %d: asks %q after the delay", version, addr)
		}
	}
}

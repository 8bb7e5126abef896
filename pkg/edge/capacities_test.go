package edge

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/fescuestep/fescuestep/pkg/call"
	"github.com/fescuestep/fescuestep/pkg/fleet"
	rpc "github.com/fescuestep/fescuestep/rpc/edge"
)

// TestCapacitiesTravelCheaply guards against a stated slowdown that stays with the instance
// that received it, against digests that are sent for each answer, and against a datagram
// that is fragmented because all upstreams change at once.
func TestCapacitiesTravelCheaply(t *testing.T) {
	from, to := newTestPeers(), newTestPeers()
	var list []*fleet.Upstream
	for i := range 40 {
		list = append(list, &fleet.Upstream{ID: fmt.Sprint("e", strings.Repeat("x", 16), i), Service: "llm", Weights: map[string]int{"m": 1}})
	}
	for _, p := range []*peers{from, to} {
		p.shared = []sharedState{capacities{p.placer}}
		p.placer.setView(fleet.NewView(list))
	}
	from.self.Name = "other"
	for _, u := range list {
		from.placer.RecordLoad(u.ID, call.Load{WorkTimePercent: 300})
	}
	select {
	case <-from.sendNow:
		t.Error("an answer requests a digest")
	default:
	}
	for i := range 4 {
		if size := transfer(t, from, to, i > 0); size > maxDigestBytes {
			t.Errorf("datagram of %d bytes", size)
		}
	}
	for _, u := range list {
		if f := to.placer.balancer.SlowdownFactor(u.ID, to.now()); f != 3 {
			t.Errorf("%s: slowdown %v at the other instance", u.ID, f)
		}
	}
	if raw, _ := from.nextDigest(true); strings.Contains(string(raw[0]), "xxxx") {
		t.Error("what has not changed is told again")
	}
}

// TestFaultyCapacitiesHarmNothing guards against a digest with impossible figures that
// makes an instance panic, or an upstream unusable.
func TestFaultyCapacitiesHarmNothing(t *testing.T) {
	p := newTestPeers()
	p.shared = []sharedState{capacities{p.placer}}
	for i, c := range []*rpc.Capacity{
		{Upstream: "e1", SlowdownPercent: math.MaxUint32, LearnedPercent: math.MaxUint32, Limit: math.MaxUint32, AgoMs: math.MaxUint32},
		{Upstream: "e1", SlowdownPercent: 1, LearnedPercent: 1, Limit: 1}, {Upstream: "unknown", SlowdownPercent: 1}, {},
	} {
		d := newDigest(uint64(i+1), true)
		d.Capacities = []*rpc.Capacity{c}
		raw, err := proto.Marshal(d)
		if err != nil {
			t.Fatal(err)
		}
		decoded := &rpc.Digest{}
		if err := proto.Unmarshal(raw, decoded); err != nil {
			t.Fatal(err)
		}
		p.applyDigest(decoded)
	}
	if f := p.placer.balancer.SlowdownFactor("e1", p.now()); !(f > 0.5 && f < 2) {
		t.Errorf("slowdown %v after faulty reports", f)
	}
	if r := p.placer.Room("llm"); r.Total < 1 {
		t.Errorf("no capacity is left: %+v", r)
	}
}

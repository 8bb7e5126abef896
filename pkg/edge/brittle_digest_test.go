package edge

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fescuestep/fescuestep/pkg/placement"
	rpc "github.com/fescuestep/fescuestep/rpc/edge"
)

// pickBrittle returns the attempt at e1 with which it states something.
func pickBrittle(t *testing.T, p *peers) *placement.Attempt {
	t.Helper()
	return &placement.Attempt{Upstream: p.placer.currentView().ByID("e1")}
}

// tellDigest has an instance tell a whole digest to another one.
func tellDigest(t *testing.T, from, to *peers) {
	t.Helper()
	datagrams, _ := from.nextDigest(false)
	d := &rpc.Digest{}
	if err := proto.Unmarshal(datagrams[0], d); err != nil {
		t.Fatal(err)
	}
	to.applyDigest(d)
}

func knowsBrittle(p *peers) bool {
	_, brittle := p.placer.balancer.Occupancy(p.placer.currentView().ByID("e1"), p.now())
	return brittle
}

// TestStartedInstanceKnowsBrittleUpstreams guards against an instance that has not asked a service yet and sends what its brittle upstreams have no room for, and against bringing back a statement that has ended.
func TestStartedInstanceKnowsBrittleUpstreams(t *testing.T) {
	knowing, started := newTestPeers(), newTestPeers()
	knowing.self.Name, knowing.self.Digests = "other", "10.0.0.2:7600"
	knowing.placer.RecordBrittle(pickBrittle(t, knowing), 3)
	tellDigest(t, knowing, started)
	if !knowsBrittle(started) {
		t.Fatal("not told that upstreams are brittle")
	}
	later := started.now().Add(time.Second)
	started.now, started.placer.now = func() time.Time { return later }, func() time.Time { return later }
	attempt := pickBrittle(t, started)
	started.placer.Begin(attempt)
	started.placer.RecordNotBrittle(attempt)
	tellDigest(t, knowing, started)
	if knowsBrittle(started) {
		t.Error("an older statement of another instance brings back one that has ended")
	}
}

// TestEndOfBrittlenessIsTold guards against an instance without a place at brittle upstreams that forwards its requests for good, since it gets no answer that would end the statement.
func TestEndOfBrittlenessIsTold(t *testing.T) {
	owner, other := newTestPeers(), newTestPeers()
	owner.self.Name, owner.self.Digests = "other", "10.0.0.2:7600"
	owner.placer.RecordBrittle(pickBrittle(t, owner), 3)
	tellDigest(t, owner, other)
	if !knowsBrittle(other) {
		t.Fatal("not told that upstreams are brittle")
	}
	later := owner.now().Add(time.Second)
	for _, p := range []*peers{owner, other} {
		p.now, p.placer.now = func() time.Time { return later }, func() time.Time { return later }
	}
	attempt := pickBrittle(t, owner)
	owner.placer.Begin(attempt)
	owner.placer.RecordNotBrittle(attempt)
	tellDigest(t, owner, other)
	if knowsBrittle(other) {
		t.Error("not told that upstreams are not brittle any more")
	}
}

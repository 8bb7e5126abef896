package edge

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/fescuestep/fescuestep/pkg/control"
	"github.com/fescuestep/fescuestep/pkg/release"
)

// TestRolloutsAreBusyWhileNeeded guards against an instance that wakes 25 times a second
// without any rollout, and against a rollout that proceeds at the pace of an idle one.
func TestRolloutsAreBusyWhileNeeded(t *testing.T) {
	p := newTestPeers()
	r := &rolloutController{
		instanceName: "self", placer: p.placer, peers: p, cutOff: func(string) bool { return true },
		log: hclog.NewNullLogger(), now: p.now, start: p.now(), wake: make(chan struct{}, 1), rng: rand.New(rand.NewPCG(1, 2)),
		lease:    control.NewLease(control.DefaultLeaseConfig(), "self"),
		releases: newReleases(release.DefaultBounds(), nil, nil, hclog.NewNullLogger(), p.now),
	}
	if r.tick(t.Context()) {
		t.Error("busy without a target version")
	}
	p.placer.setTargetVersion("m", 1, time.Time{})
	if r.tick(t.Context()) {
		t.Error("busy although the engine has the target version")
	}
	p.placer.setTargetVersion("m", 2, time.Time{})
	if !r.tick(t.Context()) {
		t.Error("not busy although the engine lacks the target version")
	}
}

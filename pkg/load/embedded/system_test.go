package embedded

import (
	"testing"
	"time"

	"github.com/fescuestep/fescuestep/pkg/load"
	"github.com/fescuestep/fescuestep/pkg/pick"
)

// TestWholeRouter guards against an embedded system that answers no request
// with a hit, lets a customer exceed its rate, runs an order twice or loses
// requests when an instance restarts, a key is revoked or the table is down.
func TestWholeRouter(t *testing.T) {
	p, err := load.ProfileFor("ucab")
	if err != nil {
		t.Fatal(err)
	}
	p.Instances, p.Engines, p.Rate = 2, 3, 10
	o := load.Options{
		Profile: p, Seed: 1, Duration: 4 * time.Second, Policies: []string{pick.NameFescuestep},
		Faults: []load.Fault{
			{At: time.Second, Kind: load.EventGap, Target: 0, Count: 2},
			{At: time.Second, Kind: load.KeyRevocation, Target: 1},
			{At: 2 * time.Second, Kind: load.TableOutage, For: 500 * time.Millisecond},
			{At: 2 * time.Second, Kind: load.InstanceRestart, Target: 1, For: 100 * time.Millisecond},
		},
	}
	report, err := load.RunLive(t.Context(), o, Start)
	if err != nil {
		t.Fatal(err)
	}
	r := report.Policies[0]
	if r.Requests == 0 || r.PrefixHitRate == 0 || r.TTFTP50 == 0 {
		t.Errorf("nothing was measured: %+v", r)
	}
	if r.OvershootTokens+r.DuplicateOrders+r.TruncatedStreams+r.Unanswered+r.FailedAfterStart != 0 {
		t.Errorf("%+v", r)
	}
}

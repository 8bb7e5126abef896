package router

import (
	"strings"
	"testing"
	"time"

	"github.com/fescuestep/fescuestep/pkg/chain"
	"github.com/fescuestep/fescuestep/pkg/code"
	engineserver "github.com/fescuestep/fescuestep/pkg/standin/engine"
)

// TestEngineFaults guards against faults of an engine that cost the caller a
// stream although it could be resumed, or that damage it unnoticed.
func TestEngineFaults(t *testing.T) {
	for name, c := range map[string]struct {
		faults engineserver.Faults
		want   code.Code // of the last event; 0: complete
	}{
		"none":                  {engineserver.Faults{}, 0},
		"broken twice":          {engineserver.Faults{BreakStreams: 2, BreakAfter: 3}, 0},
		"ended without marker":  {engineserver.Faults{BreakStreams: 1, BreakAfter: 3, BreakClean: true}, 0},
		"broken, not resumable": {engineserver.Faults{BreakStreams: 1, BreakAfter: 3, NoResume: true}, code.StreamTruncated},
		"crashed":               {engineserver.Faults{CrashAfterEvents: 3, RestartAfter: 10 * time.Millisecond}, code.StreamTruncated},
	} {
		t.Run(name, func(t *testing.T) {
			server, err := engineserver.Start("", engineserver.Options{Weights: "w1", TokenTime: time.Millisecond})
			if err != nil {
				t.Fatal(err)
			}
			defer server.Close()
			server.Faults.Set(c.faults)
			in := start(t, nil, func(p *Parts, _ *Options) {
				p.State.(*state).snap.Application("plume").Adapter = "" // the engine has loaded none
			})
			in.pools.targets["plume"] = []chain.Target{{ID: "plume-1", Addr: server.Addr()}}
			limited := streamCall
			limited.body = strings.Replace(streamBody, "{", `{"max_tokens":12,`, 1)
			_, _, data := in.do(t, limited)
			e := last(t, data)
			if complete := strings.HasSuffix(data, "data: [DONE]\n\n"); e.ResultCode != c.want || complete != (c.want == 0) {
				t.Errorf("last event %+v of %s", e, data)
			}
			if events := strings.Count(data, "data: {"); c.want == 0 && events != 13 {
				t.Errorf("%d events, want 12 tokens and the usage", events)
			}
		})
	}
}

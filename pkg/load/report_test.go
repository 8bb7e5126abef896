package load

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/fescuestep/fescuestep/pkg/block"
	"github.com/fescuestep/fescuestep/pkg/prompt"
)

// TestReport guards against reports without plots or with a policy left out.
func TestReport(t *testing.T) {
	p, _ := ProfileFor("ucab")
	r, err := RunVirtual(Options{Profile: p, Seed: 1, Duration: 7 * time.Second, Policies: []string{"fescuestep", "round_robin"}})
	if err != nil {
		t.Fatal(err)
	}
	for path, plots := range map[string]int{"r.html": 2, "r.svg": 1} {
		var out bytes.Buffer
		if err := r.Write(&out, path); err != nil {
			t.Fatal(err)
		}
		if got := strings.Count(out.String(), "<svg"); got != plots || !strings.Contains(out.String(), "round_robin") {
			t.Errorf("%s: %d plots, want %d, with every policy", path, got, plots)
		}
	}
}

// TestText guards against prompts whose blocks differ between requests that
// share a path, which would make every prefix cold.
func TestText(t *testing.T) {
	a := Arrival{Path: []string{"root.0", "root/1.0"}, Tokens: 2*BlockTokens + 10}
	b := Arrival{Path: []string{"root.0", "root/2.0"}, Tokens: 2*BlockTokens + 10}
	x, y := a.text(1), b.text(2)
	if len(x) != a.Tokens*prompt.BytesPerToken {
		t.Errorf("%d bytes for %d tokens", len(x), a.Tokens)
	}
	hx := block.AppendChain(nil, 1, []byte(x), blockBytes)
	hy := block.AppendChain(nil, 1, []byte(y), blockBytes)
	if hx[0] != hy[0] || hx[1] == hy[1] || len(hx) != 2 {
		t.Errorf("chains %v and %v", hx, hy)
	}
}

// TestOvershoot guards against an overshoot that goes unnoticed and against one
// reported for a customer that used exactly its rate and burst.
func TestOvershoot(t *testing.T) {
	quota := []bucket{{rate: 100, burst: 1000}}
	c := newRateCheck(quota)
	c.used(0, 0, 0, 1000)
	for i := 1; i <= 10; i++ {
		at := time.Duration(i) * time.Second
		c.used(0, at, at, 100)
	}
	if got := c.overshoot(); got != 0 {
		t.Errorf("overshoot %d at exactly rate and burst", got)
	}
	c.used(0, 10*time.Second, 10*time.Second, 7)
	if got := c.overshoot(); got != 7 {
		t.Errorf("overshoot %d, want 7", got)
	}
}

// TestParseFaults guards against schedules that are silently misread.
func TestParseFaults(t *testing.T) {
	got, err := ParseFaults("10s:engine_crash:2:1s,20s:event_gap:5:4", time.Minute)
	if err != nil || len(got) != 2 || got[0].For != time.Second || got[1].Count != 4 {
		t.Errorf("%+v, %v", got, err)
	}
	for _, bad := range []string{"10s", "x:engine_crash:2:1s", "1s:engine:2:1s", "1s:event_gap:2:1s"} {
		if _, err := ParseFaults(bad, time.Minute); err == nil {
			t.Errorf("%q was accepted", bad)
		}
	}
}

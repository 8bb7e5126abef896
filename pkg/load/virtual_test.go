package load

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/fescuestep/fescuestep/pkg/pick"
)

// TestVirtualTrial prints the figures of all policies.
func TestVirtualTrial(t *testing.T) {
	for _, name := range ProfileNames() {
		p, _ := ProfileFor(name)
		r, err := RunVirtual(Options{Profile: p, Seed: 1, Duration: 60 * time.Second, Policies: pick.Names(), Overload: true})
		if err != nil {
			t.Fatal(err)
		}
		for _, res := range r.Policies {
			out, _ := json.Marshal(res)
			t.Logf("%s %s", name, out)
		}
	}
}

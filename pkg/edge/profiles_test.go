package edge_test

import (
	"io"
	"net/http"
	"testing"

	"github.com/fescuestep/fescuestep/pkg/edge"
)

// TestProfilesAreOffByDefault guards against profiles that anyone who reaches the
// metrics address can read or start without the operator having asked for them, and
// against an option that serves none.
func TestProfilesAreOffByDefault(t *testing.T) {
	fleet := newTestFleet(t, 1)
	for _, on := range []bool{false, true} {
		fleet.profiles = on
		instance := fleet.startInstance(map[bool]string{false: "off", true: "on"}[on])
		for path, served := range map[string]bool{"": true, "heap?debug=1": true, "profile?seconds=1": true, "symbol": true, "cmdline": false} {
			resp, err := http.Get("http://" + instance.options.ReadinessAddr.String() + edge.ProfilesPath + path)
			if err != nil {
				t.Fatal(err)
			}
			raw, err := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if got := resp.StatusCode == http.StatusOK && len(raw) > 0; err != nil || got != (on && served) {
				t.Errorf("profiles on %v: %q: status %d, %d bytes, error %v", on, path, resp.StatusCode, len(raw), err)
			}
		}
	}
}

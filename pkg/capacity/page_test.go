package capacity

import (
	"flag"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/fescuestep/fescuestep/pkg/member"
)

var update = flag.Bool("update", false, "write docs/CAPACITY.md")

const (
	slopesFile = "../../docs/capacity/slopes.json"
	pageFile   = "../../docs/CAPACITY.md"
)

// TestPage guards against a capacity page whose sums do not follow from the
// measured slopes.
func TestPage(t *testing.T) {
	data, err := os.ReadFile(slopesFile)
	if err != nil {
		t.Fatal(err)
	}
	slopes, err := Parse(data)
	if err != nil {
		t.Fatal(err)
	}
	want, err := Page(slopes)
	if err != nil {
		t.Fatal(err)
	}
	if *update {
		if err := os.WriteFile(pageFile, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(pageFile)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, string(got)); diff != "" {
		t.Errorf("docs/CAPACITY.md differs from the slopes; run 'go test ./pkg/capacity -update' (-computed +page):\n%s", diff)
	}
}

// TestConstants guards against a page that assumes other settings than the
// code has.
func TestConstants(t *testing.T) {
	if relayFanout != member.RelayFanout || minRelays != member.MinRelays || holders != member.MaxShareHolders {
		t.Error("relays or holders differ from pkg/member")
	}
}

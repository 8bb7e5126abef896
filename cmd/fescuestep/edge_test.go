package main

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"

	"github.com/fescuestep/fescuestep/pkg/questionnaire"
	"github.com/fescuestep/fescuestep/pkg/routing"
	"github.com/fescuestep/fescuestep/platform"
)

// TestQuestionnaireWritesOperatorsDocument guards against a document that reads
// back as other routes, customers or limits than the answers say.
func TestQuestionnaireWritesOperatorsDocument(t *testing.T) {
	for _, name := range []string{"ucab", "skovgaard"} {
		path := filepath.Join("..", "..", "examples", name+".yaml")
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		d, err := questionnaire.Build(text)
		if err != nil {
			t.Fatal(err)
		}
		keysFile := filepath.Join(t.TempDir(), "keys")
		keys := map[string]string{"secret-1": d.Customers[0].ID}
		if err := os.WriteFile(keysFile, []byte(d.Customers[0].ID+" secret-1\n"), 0o600); err != nil {
			t.Fatal(err)
		}
		status, out, errs := execute("", "questionnaire", "generate", "-format", "platform", "-host", "Cards.Example",
			"-config-version", "7", "-keys", keysFile, path)
		if status != 0 {
			t.Fatalf("%s: status %d: %s", name, status, errs)
		}
		got, err := platform.DecodeConfig([]byte(out))
		if err != nil {
			t.Fatal(err)
		}
		want := routing.New(routing.FromDeployment(d, "cards.example", 7, keys))
		if diff := cmp.Diff(want, got, cmp.AllowUnexported(routing.Snapshot{})); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
		for _, a := range d.Applications {
			if got.Match("cards.example", "/"+a.ID+"/") == nil && a.Kind == "model" {
				t.Errorf("%s: no route for %s", name, a.ID)
			}
		}
		for _, c := range d.Customers {
			holder := got.CustomerByKey("secret-1")
			if c.ID == d.Customers[0].ID && (holder == nil || holder.Rate != c.RatePerSecond || holder.Burst != c.Burst) {
				t.Errorf("%s: customer %s reads back as %+v", name, c.ID, holder)
			}
		}
	}
}

// TestEdgeSettingsAreChecked guards against an instance that starts with wrong
// settings or names only the first mistake.
func TestEdgeSettingsAreChecked(t *testing.T) {
	t.Setenv(platform.SettingsVariable, "")
	if status, _, errs := execute("", "edge"); status != 2 || !strings.Contains(errs, platform.SettingsVariable) {
		t.Errorf("no file: status %d: %s", status, errs)
	}
	file := filepath.Join(t.TempDir(), "boot.toml")
	if err := os.WriteFile(file, []byte("zone = \"\"\nip = \"x\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	status, _, errs := execute("", "edge", "-settings-file", file)
	if status != 2 || !strings.Contains(errs, "node_name") || !strings.Contains(errs, "platform.address") {
		t.Errorf("status %d: %s", status, errs)
	}
}

// TestHangUpDuringStopIsIgnored guards against a process that SIGHUP ends while it
// stops gracefully; the test process itself would end.
func TestHangUpDuringStopIsIgnored(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	c := &edgeCmd{file: filepath.Join(t.TempDir(), "none")}
	c.watchSettings(ctx, nil, hclog.NewNullLogger())
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
}

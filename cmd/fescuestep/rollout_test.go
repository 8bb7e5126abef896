package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/subcommands"

	"github.com/fescuestep/fescuestep/pkg/edge"
	"github.com/fescuestep/fescuestep/pkg/release"
)

// TestRolloutStatus guards against a status that lacks the phase, the share, the evidence or what the rollout waits for.
func TestRolloutStatus(t *testing.T) {
	report := release.Report{
		Service: "llm", To: "v2", Phase: "observing", Duration: time.Minute, Requests: 1000, Exposed: 45,
		Groups: []release.GroupReport{{Group: "long", NewAnswers: 45, NewBad: 3, BadSum: 7.5, Threshold: 14.5}}, Waiting: []string{"more answers"},
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == edge.RolloutsPath {
			_ = json.NewEncoder(w).Encode([]release.Report{report})
		}
	}))
	defer server.Close()
	var out bytes.Buffer
	cmd := &rolloutStatusCmd{streams: streams{out: &out, err: &out}, addr: server.Listener.Addr().String()}
	if errs := cmd.Validate(); errs != nil {
		t.Fatal(errs)
	}
	if status := cmd.Execute(t.Context(), nil); status != subcommands.ExitSuccess {
		t.Fatalf("status %d: %s", status, out.String())
	}
	for _, want := range []string{"llm to v2: observing", "45 of 1000 requests (4.5%)", "waits for: more answers", "long", "7.5", "14.5"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is missing in:\n%s", want, out.String())
		}
	}
}

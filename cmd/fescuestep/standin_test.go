package main

import (
	"bufio"
	"context"
	"io"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestStandin guards against parts that -run names and that don't start, and
// against a command that doesn't stop.
func TestStandin(t *testing.T) {
	reader, writer := io.Pipe()
	ctx, cancel := context.WithCancel(t.Context())
	status := make(chan int)
	s := streams{out: writer, err: io.Discard}
	args := []string{"standin", "-deployment", "ucab,skovgaard", "-run", "list,engines,orders", "-engines", "1", "-orders", "1", "-list-addr", ""}
	go func() { status <- run(ctx, commands(s), args, s) }()
	var got []string
	lines := bufio.NewScanner(reader)
	for len(got) < 5 && lines.Scan() {
		got = append(got, strings.Fields(lines.Text())[1])
	}
	want := []string{"list", "plume-1", "atelier-1", "lm-desk-1", "ordre-app-1"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	cancel()
	if got := <-status; got != 0 {
		t.Errorf("exit status %d, want 0", got)
	}
}

// TestStandinSettings guards against invalid settings being reported one by
// one or not at all.
func TestStandinSettings(t *testing.T) {
	var out strings.Builder
	s := streams{out: io.Discard, err: &out}
	args := []string{"standin", "-deployment", "x", "-run", "y", "-engines", "-1", "-scale", "0", "-fencing", "z"}
	if got := run(t.Context(), commands(s), args, s); got != 2 {
		t.Errorf("exit status %d, want 2", got)
	}
	for _, flag := range []string{"-deployment", "-run", "-engines", "-scale", "-fencing"} {
		if !strings.Contains(out.String(), flag+" ") && !strings.Contains(out.String(), flag+":") {
			t.Errorf("%s is not reported in %q", flag, out.String())
		}
	}
}

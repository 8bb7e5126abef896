package main

import (
	"strings"
	"testing"
)

// TestPlatformDemo guards against an outcome on the users' platform that no
// longer holds: a prompt computed once, an order run once, a rate, weights, a
// leaving engine, a withdrawn key and a start without the store.
func TestPlatformDemo(t *testing.T) {
	status, out, errOut := execute("", "demo", "-platform")
	if status != 0 || strings.Contains(out, "FAIL") {
		t.Errorf("status %d\n%s\n%s", status, out, errOut)
	}
}

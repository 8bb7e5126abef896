package suggest

import "testing"

// TestClosest guards against suggesting unrelated names and against missing
// common typing mistakes.
func TestClosest(t *testing.T) {
	known := []string{"region", "deployment", "pools"}
	for name, want := range map[string]string{
		"regoin": "region", "REGION": "region", "pool": "pools", "deploymnet": "deployment",
		"xyzzy": "", "": "", "p": "",
	} {
		if got := Closest(name, known); got != want {
			t.Errorf("Closest(%q) = %q, want %q", name, got, want)
		}
	}
}

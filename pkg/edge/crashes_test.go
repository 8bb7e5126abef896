package edge

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/fescuestep/fescuestep/pkg/quarantine"
)

// TestQuarantineIsStoredHoweverLearned guards against a quarantine that no instance writes, because the one that will try the part was told of it.
func TestQuarantineIsStoredHoweverLearned(t *testing.T) {
	now := time.Unix(1000, 0)
	told := quarantine.Quarantine{Part: 7, Since: now, Left: time.Minute}
	for _, tries := range []bool{true, false} {
		c := newCrashes(hclog.NewNullLogger(), func() time.Time { return now })
		written := 0
		c.onChange = func(quarantine.Part, bool) { written++ }
		c.tries = func(quarantine.Part) bool { return tries }
		c.adopt([]quarantine.Quarantine{told})
		c.adopt([]quarantine.Quarantine{told})
		if (written == 1) != tries || written > 1 {
			t.Errorf("tries %v: written %d times", tries, written)
		}
	}
}

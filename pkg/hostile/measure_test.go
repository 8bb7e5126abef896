package hostile

import (
	"os"
	"testing"
	"time"

	"github.com/fescuestep/fescuestep/platform/standin"
)

// holdVariable is how long TestMeasureEdge holds each crowd; unset: it is skipped.
const holdVariable = "FESCUESTEP_HOSTILE_HOLD"

// TestMeasureEdge fills the table in docs/measurements-platform.md. It guards against nothing that the tests of single kinds do not.
func TestMeasureEdge(t *testing.T) {
	hold, err := time.ParseDuration(os.Getenv(holdVariable))
	if err != nil {
		t.Skip(holdVariable + " is not set")
	}
	const memoryMB, descriptors = 134, 4100
	for _, k := range Kinds() {
		t.Run(string(k), func(t *testing.T) {
			e := startEdge(t, memoryMB, descriptors)
			crowd, err := Start(t.Context(), k, descriptors/2, e.targets(k)...)
			if err != nil {
				t.Fatal(err)
			}
			defer crowd.Close()
			crowd.AwaitPlayed(playLimit)
			answered := 0
			for range 10 {
				time.Sleep(hold / 10)
				if err := e.order(); err == nil {
					answered++
				} else {
					t.Log(err)
				}
			}
			crowd.Close()
			time.Sleep(2 * time.Second)
			t.Logf("| %s | %d KB | %d | %d of 10 | %d | %v |", k, e.maxRSS>>10, e.maxFDs, answered, e.fds(), e.get(standin.PortReady, "/metrics"))
			e.check(memoryMB<<20, descriptors)
		})
	}
}

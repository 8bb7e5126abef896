package fresh_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed and the number of rapid's checks unless flags say
// otherwise: go test ./pkg/fresh -rapid.seed=N -rapid.checks=N.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "20000", "rapid.steps": "80"} {
		if !given[name] {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

// Package rapidtest gives property tests the same cases in every run.
package rapidtest

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// Main runs the tests of a package with a fixed seed and number of cases unless
// flags say otherwise: go test ./pkg/NAME -rapid.seed=N -rapid.checks=N. Steps of
// 0 keep rapid's own number.
func Main(m *testing.M, checks, steps int) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	values := map[string]int{"rapid.seed": 1, "rapid.checks": checks, "rapid.steps": steps}
	for name, value := range values {
		if given[name] || value == 0 {
			continue
		}
		if err := flag.Set(name, strconv.Itoa(value)); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

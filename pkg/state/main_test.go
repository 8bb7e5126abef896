package state

import (
	"testing"

	"github.com/fescuestep/fescuestep/internal/rapidtest"
)

// TestMain runs the property tests with a fixed seed, so that every run gives the same
// result.
func TestMain(m *testing.M) { rapidtest.Main(m, 1000, 0) }

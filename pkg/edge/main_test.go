package edge

import (
	"testing"

	"github.com/fescuestep/fescuestep/internal/rapidtest"
)

// TestMain fixes the seed of property tests, so that every run has the same result.
func TestMain(m *testing.M) { rapidtest.Main(m, 300, 0) }

package fleetrate

import (
	"testing"

	"github.com/fescuestep/fescuestep/internal/rapidtest"
)

// TestMain fixes the seed and the number of cases of the property tests.
func TestMain(m *testing.M) { rapidtest.Main(m, 500, 0) }

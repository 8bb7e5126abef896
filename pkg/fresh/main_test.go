package fresh_test

import (
	"testing"

	"github.com/fescuestep/fescuestep/internal/rapidtest"
)

// TestMain fixes the seed and the number of cases, so that every run checks the
// same ones.
func TestMain(m *testing.M) { rapidtest.Main(m, 20000, 80) }

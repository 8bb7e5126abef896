package edge

import (
	"testing"

	"github.com/fescuestep/fescuestep/internal/rapidtest"
)

// TestMain keeps the verdict the same in every run.
func TestMain(m *testing.M) { rapidtest.Main(m, 300, 0) }

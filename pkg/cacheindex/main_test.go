package cacheindex

import (
	"testing"

	"github.com/fescuestep/fescuestep/internal/rapidtest"
)

// TestMain fixes the seed of the property tests, so that every run has the same
// result.
func TestMain(m *testing.M) { rapidtest.Main(m, 500, 0) }

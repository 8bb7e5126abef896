package edge

import (
	"testing"
	"time"

	"github.com/fescuestep/fescuestep/internal/faultyserver"
)

// TestPartOfAnAnswerIsNoState guards against a part of the state of another instance that is taken for all of it.
func TestPartOfAnAnswerIsNoState(t *testing.T) {
	faultyserver.ExpectNoPart(t, newStateClient(nil, 1<<20), 32<<20, 20*time.Millisecond)
}

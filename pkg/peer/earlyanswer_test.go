package peer

import (
	"net/http"
	"testing"
	"time"

	"github.com/fescuestep/fescuestep/internal/faultyserver"
)

// TestPartOfAnAnswerIsNoWordOfAPeer guards against a call to another instance that counts as answered by a part of an answer.
func TestPartOfAnAnswerIsNoWordOfAPeer(t *testing.T) {
	faultyserver.ExpectNoPart(t, newHTTPClient(&http.Transport{}, "credential"), 32<<20, 20*time.Millisecond)
}

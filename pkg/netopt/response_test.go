package netopt

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
)

type fixedResponse string

func (f fixedResponse) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{Body: io.NopCloser(strings.NewReader(string(f)))}, nil
}

// TestLimitResponses guards against a client that reads a body without end, and
// against a limit that cuts a body of exactly the allowed size.
func TestLimitResponses(t *testing.T) {
	for size, wantErr := range map[int]bool{0: false, 9: false, 10: false, 11: true, 5000: true} {
		resp, err := LimitResponses(fixedResponse(strings.Repeat("x", size)), 10).RoundTrip(nil)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		if errors.Is(err, ErrResponseTooLarge) != wantErr || len(body) != min(size, 10) {
			t.Errorf("%d bytes: read %d, error %v", size, len(body), err)
		}
	}
}

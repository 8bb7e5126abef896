package netopt

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
)

// slowTransport answers after a time with a body that sends a byte each such time.
type slowTransport struct {
	pause time.Duration
	size  int
}

func (t slowTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	if err := pause(req.Context(), t.pause); err != nil {
		return nil, err
	}
	return &http.Response{Body: &slowBody{req.Context(), t.pause, t.size}}, nil
}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

type slowBody struct {
	ctx   context.Context
	pause time.Duration
	left  int
}

func (b *slowBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	if err := pause(b.ctx, b.pause); err != nil {
		return 0, err
	}
	b.left--
	return copy(p, "x"), nil
}

func (b *slowBody) Close() error { return nil }

// TestSlowResponseIsReadToItsEnd guards against a large response that is given up while it arrives, and against one that is awaited although nothing arrives.
func TestSlowResponseIsReadToItsEnd(t *testing.T) {
	for pause, complete := range map[time.Duration]bool{400 * time.Millisecond: true, 800 * time.Millisecond: false} {
		synctest.Test(t, func(t *testing.T) {
			req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://a/", strings.NewReader(""))
			if err != nil {
				t.Fatal(err)
			}
			began := time.Now()
			resp, err := LimitSilence(slowTransport{pause, 20}, 700*time.Millisecond).RoundTrip(req)
			var body []byte
			if err == nil {
				body, err = io.ReadAll(resp.Body)
				_ = resp.Body.Close()
			}
			switch {
			case complete && (err != nil || len(body) != 20):
				t.Errorf("a byte each %v: %d bytes, error %v", pause, len(body), err)
			case !complete && (!errors.Is(err, ErrNoProgress) || time.Since(began) > 700*time.Millisecond):
				t.Errorf("a byte each %v: error %v after %v", pause, err, time.Since(began))
			}
		})
	}
}

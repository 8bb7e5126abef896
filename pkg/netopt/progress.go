package netopt

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrNoProgress is returned when no byte of a response arrived for the time that its
// transport allows.
var ErrNoProgress = errors.New("response makes no progress")

// LimitSilence returns a transport whose calls fail with ErrNoProgress when no byte of the
// response arrives for a time, before its head or in its body. A response that arrives
// slowly is read to its end, within the deadline of the request.
func LimitSilence(next http.RoundTripper, silence time.Duration) http.RoundTripper {
	return silenceLimiter{next, silence}
}

type silenceLimiter struct {
	next    http.RoundTripper
	silence time.Duration
}

// RoundTrip sends a request and watches the progress of its response.
func (l silenceLimiter) RoundTrip(req *http.Request) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(req.Context())
	timer := time.AfterFunc(l.silence, func() { cancel(ErrNoProgress) })
	resp, err := l.next.RoundTrip(req.WithContext(ctx))
	if err != nil {
		timer.Stop()
		cancel(nil)
		return nil, silenceError(ctx, err)
	}
	timer.Reset(l.silence)
	resp.Body = &watchedBody{resp.Body, ctx, cancel, timer, l.silence}
	return resp, nil
}

// silenceError returns ErrNoProgress if that is why a request ended, otherwise err.
func silenceError(ctx context.Context, err error) error {
	if errors.Is(context.Cause(ctx), ErrNoProgress) {
		return ErrNoProgress
	}
	return err
}

type watchedBody struct {
	io.ReadCloser
	ctx     context.Context
	cancel  context.CancelCauseFunc
	timer   *time.Timer
	silence time.Duration
}

// Read returns ErrNoProgress when nothing has arrived for the allowed time.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 && b.ctx.Err() == nil {
		b.timer.Reset(b.silence)
	}
	if err != nil && !errors.Is(err, io.EOF) {
		err = silenceError(b.ctx, err)
	}
	return n, err
}

// Close ends the watch and closes the body.
func (b *watchedBody) Close() error {
	b.timer.Stop()
	b.cancel(nil)
	return b.ReadCloser.Close()
}

// Package body reads the whole body of an edge request before it is forwarded, so
// that no upstream receives an incomplete body and an attempt can be retried.
package body

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuestep/fescuestep/pkg/callerguard"
	"github.com/fescuestep/fescuestep/pkg/chain"
	"github.com/fescuestep/fescuestep/pkg/code"
	"github.com/fescuestep/fescuestep/pkg/membudget"
)

// retryAfterFull is the Retry-After sent to callers when the bodies of other
// requests use up the memory budget.
const retryAfterFull = 200 * time.Millisecond

// Filter reads the bodies of requests into memory.
type Filter struct{ budget *membudget.Budget }

// New returns a filter that takes the memory for bodies from the guard of a request's
// connection, or, without one, holds at most budget bytes of bodies at a time.
func New(budget int64) *Filter { return &Filter{budget: membudget.New(budget)} }

// Name returns the name of the filter.
func (f *Filter) Name() string { return "body" }

// Wrap returns a handler that sets the request's body and calls next.
func (f *Filter) Wrap(next chain.Handler) chain.Handler {
	return func(ctx context.Context, r *chain.Request) error {
		if r.HTTP.ContentLength == 0 {
			return next(ctx, r)
		}
		limit := r.Edge.Routing.Limits.BodyBytes
		var memory membudget.Reserver = f.budget
		if conn := callerguard.FromContext(r.HTTP.Context()); conn != nil {
			memory = conn
		}
		// A body that arrives after the request's deadline is of no use. Without deadline
		// support (tests with a recorder) the read has no limit.
		control := http.NewResponseController(r.Writer)
		_ = control.SetReadDeadline(r.Deadline)
		buffer, err := membudget.Read(memory, r.HTTP.Body, r.HTTP.ContentLength, limit)
		if err != nil {
			r.Writer.Header().Set("Connection", "close") // the rest of the body is unread
			return readError(err, limit)
		}
		defer buffer.Release()
		_ = control.SetReadDeadline(time.Time{})
		r.Body = buffer.Bytes
		return next(ctx, r)
	}
}

func readError(err error, limit int64) error {
	switch {
	case errors.Is(err, membudget.ErrTooLarge):
		return code.New(code.BodyTooLarge, "the body exceeds %d bytes", limit)
	case errors.Is(err, membudget.ErrExhausted), errors.Is(err, callerguard.ErrEvicted):
		return code.New(code.QueueFull, "bodies of other requests fill the memory").WithRetryAfter(retryAfterFull)
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return code.New(code.BodyTooLarge, "the body exceeds %d bytes", tooLarge.Limit)
	}
	return code.New(code.BodyReadTimeout, "the body was not received").WithCause(err)
}

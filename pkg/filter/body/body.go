// Package body reads the whole body of an edge request before it is forwarded, so
// that no upstream receives an incomplete body and an attempt can be retried.
package body

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuestep/fescuestep/pkg/chain"
	"github.com/fescuestep/fescuestep/pkg/code"
)

// retryAfterFull is the Retry-After sent to callers when the bodies of other
// requests use up the memory budget.
const retryAfterFull = 200 * time.Millisecond

// initialBufferBytes is the size of the initial buffer for a body without a
// Content-Length.
const initialBufferBytes = 4 << 10

// Filter reads the bodies of requests into memory.
type Filter struct {
	budget int64        // maximum of held
	held   atomic.Int64 // bytes reserved for the bodies of running requests
}

// New returns a filter that holds at most budget bytes of bodies in memory at a
// time.
func New(budget int64) *Filter { return &Filter{budget: budget} }

// Name returns the name of the filter.
func (f *Filter) Name() string { return "body" }

// Wrap returns a handler that sets the request's body and calls next.
func (f *Filter) Wrap(next chain.Handler) chain.Handler {
	return func(ctx context.Context, r *chain.Request) error {
		var reserved int64
		defer func() { f.held.Add(-reserved) }()
		if err := f.read(r, &reserved); err != nil {
			return err
		}
		return next(ctx, r)
	}
}

// read reads the body of the request. It adds the bytes that it reserves to
// reserved, also if it fails.
func (f *Filter) read(r *chain.Request, reserved *int64) error {
	limit := r.Edge.Routing.Limits.BodyBytes
	length := r.HTTP.ContentLength
	if length == 0 {
		return nil
	}
	if length > limit {
		return code.New(code.BodyTooLarge, "the body exceeds %d bytes", limit)
	}
	if length > 0 {
		if !f.reserve(length, reserved) {
			return memoryFullError()
		}
		r.Body = make([]byte, length)
		_, err := io.ReadFull(r.HTTP.Body, r.Body)
		return readError(r, err)
	}
	return f.readUnsized(r, limit, reserved)
}

// readUnsized reads a body without a Content-Length.
func (f *Filter) readUnsized(r *chain.Request, limit int64, reserved *int64) error {
	buffer := make([]byte, 0, initialBufferBytes)
	for {
		if len(buffer) == cap(buffer) {
			buffer = append(buffer, 0)[:len(buffer)]
		}
		if grown := int64(cap(buffer)) - *reserved; grown > 0 && !f.reserve(grown, reserved) {
			return memoryFullError()
		}
		n, err := r.HTTP.Body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if int64(len(buffer)) > limit {
			return code.New(code.BodyTooLarge, "the body exceeds %d bytes", limit)
		}
		if err == io.EOF {
			r.Body = buffer
			return nil
		}
		if err != nil {
			return readError(r, err)
		}
	}
}

// reserve reports whether n bytes were free, and adds them to reserved if so.
func (f *Filter) reserve(n int64, reserved *int64) bool {
	if f.held.Add(n) > f.budget {
		f.held.Add(-n)
		return false
	}
	*reserved += n
	return true
}

func memoryFullError() *code.Error {
	return code.New(code.QueueFull, "bodies of other requests fill the memory").WithRetryAfter(retryAfterFull)
}

func readError(r *chain.Request, err error) error {
	if err == nil {
		return nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return code.New(code.BodyTooLarge, "the body exceeds %d bytes", tooLarge.Limit)
	}
	return code.New(code.BodyReadTimeout, "the body was not received").WithCause(err)
}

// Package body reads the body of an edge request whole before it is passed on,
// so that a half-sent one reaches no upstream and an attempt can be repeated.
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

// retryAfterFull is told to callers when bodies fill the instance's memory.
const retryAfterFull = 200 * time.Millisecond

// initialBufferBytes is the initial buffer of a body without stated length, in bytes.
const initialBufferBytes = 4 << 10

// Filter reads bodies.
type Filter struct {
	budget int64 // bytes of all bodies held at once
	held   atomic.Int64
}

// New returns a filter that holds at most budget bytes at once.
func New(budget int64) *Filter { return &Filter{budget: budget} }

// Name implements chain.Filter.
func (f *Filter) Name() string { return "body" }

// Wrap implements chain.Filter.
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

// readUnsized reads a chunked body.
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

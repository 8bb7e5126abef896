// Package requestid gives every request a random identifier.
//
// The identifier has 128 bits in hexadecimal and is returned to the caller in
// X-Request-Id and in error bodies. An identifier sent by the caller is ignored:
// upstream responses are matched to requests by it, so it must not be guessable.
package requestid

import (
	"context"
	"crypto/rand"
	"encoding/hex"

	"github.com/fescuestep/fescuestep/pkg/chain"
	"github.com/fescuestep/fescuestep/pkg/engine"
)

const idBytes = 16

// Filter sets Request.ID to a random identifier.
type Filter struct{}

// Name returns the name of the filter.
func (Filter) Name() string { return "requestid" }

// Wrap returns a handler that sets Request.ID and the response header
// X-Request-Id, and calls next.
func (Filter) Wrap(next chain.Handler) chain.Handler {
	return func(ctx context.Context, r *chain.Request) error {
		r.ID = New()
		r.Writer.Header().Set(engine.HeaderRequestID, r.ID)
		return next(ctx, r)
	}
}

// New returns a random identifier of 32 hexadecimal digits.
func New() string {
	var b [idBytes]byte
	_, _ = rand.Read(b[:]) // crypto/rand documents that Read never returns an error
	return hex.EncodeToString(b[:])
}

// Package requestid gives every request a random identifier.
//
// The identifier is 128 bits in hexadecimal and is returned to the caller in
// X-Request-Id and in error bodies. An identifier sent by the caller is
// ignored: upstream answers are matched by it, so it must not be guessable.
package requestid

import (
	"context"
	"crypto/rand"
	"encoding/hex"

	"github.com/fescuestep/fescuestep/pkg/chain"
	"github.com/fescuestep/fescuestep/pkg/engine"
)

const idBytes = 16

// Filter sets Request.ID.
type Filter struct{}

// Name implements chain.Filter.
func (Filter) Name() string { return "requestid" }

// Wrap implements chain.Filter.
func (Filter) Wrap(next chain.Handler) chain.Handler {
	return func(ctx context.Context, r *chain.Request) error {
		r.ID = New()
		r.Writer.Header().Set(engine.HeaderRequestID, r.ID)
		return next(ctx, r)
	}
}

// New returns a random identifier.
func New() string {
	var b [idBytes]byte
	_, _ = rand.Read(b[:]) // never fails, see crypto/rand
	return hex.EncodeToString(b[:])
}

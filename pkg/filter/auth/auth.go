// Package auth admits requests by key.
//
// The key is the secret in "Authorization: Bearer". Its digest is looked up in
// the current snapshot; a missing, unknown or revoked key is refused. Routes
// that the configuration marks as open need no key and run for no customer,
// whatever key they carry. On an instance that is not fresh, keyed requests are
// refused as not run unless the customer is configured to be served with the
// last known keys.
//
// While a keyed request runs, the filter watches for new snapshots and cancels
// the request's context with a KeyRevoked error as cause once the key is
// revoked or gone. Later filters read the cause with context.Cause.
package auth

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuestep/fescuestep/pkg/chain"
	"github.com/fescuestep/fescuestep/pkg/code"
	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/keys"
)

// RetryNotFresh is the Retry-After of a refusal on an instance that is not
// fresh: the next read of the head revision is due within half a second.
const RetryNotFresh = time.Second

// State is the configuration held by this instance.
type State interface {
	Snapshot() *config.Snapshot
	Fresh() bool
	Changed() <-chan struct{} // closed when Snapshot next changes
}

// OpenRoute reports whether the request goes to a route that needs no key.
type OpenRoute func(s *config.Snapshot, req *http.Request) bool

// Filter admits requests by key.
type Filter struct {
	state State
	open  OpenRoute
}

// New returns the filter.
func New(state State, open OpenRoute) *Filter {
	return &Filter{state: state, open: open}
}

// Name implements chain.Filter.
func (f *Filter) Name() string { return "auth" }

// Wrap implements chain.Filter.
func (f *Filter) Wrap(next chain.Handler) chain.Handler {
	return func(ctx context.Context, r *chain.Request) error {
		// The channel is taken first, so that no change is missed, and freshness
		// before the snapshot, which is then at least as new as it refers to.
		changed := f.state.Changed()
		fresh := f.state.Fresh()
		r.Snapshot = f.state.Snapshot()
		if f.open(r.Snapshot, r.HTTP) {
			return next(ctx, r)
		}
		if err := admit(r, fresh); err != nil {
			return err
		}
		ctx, cancel := context.WithCancelCause(ctx)
		defer cancel(nil)
		go f.watch(ctx, cancel, changed, r.Key.Digest)
		return next(ctx, r)
	}
}

func admit(r *chain.Request, fresh bool) error {
	if len(r.Snapshot.Deployments) == 0 {
		return code.New(code.ConfigurationAbsent, "this instance has no configuration yet").
			WithRetryAfter(RetryNotFresh)
	}
	key, customer, err := keys.Authenticate(r.Snapshot, r.HTTP.Header)
	if !fresh && needsFresh(customer, err) {
		return code.New(code.NotFresh, "this instance cannot confirm that its keys are current").
			WithRetryAfter(RetryNotFresh)
	}
	if err != nil {
		return err
	}
	r.Key = key
	r.Customer = customer
	return nil
}

// needsFresh reports whether the decision depends on keys being current. A key
// that is unknown here may be known to a newer revision; a request without key
// is refused by any, and revocations are final.
func needsFresh(customer *config.Customer, err error) bool {
	var e *code.Error
	if errors.As(err, &e) {
		return e.Code == code.KeyUnknown
	}
	return customer.WhenUnconfirmed != config.ServeLastKnown
}

// watch cancels ctx once the key is revoked. It ends with ctx.
func (f *Filter) watch(ctx context.Context, cancel context.CancelCauseFunc, changed <-chan struct{}, digest config.Digest) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
		changed = f.state.Changed()
		key := f.state.Snapshot().Keys[digest]
		if key == nil || key.Revoked {
			cancel(code.New(code.KeyRevoked, "the key has been revoked"))
			return
		}
	}
}

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
	"strings"
	"time"

	"github.com/fescuestep/fescuestep/pkg/chain"
	"github.com/fescuestep/fescuestep/pkg/code"
	"github.com/fescuestep/fescuestep/pkg/config"
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
		// The channel is taken before the snapshot, so that no change between
		// the two is missed.
		changed := f.state.Changed()
		r.Snapshot = f.state.Snapshot()
		if f.open(r.Snapshot, r.HTTP) {
			return next(ctx, r)
		}
		if err := f.admit(r); err != nil {
			return err
		}
		ctx, cancel := context.WithCancelCause(ctx)
		defer cancel(nil)
		go f.watch(ctx, cancel, changed, r.Key.Digest)
		return next(ctx, r)
	}
}

func (f *Filter) admit(r *chain.Request) error {
	if len(r.Snapshot.Deployments) == 0 {
		return code.New(code.ConfigurationAbsent, "this instance has no configuration yet").
			WithRetryAfter(RetryNotFresh)
	}
	secret, ok := Bearer(r.HTTP.Header)
	if !ok {
		return code.New(code.KeyMissing, "send a key as Authorization: Bearer <key>")
	}
	key, customer, err := f.lookup(r.Snapshot, config.DigestOf(secret))
	if err != nil {
		return err
	}
	r.Key = key
	r.Customer = customer
	return nil
}

func (f *Filter) lookup(s *config.Snapshot, digest config.Digest) (*config.Key, *config.Customer, error) {
	key := s.Keys[digest]
	var customer *config.Customer
	if key != nil {
		customer = s.Customer(key.Customer)
	}
	// Freshness comes first: an unknown key may be known to a newer revision.
	if !f.state.Fresh() && (customer == nil || customer.WhenUnconfirmed != config.ServeLastKnown) {
		return nil, nil, code.New(code.NotFresh, "this instance cannot confirm that its keys are current").
			WithRetryAfter(RetryNotFresh)
	}
	switch {
	case key == nil:
		return nil, nil, code.New(code.KeyUnknown, "the key is not known")
	case key.Revoked:
		return nil, nil, code.New(code.KeyRevoked, "the key has been revoked")
	case customer == nil:
		return nil, nil, code.New(code.KeyUnknown, "the key's customer is not configured")
	}
	return key, customer, nil
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

// Bearer returns the secret of the Authorization header.
func Bearer(h http.Header) (string, bool) {
	scheme, secret, ok := strings.Cut(h.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return "", false
	}
	secret = strings.TrimSpace(secret)
	return secret, secret != ""
}

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
// revoked or gone, and with a NotFresh error once the instance has lost contact
// for so long that a revocation may be in force elsewhere. Later filters read
// the cause with context.Cause. Confirm repeats the check just before a request
// is sent: an order no longer depends on the request's context, and a paused
// process resumes with admissions of any age.
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

// RetryAfterNotFresh is the Retry-After of a refusal on an instance that is not
// fresh: the next read of the head revision is due within half a second.
const RetryAfterNotFresh = time.Second

// Bounds of running requests on an instance that is not fresh. Freshness ends
// at most fresh.Window (2 s) after a revocation; with one interval and the grace
// the requests of the key end within 3 s.
const (
	freshnessCheckInterval = 250 * time.Millisecond
	freshnessGrace         = 500 * time.Millisecond
)

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
	state       State
	isOpenRoute OpenRoute
}

// New returns the filter.
func New(state State, open OpenRoute) *Filter {
	return &Filter{state: state, isOpenRoute: open}
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
		if f.isOpenRoute(r.Snapshot, r.HTTP) {
			return next(ctx, r)
		}
		if err := admit(r, fresh); err != nil {
			return err
		}
		a := &admission{state: f.state, digest: r.Key.Digest, requireFresh: needsFresh(r.Customer, nil)}
		ctx, cancel := context.WithCancelCause(context.WithValue(ctx, admissionContextKey{}, a))
		defer cancel(nil)
		go a.watch(ctx, cancel, changed)
		return next(ctx, r)
	}
}

func admit(r *chain.Request, fresh bool) error {
	if len(r.Snapshot.Deployments) == 0 {
		return code.New(code.ConfigurationAbsent, "this instance has no configuration yet").
			WithRetryAfter(RetryAfterNotFresh)
	}
	key, customer, err := keys.Authenticate(r.Snapshot, r.HTTP.Header)
	if !fresh && needsFresh(customer, err) {
		return notFreshError()
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

type admissionContextKey struct{}

// admission is the key that a running request was admitted with.
type admission struct {
	state        State
	digest       config.Digest
	requireFresh bool // the customer is not served with the last known keys
}

// Recheck reports why the request of ctx may no longer be sent, or nil. The
// value outlives context.WithoutCancel.
func Recheck(ctx context.Context) *code.Error {
	a, ok := ctx.Value(admissionContextKey{}).(*admission)
	if !ok {
		return nil // an open route
	}
	// Freshness comes first; the snapshot is then at least as new.
	fresh := a.state.Fresh()
	if e := a.checkRevoked(); e != nil {
		return e
	}
	if a.requireFresh && !fresh {
		return notFreshError()
	}
	return nil
}

func notFreshError() *code.Error {
	return code.New(code.NotFresh, "this instance cannot confirm that its keys are current").
		WithRetryAfter(RetryAfterNotFresh)
}

func (a *admission) checkRevoked() *code.Error {
	key := a.state.Snapshot().Keys[a.digest]
	if key == nil || key.Revoked {
		return code.New(code.KeyRevoked, "the key has been revoked")
	}
	return nil
}

// watch cancels ctx once the key is revoked or can no longer be confirmed. It
// ends with ctx.
func (a *admission) watch(ctx context.Context, cancel context.CancelCauseFunc, changed <-chan struct{}) {
	ticker := time.NewTicker(freshnessCheckInterval)
	defer ticker.Stop()
	stale := time.Duration(0) // since when the instance is not fresh
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if !a.requireFresh || a.state.Fresh() {
				stale = 0
				continue
			}
			if stale > freshnessGrace {
				cancel(notFreshError())
				return
			}
			stale += freshnessCheckInterval
			continue
		case <-changed:
		}
		changed = a.state.Changed()
		if e := a.checkRevoked(); e != nil {
			cancel(e)
			return
		}
	}
}

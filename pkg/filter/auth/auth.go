// Package auth authenticates requests by API key.
//
// The key is the bearer token of the Authorization header. Its digest is looked
// up in the current configuration snapshot; a request with a missing, unknown or
// revoked key is rejected. Routes that the configuration marks as open need no
// key; their requests belong to no customer even if they carry a key. On an
// instance whose configuration is not known to be fresh, requests that need a key
// are rejected with run state "not run", unless the customer is configured to be
// served with the last known keys.
//
// While an authenticated request runs, the filter watches for new snapshots. It
// cancels the request's context with a KeyRevoked error as cause once the key is
// revoked or deleted, and with a NotFresh error once the instance has been out of
// contact for so long that a revocation may be in force on other instances. Later
// filters read the cause with context.Cause. Recheck repeats the check just
// before a request is sent, for two reasons: a non-idempotent call does not end
// with the request's context, and a process that was paused resumes with
// admissions of any age.
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

// RetryAfterNotFresh is the Retry-After of a NotFresh error. The instance reads
// the latest configuration revision again within half a second.
const RetryAfterNotFresh = time.Second

// Bounds of running requests on an instance that is not fresh. Freshness ends at
// most fresh.Window (2 s) after a revocation. With one check interval and the
// grace period, running requests with the revoked key end within 3 s.
const (
	freshnessCheckInterval = 250 * time.Millisecond
	freshnessGrace         = 500 * time.Millisecond
)

// State is the configuration of this instance.
type State interface {
	Snapshot() *config.Snapshot
	Fresh() bool              // reports whether the snapshot is known to be current
	Changed() <-chan struct{} // closed when Snapshot next changes
}

// OpenRoute reports whether the request matches a route that needs no key.
type OpenRoute func(s *config.Snapshot, req *http.Request) bool

// Filter authenticates requests by API key.
type Filter struct {
	state       State
	isOpenRoute OpenRoute
}

// New returns a filter that uses the keys of state for all routes but those that
// open reports.
func New(state State, open OpenRoute) *Filter {
	return &Filter{state: state, isOpenRoute: open}
}

// Name returns the name of the filter.
func (f *Filter) Name() string { return "auth" }

// Wrap returns a handler that calls next only for open routes and authenticated
// requests.
func (f *Filter) Wrap(next chain.Handler) chain.Handler {
	return func(ctx context.Context, r *chain.Request) error {
		// The channel is read first, so that no change is missed. Freshness is
		// read before the snapshot, which is then at least as new as the one that
		// Fresh reported on.
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

// admit authenticates the request and sets its key and customer.
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

// needsFresh reports whether the decision about a request requires a fresh
// snapshot. An unknown key may exist in a newer revision. A request without a key
// or with a revoked one is rejected in any revision, since revocations are final.
// err is the error of keys.Authenticate; customer is used only if it is nil.
func needsFresh(customer *config.Customer, err error) bool {
	var e *code.Error
	if errors.As(err, &e) {
		return e.Code == code.KeyUnknown
	}
	return customer.WhenUnconfirmed != config.ServeLastKnown
}

type admissionContextKey struct{}

// admission is what is needed to recheck the key of a running request.
type admission struct {
	state        State
	digest       config.Digest // of the key
	requireFresh bool          // the customer is not served with the last known keys
}

// Recheck returns the error with which the request of ctx must no longer be sent,
// or nil if its key is still valid. It works on contexts derived with
// context.WithoutCancel too.
func Recheck(ctx context.Context) *code.Error {
	a, ok := ctx.Value(admissionContextKey{}).(*admission)
	if !ok {
		return nil // an open route
	}
	// Freshness is read before the snapshot, which is then at least as new.
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

// watch cancels the request once its key is revoked or its snapshot has not been
// fresh for longer than freshnessGrace. It returns when ctx ends.
func (a *admission) watch(ctx context.Context, cancel context.CancelCauseFunc, changed <-chan struct{}) {
	ticker := time.NewTicker(freshnessCheckInterval)
	defer ticker.Stop()
	staleFor := time.Duration(0) // how long the instance has not been fresh
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if !a.requireFresh || a.state.Fresh() {
				staleFor = 0
				continue
			}
			if staleFor > freshnessGrace {
				cancel(notFreshError())
				return
			}
			staleFor += freshnessCheckInterval
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

package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuestep/fescuestep/pkg/call"
	"github.com/fescuestep/fescuestep/pkg/code"
	"github.com/fescuestep/fescuestep/pkg/fleet"
	"github.com/fescuestep/fescuestep/pkg/placement"
	"github.com/fescuestep/fescuestep/pkg/release"
)

// Releases knows the rollouts of services' software. It must be safe for concurrent use.
type Releases interface {
	// Choose returns which version of a service gets a request, whose key is asked for if a
	// rollout is in progress. ok is false if there is none.
	Choose(service string, key func() uint64) (c release.Choice, ok bool)
	// Fallback returns which version gets a request that the new one failed. unsent says
	// that it was not sent there.
	Fallback(service string, unsent bool) release.Choice
	// Expose records that the rest of a stream that began at a version must go there. It
	// reports whether the version may get it.
	Expose(service, software string) bool
	// MaySend reports whether the version of an upstream may get a request now.
	MaySend(u *fleet.Upstream) bool
	// Begin records that a request is about to be sent to an upstream.
	Begin(u *fleet.Upstream)
	// End records that the request ended there. s is nil if it showed nothing of the
	// version. cut says that the answer ended with its connection.
	End(u *fleet.Upstream, s *release.Sample, cut bool)
}

var errVersionClosed = errors.New("the version of the upstream's software gets no requests any more")

// chooseRelease chooses the version that gets the request while a rollout is in progress.
func (x *exchange) chooseRelease() {
	if x.origin != nil {
		return // see refusedRelease
	}
	choice, ok := x.h.Releases.Choose(x.service.Name, func() uint64 {
		customer := ""
		if x.edge.Customer != nil {
			customer = x.edge.Customer.Name
		}
		return release.Key(customer, call.PartIDs(x.sharedParts()), x.edge.Call.ID)
	})
	if ok {
		x.release = &choice
	}
}

// refusedRelease returns the error for a request that no version may get now, or nil. A
// stream goes on at the version that began it or not at all.
func (x *exchange) refusedRelease() error {
	if x.origin != nil && !x.h.Releases.Expose(x.origin.Service, x.origin.Software) {
		return code.New(code.StreamOriginUnknown, "the software version that began the stream no longer receives requests").WithRetryAfter(retryAfterRefusal)
	}
	if x.origin == nil && x.release != nil && x.release.Refuse {
		return code.New(code.NoUpstream, "no software version of the service may receive requests: the state of its rollout cannot be confirmed").WithRetryAfter(retryAfterRefusal)
	}
	return nil
}

// leaveNewRelease makes the next attempt go to the old version if the new one did not take
// or failed the request. It reports whether that is another version.
func (x *exchange) leaveNewRelease(sent bool) bool {
	if x.release == nil || x.origin != nil {
		return false
	}
	if !x.release.New {
		if sent { // the old version may have been closed meanwhile
			*x.release = x.h.Releases.Fallback(x.service.Name, false)
		}
		return false
	}
	*x.release = x.h.Releases.Fallback(x.service.Name, !sent)
	return !x.release.New
}

// releaseExcludes reports whether the rollout keeps the request from an upstream.
func (x *exchange) releaseExcludes(id string) bool {
	return x.origin == nil && x.release != nil && x.release.Excludes(id)
}

func (x *exchange) beginRelease(attempt *placement.Attempt) time.Time {
	x.h.Releases.Begin(attempt.Upstream)
	return x.h.Now()
}

// recordRelease records what an attempt showed of the version of its upstream. Refusals,
// and connections that could not be opened, say nothing of it.
func (x *exchange) recordRelease(ctx context.Context, attempt *placement.Attempt, began time.Time, result placement.Result, err error) {
	expired := result == placement.Cancelled && errors.Is(context.Cause(ctx), context.DeadlineExceeded) && x.mayHaveRun
	if result != placement.OK && result != placement.Failed && !expired {
		x.h.Releases.End(attempt.Upstream, nil, false)
		return
	}
	s := release.Sample{Group: x.edge.Route.Name, Latency: x.h.Now().Sub(began)}
	if attempt.IsLong() {
		s.Group += "/long" // the upstream computed most of a long prompt
	}
	s.Bad = result != placement.OK || err != nil || x.r.Outcome.Status >= http.StatusInternalServerError
	x.h.Releases.End(attempt.Upstream, &s, result == placement.Failed && isBrokenConn(err))
}

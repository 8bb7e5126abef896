package dispatch

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fescuestep/fescuestep/pkg/chain"
	"github.com/fescuestep/fescuestep/pkg/code"
	"github.com/fescuestep/fescuestep/pkg/placement"
	"github.com/fescuestep/fescuestep/pkg/streamversion"
)

// StreamOrigins knows where streams began: the service, and the version of the upstream's
// software, at which alone they may go on. It must be safe for concurrent use.
type StreamOrigins interface {
	// Origin returns where a stream began that a caller takes up. resumes is the ID of the
	// request that brought its first event, and services are those that may serve it.
	Origin(ctx context.Context, resumes string, services []string) (streamversion.Origin, bool)
	// Began records that the caller of a stream has got an event from its origin.
	// firstRequest is the ID of the request that brought the first one, and until is when
	// the caller no longer waits.
	Began(firstRequest string, o streamversion.Origin, until time.Time)
}

// takesUp reports whether the caller asks for the rest of a stream.
func takesUp(edge *chain.Edge) bool { return edge.Route.MayResume() && edge.Call.LastEventID != "" }

// chooseService returns the name of the service that serves a request and, for a stream
// that the caller takes up, where it began. One whose origin is unknown is refused: other
// instances may know it, and the caller gets nothing that is joined from two versions.
func (h *Handler) chooseService(ctx context.Context, edge *chain.Edge) (service string, origin *streamversion.Origin, err error) {
	if !takesUp(edge) {
		return edge.Route.PickService(rand.Float64()), nil, nil
	}
	services := edge.Route.Services()
	began, ok := h.Streams.Origin(ctx, edge.Call.Resumes, services)
	if !ok {
		return "", nil, code.New(code.StreamOriginUnknown, "it is not known which version of the upstreams began the stream").WithRetryAfter(retryAfterRefusal)
	}
	if !slices.Contains(services, began.Service) {
		return "", nil, code.New(code.StreamOriginUnknown, "the route no longer leads to the service that began the stream").WithRetryAfter(retryAfterRefusal)
	}
	return began.Service, &began, nil
}

// software returns the version at which alone the request may run; nil: any.
func (x *exchange) software() *string {
	switch {
	case x.origin != nil:
		return &x.origin.Software
	case x.release != nil:
		return x.release.Software
	}
	return nil
}

// recordOrigin records where the stream began when an attempt brings an event.
func (x *exchange) recordOrigin(attempt *placement.Attempt) {
	if !x.edge.Route.MayResume() {
		return
	}
	if x.origin == nil {
		x.origin = &streamversion.Origin{Service: x.service.Name, Software: attempt.Upstream.Software}
	}
	x.h.Streams.Began(x.firstRequest(), *x.origin, x.r.Deadline)
}

// firstRequest returns the ID of the request that brought the first event of the stream.
func (x *exchange) firstRequest() string {
	if takesUp(x.edge) {
		return x.edge.Call.Resumes
	}
	return x.edge.Call.ID
}

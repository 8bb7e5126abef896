package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/fescuestep/fescuestep/pkg/call"
	"github.com/fescuestep/fescuestep/pkg/fleet"
	"github.com/fescuestep/fescuestep/pkg/httpconn"
	"github.com/fescuestep/fescuestep/pkg/placement"
)

// Dialect translates between headers and the metadata of requests and responses.
// EncodeRequest returns the headers of an attempt, made from the caller's headers
// and s; EncodeForwarded those of a request to another instance; EncodeResponse
// copies an upstream's headers for the caller.
type Dialect interface {
	EncodeRequest(caller http.Header, s call.Attempt) http.Header
	EncodeForwarded(caller http.Header, f call.Forwarded) http.Header
	DecodeResponse(status int, h http.Header) call.Response
	EncodeResponse(dst, src http.Header)
}

// Placer chooses upstreams and tracks their state. It must be safe for
// concurrent use.
type Placer interface {
	// Pick chooses an upstream and returns the expected time to first token. It
	// returns a *placement.NoUpstreamError if no upstream takes the request.
	Pick(q placement.Query) (attempt *placement.Attempt, expected time.Duration, err error)
	// Begin counts an attempt before it is sent. It returns false if the upstream takes
	// no request any more, so that another one must be chosen.
	Begin(attempt *placement.Attempt) bool
	// PrefixComputeTime returns how long the upstream is still expected to
	// compute the shared parts of the prompt for other requests.
	PrefixComputeTime(attempt *placement.Attempt) time.Duration
	// FirstToken records that the upstream has computed the prompt. saved states
	// whether it was also asked to save the prompt to the KV store.
	FirstToken(attempt *placement.Attempt, saved bool)
	// Answered records that the whole answer of a plain service has arrived.
	Answered(attempt *placement.Attempt)
	// Done ends an attempt.
	Done(attempt *placement.Attempt, r placement.Result)
	// RecordLoad records the load that an upstream stated.
	RecordLoad(id string, load call.Load)
	// RecordWeights records the weights version that an upstream stated.
	RecordWeights(id, model string, version int)
	// RecordWeightsMismatch records that an upstream refused a weights version
	// without stating its own.
	RecordWeightsMismatch(id, model string, refused int)
	// SetBusy sends no requests to an upstream for d.
	SetBusy(id string, d time.Duration)
	// Throttle sends no requests to an upstream that asked for none for d.
	Throttle(u *fleet.Upstream, d time.Duration)
	// RecordRateLimit records the limit, in requests per second, that an upstream named
	// in its answer to an attempt.
	RecordRateLimit(attempt *placement.Attempt, perSecond float64)
	// RecordNoRateLimit records that an upstream named none.
	RecordNoRateLimit(attempt *placement.Attempt)
	// RecordBrittle records that an upstream stated in its answer to an attempt that those
	// of its service end if they refuse more than maxRefusals requests in a second.
	RecordBrittle(attempt *placement.Attempt, maxRefusals int)
	// RecordNotBrittle records that an upstream stated nothing of that kind.
	RecordNotBrittle(attempt *placement.Attempt)
	// RecordRefusal records that an upstream refused a request for want of room.
	RecordRefusal(u *fleet.Upstream)
	// RecordLeaving sends no more requests to an upstream that stated that it leaves.
	RecordLeaving(u *fleet.Upstream)
}

// RetryBudget limits the retries of each service.
type RetryBudget interface {
	// RecordRequest earns the service a share of a retry.
	RecordRequest(service string)
	// Spend takes one retry and reports whether the budget allowed it.
	Spend(service string) bool
}

// ConnPool is a pool of connections to upstreams.
type ConnPool interface {
	// Get returns a connection that has been idle for at most maxIdle, or opens
	// one.
	Get(ctx context.Context, addr string, maxIdle time.Duration) (*httpconn.Conn, error)
	// Put returns a connection for reuse. keepAlive is the time after which the
	// upstream closes it if idle; 0 means not stated.
	Put(addr string, c *httpconn.Conn, keepAlive time.Duration)
}

// Reachability knows whether this instance reaches the upstreams of a service. It must be
// safe for concurrent use.
type Reachability interface {
	// Opened records that a connection to an upstream of a service was opened.
	Opened(service string)
	// Failed records that no connection to an upstream could be opened.
	Failed(u *fleet.Upstream)
	// CutOff reports whether this instance reaches no upstream of a service.
	CutOff(service string) bool
	// Helpers returns the addresses (IP:port) of other instances that reach the upstreams
	// of a service, in the order in which to ask them.
	Helpers(service string) []string
	// HelpersNamed returns the addresses of those of the named instances that reach the
	// upstreams of a service, in the order of the names.
	HelpersNamed(service string, names []string) []string
}

// Metrics counts what upstreams state. It must be safe for concurrent use.
type Metrics interface {
	// UndecodableStatement counts a statement that could not be decoded.
	UndecodableStatement(name string)
}

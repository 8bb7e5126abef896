// Package chain defines the filter chain that handles every request.
package chain

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuestep/fescuestep/pkg/block"
	"github.com/fescuestep/fescuestep/pkg/call"
	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/prompt"
	"github.com/fescuestep/fescuestep/pkg/routing"
)

// ErrInstanceStops is the cause with which the context of a request ends when the instance
// stops and can wait no longer.
var ErrInstanceStops = errors.New("the instance stops")

// Request is the state of one request while the chain handles it. A request is
// handled by one goroutine; each filter sets the fields it owns.
type Request struct {
	// Set by the listener. Snapshot is nil on edge instances.
	HTTP       *http.Request
	Writer     http.ResponseWriter
	ReceivedAt time.Time
	Forwarded  bool // by another edge instance, which has charged and counted it
	LastHop    bool // came where other instances forward requests, so that it is not forwarded again
	Snapshot   *config.Snapshot

	// Set by requestid.
	ID string

	// Set by auth; nil on routes that need no key.
	Key      *config.Key
	Customer *config.Customer

	// Set by route.
	Deadline     time.Time
	Deployment   *config.Deployment
	Application  *config.Application
	Route        *config.Route
	Pool         *config.Pool
	Body         []byte // at most the body limit
	Prompt       *prompt.Prompt
	Blocks       []block.Hash // chained hashes of the full blocks of the prompt
	UpstreamPath string       // path of the request to the upstream

	// Edge is set by hostroute on edge instances, whose callers state in headers
	// what other instances read from the body; nil otherwise.
	Edge *Edge

	// Set by endpoint for each attempt.
	Target Target
	// OnFirstToken, if not nil, is called by relay when the first event of a
	// model's response arrives.
	OnFirstToken func(cachedTokens int)
	// OnTokenGap, if not nil, is called by relay with the time between two
	// events of a model's response.
	OnTokenGap func(gap time.Duration)

	// Set by relay, read by accounting, idempotency and ratelimit.
	Outcome Outcome
}

// Edge is the state of a request to an edge instance.
type Edge struct {
	Call     call.Request
	Routing  *routing.Snapshot
	Route    *routing.Route
	Customer *routing.Customer // nil on public routes and if no customers are configured

	// Set by dispatch, read by the access log.
	Service   string
	Attempts  int       // upstreams that the request was sent to
	Placement Placement // of the last attempt

	ForwardedTo string // address of the last other instance that was asked to handle the request; empty: none
}

// Placement is an upstream chosen for a request and the inputs to that choice.
type Placement struct {
	Upstream               string        // upstream ID
	Software               string        // version of the upstream's software; empty if unknown
	WeightsVersion         int           // version of the model weights that the upstream must have; 0: any
	ExpectedTTFT           time.Duration // expected time to first token
	PrefixID               uint64        // identifies the shared parts of the prompt; 0: none
	CachedTokens           int           // prompt tokens expected in the upstream's prefix cache
	CachedTokensAfterFetch int           // the same after the requested fetch
	// FetchFrom is the engine or KV cache store, as IP:port, that the upstream
	// was told to fetch from.
	FetchFrom     string
	SaveRequested bool // the upstream was asked to save the prompt's KV cache to the store
}

// Target is the upstream chosen for one attempt.
type Target struct {
	ID          string // upstream ID
	Addr        string // IP:port
	Incarnation string // engine incarnation that the choice relied on; empty for plain services
	HitTokens   int    // prompt tokens expected in the prefix cache
}

// Outcome is the result of a request as seen by relay.
type Outcome struct {
	Sent             bool // bytes may have reached an upstream
	ResponseStarted  bool // bytes of the response were written to the caller
	Status           int  // HTTP status of the upstream's response
	TimeToFirstToken time.Duration
	Duration         time.Duration
	PromptTokens     int // as reported by the engine
	CachedTokens     int // as reported by the engine
	OutputTokens     int
	Complete         bool
	RecordedResponse *Response // set by relay for non-streamed responses of plain services
}

// Response is a complete upstream response, stored so that it can be replayed
// for a repeated idempotency key.
type Response struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
}

// Handler handles a request. A returned *code.Error has not been written to
// the caller yet, unless Request.Outcome.ResponseStarted is set.
type Handler func(ctx context.Context, r *Request) error

// Filter wraps a handler.
type Filter interface {
	Name() string
	Wrap(next Handler) Handler
}

// Build wraps last in filters; the first filter is outermost.
func Build(last Handler, filters ...Filter) Handler {
	h := last
	for i := len(filters) - 1; i >= 0; i-- {
		h = filters[i].Wrap(h)
	}
	return h
}

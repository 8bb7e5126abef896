// Package chain defines the filter chain that every request passes.
package chain

import (
	"context"
	"net/http"
	"time"

	"github.com/fescuestep/fescuestep/pkg/block"
	"github.com/fescuestep/fescuestep/pkg/call"
	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/prompt"
	"github.com/fescuestep/fescuestep/pkg/routing"
)

// Request is the state of one request on its way through the chain. A request
// is handled by one goroutine; filters fill in the fields they own.
type Request struct {
	// Set by the listener.
	HTTP       *http.Request
	Writer     http.ResponseWriter
	ReceivedAt time.Time
	Snapshot   *config.Snapshot

	// Set by requestid.
	ID string

	// Set by auth; nil on open routes.
	Key      *config.Key
	Customer *config.Customer

	// Set by route.
	Deadline     time.Time
	Deployment   *config.Deployment
	Application  *config.Application
	Route        *config.Route
	Pool         *config.Pool
	Body         []byte // bounded by the body limit
	Prompt       *prompt.Prompt
	Blocks       []block.Hash // chained hashes of the whole blocks of the prompt
	UpstreamPath string       // path that the upstream sees

	// Edge is set by the edge listener, whose callers state in headers what the
	// callers' interface of the product finds in the body; nil otherwise.
	Edge *Edge

	// Set by endpoint for one attempt.
	Target Target
	// OnFirstToken is called by relay when the first event of a model's answer
	// arrives; nil when nobody listens.
	OnFirstToken func(cachedTokens int)
	// OnTokenGap is called by relay with the time between two events of a
	// model's answer; nil when nobody listens.
	OnTokenGap func(gap time.Duration)

	// Set by relay, read by accounting, idempotency and ratelimit.
	Outcome Outcome
}

// Edge is the state of a request to an edge instance.
type Edge struct {
	Call     call.Request
	Routing  *routing.Snapshot
	Route    *routing.Route
	Customer *routing.Customer // nil on public routes and without customers

	// Set by dispatch, read by the access log.
	Service   string
	Attempts  int       // upstreams that the request was sent to
	Placement Placement // of the last attempt
}

// Placement is what decided the choice of an upstream.
type Placement struct {
	Upstream               string
	WeightsVersion         int           // version that the upstream must have; 0: any
	ExpectedTTFT           time.Duration // until the first token
	PrefixID               uint64        // identifies the shared parts of the prompt; 0: none
	CachedTokens           int           // tokens that the upstream is expected to keep
	CachedTokensAfterFetch int           // tokens that it is expected to have after a fetch
	// FetchFrom is the engine or store that was named to fetch from, IP:port.
	FetchFrom     string
	SaveRequested bool // the upstream was asked to save the prompt to the store
}

// Target is the upstream chosen for one attempt.
type Target struct {
	ID          string // upstream ID
	Addr        string // IP:port
	Incarnation string // engine incarnation the choice relied on, empty for services
	HitTokens   int    // tokens expected to be cached
}

// Outcome is what is known of a request after the relay.
type Outcome struct {
	Sent             bool // bytes may have reached an upstream
	ResponseStarted  bool // bytes of the answer were written to the caller
	Status           int  // HTTP status of the upstream's answer
	TimeToFirstToken time.Duration
	Duration         time.Duration
	PromptTokens     int // as reported by the engine
	CachedTokens     int // as reported by the engine
	OutputTokens     int
	Complete         bool
	RecordedResponse *Response // set by relay for non-streamed answers of plain services
}

// Response is a whole upstream answer, kept so that it can be replayed for a
// repeated idempotency key.
type Response struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
}

// Handler handles a request. A returned *code.Error has not been written to
// the caller yet, unless Request.Outcome.Started is set.
type Handler func(ctx context.Context, r *Request) error

// Filter wraps a handler.
type Filter interface {
	Name() string
	Wrap(next Handler) Handler
}

// Build composes filters around last; the first filter is outermost.
func Build(last Handler, filters ...Filter) Handler {
	h := last
	for i := len(filters) - 1; i >= 0; i-- {
		h = filters[i].Wrap(h)
	}
	return h
}

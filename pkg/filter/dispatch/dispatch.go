// Package dispatch implements the last handler of an edge instance's chain. It
// chooses an upstream, sends the request and relays the response.
//
// A request is retried on another upstream only if the first did not run it or
// if it is idempotent, within the route's number of attempts and the retry
// budget. The caller is told that the request has not run only if no byte of it
// was sent or every upstream that received it attested that it did not run it. A
// response counts as a success only if it is complete, belongs to this request
// and carries the upstream's attestation.
package dispatch

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/fescuestep/fescuestep/pkg/call"
	"github.com/fescuestep/fescuestep/pkg/chain"
	"github.com/fescuestep/fescuestep/pkg/code"
	"github.com/fescuestep/fescuestep/pkg/membudget"
	"github.com/fescuestep/fescuestep/pkg/placement"
	"github.com/fescuestep/fescuestep/pkg/quarantine"
	"github.com/fescuestep/fescuestep/pkg/release"
	"github.com/fescuestep/fescuestep/pkg/routing"
	"github.com/fescuestep/fescuestep/pkg/streamversion"
)

// Handler sends requests to upstreams and relays the responses.
type Handler struct {
	Dependencies
	domain  string
	buffers *membudget.Budget // holds responses that are read whole
}

// Dependencies are the collaborators of a Handler.
type Dependencies struct {
	Dialect       Dialect
	Placer        Placer
	Retries       RetryBudget
	Conns         ConnPool // to upstreams
	InstanceConns ConnPool // to other instances
	Crashes       CrashTracker
	Streams       StreamOrigins
	Reach         Reachability
	Releases      Releases
	Admission     Admission
	Metrics       Metrics
	Log           hclog.Logger
	Now           func() time.Time
	EndsAt        func() time.Time // when this instance ends all requests, once it takes no new ones; zero: it stays
}

// Options are the settings of a Handler.
type Options struct {
	Domain        string // failure domain of the instance
	ResponseBytes int64  // memory for responses that are read whole, over all requests
	// EvictReaders ends callers that don't read their responses and reports whether there
	// were any; nil: there are never.
	EvictReaders func() bool
}

// New returns a handler.
func New(deps Dependencies, o Options) *Handler {
	return &Handler{deps, o.Domain, membudget.New(o.ResponseBytes).OnExhausted(o.EvictReaders)}
}

const (
	// maxUnreachable is the number of unreachable upstreams after which a request
	// is given up.
	maxUnreachable = 3
	// dialTimeout is the connect timeout of one upstream. Dropped SYN packets
	// are retransmitted only after a second, so that waiting longer rarely helps.
	dialTimeout = 300 * time.Millisecond
	// nonIdempotentMaxIdle is the longest idle time of a connection that may
	// carry a request that must not run twice: if the upstream is closing the
	// connection at that moment, the outcome is unknown.
	nonIdempotentMaxIdle = time.Second
	// idempotentMaxIdle is so long that only the upstream's own keep-alive limit
	// applies.
	idempotentMaxIdle = time.Hour
	// replacedBusyTime is how long no requests are sent to an upstream whose
	// address another upstream now has, until the upstream list reflects that.
	replacedBusyTime = 2 * time.Second
	// retryAfterRefusal is the Retry-After sent to callers when upstreams refused.
	retryAfterRefusal = 250 * time.Millisecond
	// retryAfterStop is the Retry-After sent to callers of an instance that stops. Other
	// instances take the request at once.
	retryAfterStop = 20 * time.Millisecond
	// minAttemptTime is the least time before the deadline at which a retry is
	// still worthwhile.
	minAttemptTime = 20 * time.Millisecond
)

// exchange is the state of one request over all its attempts.
type exchange struct {
	h                *Handler
	r                *chain.Request
	edge             *chain.Edge
	service          *routing.Service
	tried            map[string]bool       // by upstream ID
	lastEventID      string                // ID of the last event relayed to the caller
	origin           *streamversion.Origin // where the stream began; nil: it has no event
	release          *release.Choice       // which version gets the request; nil: no rollout, or not chosen
	mayHaveRun       bool                  // an upstream may have run the request
	mayHaveRunBefore bool                  // mayHaveRun before the current attempt
	errorResponse    *response             // last 5xx response, sent if no retry succeeds
	buffers          []*membudget.Buffer
	answer           answer            // in the current attempt
	parts            []quarantine.Part // see crashParts; nil until it is called
	helperRetryAfter time.Duration     // what another instance asked for that refused the request
	waitedForPrefix  bool              // waitForPrefix has waited once
	counted          bool              // countRequest has counted the request
	endAdmission     func()            // nil: the request was not admitted yet
	retryReserved    atomic.Bool       // the next retry was already taken from the budget
}

// Handle sends the request to upstreams until it has a final response. It is the
// last handler of the chain.
func (h *Handler) Handle(ctx context.Context, r *chain.Request) error {
	edge := r.Edge
	name, origin, err := h.chooseService(ctx, edge)
	if err != nil {
		return err
	}
	service := edge.Routing.Service(name)
	if service == nil {
		return code.New(code.NoUpstream, "the route's service is not configured").WithRetryAfter(retryAfterRefusal)
	}
	edge.Service = service.Name
	x := &exchange{h: h, r: r, edge: edge, service: service, origin: origin, tried: map[string]bool{}, lastEventID: edge.Call.LastEventID}
	x.chooseRelease()
	defer x.releaseBuffers()
	defer x.releaseAdmission()
	return x.run(ctx)
}

// countRequest earns the service a share of a retry, once. Another instance that handles
// the request counts it there.
func (x *exchange) countRequest() {
	if !x.counted {
		x.counted = true
		x.h.Retries.RecordRequest(x.service.Name)
	}
}

func (x *exchange) releaseBuffers() {
	for _, buffer := range x.buffers {
		buffer.Release()
	}
}

// run makes attempts until one yields a final response or no retry is allowed.
func (x *exchange) run(ctx context.Context) error {
	unreachable := 0
	var last error
	for {
		if refused := x.refusedPart(); refused != nil {
			return x.giveUp(ctx, last, refused)
		}
		if refused := x.refusedRelease(); refused != nil {
			return x.giveUp(ctx, last, refused)
		}
		if refused := x.refusedAtStop(); refused != nil {
			return x.giveUp(ctx, last, refused)
		}
		cutOff := x.isCutOff()
		if cutOff {
			if final, err := x.beyondReach(ctx, last); final {
				return err
			}
		}
		if err := x.admit(ctx); err != nil {
			return x.giveUp(ctx, last, err)
		}
		attempt, expected, err := x.h.Placer.Pick(x.query())
		if err != nil {
			if x.leaveNewRelease(false) {
				continue
			}
			x.releaseAdmission() // another instance decides if it gets the request
			if final, err := x.placedElsewhere(ctx, err); final {
				return err
			}
			x.countRequest()
			return x.giveUp(ctx, last, err)
		}
		x.countRequest()
		x.edge.Placement = chain.Placement{
			Upstream: attempt.Upstream.ID, Software: attempt.Upstream.Software, WeightsVersion: attempt.WeightsVersion, ExpectedTTFT: expected,
			PrefixID: attempt.PrefixHash, CachedTokens: attempt.CachedTokens, CachedTokensAfterFetch: attempt.CachedAfterFetch, FetchFrom: attempt.FetchFrom, SaveRequested: attempt.SaveTo != "",
		}
		if !x.waitForPrefix(ctx, attempt) || !x.h.Placer.Begin(attempt) {
			continue
		}
		x.tried[attempt.Upstream.ID] = true
		x.answer = answer{}
		began := x.beginRelease(attempt)
		result, err := x.makeAttempt(ctx, attempt)
		x.h.Placer.Done(attempt, result)
		x.recordRelease(ctx, attempt, began, result, err)
		if err == nil {
			return nil
		}
		last = err
		x.logAttempt(attempt, result, err)
		x.leaveNewRelease(true)
		switch {
		case errors.Is(err, errVersionClosed):
			continue
		case ctx.Err() != nil:
			return x.contextError(ctx, err)
		case x.endedUpstream(ctx, attempt, result, err):
			return x.giveUp(ctx, last, nil)
		case result == placement.Unreachable:
			if unreachable++; unreachable >= maxUnreachable || cutOff {
				return x.giveUp(ctx, last, nil)
			}
			continue
		case !x.mayRetry(result):
			return x.giveUp(ctx, last, nil)
		}
	}
}

// refusedAtStop returns the error for a request that must not be sent any more, since this
// instance stops and may have to end it before its deadline, or nil. Requests that may run
// twice are still retried.
func (x *exchange) refusedAtStop() error {
	ends := x.h.EndsAt()
	if ends.IsZero() || !x.r.Deadline.After(ends) || (x.edge.Attempts > 0 && x.edge.Route.Idempotent()) {
		return nil
	}
	return code.New(code.ShuttingDown, "this instance stops before the request's deadline").WithRetryAfter(retryAfterStop)
}

// prefixPollInterval is the interval at which waitForPrefix asks whether the
// shared parts have been computed.
const prefixPollInterval = 10 * time.Millisecond

// waitForPrefix waits, once per request, while the upstream computes the shared
// parts of the prompt for another request; if this request were sent meanwhile,
// the upstream would compute them twice. It reports whether the upstream is still
// the chosen one: false means that the placer must be asked again.
func (x *exchange) waitForPrefix(ctx context.Context, attempt *placement.Attempt) bool {
	if x.waitedForPrefix || x.h.Placer.PrefixComputeTime(attempt) == 0 {
		return true
	}
	x.waitedForPrefix = true
	for wait := x.h.Placer.PrefixComputeTime(attempt); wait > 0; wait = x.h.Placer.PrefixComputeTime(attempt) {
		timer := time.NewTimer(min(wait, prefixPollInterval))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return true // the attempt fails with the error of ctx
		}
	}
	return false
}

func (x *exchange) query() placement.Query {
	c := &x.edge.Call
	q := placement.Query{
		Service: x.service, Model: c.Model, Parts: placementParts(c.PromptParts),
		PromptTokens: c.PromptTokens, MaxTokens: c.MaxTokens,
		Software: x.software(),
		Exclude:  func(id string) bool { return x.tried[id] || x.releaseExcludes(id) },
	}
	if x.edge.Route.HasPrompt && c.Model != "" {
		q.IsolatedCustomer, q.Sharers = x.isolatedCustomer(), x.edge.Routing.Sharers()
		q.CacheStore = x.edge.Routing.KVStoreFor(x.h.domain)
	}
	return q
}

// isolatedCustomer returns the name of the customer if its KV cache must not be
// shared with other customers.
func (x *exchange) isolatedCustomer() string {
	if x.edge.Customer != nil && x.edge.Customer.Isolated {
		return x.edge.Customer.Name
	}
	return ""
}

// mayRetry reports whether the request may be retried on another upstream, and
// takes the retry from the budget.
func (x *exchange) mayRetry(result placement.Result) bool {
	route := x.edge.Route
	if x.edge.Attempts >= route.MaxAttempts {
		return false
	}
	if result != placement.Refused && !route.Idempotent() {
		return false
	}
	if x.r.Outcome.ResponseStarted && !route.MayResume() {
		return false
	}
	if x.r.Deadline.Sub(x.h.Now()) < minAttemptTime {
		return false
	}
	return x.retryReserved.Swap(false) || x.h.Retries.Spend(x.service.Name)
}

// reserveRetry takes a retry from the budget before the current attempt is
// aborted in its favour.
func (x *exchange) reserveRetry() bool {
	if !x.h.Retries.Spend(x.service.Name) {
		return false
	}
	x.retryReserved.Store(true)
	return true
}

// maxLoggedParts bounds the parts of a prompt in a log line.
const maxLoggedParts = 64

func (x *exchange) logAttempt(attempt *placement.Attempt, result placement.Result, err error) {
	shared := x.sharedParts()
	x.h.Log.Info("attempt failed", "request", x.r.ID, "upstream", attempt.Upstream.ID, "software", attempt.Upstream.Software, "addr", attempt.Upstream.Addr,
		"result", result.String(), "sent_to", x.edge.Attempts, "may_have_run", x.mayHaveRun,
		"status", x.r.Outcome.Status, "started", x.r.Outcome.ResponseStarted, "last_event", x.lastEventID, "parts", call.PartIDs(shared[:min(len(shared), maxLoggedParts)]),
		"fingerprint", strconv.FormatUint(fingerprint(x.r), 16), "error", err)
}

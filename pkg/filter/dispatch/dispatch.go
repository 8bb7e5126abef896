// Package dispatch is the last handler of an edge instance's chain: it chooses
// an upstream, sends the request and relays the answer.
//
// A request is sent to another upstream only if the first did not run it or it
// may run twice, within the route's number of attempts and the budget of
// retries. A refusal that promises that the request has not run is given only
// when no byte of it was sent or every upstream that got it said so. An answer
// counts as a success only with the upstream's proof, for this request, and
// whole.
package dispatch

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/fescuestep/fescuestep/pkg/call"
	"github.com/fescuestep/fescuestep/pkg/chain"
	"github.com/fescuestep/fescuestep/pkg/code"
	"github.com/fescuestep/fescuestep/pkg/httpconn"
	"github.com/fescuestep/fescuestep/pkg/placement"
	"github.com/fescuestep/fescuestep/pkg/routing"
)

// Dialect spells what is sent and reads what is answered.
type Dialect interface {
	EncodeRequest(caller http.Header, s call.Attempt) http.Header
	DecodeResponse(status int, h http.Header) call.Response
	EncodeResponse(dst, src http.Header)
}

// Placer chooses upstreams. It is safe for concurrent use.
type Placer interface {
	Pick(q placement.Query) (t *placement.Attempt, expected time.Duration, err error)
	Begin(t *placement.Attempt)
	// PrefixComputeTime returns how long the upstream still computes the prompt's shared
	// parts for other requests.
	PrefixComputeTime(t *placement.Attempt) time.Duration
	FirstToken(t *placement.Attempt, saved bool)
	Done(t *placement.Attempt, r placement.Result)
	RecordLoad(id string, load call.Load)
	RecordWeights(id, model string, version int)
	RecordWeightsMismatch(id, model string, refused int)
	SetBusy(id string, d time.Duration)
}

// RetryBudget is the budget of retries per service.
type RetryBudget interface {
	RecordRequest(service string)
	Spend(service string) bool
}

// ConnPool to upstreams.
type ConnPool interface {
	Get(ctx context.Context, addr string, maxIdle time.Duration) (*httpconn.Conn, error)
	Put(addr string, c *httpconn.Conn, keepAlive time.Duration)
}

// Handler dispatches requests.
type Handler struct {
	dialect Dialect
	placer  Placer
	retries RetryBudget
	conns   ConnPool
	domain  string
	log     hclog.Logger
	now     func() time.Time
}

// New returns a handler of an instance in a failure domain.
func New(dialect Dialect, placer Placer, retries RetryBudget, conns ConnPool, domain string, log hclog.Logger, now func() time.Time) *Handler {
	return &Handler{dialect, placer, retries, conns, domain, log, now}
}

const (
	// maxUnreachable bounds upstreams that are tried without a connection.
	maxUnreachable = 3
	// dialTimeout of one upstream; opening packets that are dropped are sent
	// again after a second, so that waiting longer rarely helps.
	dialTimeout = 300 * time.Millisecond
	// nonIdempotentMaxIdle is how long a connection may have been unused to carry a
	// request that must not run twice: if the upstream closes it meanwhile, the
	// outcome is unknown.
	nonIdempotentMaxIdle = time.Second
	// idempotentMaxIdle leaves it to the upstream's own limit.
	idempotentMaxIdle = time.Hour
	// refusedBusyTime keeps work from an upstream that refused for lack of room.
	refusedBusyTime = 60 * time.Millisecond
	// replacedBusyTime keeps work from an address that another server has taken,
	// until the list says so.
	replacedBusyTime = 2 * time.Second
	// retryAfterRefusal is told to callers when upstreams refused.
	retryAfterRefusal = 250 * time.Millisecond
	// minAttemptTime is the least time that an attempt can use.
	minAttemptTime = 20 * time.Millisecond
)

// exchange is the state of one request over all its attempts.
type exchange struct {
	h                *Handler
	r                *chain.Request
	edge             *chain.Edge
	service          *routing.Service
	tried            map[string]bool
	lastEventID      string // relayed to the caller
	mayHaveRun       bool   // an upstream may have run the request
	mayHaveRunBefore bool   // mayRun before the current attempt
	errorResponse    *response
	waitedForPrefix  bool        // has waited for shared parts
	retryReserved    atomic.Bool // the next retry was taken from the budget
}

// response is a server's own failure, kept in case no other upstream does better.
type response struct {
	status int
	header http.Header
	body   []byte
}

// Handle is the last handler of the chain.
func (h *Handler) Handle(ctx context.Context, r *chain.Request) error {
	edge := r.Edge
	service := edge.Routing.Service(edge.Route.PickService(rand.Float64()))
	if service == nil {
		return code.New(code.NoUpstream, "the route's service is not configured").WithRetryAfter(retryAfterRefusal)
	}
	edge.Service = service.Name
	x := &exchange{h: h, r: r, edge: edge, service: service, tried: map[string]bool{}, lastEventID: edge.Call.LastEventID}
	h.retries.RecordRequest(service.Name)
	return x.run(ctx)
}

// run makes attempts until one settles the request.
func (x *exchange) run(ctx context.Context) error {
	unreachable := 0
	var last error
	for {
		ticket, expected, err := x.h.placer.Pick(x.query())
		if err != nil {
			return x.giveUp(ctx, last, err)
		}
		x.edge.Placement = chain.Placement{
			Upstream: ticket.Upstream.ID, WeightsVersion: ticket.WeightsVersion, ExpectedTTFT: expected,
			PrefixID: ticket.PrefixHash, CachedTokens: ticket.CachedTokens, CachedTokensAfterFetch: ticket.CachedAfterFetch, FetchFrom: ticket.FetchFrom, SaveRequested: ticket.SaveTo != "",
		}
		if !x.waitForPrefix(ctx, ticket) {
			continue
		}
		x.tried[ticket.Upstream.ID] = true
		result, err := x.attempt(ctx, ticket)
		x.h.placer.Done(ticket, result)
		if err == nil {
			return nil
		}
		last = err
		x.logAttempt(ticket, result, err)
		switch {
		case ctx.Err() != nil:
			return x.contextError(ctx, err)
		case result == placement.Unreachable:
			if unreachable++; unreachable >= maxUnreachable {
				return x.giveUp(ctx, last, nil)
			}
			continue
		case !x.mayRetry(result):
			return x.giveUp(ctx, last, nil)
		}
	}
}

// prefixPollInterval is between looks at parts that are being computed.
const prefixPollInterval = 10 * time.Millisecond

// waitForPrefix waits, once per request, while the upstream computes the prompt's shared
// parts for another request: sent now, they would be computed twice. It reports
// false if the choice should be made anew.
func (x *exchange) waitForPrefix(ctx context.Context, t *placement.Attempt) bool {
	if x.waitedForPrefix || x.h.placer.PrefixComputeTime(t) == 0 {
		return true
	}
	x.waitedForPrefix = true
	for wait := x.h.placer.PrefixComputeTime(t); wait > 0; wait = x.h.placer.PrefixComputeTime(t) {
		timer := time.NewTimer(min(wait, prefixPollInterval))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return true // the attempt fails and is ended as such
		}
	}
	return false
}

func (x *exchange) query() placement.Query {
	c := &x.edge.Call
	q := placement.Query{
		Service: x.service, Model: c.Model, Parts: c.PromptParts,
		PromptTokens: c.PromptTokens, MaxTokens: c.MaxTokens,
		Exclude: func(id string) bool { return x.tried[id] },
	}
	if x.edge.Route.HasPrompt && c.Model != "" {
		q.IsolatedCustomer = x.isolatedCustomer()
		q.CacheStore = x.edge.Routing.KVStoreFor(x.h.domain)
	}
	return q
}

// isolatedCustomer names the customer if it shares no KV cache with others.
func (x *exchange) isolatedCustomer() string {
	if x.edge.Customer != nil && x.edge.Customer.Isolated {
		return x.edge.Customer.Name
	}
	return ""
}

// mayRetry reports whether the request may go to one more upstream, and takes
// the retry from the budget.
func (x *exchange) mayRetry(result placement.Result) bool {
	route := x.edge.Route
	if x.edge.Attempts >= route.MaxAttempts {
		return false
	}
	if result != placement.Refused && !route.Idempotent() {
		return false
	}
	if x.r.Outcome.ResponseStarted && !(route.Kind == routing.Stream && route.Resumable) {
		return false
	}
	if x.r.Deadline.Sub(x.h.now()) < minAttemptTime {
		return false
	}
	return x.retryReserved.Swap(false) || x.h.retries.Spend(x.service.Name)
}

// reserveRetry takes a retry from the budget before an attempt is abandoned for it.
func (x *exchange) reserveRetry() bool {
	if !x.h.retries.Spend(x.service.Name) {
		return false
	}
	x.retryReserved.Store(true)
	return true
}

// giveUp returns the final answer when no further attempt is made.
func (x *exchange) giveUp(ctx context.Context, last, pick error) error {
	if ctx.Err() != nil {
		return x.contextError(ctx, last)
	}
	if x.errorResponse != nil && !x.r.Outcome.ResponseStarted {
		x.writeResponse(x.errorResponse)
		return nil
	}
	if x.mayHaveRun {
		return code.New(code.UpstreamFailed, "the upstream failed after the request was sent").WithCause(last)
	}
	retryAfter := retryAfterRefusal
	var none *placement.NoUpstreamError
	if errors.As(pick, &none) {
		retryAfter = none.RetryAfter
	}
	cause := last
	if cause == nil {
		cause = pick
	}
	return code.New(code.NoUpstream, "no upstream takes the request").WithRetryAfter(retryAfter).WithCause(cause)
}

// contextError returns the answer to a request whose context is over: the deadline
// passed or the caller left.
func (x *exchange) contextError(ctx context.Context, last error) error {
	run := code.NotRun
	if x.mayHaveRun {
		run = code.MayHaveRun
	}
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		if run == code.NotRun {
			return code.New(code.DeadlineUnreachable, "the deadline passed before an upstream ran the request").
				WithRetryAfter(retryAfterRefusal).WithCause(last)
		}
		return code.New(code.UpstreamTimeout, "the deadline passed").WithRun(run).WithCause(last)
	}
	return code.New(code.BodyReadTimeout, "the caller left").WithRun(run).WithCause(last)
}

func (x *exchange) logAttempt(t *placement.Attempt, result placement.Result, err error) {
	x.h.log.Info("attempt failed", "request", x.r.ID, "upstream", t.Upstream.ID, "addr", t.Upstream.Addr,
		"result", result.String(), "sent_to", x.edge.Attempts, "may_have_run", x.mayHaveRun, "error", err)
}

// firstByteTimer closes a connection unless it is stopped in time.
type firstByteTimer struct {
	retryTimer *time.Timer
	limitTimer *time.Timer

	mu      sync.Mutex
	stopped bool
	fired   bool
}

// newFirstByteTimer returns a guard that acts after patience if allowed agrees then, and
// in any case at the limit. A time of 0 stands for none.
func newFirstByteTimer(patience, limit time.Duration, c *httpconn.Conn, allowed func() bool) *firstByteTimer {
	g := &firstByteTimer{}
	act := func(agreed func() bool) func() {
		return func() { g.expire(c, agreed) }
	}
	always := func() bool { return true }
	switch {
	case patience > 0 && (limit <= 0 || patience < limit):
		g.retryTimer = time.AfterFunc(patience, act(allowed))
		if limit > 0 {
			g.limitTimer = time.AfterFunc(limit, act(always))
		}
	case limit > 0:
		g.limitTimer = time.AfterFunc(limit, act(always))
	}
	return g
}

func (g *firstByteTimer) expire(c *httpconn.Conn, agreed func() bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopped || g.fired || !agreed() {
		return
	}
	g.fired = true
	c.Close()
}

// stop reports whether the guard has not acted and never will.
func (g *firstByteTimer) stop() bool {
	for _, timer := range []*time.Timer{g.retryTimer, g.limitTimer} {
		if timer != nil {
			timer.Stop()
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopped = true
	return !g.fired
}

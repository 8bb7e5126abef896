package dispatch

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuestep/fescuestep/pkg/call"
	"github.com/fescuestep/fescuestep/pkg/httpconn"
	"github.com/fescuestep/fescuestep/pkg/placement"
	"github.com/fescuestep/fescuestep/pkg/routing"
)

// maxResponseBytes bounds an answer that is held whole, in bytes.
const maxResponseBytes = 8 << 20

// Errors of attempts.
var (
	errRefused          = errors.New("the upstream did not run the request")
	errUnprovenResponse = errors.New("the answer carries no proof or a coded body")
	errUnprovenRefusal  = errors.New("the answer's status promises that the request has not run, without proof")
	errFirstByteTimeout = errors.New("no answer in time")
	errUpstreamStatus   = errors.New("the upstream failed")
	errResponseTooLarge = errors.New("the answer is too large")
	errCallerWrite      = errors.New("the caller does not read")
)

// attempt sends the request to one upstream and relays the answer. A nil error
// means that the caller has a final answer.
func (x *exchange) attempt(ctx context.Context, t *placement.Attempt) (placement.Result, error) {
	x.h.placer.Begin(t)
	x.mayHaveRunBefore = x.mayHaveRun
	conn, err := x.send(ctx, t)
	if conn == nil {
		return x.resultOf(ctx, placement.Unreachable), err
	}
	if err != nil {
		conn.Close()
		return x.resultOf(ctx, placement.Failed), err
	}
	g := x.startFirstByteTimer(t, conn)
	defer g.stop()
	resp, stop, err := conn.Receive(ctx, x.r.HTTP.Method, x.matchesRequest)
	if err != nil {
		conn.Close()
		if !g.stop() {
			err = errFirstByteTimeout
		}
		return x.resultOf(ctx, placement.Failed), err
	}
	a := x.h.dialect.DecodeResponse(resp.StatusCode, resp.Header)
	result, err := x.relayResponse(ctx, t, g, resp, a)
	if err != nil && !g.stop() {
		err = errFirstByteTimeout
	}
	x.releaseConn(t, conn, resp, a, stop(), err)
	return x.resultOf(ctx, result), err
}

// resultOf keeps upstreams from being blamed when the caller or the deadline
// ended the attempt.
func (x *exchange) resultOf(ctx context.Context, r placement.Result) placement.Result {
	if ctx.Err() != nil && r != placement.OK {
		return placement.Cancelled
	}
	return r
}

// send opens a connection and writes the request. The connection is nil if no
// byte was sent.
func (x *exchange) send(ctx context.Context, t *placement.Attempt) (*httpconn.Conn, error) {
	req := &httpconn.Request{
		Method: x.r.HTTP.Method, Target: x.r.HTTP.RequestURI, Host: x.r.HTTP.Host, Body: x.r.Body,
	}
	maxIdle := nonIdempotentMaxIdle
	if x.edge.Route.Idempotent() {
		maxIdle = idempotentMaxIdle
	}
	for {
		conn, err := x.connect(ctx, t.Upstream.Addr, maxIdle)
		if err != nil {
			return nil, err
		}
		req.Header = x.h.dialect.EncodeRequest(x.r.HTTP.Header, x.sendOptions(t))
		sent, err := conn.Send(ctx, req)
		if sent {
			x.r.Outcome.Sent = true
			x.edge.Attempts++
			x.mayHaveRun = true
			return conn, err
		}
		conn.Close()
		if !conn.Reused() || ctx.Err() != nil {
			return nil, err
		}
		maxIdle = 0 // the upstream had closed the idle connection
	}
}

func (x *exchange) connect(ctx context.Context, addr string, maxIdle time.Duration) (*httpconn.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return x.h.conns.Get(ctx, addr, maxIdle)
}

// sendOptions are what the upstream is told besides the caller's headers.
func (x *exchange) sendOptions(t *placement.Attempt) call.Attempt {
	route, customer := x.edge.Route, x.edge.Customer
	s := call.Attempt{
		UpstreamID:     t.Upstream.ID,
		TimeRemaining:  x.r.Deadline.Sub(x.h.now()),
		Key:            x.edge.Call.Key,
		LastEventID:    x.lastEventID,
		WeightsVersion: t.WeightsVersion,
	}
	if route.Kind != routing.Stream || !route.Resumable {
		s.LastEventID = ""
	}
	if customer != nil {
		s.Customer = customer.Name
	}
	if !route.HasPrompt || x.service.Engine == nil {
		return s
	}
	s.Priority, s.HasPriority = priority(route, customer), true
	s.CacheScope = t.CacheScope
	s.FetchFrom = t.FetchFrom
	s.SaveTo = t.SaveTo
	return s
}

// routePriorityLevels is the number of route priorities that are told apart among the
// requests of customers of one priority; upstreams know ten ranks in all.
const routePriorityLevels = 3

// priority ranks a request by its customer, and by its route among customers of
// the same priority. 0 is the most urgent.
func priority(route *routing.Route, customer *routing.Customer) int {
	rank := min(route.Priority, routePriorityLevels-1)
	if customer == nil || !customer.HasPriority {
		return rank
	}
	return customer.Priority*routePriorityLevels + rank
}

// startFirstByteTimer watches the first bytes of the answer: they come within the patience if
// another upstream can be tried, and before the engine's weights may no longer
// be used.
func (x *exchange) startFirstByteTimer(t *placement.Attempt, conn *httpconn.Conn) *firstByteTimer {
	limit := time.Duration(0)
	if !t.BeginBy.IsZero() {
		limit = max(t.BeginBy.Sub(x.h.now()), time.Nanosecond)
	}
	return newFirstByteTimer(x.firstByteTimeout(), limit, conn, x.reserveRetry)
}

// firstByteTimeout is how long the first bytes of the answer are waited for before
// another upstream is tried; 0 if there is no other try.
func (x *exchange) firstByteTimeout() time.Duration {
	route := x.edge.Route
	if !route.Idempotent() || x.edge.Attempts >= route.MaxAttempts || route.TargetLatency <= 0 {
		return 0
	}
	return route.TargetLatency / firstByteTimeoutDivisor
}

// firstByteTimeoutDivisor of the target latency is waited for the first bytes, so that
// another upstream can still meet it.
const firstByteTimeoutDivisor = 2

func (x *exchange) matchesRequest(resp *http.Response) bool {
	a := x.h.dialect.DecodeResponse(resp.StatusCode, resp.Header)
	return a.RequestID == x.edge.Call.ID
}

// relayResponse judges the answer and passes it on.
func (x *exchange) relayResponse(ctx context.Context, t *placement.Attempt, g *firstByteTimer, resp *http.Response, a call.Response) (placement.Result, error) {
	x.recordUpstreamState(t, a)
	if a.Refused {
		x.recordRefusal(t, a)
		return placement.Refused, errors.Wrapf(errRefused, "status %d, weights %d", a.Status, a.WeightsVersion)
	}
	x.r.Outcome.Status = a.Status
	success := a.Status >= 200 && a.Status < 300
	switch {
	case statesNotRun(a.Status):
		return placement.Failed, errors.Wrapf(errUnprovenRefusal, "status %d", a.Status)
	case success && (!a.Attested || a.ContentEncoded):
		return placement.Failed, errUnprovenResponse
	case success && x.edge.Route.Kind == routing.Stream:
		return x.relayStream(ctx, t, g, resp)
	}
	if x.r.Outcome.ResponseStarted {
		return placement.Failed, errors.Wrapf(errUpstreamStatus, "status %d for a resumed stream", a.Status)
	}
	body, err := readWhole(resp)
	if err != nil {
		return placement.Failed, err
	}
	g.stop() // the answer is whole, whether the connection was closed or not
	whole := &response{status: a.Status, header: resp.Header, body: body}
	if a.Status >= http.StatusInternalServerError && x.edge.Route.Idempotent() {
		x.errorResponse = whole
		return placement.OK, errors.Wrapf(errUpstreamStatus, "status %d", a.Status)
	}
	x.writeResponse(whole)
	return placement.OK, nil
}

// statesNotRun reports whether a status states that the request has not run.
func statesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

func (x *exchange) recordUpstreamState(t *placement.Attempt, a call.Response) {
	if a.Load != nil {
		x.h.placer.RecordLoad(t.Upstream.ID, *a.Load)
	}
	if a.WeightsVersion > 0 && !a.Refused {
		x.h.placer.RecordWeights(t.Upstream.ID, x.edge.Call.Model, a.WeightsVersion)
	}
}

// recordRefusal takes an upstream's word that it did not run the request.
func (x *exchange) recordRefusal(t *placement.Attempt, a call.Response) {
	x.mayHaveRun = x.mayHaveRunBefore
	x.r.Outcome.Sent = x.mayHaveRun
	x.r.Outcome.Status = a.Status
	switch {
	case a.Status == http.StatusMisdirectedRequest && a.UpstreamID != "" && a.UpstreamID != t.Upstream.ID:
		x.h.placer.SetBusy(t.Upstream.ID, replacedBusyTime)
	case a.Status == http.StatusMisdirectedRequest && a.WeightsVersion > 0:
		x.h.placer.RecordWeights(t.Upstream.ID, x.edge.Call.Model, a.WeightsVersion)
	case a.Status == http.StatusMisdirectedRequest && t.WeightsVersion > 0:
		x.h.placer.RecordWeightsMismatch(t.Upstream.ID, x.edge.Call.Model, t.WeightsVersion)
	default:
		x.h.placer.SetBusy(t.Upstream.ID, refusedBusyTime)
	}
}

func readWhole(resp *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxResponseBytes {
		return nil, errResponseTooLarge
	}
	return body, nil
}

// writeResponse passes a whole answer on.
func (x *exchange) writeResponse(a *response) {
	w := x.r.Writer
	x.h.dialect.EncodeResponse(w.Header(), a.header)
	if bodyAllowed(a.status) {
		w.Header().Set("Content-Length", itoa(len(a.body)))
	}
	x.r.Outcome.ResponseStarted, x.r.Outcome.Complete = true, true
	x.r.Outcome.Status = a.status
	w.WriteHeader(a.status)
	// A caller that left is not told, and nothing else depends on the write.
	_, _ = w.Write(a.body)
}

func bodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

// releaseConn keeps the connection if the answer was read to its end.
func (x *exchange) releaseConn(t *placement.Attempt, conn *httpconn.Conn, resp *http.Response, a call.Response, intact bool, err error) {
	reusable := intact && !a.ConnectionClose && !resp.Close && (resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0)
	if !reusable || (err != nil && !drainResponse(resp, err)) {
		conn.Close()
		return
	}
	x.h.conns.Put(t.Upstream.Addr, conn, a.KeepAlive)
}

// maxDrainBytes bounds the rest of a refusal that is read to keep its connection.
const maxDrainBytes = 4 << 10

// drainResponse reports whether the answer to a failed attempt was read to its end.
func drainResponse(resp *http.Response, err error) bool {
	if errors.Is(err, errUpstreamStatus) {
		return true
	}
	if !errors.Is(err, errRefused) || resp.ContentLength > maxDrainBytes {
		return false
	}
	_, failure := io.Copy(io.Discard, io.LimitReader(resp.Body, maxDrainBytes))
	return failure == nil
}

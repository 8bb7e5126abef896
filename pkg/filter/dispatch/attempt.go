package dispatch

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuestep/fescuestep/pkg/call"
	"github.com/fescuestep/fescuestep/pkg/fleet"
	"github.com/fescuestep/fescuestep/pkg/httpconn"
	"github.com/fescuestep/fescuestep/pkg/placement"
	"github.com/fescuestep/fescuestep/pkg/routing"
)

// maxResponseBytes limits the body of a buffered response.
const maxResponseBytes = 8 << 20

// Errors of attempts.
var (
	errRefused          = errors.New("the upstream did not run the request")
	errUnprovenResponse = errors.New("the response is not attested by the upstream or has a content encoding")
	errUnprovenRefusal  = errors.New("the response status states that the request has not run, but the upstream does not attest it")
	errFirstByteTimeout = errors.New("no answer in time")
	errUpstreamStatus   = errors.New("the upstream responded with an error status")
	errResponseTooLarge = errors.New("the response or a stream event is too large")
	errCallerWrite      = errors.New("writing to the caller failed")
)

// response is a buffered response of an upstream.
type response struct {
	status int
	header http.Header
	body   []byte
}

// makeAttempt sends the request to one upstream and relays the response. A nil error
// means that the caller has received a final response.
func (x *exchange) makeAttempt(ctx context.Context, attempt *placement.Attempt) (placement.Result, error) {
	x.mayHaveRunBefore = x.mayHaveRun
	conn, err := x.send(ctx, attempt)
	if conn == nil && errors.Is(err, errVersionClosed) {
		return placement.Refused, err
	}
	if conn == nil {
		return x.resultOf(ctx, placement.Unreachable), err
	}
	if err != nil {
		conn.Close()
		return x.resultOf(ctx, placement.Failed), err
	}
	timer := x.startFirstByteTimer(attempt, conn)
	defer timer.stop()
	resp, stop, err := conn.Receive(ctx, x.r.HTTP.Method, x.edge.Call.ID, x.requestIDOf)
	if err != nil {
		conn.Close()
		if !timer.stop() {
			err = errFirstByteTimeout
		}
		return x.resultOf(ctx, placement.Failed), err
	}
	decoded := x.h.Dialect.DecodeResponse(resp.StatusCode, resp.Header)
	result, err := x.relayResponse(ctx, attempt, timer, resp, decoded)
	if err != nil && !timer.stop() {
		err = errFirstByteTimeout
	}
	x.releaseConn(x.h.Conns, attempt.Upstream.Addr, conn, resp, decoded, stop(), err)
	return x.resultOf(ctx, result), err
}

// resultOf returns the result of an attempt. An attempt that the caller or the
// deadline ended counts as cancelled, so that it is not recorded as a failure of
// the upstream.
func (x *exchange) resultOf(ctx context.Context, r placement.Result) placement.Result {
	if ctx.Err() != nil && r != placement.OK {
		return placement.Cancelled
	}
	return r
}

// send gets a connection to the upstream and writes the request. The returned
// connection is nil if no byte was sent.
func (x *exchange) send(ctx context.Context, attempt *placement.Attempt) (*httpconn.Conn, error) {
	connect := func(maxIdle time.Duration) (*httpconn.Conn, error) {
		conn, err := x.connect(ctx, attempt.Upstream, maxIdle)
		if err == nil && !x.h.Releases.MaySend(attempt.Upstream) {
			x.h.Conns.Put(attempt.Upstream.Addr, conn, 0)
			return nil, errVersionClosed
		}
		return conn, err
	}
	header := func() http.Header { return x.h.Dialect.EncodeRequest(x.r.HTTP.Header, x.sendOptions(attempt)) }
	return x.sendOver(ctx, connect, header)
}

// sendOver writes the request, with the headers that header returns, to a connection that
// connect returns. The returned connection is nil if no byte was sent.
func (x *exchange) sendOver(ctx context.Context, connect func(maxIdle time.Duration) (*httpconn.Conn, error), header func() http.Header) (*httpconn.Conn, error) {
	req := &httpconn.Request{
		Method: x.r.HTTP.Method, Target: x.r.HTTP.RequestURI, Host: x.r.HTTP.Host, Body: x.r.Body,
	}
	maxIdle := nonIdempotentMaxIdle
	if x.edge.Route.Idempotent() {
		maxIdle = idempotentMaxIdle
	}
	for {
		conn, err := connect(maxIdle)
		if err != nil {
			return nil, err
		}
		req.Header = header()
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
		maxIdle = 0 // the other side had closed the idle connection; open a new one
	}
}

// connect returns a connection to an upstream and records whether one could be opened.
func (x *exchange) connect(ctx context.Context, u *fleet.Upstream, maxIdle time.Duration) (*httpconn.Conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := x.h.Conns.Get(dialCtx, u.Addr, maxIdle)
	switch {
	case err == nil && !conn.Reused():
		x.h.Reach.Opened(u.Service)
	case err != nil && ctx.Err() == nil:
		x.h.Reach.Failed(u)
	}
	return conn, err
}

// sendOptions returns what the upstream is sent besides the caller's headers.
func (x *exchange) sendOptions(attempt *placement.Attempt) call.Attempt {
	route, customer := x.edge.Route, x.edge.Customer
	s := call.Attempt{
		UpstreamID:     attempt.Upstream.ID,
		TimeRemaining:  x.r.Deadline.Sub(x.h.Now()),
		Key:            x.edge.Call.Key,
		LastEventID:    x.lastEventID,
		WeightsVersion: attempt.WeightsVersion,
	}
	if !route.MayResume() {
		s.LastEventID = ""
	}
	if customer != nil {
		s.Customer = customer.Name
	}
	if !route.HasPrompt || x.service.Engine == nil {
		return s
	}
	s.Priority, s.HasPriority = priority(route, customer), true
	s.CacheScope = attempt.CacheScope
	s.FetchFrom = attempt.FetchFrom
	s.SaveTo = attempt.SaveTo
	return s
}

// routePriorityLevels is the number of route priorities that are distinguished
// within each customer priority. Upstreams distinguish ten priorities in all.
const routePriorityLevels = 3

// priority returns the priority of a request, ordered first by its customer's
// priority and then by its route's. 0 is the most urgent.
func priority(route *routing.Route, customer *routing.Customer) int {
	level := min(route.Priority, routePriorityLevels-1)
	if customer == nil || !customer.HasPriority {
		return level
	}
	return customer.Priority*routePriorityLevels + level
}

// requestIDOf returns the ID of the request that a response belongs to.
func (x *exchange) requestIDOf(resp *http.Response) string {
	return x.h.Dialect.DecodeResponse(resp.StatusCode, resp.Header).RequestID
}

// relayResponse relays the response to the caller if it is final. Otherwise it
// returns an error, with which the request may be retried.
func (x *exchange) relayResponse(ctx context.Context, attempt *placement.Attempt, timer *firstByteTimer, resp *http.Response, decoded call.Response) (placement.Result, error) {
	x.recordUpstreamState(attempt, decoded)
	if decoded.Refused {
		x.recordRefusal(attempt, decoded)
		return placement.Refused, errors.Wrapf(errRefused, "status %d, weights %d", decoded.Status, decoded.WeightsVersion)
	}
	x.r.Outcome.Status = decoded.Status
	success := isSuccess(decoded.Status)
	if err := x.rejected(decoded); err != nil {
		return placement.Failed, err
	}
	if success && x.edge.Route.Kind == routing.Stream {
		return x.relayStream(resp, func() error {
			if !timer.stop() {
				return errFirstByteTimeout // the connection was closed
			}
			x.recordFirstEvent(attempt)
			return nil
		})
	}
	body, err := x.readWhole(resp)
	if err != nil {
		return placement.Failed, err
	}
	timer.stop() // the response is complete, whether or not the timer closed the connection
	if success {
		x.h.Placer.Answered(attempt)
	}
	buffered := &response{status: decoded.Status, header: resp.Header, body: body}
	if decoded.Attested && isFramed(resp) && decoded.Status < http.StatusInternalServerError {
		x.recordAnswered() // an upstream may fail before it runs the request
	}
	if decoded.Status >= http.StatusInternalServerError && x.edge.Route.Idempotent() {
		x.errorResponse = buffered
		return placement.OK, errors.Wrapf(errUpstreamStatus, "status %d", decoded.Status)
	}
	x.writeResponse(buffered)
	return placement.OK, nil
}

// rejected returns the error for a response that must not reach the caller, from an
// upstream or another instance, or nil: one that is not proven, or anything but events
// after the first events of a stream.
func (x *exchange) rejected(decoded call.Response) error {
	success := isSuccess(decoded.Status)
	switch {
	case statesNotRun(decoded.Status):
		return errors.Wrapf(errUnprovenRefusal, "status %d", decoded.Status)
	case success && (!decoded.Attested || decoded.ContentEncoded):
		return errUnprovenResponse
	case x.r.Outcome.ResponseStarted && !success:
		return errors.Wrapf(errUpstreamStatus, "status %d for a resumed stream", decoded.Status)
	}
	return nil
}

func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// statesNotRun reports whether a status means that the request has not run.
func statesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

func (x *exchange) recordUpstreamState(attempt *placement.Attempt, decoded call.Response) {
	for _, statement := range decoded.Undecodable {
		x.h.Metrics.UndecodableStatement(string(statement))
	}
	if decoded.Load != nil && !isFromAnother(attempt, decoded) {
		x.h.Placer.RecordLoad(attempt.Upstream.ID, *decoded.Load)
	}
	if decoded.WeightsVersion > 0 && !decoded.Refused {
		x.h.Placer.RecordWeights(attempt.Upstream.ID, x.edge.Call.Model, decoded.WeightsVersion)
	}
	switch {
	case isFromAnother(attempt, decoded):
	case decoded.HasRateLimit:
		x.h.Placer.RecordRateLimit(attempt, decoded.RateLimit)
	case decoded.Attested:
		x.h.Placer.RecordNoRateLimit(attempt)
	}
	switch {
	case isFromAnother(attempt, decoded):
	case decoded.Brittle:
		x.h.Placer.RecordBrittle(attempt, decoded.MaxRefusals)
	case decoded.Attested:
		x.h.Placer.RecordNotBrittle(attempt)
	}
	if decoded.Leaving {
		x.h.Placer.RecordLeaving(attempt.Upstream)
	}
	if decoded.RetryAfter > 0 {
		x.h.Placer.Throttle(attempt.Upstream, decoded.RetryAfter)
	}
}

// isFromAnother reports whether another upstream, which now has the address, responded.
func isFromAnother(attempt *placement.Attempt, decoded call.Response) bool {
	return decoded.Status == http.StatusMisdirectedRequest && decoded.UpstreamID != "" && decoded.UpstreamID != attempt.Upstream.ID
}

// recordRefusal records that the upstream attested that it did not run the
// request, and the reason for the refusal.
func (x *exchange) recordRefusal(attempt *placement.Attempt, decoded call.Response) {
	x.mayHaveRun = x.mayHaveRunBefore
	x.r.Outcome.Sent = x.mayHaveRun
	x.r.Outcome.Status = decoded.Status
	switch {
	case isFromAnother(attempt, decoded):
		x.h.Placer.SetBusy(attempt.Upstream.ID, replacedBusyTime)
	case decoded.Status == http.StatusMisdirectedRequest && decoded.WeightsVersion > 0:
		x.h.Placer.RecordWeights(attempt.Upstream.ID, x.edge.Call.Model, decoded.WeightsVersion)
	case decoded.Status == http.StatusMisdirectedRequest && attempt.WeightsVersion > 0:
		x.h.Placer.RecordWeightsMismatch(attempt.Upstream.ID, x.edge.Call.Model, attempt.WeightsVersion)
	default:
		x.h.Placer.RecordRefusal(attempt.Upstream)
	}
}

// readWhole reads the body of a response within the memory for responses.
func (x *exchange) readWhole(resp *http.Response) ([]byte, error) {
	length := resp.ContentLength
	if resp.Body == http.NoBody {
		length = 0 // a response to HEAD states the length of a body that it does not have
	}
	buffer, err := x.h.buffers.Read(resp.Body, length, maxResponseBytes)
	if err != nil {
		return nil, err
	}
	x.buffers = append(x.buffers, buffer)
	return buffer.Bytes, nil
}

// writeResponse writes a buffered response to the caller.
func (x *exchange) writeResponse(buffered *response) {
	w := x.r.Writer
	x.h.Dialect.EncodeResponse(w.Header(), buffered.header)
	if bodyAllowed(buffered.status) {
		w.Header().Set("Content-Length", itoa(len(buffered.body)))
	}
	x.r.Outcome.ResponseStarted, x.r.Outcome.Complete = true, true
	x.r.Outcome.Status = buffered.status
	w.WriteHeader(buffered.status)
	// If the write fails, the caller has disconnected; nothing else depends on it.
	_, _ = w.Write(buffered.body)
}

func bodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

// releaseConn returns the connection to the pool if the response was read to its
// end, and closes it otherwise. intact is false if the connection was closed
// meanwhile; err is the error of the attempt.
func (x *exchange) releaseConn(pool ConnPool, addr string, conn *httpconn.Conn, resp *http.Response, decoded call.Response, intact bool, err error) {
	reusable := intact && !decoded.ConnectionClose && !resp.Close && isFramed(resp)
	if !reusable || (err != nil && !drainResponse(conn, resp, err)) {
		conn.Close()
		return
	}
	pool.Put(addr, conn, decoded.KeepAlive)
}

const (
	// maxDrainBytes limits how much of the body of a refusal is read and discarded so
	// that its connection can be reused.
	maxDrainBytes = 4 << 10
	// drainTimeout limits the time for that. A new connection costs less than a
	// retry that waits for an upstream in trouble.
	drainTimeout = 50 * time.Millisecond
)

// drainResponse reads the rest of the response to a failed attempt and reports
// whether it was read to its end. It closes conn if that takes too long.
func drainResponse(conn *httpconn.Conn, resp *http.Response, err error) bool {
	if errors.Is(err, errUpstreamStatus) {
		return true // the body was read with the response
	}
	if !errors.IsAny(err, errRefused, errHelperRefused) || resp.ContentLength > maxDrainBytes {
		return false
	}
	timer := time.AfterFunc(drainTimeout, conn.Close)
	defer timer.Stop()
	n, copyErr := io.Copy(io.Discard, io.LimitReader(resp.Body, maxDrainBytes+1))
	return copyErr == nil && n <= maxDrainBytes
}

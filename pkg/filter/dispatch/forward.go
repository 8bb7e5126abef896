package dispatch

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuestep/fescuestep/pkg/call"
	"github.com/fescuestep/fescuestep/pkg/code"
	"github.com/fescuestep/fescuestep/pkg/httpconn"
	"github.com/fescuestep/fescuestep/pkg/placement"
	"github.com/fescuestep/fescuestep/pkg/routing"
)

const (
	// maxHelpers is the number of other instances that are asked to handle a request
	// whose upstreams this one does not reach.
	maxHelpers = 2
	// helperDialTimeout is the connect timeout of another instance.
	helperDialTimeout = 200 * time.Millisecond
)

var errHelperRefused = errors.New("another instance did not run the request")

// isCutOff reports whether this instance reaches no upstream that could run the request.
func (x *exchange) isCutOff() bool { return x.h.Reach.CutOff(x.service.Name) }

// beyondReach handles a request whose upstreams this instance does not reach. It reports
// whether that gave a final response or error; otherwise the request is tried here.
func (x *exchange) beyondReach(ctx context.Context, last error) (final bool, err error) {
	if x.r.LastHop {
		// It is not forwarded again: another instance may think the same of this one.
		refusal := code.New(code.NoUpstream, "no upstream can be reached").WithRetryAfter(retryAfterRefusal)
		return true, x.giveUp(ctx, last, refusal)
	}
	helpers := x.h.Reach.Helpers(x.service.Name)
	return x.forward(ctx, helpers[:min(maxHelpers, len(helpers))])
}

// placedElsewhere handles a request for which this instance has no place at its brittle
// upstreams, while others have. It reports whether that gave a final response or error.
func (x *exchange) placedElsewhere(ctx context.Context, pick error) (final bool, err error) {
	var none *placement.NoUpstreamError
	if x.r.LastHop || x.edge.Attempts > 0 || !errors.As(pick, &none) || len(none.PlaceOwners) == 0 {
		return false, nil
	}
	return x.forward(ctx, x.h.Reach.HelpersNamed(x.service.Name, none.PlaceOwners))
}

// forward has one of other instances, which are asked in turn, handle the request. It
// reports whether that gave a final response or error; otherwise none could be asked.
func (x *exchange) forward(ctx context.Context, helpers []string) (final bool, err error) {
	var refusal error
	for _, addr := range helpers {
		result, err := x.forwardTo(ctx, addr)
		if err == nil {
			return true, nil
		}
		x.h.Log.Info("forwarding failed", "request", x.r.ID, "instance", addr, "result", result.String(), "may_have_run", x.mayHaveRun, "error", err)
		switch {
		case ctx.Err() != nil:
			return true, x.contextError(ctx, err)
		case result == placement.Refused:
			refusal = err
		case result == placement.Failed && !x.mayRetry(result):
			return true, x.giveUp(ctx, err, nil)
		}
	}
	if refusal == nil {
		return false, nil
	}
	retryAfter := cmp.Or(x.helperRetryAfter, retryAfterRefusal)
	return true, x.giveUp(ctx, refusal, code.New(code.NoUpstream, "no instance can run the request").WithRetryAfter(retryAfter).WithCause(refusal))
}

// forwardTo has one other instance handle the request and relays its response.
func (x *exchange) forwardTo(ctx context.Context, addr string) (placement.Result, error) {
	x.mayHaveRunBefore = x.mayHaveRun
	x.answer = answer{}
	x.edge.ForwardedTo = addr
	conn, err := x.sendOver(ctx, func(maxIdle time.Duration) (*httpconn.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, helperDialTimeout)
		defer cancel()
		return x.h.InstanceConns.Get(ctx, addr, maxIdle)
	}, x.forwardedHeader)
	if conn == nil {
		return x.resultOf(ctx, placement.Unreachable), err
	}
	if err != nil {
		conn.Close()
		return x.resultOf(ctx, placement.Failed), err
	}
	resp, stop, err := conn.Receive(ctx, x.r.HTTP.Method, x.edge.Call.ID, x.requestIDOf)
	if err != nil {
		conn.Close()
		return x.resultOf(ctx, placement.Failed), err
	}
	decoded := x.h.Dialect.DecodeResponse(resp.StatusCode, resp.Header)
	result, err := x.relayForwarded(resp, decoded)
	x.releaseConn(x.h.InstanceConns, addr, conn, resp, decoded, stop(), err)
	return x.resultOf(ctx, result), err
}

// forwardedHeader returns the headers of the request to another instance.
func (x *exchange) forwardedHeader() http.Header {
	f := call.Forwarded{TimeRemaining: x.r.Deadline.Sub(x.h.Now()), ConfigVersion: x.edge.Routing.Version}
	if x.edge.Route.MayResume() && x.lastEventID != "" {
		f.LastEventID, f.Resumes = x.lastEventID, x.firstRequest()
	}
	return x.h.Dialect.EncodeForwarded(x.r.HTTP.Header, f)
}

// relayForwarded relays the response of another instance, unless that refuses the request
// as not run.
func (x *exchange) relayForwarded(resp *http.Response, decoded call.Response) (placement.Result, error) {
	x.r.Outcome.Status = decoded.Status
	if decoded.Refused {
		x.mayHaveRun = x.mayHaveRunBefore
		x.r.Outcome.Sent = x.mayHaveRun
		x.helperRetryAfter = decoded.RetryAfter
		return placement.Refused, errors.Wrapf(errHelperRefused, "status %d", decoded.Status)
	}
	if err := x.rejected(decoded); err != nil {
		return placement.Failed, err
	}
	if isSuccess(decoded.Status) && x.edge.Route.Kind == routing.Stream {
		return x.relayStream(resp, func() error { return nil })
	}
	body, err := x.readWhole(resp)
	if err != nil {
		return placement.Failed, err
	}
	x.writeResponse(&response{status: decoded.Status, header: resp.Header, body: body})
	return placement.OK, nil
}

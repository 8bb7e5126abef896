package dispatch

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/fescuestep/fescuestep/pkg/chain"
	"github.com/fescuestep/fescuestep/pkg/code"
	"github.com/fescuestep/fescuestep/pkg/placement"
)

// giveUp ends a request for which no further attempt is made. It writes the
// upstream's error response if there is one, else it returns the error for the
// caller. last is the error of the last attempt and pick that of the placer;
// either may be nil.
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
	var refused *code.Error
	if errors.As(pick, &refused) {
		return refused
	}
	if pick == nil {
		_, _, pick = x.h.Placer.Pick(x.query()) // tells when another attempt is worthwhile
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

// contextError returns the error for a request whose context has ended because
// the deadline passed, the instance stops or the caller disconnected.
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
	if errors.Is(context.Cause(ctx), chain.ErrInstanceStops) {
		if run == code.NotRun {
			return code.New(code.ShuttingDown, "the instance stopped before an upstream ran the request").WithCause(last)
		}
		return code.New(code.UpstreamFailed, "the instance stopped while an upstream ran the request").WithCause(last)
	}
	return code.New(code.BodyReadTimeout, "the caller left").WithRun(run).WithCause(last)
}

package dispatch

import (
	"context"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuestep/fescuestep/pkg/call"
	"github.com/fescuestep/fescuestep/pkg/code"
	"github.com/fescuestep/fescuestep/pkg/fleet"
	"github.com/fescuestep/fescuestep/pkg/placement"
)

// CrashTracker knows the parts of prompts at which upstreams end. All parts that are
// passed to it are shared ones: the last part of a prompt is its own. It must be safe
// for concurrent use.
type CrashTracker interface {
	// Refused returns how long prompts with one of the parts are still refused; 0 if
	// they are sent.
	Refused(model string, parts []call.PromptPart) time.Duration
	// Crashed records that an upstream ended while it began to answer a prompt. It
	// reports whether the prompt may be sent to another upstream.
	Crashed(u *fleet.Upstream, model string, parts []call.PromptPart) (maySend bool)
	// Answered records that a prompt was answered.
	Answered(model string, parts []call.PromptPart)
}

// provenAfter is how long after its first event a stream shows that its upstream does
// not end at the prompt.
const provenAfter = 500 * time.Millisecond

// answer is what is known of the answer in the current attempt.
type answer struct {
	events       int
	firstEventAt time.Time
	proven       bool // recorded as answered
}

// isFramed reports whether the end of a response can be told from the end of its
// connection.
func isFramed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// sharedParts returns all parts of the prompt but the last.
func (x *exchange) sharedParts() []call.PromptPart {
	parts := x.edge.Call.PromptParts
	return parts[:max(0, len(parts)-1)]
}

// refusedPart returns the error for a prompt that must not be sent, or nil.
func (x *exchange) refusedPart() error {
	left := x.h.crashes.Refused(x.edge.Call.Model, x.sharedParts())
	if left <= 0 {
		return nil
	}
	return code.New(code.PromptQuarantined, "upstreams end at a part of the prompt").WithRetryAfter(left)
}

// recordEvent records an event of a stream.
func (x *exchange) recordEvent() {
	now := x.h.now()
	if x.answer.events++; x.answer.events == 1 {
		x.answer.firstEventAt = now
	}
	if now.Sub(x.answer.firstEventAt) >= provenAfter {
		x.recordAnswered()
	}
}

// recordStreamEnd records that a stream ended as complete. One that ends with its
// connection may be cut by the end of its upstream, and counts from its second event.
func (x *exchange) recordStreamEnd(resp *http.Response) {
	if x.answer.events > 1 || (x.answer.events == 1 && isFramed(resp)) {
		x.recordAnswered()
	}
}

func (x *exchange) recordAnswered() {
	if parts := x.sharedParts(); len(parts) > 0 && !x.answer.proven {
		x.answer.proven = true
		x.h.crashes.Answered(x.edge.Call.Model, parts)
	}
}

// endedUpstream handles a failed attempt after which the upstream may have ended. It
// reports whether the prompt must not be sent to another upstream.
func (x *exchange) endedUpstream(ctx context.Context, attempt *placement.Attempt, result placement.Result, err error) bool {
	parts := x.sharedParts()
	if result != placement.Failed || len(parts) == 0 || x.answer.proven || !isBrokenConn(err) || x.accepts(ctx, attempt) {
		return false
	}
	return !x.h.crashes.Crashed(attempt.Upstream, x.edge.Call.Model, parts)
}

// isBrokenConn reports whether an attempt ended because its connection did.
func isBrokenConn(err error) bool {
	for _, broken := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE, errTruncatedEvent, errNoEvent} {
		if errors.Is(err, broken) {
			return true
		}
	}
	return false
}

// accepts reports whether the upstream of an attempt still accepts connections, or that
// cannot be told.
func (x *exchange) accepts(ctx context.Context, attempt *placement.Attempt) bool {
	conn, err := x.connect(ctx, attempt.Upstream.Addr, 0)
	if err != nil {
		return ctx.Err() != nil
	}
	x.h.conns.Put(attempt.Upstream.Addr, conn, 0)
	return true
}

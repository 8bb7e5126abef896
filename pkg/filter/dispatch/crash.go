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
	"github.com/fescuestep/fescuestep/pkg/quarantine"
)

// CrashTracker knows the parts of requests at which upstreams end: the parts that a
// prompt shares with others, and the whole request. It must be safe for concurrent use.
type CrashTracker interface {
	// Idle reports whether nothing is refused or suspected.
	Idle() bool
	// Refused returns how long requests with one of the parts are still refused; 0 if
	// they are sent.
	Refused(parts []quarantine.Part) time.Duration
	// Crashed records that an upstream ended while it began to answer a request. It
	// reports whether the request may be sent to another upstream.
	Crashed(u *fleet.Upstream, parts []quarantine.Part) (maySend bool)
	// Answered records that a request was answered with a status.
	Answered(parts []quarantine.Part, status int)
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

// refusedPart returns the error for a request that must not be sent, or nil.
func (x *exchange) refusedPart() error {
	if x.h.Crashes.Idle() {
		return nil
	}
	left := x.h.Crashes.Refused(x.crashParts())
	if left <= 0 {
		return nil
	}
	return code.New(code.PromptQuarantined, "upstreams end at the request or a part of its prompt").WithRetryAfter(left)
}

// recordEvent records an event of a stream.
func (x *exchange) recordEvent() {
	now := x.h.Now()
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
	if x.answer.proven {
		return
	}
	x.answer.proven = true
	x.h.Crashes.Answered(x.crashParts(), x.r.Outcome.Status)
}

// endedUpstream handles a failed attempt after which the upstream may have ended. It
// reports whether the request must not be sent to another upstream.
func (x *exchange) endedUpstream(ctx context.Context, attempt *placement.Attempt, result placement.Result, err error) bool {
	if result != placement.Failed || x.answer.proven || !isBrokenConn(err) || x.accepts(ctx, attempt) {
		return false
	}
	return !x.h.Crashes.Crashed(attempt.Upstream, x.crashParts())
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
	conn, err := x.connect(ctx, attempt.Upstream, 0)
	if err != nil {
		return ctx.Err() != nil
	}
	x.h.Conns.Put(attempt.Upstream.Addr, conn, 0)
	return true
}

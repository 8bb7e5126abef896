package order

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuestep/fescuestep/pkg/chain"
	"github.com/fescuestep/fescuestep/pkg/code"
	"github.com/fescuestep/fescuestep/pkg/external"
)

// ActionKind is the kind of I/O that the caller of Call performs next.
type ActionKind int

// Kinds of actions. Each comment names the Call method that takes the result.
const (
	ActionCommit ActionKind = iota // commit Condition and Write, then Committed
	ActionRead                     // read RowKey, then Loaded
	ActionWait                     // wait Delay, then Waited
	ActionSend                     // send the order, to be answered by Deadline, then Sent
	ActionStore                    // put Data under ObjectKey, then Stored
	ActionFetch                    // get ObjectKey, then Fetched
	ActionFinish                   // answer the caller with Response or Err; run Cleanup in the background if set
)

// Action is the next step of a call.
type Action struct {
	Kind      ActionKind
	Condition external.Condition
	Write     external.Write
	Delay     time.Duration
	Deadline  time.Time
	ObjectKey string
	Data      []byte
	Response  *chain.Response
	Err       *code.Error
	Cleanup   *Cleanup
}

// DeadlinePassed returns the outcome of an ActionSend that has not started by
// its deadline, for example because the instance was paused, and reports
// whether that is the case. The order must not be sent then, because an
// operator may have resolved it since.
func (a Action) DeadlinePassed(now time.Time) (Outcome, bool) {
	if now.Before(a.Deadline) {
		return Outcome{}, false
	}
	return Outcome{NotSent: true, Err: storeDownError(errSendTooLate)}, true
}

var errSendTooLate = errors.New("too much time passed between the claim and sending")

// Limits bounds the time, retries and storage that a call uses.
type Limits struct {
	ClaimWindow    time.Duration // from the start of the claim to the start of sending
	RecordGrace    time.Duration // time to record the outcome, added to the upstream's timeout
	MaxAttempts    int           // of one commit or read; also bounds the claims of a call
	PollDelay      time.Duration // first delay between reads, doubled after each one
	MaxPollDelay   time.Duration
	MaxRunningWait time.Duration // time that a second call waits for a running order
	MaxInlineBody  int           // largest body in bytes that is kept in the row; larger ones go to the object store
}

// DefaultLimits returns limits for a table that answers within milliseconds but
// can be unavailable for hours. ClaimWindow is well below the earliest time at which an operator
// can resolve a claim, which is RecordGrace after the timeout.
func DefaultLimits() Limits {
	return Limits{
		ClaimWindow:    5 * time.Second,
		RecordGrace:    30 * time.Second,
		MaxAttempts:    4,
		PollDelay:      25 * time.Millisecond,
		MaxPollDelay:   400 * time.Millisecond,
		MaxRunningWait: 2 * time.Second,
		MaxInlineBody:  16 << 10,
	}
}

// RetryAfterRunning is the Retry-After value when the order is still running.
const RetryAfterRunning = time.Second

// RetryAfterTableError is the Retry-After value when the table or the object
// store cannot be used.
const RetryAfterTableError = 5 * time.Second

// Cleanup is a table write left after the caller was answered: it replaces the
// claim by Record, or deletes the claim if Record is nil. It applies only while
// the row still holds the claim with Token.
type Cleanup struct {
	RowKey string
	Token  string
	Record *Record
}

// Next returns the commit to make for the row as read. It returns done when
// none is needed.
func (j *Cleanup) Next(row external.Row) (cond external.Condition, write external.Write, done bool) {
	rec, err := Decode(row.Value)
	if row.Version == 0 || err != nil || rec.Token != j.Token || rec.State != StateClaimed {
		return cond, write, true
	}
	cond = external.Condition{Key: j.RowKey, Version: row.Version}
	write = external.Write{Key: j.RowKey, Delete: j.Record == nil}
	if j.Record != nil {
		write.Value = j.Record.Encode()
	}
	return cond, write, false
}

package order

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuestep/fescuestep/pkg/chain"
	"github.com/fescuestep/fescuestep/pkg/code"
	"github.com/fescuestep/fescuestep/pkg/external"
)

// ActionKind says what the shell does next.
type ActionKind int

// Kinds of actions, each with the method that takes its result.
const (
	ActionCommit ActionKind = iota // commit Condition and Write, then Committed
	ActionRead                     // read RowKey, then Loaded
	ActionWait                     // wait Delay, then Waited
	ActionSend                     // send the order until Until, then Sent
	ActionStore                    // put Data under Object, then Stored
	ActionFetch                    // get Object, then Fetched
	ActionFinish                   // answer Response or Err; start Cleanup if set
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

// DeadlinePassed returns the outcome of a Send that was not begun by its time, for
// example because the instance was paused. An operator may have resolved the
// order since.
func (a Action) DeadlinePassed(now time.Time) (Outcome, bool) {
	if now.Before(a.Deadline) {
		return Outcome{}, false
	}
	return Outcome{NotSent: true, Err: storeDownError(errClaimWindowPassed)}, true
}

var errClaimWindowPassed = errors.New("too much time passed between claim and sending")

// Limits of a call.
type Limits struct {
	ClaimWindow    time.Duration // from the start of the claim to the start of sending
	RecordGrace    time.Duration // for recording, added to the upstream's timeout
	MaxAttempts    int           // of one commit or read
	PollDelay      time.Duration // first delay between attempts and reads, doubled each time
	MaxPollDelay   time.Duration
	MaxRunningWait time.Duration // that a second call waits for a running order
	MaxInlineBody  int           // bytes of an answer kept in the row; larger ones go to the object store
}

// DefaultLimits suit a table that answers within milliseconds and can be down
// for hours. ClaimWindow is well below the earliest time at which an operator
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

// RetryAfterRunning is the Retry-After of a call whose order is running.
const RetryAfterRunning = time.Second

// RetryAfterTableError is the Retry-After of a call refused because of the table.
const RetryAfterTableError = 5 * time.Second

// Cleanup is work left after the caller was answered: to write Record, or to
// delete the claim if Record is nil, as long as the row is still our claim.
type Cleanup struct {
	RowKey string
	Token  string
	Record *Record
}

// Next returns the commit for the row as read, or done when none is needed.
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

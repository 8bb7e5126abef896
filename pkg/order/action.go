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
	Commit ActionKind = iota // commit Condition and Write, then Committed
	Read                     // read RowKey, then Loaded
	Wait                     // wait Delay, then Waited
	Send                     // send the order until Until, then Sent
	Store                    // put Data under Object, then Stored
	Fetch                    // get Object, then Fetched
	Finish                   // answer Response or Err; start Cleanup if set
)

// Action is the next step of a call.
type Action struct {
	Kind      ActionKind
	Condition external.Condition
	Write     external.Write
	Delay     time.Duration
	Until     time.Time
	Object    string
	Data      []byte
	Response  *chain.Response
	Err       *code.Error
	Cleanup   *Cleanup
}

// TooLate returns the outcome of a Send that was not begun by its time, for
// example because the instance was paused. An operator may have resolved the
// order since.
func (a Action) TooLate(now time.Time) (Outcome, bool) {
	if now.Before(a.Until) {
		return Outcome{}, false
	}
	return Outcome{NotSent: true, Err: storeDown(errTooLate)}, true
}

var errTooLate = errors.New("too much time passed between claim and sending")

// Limits of a call.
type Limits struct {
	ClaimWindow time.Duration // from the start of the claim to the start of sending
	RecordGrace time.Duration // for recording, added to the upstream's timeout
	Attempts    int           // of one commit or read
	Poll        time.Duration // first delay between attempts and reads, doubled each time
	PollMax     time.Duration
	RunningWait time.Duration // that a second call waits for a running order
	Inline      int           // bytes of an answer kept in the row; larger ones go to the object store
}

// DefaultLimits suit a table that answers within milliseconds and can be down
// for hours. ClaimWindow is well below the earliest time at which an operator
// can resolve a claim, which is RecordGrace after the timeout.
func DefaultLimits() Limits {
	return Limits{
		ClaimWindow: 5 * time.Second,
		RecordGrace: 30 * time.Second,
		Attempts:    4,
		Poll:        25 * time.Millisecond,
		PollMax:     400 * time.Millisecond,
		RunningWait: 2 * time.Second,
		Inline:      16 << 10,
	}
}

// RetryRunning is the Retry-After of a call whose order is running.
const RetryRunning = time.Second

// RetryTable is the Retry-After of a call refused because of the table.
const RetryTable = 5 * time.Second

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
	if row.Version == 0 || err != nil || rec.Token != j.Token || rec.State != Claimed {
		return cond, write, true
	}
	cond = external.Condition{Key: j.RowKey, Version: row.Version}
	write = external.Write{Key: j.RowKey, Delete: j.Record == nil}
	if j.Record != nil {
		write.Value = j.Record.Encode()
	}
	return cond, write, false
}

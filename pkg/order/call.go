package order

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuestep/fescuestep/pkg/chain"
	"github.com/fescuestep/fescuestep/pkg/code"
	"github.com/fescuestep/fescuestep/pkg/external"
)

type phase int

const (
	claiming   phase = iota
	inspecting       // reading a row that may hold another call's claim
	sending
	storing
	recording
	releasing
	fetching
	finished
)

// Call is the state machine of one call of an order. It is not safe for
// concurrent use. All times passed to it must come from one clock and have a
// monotonic reading.
type Call struct {
	req    Request
	rowKey string
	token  string
	owner  string
	limits Limits

	phase          phase
	firstClaimAt   time.Time // start of the first claim, whose commit may be the one that takes effect
	startedAt      time.Time // start of the call
	version        uint64    // of the row that holds this call's claim
	record         Record
	claimAttempts  int             // claims committed so far, whatever their result
	attempts       int             // retries of the current commit or read
	sent           bool            // an ActionSend was returned
	otherClaimSeen bool            // the row held a claim or record of another call
	storedResponse *chain.Response // recorded response whose body is being fetched
	outcome        Outcome
}

// NewCall returns a call. The token must be unique per call; owner is the ID of
// the instance.
func NewCall(req Request, token, owner string, limits Limits) *Call {
	return &Call{req: req, rowKey: req.RowKey(), token: token, owner: owner, limits: limits}
}

// RowKey returns the key of the order's row.
func (c *Call) RowKey() string { return c.rowKey }

// Token returns the token of the call's claim.
func (c *Call) Token() string { return c.token }

// HasSent reports whether an ActionSend was returned.
func (c *Call) HasSent() bool { return c.sent }

// Start returns the first action.
func (c *Call) Start(now time.Time) Action {
	c.startedAt = now
	return c.claim(now, 0)
}

// claim commits a claim that replaces the row at the given version; 0 stands for
// a missing row.
func (c *Call) claim(now time.Time, version uint64) Action {
	if c.claimAttempts >= c.limits.MaxAttempts {
		return c.finishWithTableError(nil)
	}
	c.claimAttempts++
	c.phase = claiming
	if c.firstClaimAt.IsZero() {
		c.firstClaimAt = now
	}
	c.record = Record{
		State:       StateClaimed,
		Fingerprint: c.req.Fingerprint,
		Token:       c.token,
		Owner:       c.owner,
		ClaimedAt:   now,
		ExpiresAt:   now.Add(c.limits.ClaimWindow + c.req.Timeout + c.limits.RecordGrace),
	}
	return c.commitRecord(version)
}

func (c *Call) commitRecord(version uint64) Action {
	return Action{
		Kind:      ActionCommit,
		Condition: external.Condition{Key: c.rowKey, Version: version},
		Write:     external.Write{Key: c.rowKey, Value: c.record.Encode()},
	}
}

func (c *Call) read() Action { return Action{Kind: ActionRead} }

func (c *Call) wait() Action {
	delay := min(c.limits.PollDelay<<min(c.attempts, 16), c.limits.MaxPollDelay)
	c.attempts++
	return Action{Kind: ActionWait, Delay: delay}
}

// Committed handles the result of an ActionCommit.
func (c *Call) Committed(now time.Time, version uint64, err error) Action {
	if err == nil {
		c.version = version
	}
	switch c.phase {
	case claiming:
		return c.handleClaimResult(now, err)
	case recording:
		if err == nil {
			return c.finishWithOutcome(nil)
		}
		// The error does not tell whether the write took effect; the row does.
		return c.read()
	default: // releasing
		if err == nil {
			return c.finishWithOutcome(nil)
		}
		return c.finishWithOutcome(c.newCleanup())
	}
}

func (c *Call) handleClaimResult(now time.Time, err error) Action {
	switch {
	case err == nil:
		return c.send(now)
	case errors.Is(err, external.ErrUnavailable):
		return c.finishWithTableError(err)
	}
	c.phase = inspecting
	c.attempts = 0
	return c.read()
}

// Waited continues after an ActionWait.
func (c *Call) Waited(time.Time) Action { return c.read() }

// Loaded handles the result of an ActionRead. A missing row has version 0.
func (c *Call) Loaded(now time.Time, row external.Row, err error) Action {
	var rec Record
	if err == nil && row.Version != 0 {
		rec, err = Decode(row.Value)
	}
	if c.phase == recording {
		return c.handleRecordReadBack(row, rec, err)
	}
	if err != nil {
		if c.attempts >= c.limits.MaxAttempts {
			return c.finishWithTableError(err)
		}
		return c.wait()
	}
	return c.inspectRow(now, row, rec)
}

// inspectRow decides on the row read after a claim that was not confirmed.
func (c *Call) inspectRow(now time.Time, row external.Row, rec Record) Action {
	switch {
	case row.Version == 0:
		return c.claim(now, 0)
	case rec.Token == c.token && rec.State == StateClaimed:
		c.version = row.Version
		c.record = rec
		return c.send(now)
	}
	c.otherClaimSeen = true
	if rec.Fingerprint != c.req.Fingerprint {
		return c.finishWithError(code.New(code.OrderKeyReused, "the idempotency key was used with another request"))
	}
	switch rec.State {
	case StateDone:
		return c.replay(rec)
	case StateNotRun:
		return c.claim(now, row.Version)
	case StateRan:
		return c.finishWithError(c.unknownOutcomeError("an operator found that the order ran; its answer is not known").WithRun(code.Ran))
	case StateClaimed:
		return c.waitForRunning(now, rec)
	default:
		return c.finishWithError(c.unknownOutcomeError("the outcome of the order is unknown"))
	}
}

// waitForRunning handles a row that another call has claimed.
func (c *Call) waitForRunning(now time.Time, rec Record) Action {
	if now.After(rec.ExpiresAt) {
		return c.finishWithError(c.unknownOutcomeError("the instance that sent the order did not record an outcome"))
	}
	if now.Sub(c.startedAt) >= c.limits.MaxRunningWait {
		return c.finishWithError(code.New(code.OrderRunning, "the order is running").
			WithReference(Reference(c.rowKey)).WithRetryAfter(RetryAfterRunning))
	}
	return c.wait()
}

// replay answers with the recorded response.
func (c *Call) replay(rec Record) Action {
	if rec.BodyLost || rec.Response == nil {
		return c.finishWithError(c.unknownOutcomeError("the order ran; its answer could not be kept").WithRun(code.Ran))
	}
	if rec.ObjectKey == "" {
		return c.finishWithResponse(rec.Response)
	}
	c.phase = fetching
	c.storedResponse = rec.Response
	return Action{Kind: ActionFetch, ObjectKey: rec.ObjectKey}
}

// Fetched handles the result of an ActionFetch, the body of a recorded response.
func (c *Call) Fetched(_ time.Time, body []byte, err error) Action {
	if err != nil {
		return c.finishWithError(code.New(code.OrderStoreDown, "the order ran; its answer cannot be read now").
			WithRun(code.Ran).WithRetryAfter(RetryAfterTableError).WithCause(err))
	}
	resp := *c.storedResponse
	resp.Body = body
	return c.finishWithResponse(&resp)
}

// send returns the ActionSend, or releases the claim if the claim window has
// passed.
func (c *Call) send(now time.Time) Action {
	if now.Sub(c.firstClaimAt) > c.limits.ClaimWindow {
		c.outcome = Outcome{NotSent: true, Err: storeDownError(errSendTooLate)}
		return c.release()
	}
	c.phase = sending
	c.sent = true
	return Action{Kind: ActionSend, Deadline: now.Add(c.req.Timeout)}
}

// release deletes the claim.
func (c *Call) release() Action {
	c.phase = releasing
	return Action{
		Kind:      ActionCommit,
		Condition: external.Condition{Key: c.rowKey, Version: c.version},
		Write:     external.Write{Key: c.rowKey, Delete: true},
	}
}

// Sent handles the outcome of an ActionSend.
func (c *Call) Sent(now time.Time, outcome Outcome) Action {
	c.outcome = outcome
	if outcome.NotSent {
		e := *outcome.Err
		c.outcome.Err = e.WithRun(code.NotRun)
		return c.release()
	}
	c.record.FinishedAt = now
	if outcome.Response == nil {
		c.record.State = StateUnknown
		c.outcome.Err = c.unknownOutcomeError("the outcome of the order is unknown").WithCause(outcome.Err)
		return c.writeRecord()
	}
	c.record.State = StateDone
	c.record.Response = outcome.Response
	if len(outcome.Response.Body) <= c.limits.MaxInlineBody {
		return c.writeRecord()
	}
	c.phase = storing
	return Action{Kind: ActionStore, ObjectKey: c.objectKey(), Data: outcome.Response.Body}
}

// objectKey returns a key that contains the token, so that a late write of
// another claim cannot replace the object.
func (c *Call) objectKey() string { return c.rowKey + "/" + c.token }

// Stored handles the result of an ActionStore. When the body could not be
// stored, the order is recorded as done without it.
func (c *Call) Stored(_ time.Time, err error) Action {
	withoutBody := *c.outcome.Response
	withoutBody.Body = nil
	c.record.Response = &withoutBody
	c.record.ObjectKey = c.objectKey()
	if err != nil {
		c.record.ObjectKey = ""
		c.record.BodyLost = true
	}
	return c.writeRecord()
}

func (c *Call) writeRecord() Action {
	c.phase = recording
	c.attempts = 0
	return c.commitRecord(c.version)
}

// handleRecordReadBack handles the row read after a commit of the record that
// was not confirmed.
func (c *Call) handleRecordReadBack(row external.Row, rec Record, err error) Action {
	if err == nil && (rec.Token != c.token || rec.State != StateClaimed) {
		return c.finishWithOutcome(nil) // recorded, or resolved by an operator in the meantime
	}
	if c.attempts >= c.limits.MaxAttempts {
		return c.finishWithOutcome(c.newCleanup())
	}
	if err != nil {
		return c.wait()
	}
	c.attempts++
	c.version = row.Version
	return c.commitRecord(c.version)
}

// finishWithTableError refuses the call because the claim could not be written
// or read back. A claim whose commit takes effect late is released by the
// cleanup.
func (c *Call) finishWithTableError(cause error) Action {
	e := storeDownError(cause)
	if c.otherClaimSeen {
		e = c.unknownOutcomeError("the state of the order cannot be read now").WithRetryAfter(RetryAfterTableError).WithCause(cause)
	}
	action := c.finishWithError(e)
	if !errors.Is(cause, external.ErrUnavailable) || c.claimAttempts > 1 {
		action.Cleanup = &Cleanup{RowKey: c.rowKey, Token: c.token}
	}
	return action
}

func storeDownError(cause error) *code.Error {
	return code.New(code.OrderStoreDown, "the order was not sent because its claim could not be stored").
		WithRetryAfter(RetryAfterTableError).WithCause(cause)
}

func (c *Call) unknownOutcomeError(message string) *code.Error {
	return code.New(code.OrderOutcomeUnknown, "%s", message).WithReference(Reference(c.rowKey))
}

func (c *Call) finishWithError(e *code.Error) Action {
	c.phase = finished
	return Action{Kind: ActionFinish, Err: e}
}

func (c *Call) finishWithResponse(resp *chain.Response) Action {
	c.phase = finished
	return Action{Kind: ActionFinish, Response: resp}
}

// finishWithOutcome answers with the outcome of sending. cleanup may be nil.
func (c *Call) finishWithOutcome(cleanup *Cleanup) Action {
	c.phase = finished
	return Action{Kind: ActionFinish, Response: c.outcome.Response, Err: c.outcome.Err, Cleanup: cleanup}
}

// newCleanup returns the cleanup that records the outcome, or releases the claim
// of an order that was not sent.
func (c *Call) newCleanup() *Cleanup {
	cleanup := &Cleanup{RowKey: c.rowKey, Token: c.token}
	if !c.outcome.NotSent {
		rec := c.record
		cleanup.Record = &rec
	}
	return cleanup
}

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
	claiming phase = iota
	looking        // at a row that is not known to be ours
	sending
	storing
	recording
	releasing
	fetching
	finished
)

// Call is one call of an order. It is used by one goroutine. Times are
// readings of one clock with a monotonic part.
type Call struct {
	req    Request
	row    string
	token  string
	owner  string
	limits Limits

	phase   phase
	started time.Time // of the first claim: its commit may be the one that takes effect
	begun   time.Time // of the call
	version uint64    // of our row
	record  Record
	claims  int             // commits of the claim so far
	tries   int             // of the current commit or read
	sent    bool            // a Send was returned
	foreign bool            // another call's claim was seen
	object  *chain.Response // answer whose body is fetched
	outcome Outcome
}

// NewCall returns a call. token must be unique, owner names the instance.
func NewCall(q Request, token, owner string, limits Limits) *Call {
	return &Call{req: q, row: q.RowKey(), token: token, owner: owner, limits: limits}
}

// RowKey returns the key of the order's row.
func (c *Call) RowKey() string { return c.row }

// Token returns the token of the call's claim.
func (c *Call) Token() string { return c.token }

// HasSent reports whether the order was handed out for sending.
func (c *Call) HasSent() bool { return c.sent }

// Start returns the first action.
func (c *Call) Start(now time.Time) Action {
	c.begun = now
	return c.claim(now, 0)
}

// claim starts a claim that replaces the row at version base.
func (c *Call) claim(now time.Time, base uint64) Action {
	if c.claims >= c.limits.Attempts {
		return c.refuseStore(nil)
	}
	c.claims++
	c.phase = claiming
	if c.started.IsZero() {
		c.started = now
	}
	c.record = Record{
		State:       Claimed,
		Fingerprint: c.req.Fingerprint,
		Token:       c.token,
		Owner:       c.owner,
		Claimed:     now,
		Expires:     now.Add(c.limits.ClaimWindow + c.req.Timeout + c.limits.RecordGrace),
	}
	return c.commit(base)
}

func (c *Call) commit(version uint64) Action {
	return Action{
		Kind:      Commit,
		Condition: external.Condition{Key: c.row, Version: version},
		Write:     external.Write{Key: c.row, Value: c.record.Encode()},
	}
}

func (c *Call) read() Action { return Action{Kind: Read} }

func (c *Call) wait() Action {
	delay := min(c.limits.Poll<<min(c.tries, 16), c.limits.PollMax)
	c.tries++
	return Action{Kind: Wait, Delay: delay}
}

// Committed takes the result of a commit.
func (c *Call) Committed(now time.Time, version uint64, err error) Action {
	if err == nil {
		c.version = version
	}
	switch c.phase {
	case claiming:
		return c.claimed(now, err)
	case recording:
		if err == nil {
			return c.finish(nil)
		}
		// Whatever the error, the row shows what was written.
		return c.read()
	default: // releasing
		if err == nil {
			return c.finish(nil)
		}
		return c.finish(c.cleanup())
	}
}

func (c *Call) claimed(now time.Time, err error) Action {
	switch {
	case err == nil:
		return c.send(now)
	case errors.Is(err, external.ErrUnavailable):
		return c.refuseStore(err)
	}
	c.phase = looking
	c.tries = 0
	return c.read()
}

// Waited continues after a Wait.
func (c *Call) Waited(time.Time) Action { return c.read() }

// Loaded takes the row that was read. A missing row has version 0.
func (c *Call) Loaded(now time.Time, row external.Row, err error) Action {
	var rec Record
	if err == nil && row.Version != 0 {
		rec, err = Decode(row.Value)
	}
	if c.phase == recording {
		return c.recordState(row, rec, err)
	}
	if err != nil {
		if c.tries >= c.limits.Attempts {
			return c.refuseStore(err)
		}
		return c.wait()
	}
	return c.look(now, row, rec)
}

// look acts on the row found instead of a successful claim.
func (c *Call) look(now time.Time, row external.Row, rec Record) Action {
	switch {
	case row.Version == 0:
		return c.claim(now, 0)
	case rec.Token == c.token && rec.State == Claimed:
		c.version = row.Version
		c.record = rec
		return c.send(now)
	}
	c.foreign = true
	if rec.Fingerprint != c.req.Fingerprint {
		return c.refuse(code.New(code.OrderKeyReused, "the idempotency key was used with another request"))
	}
	switch rec.State {
	case Done:
		return c.replay(rec)
	case NotRun:
		return c.claim(now, row.Version)
	case Ran:
		return c.refuse(c.unknown("an operator found that the order ran; its answer is not known").WithRun(code.Ran))
	case Claimed:
		return c.running(now, rec)
	default:
		return c.refuse(c.unknown("the outcome of the order is unknown"))
	}
}

func (c *Call) running(now time.Time, rec Record) Action {
	if now.After(rec.Expires) {
		return c.refuse(c.unknown("the instance that sent the order did not record an outcome"))
	}
	if now.Sub(c.begun) >= c.limits.RunningWait {
		return c.refuse(code.New(code.OrderRunning, "the order is running").
			WithReference(Reference(c.row)).WithRetryAfter(RetryRunning))
	}
	return c.wait()
}

func (c *Call) replay(rec Record) Action {
	if rec.Lost || rec.Response == nil {
		return c.refuse(c.unknown("the order ran; its answer could not be kept").WithRun(code.Ran))
	}
	if rec.Object == "" {
		return c.answer(rec.Response)
	}
	c.phase = fetching
	c.object = rec.Response
	return Action{Kind: Fetch, Object: rec.Object}
}

// Fetched takes the body of a recorded answer.
func (c *Call) Fetched(_ time.Time, body []byte, err error) Action {
	if err != nil {
		return c.refuse(code.New(code.OrderStoreDown, "the order ran; its answer cannot be read now").
			WithRun(code.Ran).WithRetryAfter(RetryTable).WithCause(err))
	}
	resp := *c.object
	resp.Body = body
	return c.answer(&resp)
}

// send sends the order unless the claim window has passed.
func (c *Call) send(now time.Time) Action {
	if now.Sub(c.started) > c.limits.ClaimWindow {
		c.outcome = Outcome{NotSent: true, Err: storeDown(errTooLate)}
		return c.release()
	}
	c.phase = sending
	c.sent = true
	return Action{Kind: Send, Until: now.Add(c.req.Timeout)}
}

func (c *Call) release() Action {
	c.phase = releasing
	return Action{
		Kind:      Commit,
		Condition: external.Condition{Key: c.row, Version: c.version},
		Write:     external.Write{Key: c.row, Delete: true},
	}
}

// Sent takes the outcome of sending.
func (c *Call) Sent(now time.Time, o Outcome) Action {
	c.outcome = o
	if o.NotSent {
		e := *o.Err
		c.outcome.Err = e.WithRun(code.NotRun)
		return c.release()
	}
	c.record.Finished = now
	if o.Response == nil {
		c.record.State = Unknown
		c.outcome.Err = c.unknown("the outcome of the order is unknown").WithCause(o.Err)
		return c.startRecord()
	}
	c.record.State = Done
	c.record.Response = o.Response
	if len(o.Response.Body) <= c.limits.Inline {
		return c.startRecord()
	}
	c.phase = storing
	return Action{Kind: Store, Object: c.objectKey(), Data: o.Response.Body}
}

// objectKey contains the token, so that a late write of another claim cannot
// replace the object.
func (c *Call) objectKey() string { return c.row + "/" + c.token }

// Stored takes the result of storing a large answer.
func (c *Call) Stored(_ time.Time, err error) Action {
	kept := *c.outcome.Response
	kept.Body = nil
	c.record.Response = &kept
	c.record.Object = c.objectKey()
	if err != nil {
		c.record.Object = ""
		c.record.Lost = true
	}
	return c.startRecord()
}

func (c *Call) startRecord() Action {
	c.phase = recording
	c.tries = 0
	return c.commit(c.version)
}

// recordState decides on the row read after a record that was not confirmed.
func (c *Call) recordState(row external.Row, rec Record, err error) Action {
	if err == nil && (rec.Token != c.token || rec.State != Claimed) {
		return c.finish(nil) // recorded, or resolved by an operator meanwhile
	}
	if c.tries >= c.limits.Attempts {
		return c.finish(c.cleanup())
	}
	if err != nil {
		return c.wait()
	}
	c.tries++
	c.version = row.Version
	return c.commit(c.version)
}

// refuseStore refuses because the table did not take or show the claim. A
// commit that takes effect late is released in the background.
func (c *Call) refuseStore(cause error) Action {
	e := storeDown(cause)
	if c.foreign {
		e = c.unknown("the state of the order cannot be read now").WithRetryAfter(RetryTable).WithCause(cause)
	}
	a := c.refuse(e)
	if !errors.Is(cause, external.ErrUnavailable) || c.claims > 1 {
		a.Cleanup = &Cleanup{RowKey: c.row, Token: c.token}
	}
	return a
}

func storeDown(cause error) *code.Error {
	return code.New(code.OrderStoreDown, "the order was not sent because its claim could not be stored").
		WithRetryAfter(RetryTable).WithCause(cause)
}

func (c *Call) unknown(message string) *code.Error {
	return code.New(code.OrderOutcomeUnknown, "%s", message).WithReference(Reference(c.row))
}

func (c *Call) refuse(e *code.Error) Action {
	c.phase = finished
	return Action{Kind: Finish, Err: e}
}

func (c *Call) answer(r *chain.Response) Action {
	c.phase = finished
	return Action{Kind: Finish, Response: r}
}

// finish answers with the outcome of sending.
func (c *Call) finish(cleanup *Cleanup) Action {
	c.phase = finished
	return Action{Kind: Finish, Response: c.outcome.Response, Err: c.outcome.Err, Cleanup: cleanup}
}

func (c *Call) cleanup() *Cleanup {
	job := &Cleanup{RowKey: c.row, Token: c.token}
	if !c.outcome.NotSent {
		rec := c.record
		job.Record = &rec
	}
	return job
}

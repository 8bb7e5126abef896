package relay

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuestep/fescuestep/pkg/code"
	"github.com/fescuestep/fescuestep/pkg/engine"
)

func (a *attempt) recordUsage(u *engine.Usage) {
	if u == nil {
		return
	}
	a.r.Outcome.PromptTokens = u.PromptTokens
	a.r.Outcome.OutputTokens = u.CompletionTokens
	a.r.Outcome.CachedTokens = u.Details.CachedTokens
}

// relayStream relays events until the end marker and resumes a truncated stream.
func (a *attempt) relayStream(ctx context.Context, resp *http.Response) error {
	a.setWriteDeadline(a.r.Deadline)
	deadlineSet := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		a.setWriteDeadline(time.Now())
		close(deadlineSet)
	})
	defer func() {
		if !stop() {
			<-deadlineSet // a later attempt sets a new write deadline
		}
	}()
	err := a.copyEvents(ctx, resp.Body)
	for resumes := 0; err != nil && resumable(ctx, err) && resumes < a.relay.limits.MaxResumes; resumes++ {
		resumed, resumeErr := a.resume(ctx)
		if resumeErr != nil {
			break // the caller gets the error of the truncated stream
		}
		err = a.copyEvents(ctx, resumed.Body)
		_ = resumed.Body.Close()
	}
	if err == nil {
		a.r.Outcome.Complete = true
		return nil
	}
	return a.endStream(ctx, err)
}

// resumable reports whether the missing events of the stream can be obtained by
// resuming it.
func resumable(ctx context.Context, err error) bool {
	return ctx.Err() == nil && (errors.Is(err, engine.ErrTruncated) || errors.Is(err, engine.ErrSequence))
}

// resume requests the rest of the stream from the same upstream. It fails if the
// engine's incarnation has changed.
func (a *attempt) resume(ctx context.Context) (*http.Response, error) {
	if a.incarnation == "" || a.lastSeq == 0 {
		return nil, engine.ErrTruncated
	}
	resp, err := a.send(ctx, strconv.FormatUint(a.lastSeq, 10))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK || resp.Header.Get(engine.HeaderIncarnation) != a.incarnation {
		_ = resp.Body.Close()
		return nil, engine.ErrTruncated
	}
	return resp, nil
}

// copyEvents relays events up to the end marker. It returns an error of
// engine.ReadStream, a *code.Error when writing to the caller fails, or the
// error of ctx if it ends before the first event was relayed.
func (a *attempt) copyEvents(ctx context.Context, body io.Reader) error {
	check := engine.StreamCheck{RequestID: a.id, After: a.lastSeq}
	for e, err := range engine.ReadStream(body, check) {
		if err != nil {
			return err
		}
		if !e.Done {
			a.observeToken(e)
		}
		// An attempt that was cancelled before its first event writes nothing,
		// so that it can be retried on another upstream.
		if err := ctx.Err(); err != nil && !a.r.Outcome.ResponseStarted {
			return err
		}
		a.lastSeq = e.Seq
		a.recordUsage(e.Usage)
		if err := a.writeEvent(e.Data); err != nil {
			return err
		}
	}
	return nil
}

// observeToken reports the time to the first token, or the gap since the previous
// token.
func (a *attempt) observeToken(e engine.StreamEvent) {
	now := a.relay.now()
	if a.lastSeq == 0 {
		a.recordFirstToken(e)
	} else if a.r.OnTokenGap != nil {
		a.r.OnTokenGap(now.Sub(a.lastToken))
	}
	a.lastToken = now
}

func (a *attempt) recordFirstToken(e engine.StreamEvent) {
	a.r.Outcome.TimeToFirstToken = a.relay.now().Sub(a.r.ReceivedAt)
	if a.r.OnFirstToken == nil {
		return
	}
	cached := a.r.Target.HitTokens
	if e.Usage != nil {
		cached = e.Usage.Details.CachedTokens
	}
	a.r.OnFirstToken(cached)
}

// writeEvent writes one event to the caller and flushes it.
func (a *attempt) writeEvent(data string) error {
	w := a.r.Writer
	if !a.r.Outcome.ResponseStarted {
		a.r.Outcome.ResponseStarted = true
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Cache-Control", "no-cache")
		w.WriteHeader(http.StatusOK)
	}
	data = strings.ReplaceAll(data, "\n", "\ndata: ") // each line of the event needs a data field
	for _, part := range []string{"data: ", data, "\n\n"} {
		if _, err := io.WriteString(w, part); err != nil {
			return callerWriteError(err)
		}
	}
	if err := http.NewResponseController(w).Flush(); err != nil {
		return callerWriteError(err)
	}
	return nil
}

// endStream maps the error that ended a stream to the error for the caller and,
// if events were relayed, writes it to the caller as a last event.
func (a *attempt) endStream(ctx context.Context, err error) error {
	e := a.streamError(ctx, err)
	if !a.r.Outcome.ResponseStarted {
		return e
	}
	a.setWriteDeadline(time.Now())
	_ = a.writeEvent(string(e.JSON(a.r.ID))) // the caller may have disconnected
	return e
}

func (a *attempt) streamError(ctx context.Context, err error) *code.Error {
	run := code.MayHaveRun
	if a.r.Outcome.ResponseStarted {
		run = code.Ran
	}
	if e := contextError(ctx, run); e != nil {
		return e
	}
	var e *code.Error
	switch {
	case errors.As(err, &e):
		return e
	case errors.Is(err, engine.ErrRequestIDMismatch):
		return code.New(code.AnswerMismatch, "an event of the stream belongs to another request").WithCause(err)
	case !a.r.Outcome.ResponseStarted:
		return code.New(code.UpstreamFailed, "the stream ended before its first event").WithCause(err)
	}
	return code.New(code.StreamTruncated, "the stream ended without its end marker and could not be resumed").
		WithCause(err)
}

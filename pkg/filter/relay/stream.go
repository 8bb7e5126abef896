package relay

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tmaxmax/go-sse"

	"github.com/fescuestep/fescuestep/pkg/code"
	"github.com/fescuestep/fescuestep/pkg/engine"
)

// endMarker is the data of the last event of a complete stream.
const endMarker = "[DONE]"

// errCut means that the stream ended without its end marker.
var errCut = errors.New("the stream ended without its end marker")

// event holds the fields of an event that the router reads.
type event struct {
	ID    string `json:"id"`
	Usage *struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
		Details          struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

func parseEvent(data []byte) event {
	var e event
	if err := json.Unmarshal(data, &e); err != nil {
		return event{} // an event without identifier is rejected
	}
	return e
}

func (a *attempt) usage(e event) {
	if e.Usage == nil {
		return
	}
	a.r.Outcome.PromptTokens = e.Usage.PromptTokens
	a.r.Outcome.OutputTokens = e.Usage.CompletionTokens
	a.r.Outcome.CachedTokens = e.Usage.Details.CachedTokens
}

// relayStream relays events until the end marker and resumes a stream that was
// cut.
func (a *attempt) relayStream(ctx context.Context, resp *http.Response) error {
	a.limitWrites(a.r.Deadline)
	stop := context.AfterFunc(ctx, func() { a.limitWrites(time.Now()) })
	defer stop()
	err := a.copyEvents(ctx, resp.Body)
	for resumes := 0; err != nil && resumable(ctx, err) && resumes < a.relay.limits.Resumes; resumes++ {
		resumed, resumeErr := a.resume(ctx)
		if resumeErr != nil {
			break // the cut is what the caller is told
		}
		err = a.copyEvents(ctx, resumed.Body)
		_ = resumed.Body.Close()
	}
	if err == nil {
		a.r.Outcome.Complete = true
		return nil
	}
	return a.end(ctx, err)
}

func resumable(ctx context.Context, err error) bool {
	return ctx.Err() == nil && errors.Is(err, errCut)
}

// resume continues the stream at the same upstream and incarnation.
func (a *attempt) resume(ctx context.Context) (*http.Response, error) {
	if a.incarnation == "" || a.lastSeq == 0 {
		return nil, errCut
	}
	resp, err := a.send(ctx, strconv.FormatUint(a.lastSeq, 10))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK || resp.Header.Get(engine.HeaderIncarnation) != a.incarnation {
		_ = resp.Body.Close()
		return nil, errCut
	}
	return resp, nil
}

// copyEvents relays events up to the end marker. It returns errCut when the
// stream ends before, and a *code.Error for everything else.
func (a *attempt) copyEvents(ctx context.Context, body io.Reader) error {
	cfg := &sse.ReadConfig{MaxEventSize: a.relay.limits.MaxEvent}
	for e, err := range sse.Read(body, cfg) {
		if err != nil {
			return errors.Mark(err, errCut)
		}
		if e.Data == endMarker {
			return a.write(endMarker)
		}
		skip, err := a.check(e)
		if err != nil {
			return err
		}
		if skip {
			continue
		}
		if err := a.write(e.Data); err != nil {
			return err
		}
	}
	return errCut
}

// check accepts the next event of this request. Events already relayed are
// skipped: a resumed stream may repeat them.
func (a *attempt) check(e sse.Event) (skip bool, err error) {
	parsed := parseEvent([]byte(e.Data))
	if parsed.ID != a.id {
		return false, code.New(code.AnswerMismatch, "an event of the stream carries another identifier")
	}
	seq, err := strconv.ParseUint(e.LastEventID, 10, 64)
	if err != nil {
		return false, code.New(code.AnswerMismatch, "an event of the stream has no sequence number")
	}
	if seq <= a.lastSeq {
		return true, nil
	}
	if seq != a.lastSeq+1 {
		return false, errors.Mark(errors.Newf("event %d follows event %d", seq, a.lastSeq), errCut)
	}
	a.lastSeq = seq
	a.usage(parsed)
	if seq == 1 {
		a.firstToken(parsed)
	}
	return false, nil
}

func (a *attempt) firstToken(e event) {
	a.r.Outcome.FirstToken = a.relay.now().Sub(a.r.Arrived)
	if a.r.OnFirstToken == nil {
		return
	}
	cached := a.r.Target.HitTokens
	if e.Usage != nil {
		cached = e.Usage.Details.CachedTokens
	}
	a.r.OnFirstToken(cached)
}

// write sends one event to the caller and flushes it.
func (a *attempt) write(data string) error {
	w := a.r.Writer
	if !a.r.Outcome.Started {
		a.r.Outcome.Started = true
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Cache-Control", "no-cache")
		w.WriteHeader(http.StatusOK)
	}
	data = strings.ReplaceAll(data, "\n", "\ndata: ") // one data line per line of the event
	for _, part := range []string{"data: ", data, "\n\n"} {
		if _, err := io.WriteString(w, part); err != nil {
			return callerGone(err)
		}
	}
	if err := http.NewResponseController(w).Flush(); err != nil {
		return callerGone(err)
	}
	return nil
}

// end maps the error that ended a stream and, when events were relayed, tells
// the caller in a last event.
func (a *attempt) end(ctx context.Context, err error) error {
	e := a.endError(ctx, err)
	if !a.r.Outcome.Started {
		return e
	}
	a.limitWrites(time.Now())
	_ = a.write(string(e.JSON(a.r.ID))) // the caller may have left
	return e
}

func (a *attempt) endError(ctx context.Context, err error) *code.Error {
	run := code.MayHaveRun
	if a.r.Outcome.Started {
		run = code.Ran
	}
	if e := cancelled(ctx, run); e != nil {
		return e
	}
	var e *code.Error
	if errors.As(err, &e) {
		return e
	}
	if !a.r.Outcome.Started {
		return code.New(code.UpstreamFailed, "the stream ended before its first event").WithCause(err)
	}
	return code.New(code.StreamTruncated, "the stream ended without its end marker and could not be resumed").
		WithCause(err)
}

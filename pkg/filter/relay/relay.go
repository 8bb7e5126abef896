// Package relay makes one attempt at one upstream and relays the answer.
//
// The upstream request carries a fresh random X-Request-Id; an answer that does
// not echo it is rejected. Keys, cookies and internal headers never reach an
// upstream. Streams are relayed event by event: each event is checked (request
// identifier, sequence number) and flushed before the next one is read, so that
// a slow caller slows the upstream down and one stream holds one event in
// memory. The status line is sent with the first event; until then an attempt
// can be repeated elsewhere. A stream must end with [DONE]. A stream that breaks
// off is resumed at the same incarnation after the last event; if that fails,
// the last event to the caller is an error with result code and run state.
// Answers that are not streams are relayed whole or not at all.
package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuestep/fescuestep/pkg/chain"
	"github.com/fescuestep/fescuestep/pkg/code"
	"github.com/fescuestep/fescuestep/pkg/engine"
	"github.com/fescuestep/fescuestep/pkg/filter/requestid"
)

// Client sends one request to one upstream and never sends it again.
type Client interface {
	// Do returns an error for which engine.NotSent is true only if no byte of
	// the request can have reached the upstream.
	Do(ctx context.Context, addr string, req *http.Request) (*http.Response, error)
}

// Limits of one relayed answer.
type Limits struct {
	MaxResponseBytes int64         // bytes of an answer that is not a stream
	MaxResumes       int           // per stream
	WriteGrace       time.Duration // for the last event to a caller that reads slowly
}

// DefaultLimits bound the memory of one answer to a few MB and of one stream to
// one event of at most engine.MaxStreamEventBytes.
func DefaultLimits() Limits {
	return Limits{MaxResponseBytes: 8 << 20, MaxResumes: 3, WriteGrace: time.Second}
}

// Relay makes attempts.
type Relay struct {
	client Client
	limits Limits
	now    func() time.Time
}

// New returns a relay. now is the clock that set Request.Arrived.
func New(client Client, limits Limits, now func() time.Time) *Relay {
	return &Relay{client: client, limits: limits, now: now}
}

// Handle is the last handler of the chain.
func (l *Relay) Handle(ctx context.Context, r *chain.Request) error {
	r.Outcome.Status = 0 // of an earlier attempt
	a := &attempt{relay: l, r: r, id: r.ID + "-" + requestid.New()[:16]}
	resp, err := a.send(ctx, "")
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	a.incarnation = resp.Header.Get(engine.HeaderIncarnation)
	r.Outcome.Status = resp.StatusCode
	if r.Prompt == nil {
		return a.relayService(ctx, resp)
	}
	if err := a.checkModelStatus(resp); err != nil {
		return err
	}
	if r.Prompt.Stream {
		return a.relayStream(ctx, resp)
	}
	return a.relayModelResponse(ctx, resp)
}

// attempt is the state of one attempt.
type attempt struct {
	relay       *Relay
	r           *chain.Request
	id          string // X-Request-Id of this attempt
	incarnation string // of the engine that answered
	lastSeq     uint64 // of the last event relayed
	lastToken   time.Time
}

// send makes the upstream request and checks that the answer belongs to it.
// after is the sequence number to resume after, empty for a new request.
func (a *attempt) send(ctx context.Context, after string) (*http.Response, error) {
	req, err := a.newRequest(ctx, after)
	if err != nil {
		return nil, code.New(code.Internal, "the upstream request cannot be built").
			WithRun(code.NotRun).WithCause(err)
	}
	// Until the client proves otherwise, bytes may have been sent.
	a.r.Outcome.Sent = true
	resp, err := a.relay.client.Do(ctx, a.r.Target.Addr, req)
	if err != nil {
		if after == "" && engine.NotSent(err) {
			a.r.Outcome.Sent = false
		}
		return nil, a.transportError(ctx, err)
	}
	if err := engine.CheckHeader(resp, a.id); err != nil {
		_ = resp.Body.Close()
		return nil, code.New(code.AnswerMismatch, "the upstream answered for another request").WithCause(err)
	}
	return resp, nil
}

func (a *attempt) newRequest(ctx context.Context, after string) (*http.Request, error) {
	r := a.r
	url := "http://" + r.Target.Addr + r.UpstreamPath
	if r.Route != nil && r.HTTP.URL.RawQuery != "" {
		url += "?" + r.HTTP.URL.RawQuery
	}
	req, err := http.NewRequestWithContext(ctx, r.HTTP.Method, url, bytes.NewReader(r.Body))
	if err != nil {
		return nil, err
	}
	// Without GetBody the transport cannot send the request a second time.
	req.GetBody = nil
	if len(r.Body) == 0 {
		req.Body = nil
	}
	if r.Prompt != nil {
		setModelHeaders(req.Header, r)
	} else {
		req.Header = forwardedHeaders(r.HTTP.Header)
		if r.Route != nil && !r.Route.Idempotent {
			prepareNonIdempotent(req)
		}
	}
	req.Header.Set(engine.HeaderRequestID, a.id)
	req.Header.Set(engine.HeaderDeadline, strconv.FormatInt(r.Deadline.Sub(a.relay.now()).Milliseconds(), 10))
	if after != "" {
		req.Header.Set(engine.HeaderResumeAfter, after)
	}
	return req, nil
}

// prepareNonIdempotent asks for a new connection, because an idle one that the upstream
// is closing would leave the outcome unknown, and for an answer without
// encoding, because records keep the content type only.
func prepareNonIdempotent(req *http.Request) {
	req.Close = true
	req.Header.Del("Accept-Encoding")
}

func setModelHeaders(h http.Header, r *chain.Request) {
	h.Set("Content-Type", "application/json")
	h.Set("Accept", "application/json")
	if r.Prompt.Stream {
		h.Set("Accept", "text/event-stream")
	}
	h.Set(engine.HeaderPriority, strconv.Itoa(r.Application.Priority))
	if r.Customer != nil {
		h.Set(engine.HeaderCacheSalt, r.Customer.CacheScope)
	}
	if r.Application.Adapter != "" {
		h.Set(engine.HeaderAdapter, r.Application.Adapter)
	}
	if r.Pool.Weights != "" {
		h.Set(engine.HeaderWeightsVersion, r.Pool.Weights)
	}
}

// checkModelStatus turns every answer of an engine other than 200 into an
// error. Engines answer 409 for other weights and 429 or 503 before any work,
// and other statuses below 500 for requests that they cannot take.
func (a *attempt) checkModelStatus(resp *http.Response) error {
	switch status := resp.StatusCode; status {
	case http.StatusOK:
		return nil
	case http.StatusConflict, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		a.r.Outcome.Sent = false
		return code.New(code.NoUpstream, "the engine takes no work (status %d)", status).
			WithRetryAfter(time.Second)
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return code.New(code.BadRequest, "the engine does not take this request (status %d)", status).
			WithRun(code.MayHaveRun)
	default:
		return code.New(code.UpstreamFailed, "the engine answered with status %d", status)
	}
}

// relayService relays the answer of a plain service. Its status is its own.
func (a *attempt) relayService(ctx context.Context, resp *http.Response) error {
	body, err := a.readWhole(ctx, resp)
	if err != nil {
		return err
	}
	a.r.Outcome.RecordedResponse = &chain.Response{
		Status:      resp.StatusCode,
		ContentType: resp.Header.Get("Content-Type"),
		Body:        body,
	}
	copyResponseHeaders(a.r.Writer.Header(), resp.Header)
	return a.writeWhole(resp, body)
}

func (a *attempt) relayModelResponse(ctx context.Context, resp *http.Response) error {
	body, err := a.readWhole(ctx, resp)
	if err != nil {
		return err
	}
	usage, err := engine.ParseAnswer(body, a.id)
	if err != nil {
		return code.New(code.AnswerMismatch, "the engine's answer belongs to another request").WithCause(err)
	}
	a.recordUsage(usage)
	a.r.Writer.Header().Set("Content-Type", resp.Header.Get("Content-Type"))
	return a.writeWhole(resp, body)
}

// readWhole reads an answer completely, bounded by Limits.MaxAnswer. A body
// shorter than its Content-Length or without its last chunk is an error.
func (a *attempt) readWhole(ctx context.Context, resp *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, a.relay.limits.MaxResponseBytes+1))
	if err != nil {
		return nil, a.transportError(ctx, err)
	}
	if int64(len(body)) > a.relay.limits.MaxResponseBytes {
		return nil, code.New(code.UpstreamFailed, "the answer exceeds %d bytes", a.relay.limits.MaxResponseBytes).
			WithRun(code.Ran)
	}
	return body, nil
}

func (a *attempt) writeWhole(resp *http.Response, body []byte) error {
	w := a.r.Writer
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	a.r.Outcome.Complete = true
	a.r.Outcome.ResponseStarted = true
	a.setWriteDeadline(a.r.Deadline)
	w.WriteHeader(resp.StatusCode)
	if _, err := w.Write(body); err != nil {
		return callerWriteError(err)
	}
	return nil
}

// setWriteDeadline ends writes to the caller at the deadline plus the grace.
func (a *attempt) setWriteDeadline(deadline time.Time) {
	// Writers without deadline support are those of tests.
	_ = http.NewResponseController(a.r.Writer).SetWriteDeadline(deadline.Add(a.relay.limits.WriteGrace))
}

// transportError maps an error of the transport to the error for the caller.
func (a *attempt) transportError(ctx context.Context, err error) *code.Error {
	run := code.MayHaveRun
	if !a.r.Outcome.Sent {
		run = code.NotRun
	}
	if e := contextError(ctx, run); e != nil {
		return e
	}
	if run == code.NotRun {
		return code.New(code.UpstreamUnreachable, "no connection to the upstream").
			WithRetryAfter(time.Second).WithCause(err)
	}
	return code.New(code.UpstreamFailed, "the upstream failed after the request was sent").WithCause(err)
}

// contextError returns the error for a contextError context, or nil.
func contextError(ctx context.Context, run code.RunState) *code.Error {
	cause := context.Cause(ctx)
	if cause == nil {
		return nil
	}
	var e *code.Error
	if errors.As(cause, &e) {
		c := *e
		return c.WithRun(run)
	}
	if errors.Is(cause, context.DeadlineExceeded) {
		return code.New(code.UpstreamTimeout, "the deadline passed").WithRun(run)
	}
	return code.New(code.BodyReadTimeout, "the caller broke off").WithRun(run).WithCause(cause)
}

func callerWriteError(err error) *code.Error {
	return code.New(code.BodyReadTimeout, "the caller stopped reading").WithRun(code.Ran).WithCause(err)
}

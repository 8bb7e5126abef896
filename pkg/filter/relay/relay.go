// Package relay sends one attempt of a request to one upstream and relays the
// response.
//
// The upstream request carries a new random X-Request-Id; a response that does
// not echo it is rejected. Keys, cookies and internal headers are never sent to
// an upstream. Streams are relayed event by event: each event is checked
// (request identifier, sequence number) and flushed before the next one is read,
// so that a slow caller applies backpressure to the upstream and each stream
// holds one event in memory. The status line is sent with the first event; until
// then the attempt can be retried on another upstream. A stream must end with
// [DONE]. A truncated stream is resumed after the last relayed event on the same
// engine incarnation; if that fails, the last event sent to the caller is an
// error with result code and run state. Responses that are not streams are
// buffered and relayed as a whole or not at all.
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

// Client sends one request to one upstream, without retries.
type Client interface {
	// Do sends req to the upstream at addr (IP:port). It returns an error for
	// which engine.NotSent is true only if no byte of the request can have
	// reached the upstream.
	Do(ctx context.Context, addr string, req *http.Request) (*http.Response, error)
}

// Limits are the limits of one relayed response.
type Limits struct {
	MaxResponseBytes int64         // size of a response that is not a stream
	MaxResumes       int           // per stream
	WriteGrace       time.Duration // time to write the last event to a slow caller
}

// DefaultLimits returns limits that bound the memory of one response to a few MB
// and that of one stream to one event of at most engine.MaxStreamEventBytes.
func DefaultLimits() Limits {
	return Limits{MaxResponseBytes: 8 << 20, MaxResumes: 3, WriteGrace: time.Second}
}

// Relay sends requests to the upstream chosen for an attempt and relays the
// responses.
type Relay struct {
	client Client
	limits Limits
	now    func() time.Time
}

// New returns a relay. now must be the clock that set Request.ReceivedAt.
func New(client Client, limits Limits, now func() time.Time) *Relay {
	return &Relay{client: client, limits: limits, now: now}
}

// Handle makes one attempt at the upstream r.Target. It is the last handler of
// the chain.
func (l *Relay) Handle(ctx context.Context, r *chain.Request) error {
	r.Outcome.Status = 0 // may have been set by an earlier attempt
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
	incarnation string // of the engine that responded
	lastSeq     uint64 // sequence number of the last event relayed
	lastToken   time.Time
}

// send sends the upstream request and checks that the response belongs to it.
// after is the sequence number after which to resume a stream; it is empty for a
// new request.
func (a *attempt) send(ctx context.Context, after string) (*http.Response, error) {
	req, err := a.newRequest(ctx, after)
	if err != nil {
		return nil, code.New(code.Internal, "the upstream request cannot be built").
			WithRun(code.NotRun).WithCause(err)
	}
	// Bytes may have been sent unless the client's error says otherwise.
	a.r.Outcome.Sent = true
	resp, err := a.relay.client.Do(ctx, a.r.Target.Addr, req)
	if err != nil {
		if after == "" && engine.NotSent(err) {
			a.r.Outcome.Sent = false
		}
		return nil, a.transportError(ctx, err)
	}
	if err := engine.CheckRequestIDHeader(resp, a.id); err != nil {
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

// prepareNonIdempotent requests a new connection, because the outcome would be
// unknown if the upstream were closing a reused idle one, and a response without
// content encoding, because recorded responses keep only the content type.
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

// checkModelStatus returns an error for every engine status other than 200.
// Engines respond with 409 when they serve other weights, with 429 or 503 before
// doing any work, and with 400, 413 or 422 to requests that they cannot process.
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

// relayService relays the response of a plain service with its status
// unchanged.
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
	usage, err := engine.ParseResponse(body, a.id)
	if err != nil {
		return code.New(code.AnswerMismatch, "the engine's answer belongs to another request").WithCause(err)
	}
	a.recordUsage(usage)
	a.r.Writer.Header().Set("Content-Type", resp.Header.Get("Content-Type"))
	return a.writeWhole(resp, body)
}

// readWhole reads the whole response body, of at most Limits.MaxResponseBytes. A
// body shorter than its Content-Length or without its last chunk is an error.
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

// setWriteDeadline limits writes to the caller to the deadline plus
// Limits.WriteGrace.
func (a *attempt) setWriteDeadline(deadline time.Time) {
	// The error is ignored: only the writers of tests lack deadline support.
	_ = http.NewResponseController(a.r.Writer).SetWriteDeadline(deadline.Add(a.relay.limits.WriteGrace))
}

// transportError maps a transport error to the error for the caller.
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

// contextError returns the error for the caller if ctx is cancelled, or nil.
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

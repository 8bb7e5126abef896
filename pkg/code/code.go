// Package code defines the numbered result codes that callers receive and the
// error type that carries them through the filter chain.
package code

import (
	"fmt"
	"net/http"
	"time"
)

// RunState says whether an upstream may have run the request.
type RunState string

// Run states of a result. NotRun is used only if no byte of the request can
// have reached an upstream or the upstream stated that it did not run it.
const (
	NotRun     RunState = "not_run"
	MayHaveRun RunState = "may_have_run"
	Ran        RunState = "ran"
)

// Code is a numbered result code. The thousands digit gives the group:
// 1 request, 2 authentication, 3 limits, 4 orders, 5 upstreams, 6 router.
type Code int

// Result codes. Their descriptions are in infos; docs/errors.md lists them all
// and is tested against it.
const (
	BadRequest          Code = 1001
	BodyTooLarge        Code = 1002
	BodyReadTimeout     Code = 1003
	UnknownModel        Code = 1004
	MethodNotAllowed    Code = 1005
	UnknownRoute        Code = 1006
	PromptTooLong       Code = 1007
	KeyMissing          Code = 2001
	KeyUnknown          Code = 2002
	KeyRevoked          Code = 2003
	NotPermitted        Code = 2004
	RateExceeded        Code = 3001
	RequestExceedsBurst Code = 3002
	QueueFull           Code = 3003
	DeadlineUnreachable Code = 3004
	QuotaUnavailable    Code = 3005
	OrderKeyMissing     Code = 4001
	OrderKeyReused      Code = 4002
	OrderRunning        Code = 4003
	OrderOutcomeUnknown Code = 4004
	OrderStoreDown      Code = 4005
	NoUpstream          Code = 5001
	UpstreamUnreachable Code = 5002
	UpstreamFailed      Code = 5003
	StreamTruncated     Code = 5004
	AnswerMismatch      Code = 5005
	UpstreamTimeout     Code = 5006
	PromptQuarantined   Code = 5007
	StreamOriginUnknown Code = 5008
	NotFresh            Code = 6001
	ShuttingDown        Code = 6002
	Internal            Code = 6003
	ConfigurationAbsent Code = 6004
)

// Info describes one result code.
type Info struct {
	Code    Code
	Name    string   // stable machine-readable name
	Status  int      // HTTP status
	Type    string   // error type that client libraries of the chat-completions API expect
	Run     RunState // default run state
	Meaning string
}

var infos = []Info{
	{BadRequest, "bad_request", http.StatusBadRequest, "invalid_request_error", NotRun, "The request is malformed."},
	{BodyTooLarge, "body_too_large", http.StatusRequestEntityTooLarge, "invalid_request_error", NotRun, "The body exceeds the configured limit."},
	{BodyReadTimeout, "body_read_timeout", http.StatusRequestTimeout, "invalid_request_error", NotRun, "The body was not received in time or the client broke off."},
	{UnknownModel, "unknown_model", http.StatusNotFound, "invalid_request_error", NotRun, "No application that this customer may use serves the model."},
	{MethodNotAllowed, "method_not_allowed", http.StatusMethodNotAllowed, "invalid_request_error", NotRun, "The route does not take this method."},
	{UnknownRoute, "unknown_route", http.StatusNotFound, "invalid_request_error", NotRun, "No route matches the path."},
	{PromptTooLong, "prompt_too_long", http.StatusBadRequest, "invalid_request_error", NotRun, "The prompt exceeds the model's limit."},
	{KeyMissing, "key_missing", http.StatusUnauthorized, "authentication_error", NotRun, "The route needs a key and none was sent."},
	{KeyUnknown, "key_unknown", http.StatusUnauthorized, "authentication_error", NotRun, "The key is not known."},
	{KeyRevoked, "key_revoked", http.StatusUnauthorized, "authentication_error", NotRun, "The key has been revoked. In the last event of a stream: the stream was ended because of it."},
	{NotPermitted, "not_permitted", http.StatusForbidden, "permission_error", NotRun, "The customer may not use this application."},
	{RateExceeded, "rate_exceeded", http.StatusTooManyRequests, "rate_limit_error", NotRun, "The customer's rate and burst are used up."},
	{RequestExceedsBurst, "request_exceeds_burst", http.StatusTooManyRequests, "rate_limit_error", NotRun, "The request needs more tokens than the customer's burst can ever hold."},
	{QueueFull, "queue_full", http.StatusServiceUnavailable, "overloaded_error", NotRun, "The customer's queue is full."},
	{DeadlineUnreachable, "deadline_unreachable", http.StatusServiceUnavailable, "overloaded_error", NotRun, "The request could not start before its deadline."},
	{QuotaUnavailable, "quota_unavailable", http.StatusServiceUnavailable, "overloaded_error", NotRun, "Too few share holders answered to grant tokens."},
	{OrderKeyMissing, "order_key_missing", http.StatusBadRequest, "invalid_request_error", NotRun, "The call may not be repeated and carries no idempotency key."},
	{OrderKeyReused, "order_key_reused", http.StatusConflict, "invalid_request_error", NotRun, "The idempotency key was used with another request."},
	{OrderRunning, "order_running", http.StatusConflict, "conflict_error", MayHaveRun, "A request with this idempotency key is running."},
	{OrderOutcomeUnknown, "order_outcome_unknown", http.StatusBadGateway, "conflict_error", MayHaveRun, "The outcome of the order is unknown; operators see it under the reference."},
	{OrderStoreDown, "order_store_down", http.StatusServiceUnavailable, "overloaded_error", NotRun, "The table service did not take the claim, so the order was not sent."},
	{NoUpstream, "no_upstream", http.StatusServiceUnavailable, "overloaded_error", NotRun, "No upstream of the pool takes work."},
	{UpstreamUnreachable, "upstream_unreachable", http.StatusServiceUnavailable, "upstream_error", NotRun, "No connection to an upstream could be opened."},
	{UpstreamFailed, "upstream_failed", http.StatusBadGateway, "upstream_error", MayHaveRun, "The upstream failed after the request was sent."},
	{StreamTruncated, "stream_truncated", http.StatusBadGateway, "upstream_error", Ran, "The stream ended without its end marker and could not be resumed."},
	{AnswerMismatch, "answer_mismatch", http.StatusBadGateway, "upstream_error", MayHaveRun, "The upstream answered for another request."},
	{UpstreamTimeout, "upstream_timeout", http.StatusGatewayTimeout, "upstream_error", MayHaveRun, "The upstream did not answer before the deadline."},
	{PromptQuarantined, "prompt_quarantined", http.StatusServiceUnavailable, "upstream_error", NotRun, "Several upstreams have ended under the request or under a part of its prompt."},
	{StreamOriginUnknown, "stream_origin_unknown", http.StatusServiceUnavailable, "upstream_error", NotRun, "It is not known which version of the upstreams began the stream that the caller takes up."},
	{NotFresh, "not_fresh", http.StatusServiceUnavailable, "overloaded_error", NotRun, "The instance cannot confirm that its keys and configuration are current."},
	{ShuttingDown, "shutting_down", http.StatusServiceUnavailable, "overloaded_error", NotRun, "The instance is shutting down and takes no new work."},
	{Internal, "internal", http.StatusInternalServerError, "server_error", MayHaveRun, "Unexpected failure in the router."},
	{ConfigurationAbsent, "configuration_absent", http.StatusServiceUnavailable, "overloaded_error", NotRun, "The instance has no configuration yet, or not the one by which another instance took the request."},
}

var infoByCode = func() map[Code]Info {
	m := make(map[Code]Info, len(infos))
	for _, info := range infos {
		m[info.Code] = info
	}
	return m
}()

// All returns every result code in numeric order.
func All() []Info { return append([]Info(nil), infos...) }

// Info returns the description of c, or that of Internal for an unknown code.
func (c Code) Info() Info {
	if info, ok := infoByCode[c]; ok {
		return info
	}
	return infoByCode[Internal]
}

// Error is the unsuccessful result of a request, as sent to the caller.
type Error struct {
	Code       Code
	Run        RunState
	Message    string
	Reference  string        // identifies a case for operators to investigate, for example an order; empty if none
	RetryAfter time.Duration // zero when retrying does not help
	Cause      error
}

// New returns an Error with the default run state of c.
func New(c Code, format string, args ...any) *Error {
	return &Error{Code: c, Run: c.Info().Run, Message: fmt.Sprintf(format, args...)}
}

// WithRun returns e with its run state set.
func (e *Error) WithRun(r RunState) *Error {
	e.Run = r
	return e
}

// WithRetryAfter returns e with the time after which the caller should retry.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// WithReference returns e with a reference for operators.
func (e *Error) WithReference(ref string) *Error {
	e.Reference = ref
	return e
}

// WithCause returns e with the underlying error, which is logged and not sent
// to the caller.
func (e *Error) WithCause(err error) *Error {
	e.Cause = err
	return e
}

// Error returns the code, its name, the message and the cause.
func (e *Error) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("%d %s: %s: %v", e.Code, e.Code.Info().Name, e.Message, e.Cause)
	}
	return fmt.Sprintf("%d %s: %s", e.Code, e.Code.Info().Name, e.Message)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

package edge

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/fescuestep/fescuestep/pkg/chain"
	"github.com/fescuestep/fescuestep/pkg/code"
	"github.com/fescuestep/fescuestep/pkg/metrics"
	"github.com/fescuestep/fescuestep/pkg/routing"
)

// ServiceMetrics counts the outcomes of requests as callers see them, and what upstreams
// state.
type ServiceMetrics interface {
	// RecordOutcome counts a request to the named route, with the number of tokens
	// in its prompt (0 if unknown).
	RecordOutcome(route string, promptTokens int, o metrics.Outcome)
	// UndecodableStatement counts a statement of an upstream that could not be decoded.
	UndecodableStatement(name string)
	// ReleaseState sets the phase of the rollout of a service's software, as a number, and
	// how many requests this instance got for the service and sent to the new version.
	ReleaseState(service string, phase int, requests, exposed uint64)
	// RecordAdmission counts the decision on a request to a service that waited for so long.
	RecordAdmission(service string, d metrics.Decision, waited time.Duration)
	// RecordCapacity records the capacity of a service's upstreams as this instance knows
	// it.
	RecordCapacity(service string, c metrics.Capacity)
	// TableAge sets how long ago a table of the store was last known to be current.
	TableAge(table string, age time.Duration)
	// StateTransferred counts a State call and the bytes of its response. The direction is
	// one of those of StateDirection.
	StateTransferred(direction string, bytes int64)
}

// accessLog is a filter that logs one line per request, with the routing and
// placement decisions that were made for it, and counts the outcome in metrics.
type accessLog struct {
	log     hclog.Logger
	metrics ServiceMetrics
	// tableAges returns how long ago the configuration and the list of upstreams were last
	// known to be current.
	tableAges func() (config, list time.Duration)
	now       func() time.Time
}

func (accessLog) Name() string { return "accesslog" }

// Wrap returns a handler that calls next and then logs and counts the request.
func (a accessLog) Wrap(next chain.Handler) chain.Handler {
	return func(ctx context.Context, r *chain.Request) error {
		err := next(ctx, r)
		a.writeLine(r, err)
		if !r.Forwarded {
			a.recordOutcome(r, err)
		}
		return err
	}
}

// writeLine logs a request that has ended with err, which is nil if it succeeded.
func (a accessLog) writeLine(r *chain.Request, err error) {
	total := a.now().Sub(r.ReceivedAt)
	configAge, listAge := a.tableAges()
	fields := make([]any, 0, 44)
	fields = append(fields, "request", r.ID, "total_ms", total.Milliseconds(), "config_age_ms", configAge.Milliseconds(), "list_age_ms", listAge.Milliseconds())
	if r.Forwarded {
		fields = append(fields, "forwarded_by", r.HTTP.RemoteAddr)
	}
	if e := r.Edge; e != nil {
		fields = append(fields, edgeFields(e)...)
	}
	fields = append(fields, "status", r.Outcome.Status, "sent", r.Outcome.Sent,
		"first_ms", r.Outcome.TimeToFirstToken.Milliseconds(), "complete", r.Outcome.Complete)
	var failure *code.Error
	if errors.As(err, &failure) {
		fields = append(fields, "code", int(failure.Code), "result", failure.Code.Info().Name, "run", string(failure.Run),
			"retry_after_ms", failure.RetryAfter.Milliseconds(), "started", r.Outcome.ResponseStarted)
		if failure.Cause != nil {
			fields = append(fields, "cause", failure.Cause.Error())
		}
	}
	a.log.Info("request", fields...)
}

// recordOutcome counts the outcome of the request under its route, if one matched.
func (a accessLog) recordOutcome(r *chain.Request, err error) {
	e := r.Edge
	if e == nil || e.Route == nil {
		return
	}
	a.metrics.RecordOutcome(e.Route.Name, e.Call.PromptTokens, outcomeOf(r, err, a.now()))
}

// outcomeOf classifies a response as the caller sees it. A stream is late if its
// first token is; any other response is late if its end is.
func outcomeOf(r *chain.Request, err error, now time.Time) metrics.Outcome {
	var failure *code.Error
	if errors.As(err, &failure) && failure.Run == code.NotRun && !r.Outcome.ResponseStarted {
		return metrics.Refused
	}
	success := r.Outcome.Status >= 200 && r.Outcome.Status < 300
	if err != nil || !success || !r.Outcome.Complete {
		return metrics.Failure
	}
	took := now.Sub(r.ReceivedAt)
	if r.Edge.Route.Kind == routing.Stream {
		took = r.Outcome.TimeToFirstToken
	}
	if target := r.Edge.Route.TargetLatency; target > 0 && took > target {
		return metrics.Late
	}
	return metrics.InTime
}

// edgeFields returns the log fields for what routing and placement decided.
func edgeFields(e *chain.Edge) []any {
	fields := make([]any, 0, 24)
	if e.Routing != nil {
		fields = append(fields, "config", e.Routing.Version)
	}
	if e.Route != nil {
		fields = append(fields, "route", e.Route.Name, "kind", e.Route.Kind.String())
	}
	if e.Customer != nil {
		fields = append(fields, "customer", e.Customer.Name)
	}
	if c := e.Placement; c.Upstream != "" {
		fields = append(fields, "service", e.Service, "upstream", c.Upstream, "software", c.Software, "weights", c.WeightsVersion,
			"sent_to", e.Attempts, "expected_ms", c.ExpectedTTFT.Milliseconds())
		if c.PrefixID != 0 {
			fields = append(fields, "prefix", strconv.FormatUint(c.PrefixID, 16), "held", c.CachedTokens, "fetched", c.CachedTokensAfterFetch, "fetch_from", c.FetchFrom, "saves", c.SaveRequested)
		}
	}
	if e.ForwardedTo != "" {
		fields = append(fields, "forwarded_to", e.ForwardedTo)
	}
	if e.Call.LastEventID != "" {
		fields = append(fields, "after_event", e.Call.LastEventID, "resumes", e.Call.Resumes)
	}
	if e.Call.HasTokenCounts {
		fields = append(fields, "prompt_tokens", e.Call.PromptTokens)
	}
	return fields
}

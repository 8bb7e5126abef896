// Package hostroute finds the route of an edge request by host and path and sets
// its deadline: the time of receipt plus the shorter of the route's timeout and
// the timeout that the caller states.
package hostroute

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/fescuestep/fescuestep/pkg/call"
	"github.com/fescuestep/fescuestep/pkg/chain"
	"github.com/fescuestep/fescuestep/pkg/code"
	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/routing"
)

// RetryAfterNoConfig is the Retry-After sent to callers of an instance that has
// no configuration yet.
const RetryAfterNoConfig = 300 * time.Millisecond

// Decoder decodes the metadata of a request from its headers.
type Decoder interface {
	DecodeRequest(h http.Header) call.Request
}

// Filter routes requests by host and path.
type Filter struct {
	decoder  Decoder
	snapshot func() *routing.Snapshot // returns nil without configuration
}

// New returns the filter. snapshot returns the current configuration, or nil if
// there is none yet.
func New(decoder Decoder, snapshot func() *routing.Snapshot) *Filter {
	return &Filter{decoder: decoder, snapshot: snapshot}
}

// Name returns the name of the filter.
func (f *Filter) Name() string { return "hostroute" }

// Wrap returns a handler that sets Request.Edge and the deadline and calls next.
func (f *Filter) Wrap(next chain.Handler) chain.Handler {
	return func(ctx context.Context, r *chain.Request) error {
		edge := &chain.Edge{Call: f.decoder.DecodeRequest(r.HTTP.Header)}
		r.Edge = edge
		r.ID = edge.Call.ID
		edge.Routing = f.snapshot()
		if edge.Routing == nil {
			return code.New(code.ConfigurationAbsent, "this instance has no configuration yet").
				WithRetryAfter(RetryAfterNoConfig)
		}
		edge.Route = edge.Routing.Match(r.HTTP.Host, rawPath(r.HTTP.RequestURI))
		if edge.Route == nil {
			return code.New(code.UnknownRoute, "no route matches host and path")
		}
		if edge.Call.ID == "" {
			return code.New(code.BadRequest, "the request has no identifier")
		}
		r.Application = &config.Application{ID: edge.Route.Name}
		r.Deadline = r.ReceivedAt.Add(requestTimeout(edge))
		ctx, cancel := context.WithDeadline(ctx, r.Deadline)
		defer cancel()
		return next(ctx, r)
	}
}

// rawPath returns the undecoded path of a request URI.
func rawPath(requestURI string) string {
	path, _, _ := strings.Cut(requestURI, "?")
	return path
}

// defaultTimeout bounds requests for which neither the route nor the caller states a
// timeout, so that an upstream that stalls does not hold them without end.
const defaultTimeout = time.Minute

// requestTimeout returns the shorter of the route's timeout and the caller's; 0
// of either means none.
func requestTimeout(e *chain.Edge) time.Duration {
	timeout := e.Route.Timeout
	if e.Call.Timeout > 0 && (timeout <= 0 || e.Call.Timeout < timeout) {
		return e.Call.Timeout
	}
	if timeout <= 0 {
		return defaultTimeout
	}
	return timeout
}

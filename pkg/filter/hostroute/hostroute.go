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
	snapshot func() *routing.Snapshot  // returns nil without configuration
	refresh  func(ctx context.Context) // reads the configuration that is in force
}

// New returns the filter. snapshot returns the current configuration, or nil if
// there is none yet. refresh reads the one that is in force; it is called, and bounds its
// time, when another instance has forwarded a request that it took by a newer one.
func New(decoder Decoder, snapshot func() *routing.Snapshot, refresh func(ctx context.Context)) *Filter {
	return &Filter{decoder: decoder, snapshot: snapshot, refresh: refresh}
}

// Name returns the name of the filter.
func (f *Filter) Name() string { return "hostroute" }

// Wrap returns a handler that sets Request.Edge and the deadline and calls next.
func (f *Filter) Wrap(next chain.Handler) chain.Handler {
	return func(ctx context.Context, r *chain.Request) error {
		edge := &chain.Edge{Call: f.decoder.DecodeRequest(r.HTTP.Header)}
		r.Edge = edge
		r.ID = edge.Call.ID
		edge.Routing = f.routing(ctx, r)
		if edge.Routing == nil {
			return code.New(code.ConfigurationAbsent, "this instance does not have the configuration yet").
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

// routing returns the configuration by which a request is handled, or nil if there is
// none. One that another instance took is never handled by an older one than there.
func (f *Filter) routing(ctx context.Context, r *chain.Request) *routing.Snapshot {
	s := f.snapshot()
	if !r.Forwarded || !isOlder(s, r.Edge.Call.ConfigVersion) {
		return s
	}
	f.refresh(ctx)
	if s = f.snapshot(); isOlder(s, r.Edge.Call.ConfigVersion) {
		return nil
	}
	return s
}

func isOlder(s *routing.Snapshot, version uint64) bool { return s == nil || s.Version < version }

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

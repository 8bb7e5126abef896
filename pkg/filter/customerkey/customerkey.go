// Package customerkey authenticates edge requests by the keys that the
// configuration assigns to customers.
package customerkey

import (
	"context"

	"github.com/fescuestep/fescuestep/pkg/callerguard"
	"github.com/fescuestep/fescuestep/pkg/chain"
	"github.com/fescuestep/fescuestep/pkg/code"
	"github.com/fescuestep/fescuestep/pkg/config"
)

// Filter authenticates edge requests. It requires Request.Edge.
type Filter struct{}

// Name returns the name of the filter.
func (Filter) Name() string { return "customerkey" }

// Wrap returns a handler that calls next only for authenticated requests and on
// routes that need no key.
func (Filter) Wrap(next chain.Handler) chain.Handler {
	return func(ctx context.Context, r *chain.Request) error {
		edge := r.Edge
		if !edge.Routing.NeedsKey(edge.Route) {
			return next(ctx, r)
		}
		if edge.Call.Key == "" {
			return code.New(code.KeyMissing, "the route needs a key")
		}
		edge.Customer = edge.Routing.CustomerByKey(edge.Call.Key)
		if edge.Customer == nil {
			return code.New(code.KeyUnknown, "the key is not known")
		}
		if conn := callerguard.FromContext(r.HTTP.Context()); conn != nil {
			conn.Identify(edge.Customer.Name)
		}
		r.Customer = &config.Customer{ID: edge.Customer.Name, Class: edge.Route.Kind.String()}
		return next(ctx, r)
	}
}

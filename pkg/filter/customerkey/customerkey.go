// Package customerkey admits edge requests by the key that the configuration
// gives to a customer.
package customerkey

import (
	"context"

	"github.com/fescuestep/fescuestep/pkg/chain"
	"github.com/fescuestep/fescuestep/pkg/code"
	"github.com/fescuestep/fescuestep/pkg/config"
)

// Filter admits requests.
type Filter struct{}

// Name implements chain.Filter.
func (Filter) Name() string { return "customerkey" }

// Wrap implements chain.Filter.
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
		r.Customer = &config.Customer{ID: edge.Customer.Name, Class: edge.Route.Kind.String()}
		return next(ctx, r)
	}
}

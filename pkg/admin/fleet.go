package admin

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

	"github.com/fescuestep/fescuestep/pkg/controller/orders"
	"github.com/fescuestep/fescuestep/pkg/external"
	"github.com/fescuestep/fescuestep/pkg/metrics"
	"github.com/fescuestep/fescuestep/pkg/order"
	"github.com/fescuestep/fescuestep/pkg/upstream"
	"github.com/fescuestep/fescuestep/rpc/admin"
)

// Bounds on a list of orders and on the texts of a finding.
const (
	defaultPage = 100
	maxPage     = 1000
	maxBy       = 200  // bytes
	maxNote     = 2000 // bytes; a note is kept in one table row
)

// Upstreams returns the status of the upstreams.
func (s *Service) Upstreams(_ context.Context, req *admin.UpstreamsRequest) (*admin.UpstreamsResponse, error) {
	resp := &admin.UpstreamsResponse{}
	for _, u := range s.o.Pools.Status() {
		if req.Pool == "" || u.Pool == req.Pool {
			resp.Upstreams = append(resp.Upstreams, upstreamOf(u))
		}
	}
	slices.SortFunc(resp.Upstreams, func(a, b *admin.Upstream) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Id, b.Id))
	})
	return resp, nil
}

func upstreamOf(u upstream.Status) *admin.Upstream {
	return &admin.Upstream{
		Id:             u.ID,
		Pool:           u.Pool,
		Addr:           u.Addr,
		Domain:         u.Domain,
		State:          string(u.State),
		Incarnation:    u.Incarnation,
		Weights:        u.Weights,
		InFlight:       int64(u.InFlight),
		Total:          int64(u.Total),
		QueueWaitMs:    u.QueueWait.Milliseconds(),
		CachedBlocks:   int64(u.Blocks),
		CacheUncertain: u.Uncertain,
	}
}

// UnresolvedOrders returns a page of the orders whose outcome is not known.
func (s *Service) UnresolvedOrders(ctx context.Context, req *admin.UnresolvedOrdersRequest) (*admin.UnresolvedOrdersResponse, error) {
	limit := int(cmp.Or(req.Limit, defaultPage))
	if limit < 0 || limit > maxPage {
		return nil, twirp.InvalidArgument.Errorf("limit must be between 0 and %d", maxPage)
	}
	list, err := s.o.Orders.Unresolved(ctx, limit)
	if err != nil {
		return nil, twirp.Unavailable.Errorf("the orders could not be read: %w", err)
	}
	if s.o.Metrics != nil {
		s.o.Metrics.UnresolvedOrders(len(list))
	}
	resp := &admin.UnresolvedOrdersResponse{}
	for _, o := range list {
		resp.Orders = append(resp.Orders, &admin.Order{
			Reference: o.Reference,
			State:     string(o.State),
			Owner:     o.Owner,
			Claimed:   o.Claimed.UTC().Format(time.RFC3339),
		})
	}
	return resp, nil
}

// ResolveOrder records the outcome of an order, as an operator found it out.
func (s *Service) ResolveOrder(ctx context.Context, req *admin.ResolveOrderRequest) (*admin.ResolveOrderResponse, error) {
	switch {
	case req.Reference == "":
		return nil, twirp.RequiredArgumentError("reference")
	case req.By == "":
		return nil, twirp.RequiredArgumentError("by")
	case req.Finding != admin.Finding_RAN && req.Finding != admin.Finding_DID_NOT_RUN:
		return nil, twirp.InvalidArgument.Error("finding must be RAN or DID_NOT_RUN")
	case len(req.By) > maxBy || len(req.Note) > maxNote:
		return nil, twirp.InvalidArgument.Errorf("by has at most %d bytes and note %d", maxBy, maxNote)
	}
	err := s.o.Orders.Resolve(ctx, req.Reference, req.Finding == admin.Finding_RAN, req.By, req.Note)
	s.count(metrics.ResolveOrder, err)
	if err != nil {
		return nil, resolveError(req.Reference, err)
	}
	s.o.Log.Info("order resolved", "reference", req.Reference, "finding", req.Finding.String(), "by", req.By)
	return &admin.ResolveOrderResponse{}, nil
}

func resolveError(reference string, err error) error {
	switch {
	case errors.Is(err, orders.ErrUnknownReference):
		return twirp.NotFound.Errorf("no order has the reference %q", reference)
	case errors.Is(err, order.ErrStillRunning):
		return twirp.FailedPrecondition.Errorf("order %q may still be running; nothing was changed: %w", reference, err)
	case errors.Is(err, order.ErrOutcomeKnown):
		return twirp.FailedPrecondition.Errorf("order %q is not unresolved; nothing was changed: %w", reference, err)
	case errors.Is(err, external.ErrConflict):
		return twirp.Aborted.Errorf("order %q was changed at the same time; nothing was recorded. Look at it again.", reference)
	case errors.Is(err, external.ErrUnavailable):
		return twirp.Unavailable.Error("The table service did not take the finding; nothing was recorded. Repeat the command.")
	}
	return twirp.Unavailable.Errorf("it is not known whether the finding was recorded, look at the list: %w", err)
}

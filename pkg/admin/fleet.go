package admin

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

	"github.com/fescuestep/fescuestep/pkg/platform"
	"github.com/fescuestep/fescuestep/rpc/admin"
)

// ErrNotUnresolved is returned by Orders.Resolve for an order whose outcome is
// not unknown, for example because another operator resolved it first.
var ErrNotUnresolved = errors.New("the order is not unresolved")

// Bounds on one page of orders and on a note.
const (
	defaultPage = 100
	maxPage     = 1000
	maxNote     = 2000 // bytes; a note is kept in one table row
)

// Upstreams implements admin.Admin.
func (s *Service) Upstreams(_ context.Context, req *admin.UpstreamsRequest) (*admin.UpstreamsResponse, error) {
	resp := &admin.UpstreamsResponse{}
	for _, u := range s.Options.Upstreams.UpstreamStatus() {
		if req.Pool == "" || u.Pool == req.Pool {
			resp.Upstreams = append(resp.Upstreams, upstreamOf(u))
		}
	}
	slices.SortFunc(resp.Upstreams, func(a, b *admin.Upstream) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Id, b.Id))
	})
	return resp, nil
}

func upstreamOf(u Upstream) *admin.Upstream {
	out := &admin.Upstream{
		Id:           u.ID,
		Pool:         u.Pool,
		Addr:         u.Addr,
		Domain:       u.Domain,
		State:        u.State,
		Incarnation:  u.Incarnation,
		Weights:      u.Weights,
		InFlight:     int64(u.InFlight),
		Running:      int64(u.Running),
		Waiting:      int64(u.Waiting),
		CachedBlocks: int64(u.CachedBlocks),
		ReportAgeMs:  -1,
	}
	if u.ReportAge >= 0 {
		out.ReportAgeMs = u.ReportAge.Milliseconds()
	}
	return out
}

// UnresolvedOrders implements admin.Admin.
func (s *Service) UnresolvedOrders(ctx context.Context, req *admin.UnresolvedOrdersRequest) (*admin.UnresolvedOrdersResponse, error) {
	limit := int(cmp.Or(req.Limit, defaultPage))
	if limit < 0 || limit > maxPage {
		return nil, twirp.InvalidArgument.Errorf("limit must be between 0 and %d", maxPage)
	}
	orders, err := s.Orders.Unresolved(ctx, req.After, limit)
	if err != nil {
		return nil, twirp.Unavailable.Errorf("the orders could not be read: %w", err)
	}
	resp := &admin.UnresolvedOrdersResponse{}
	for _, o := range orders {
		resp.Orders = append(resp.Orders, &admin.Order{
			Reference:   o.Reference,
			Space:       o.Space,
			Customer:    o.Customer,
			Application: o.Application,
			Call:        o.Call,
			Owner:       o.Owner,
			Claimed:     o.Claimed.UTC().Format(time.RFC3339),
		})
	}
	return resp, nil
}

// ResolveOrder implements admin.Admin.
func (s *Service) ResolveOrder(ctx context.Context, req *admin.ResolveOrderRequest) (*admin.ResolveOrderResponse, error) {
	switch {
	case req.Reference == "":
		return nil, twirp.RequiredArgumentError("reference")
	case req.Finding != admin.Finding_RAN && req.Finding != admin.Finding_DID_NOT_RUN:
		return nil, twirp.InvalidArgument.Error("finding must be RAN or DID_NOT_RUN")
	case len(req.Note) > maxNote:
		return nil, twirp.InvalidArgument.Errorf("note is longer than %d bytes", maxNote)
	}
	err := s.Orders.Resolve(ctx, req.Reference, req.Finding == admin.Finding_RAN, req.Note)
	if err != nil {
		return nil, resolveError(req.Reference, err)
	}
	s.Log.Info("order resolved", "reference", req.Reference, "finding", req.Finding.String())
	return &admin.ResolveOrderResponse{}, nil
}

func resolveError(reference string, err error) error {
	switch {
	case errors.Is(err, ErrNotUnresolved):
		return twirp.FailedPrecondition.Errorf("order %q is not known, still running or resolved already; nothing was changed", reference)
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, platform.ErrConflict):
		return twirp.Unavailable.Error("The table service did not take the finding; nothing was changed. Repeat the command.")
	}
	return twirp.Unavailable.Errorf("it is not known whether the finding was recorded, look at the list: %w", err)
}

package admin

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/keys"
	"github.com/fescuestep/fescuestep/pkg/metrics"
	"github.com/fescuestep/fescuestep/pkg/suggest"
	"github.com/fescuestep/fescuestep/rpc/admin"
)

// CreateKey creates an API key of a customer and returns its secret.
func (s *Service) CreateKey(ctx context.Context, req *admin.CreateKeyRequest) (*admin.CreateKeyResponse, error) {
	secret, key := keys.Create(req.Customer, req.Team, time.Now())
	lastKnown := false
	revision, err := s.o.Publisher.Propose(ctx, func(newest *config.Snapshot) (config.Change, error) {
		if err := checkOwner(newest, req.Customer, req.Team); err != nil {
			return config.Change{}, err
		}
		lastKnown = servesLastKnown(newest.Customer(req.Customer))
		created := key
		return config.Change{Key: &created}, nil
	})
	s.count(metrics.CreateKey, err)
	if err != nil {
		return nil, proposeError(err)
	}
	s.o.Log.Info("key created", "key", key.ID, "customer", key.Customer, "revision", revision)
	return &admin.CreateKeyResponse{
		Secret: secret,
		Key:    keyOf(&key),
		Status: s.wait(ctx, revision, lastKnown),
	}, nil
}

func checkOwner(s *config.Snapshot, customer, team string) error {
	c := s.Customer(customer)
	if c == nil {
		closest := suggest.DidYouMean(suggest.Closest(customer, customerIDs(s)))
		return refusal{twirp.InvalidArgument.Errorf("no customer is named %q. %s", customer, closest)}
	}
	if team != "" && !slices.Contains(c.Teams, team) {
		closest := suggest.DidYouMean(suggest.Closest(team, c.Teams))
		return refusal{twirp.InvalidArgument.Errorf("customer %q has no team named %q. %s", customer, team, closest)}
	}
	return nil
}

func customerIDs(s *config.Snapshot) (ids []string) {
	for _, d := range s.Deployments {
		for i := range d.Customers {
			ids = append(ids, d.Customers[i].ID)
		}
	}
	slices.Sort(ids)
	return ids
}

// RevokeKey implements admin.Admin. A key that is already revoked still waits
// until its revocation is in force.
func (s *Service) RevokeKey(ctx context.Context, req *admin.RevokeKeyRequest) (*admin.RevokeKeyResponse, error) {
	var newestRevision uint64
	lastKnown := false
	revision, err := s.o.Publisher.Propose(ctx, func(newest *config.Snapshot) (config.Change, error) {
		key := newest.KeyByID(req.Id)
		if key == nil {
			return config.Change{}, refusal{twirp.NotFound.Errorf("no key has the ID %q", req.Id)}
		}
		newestRevision = newest.Revision
		lastKnown = servesLastKnown(newest.Customer(key.Customer))
		if key.Revoked {
			return config.Change{}, errUnchanged
		}
		revoked := *key
		revoked.Revoked = true
		return config.Change{Key: &revoked}, nil
	})
	unchanged := errors.Is(err, errUnchanged)
	if !unchanged {
		s.count(metrics.RevokeKey, err)
	}
	if err != nil && !unchanged {
		return nil, proposeError(err)
	}
	if unchanged {
		revision = newestRevision
	} else {
		s.o.Log.Info("key revoked", "key", req.Id, "revision", revision)
	}
	return &admin.RevokeKeyResponse{Status: s.wait(ctx, revision, lastKnown), Unchanged: unchanged}, nil
}

// ListKeys returns the API keys without their secrets.
func (s *Service) ListKeys(_ context.Context, req *admin.ListKeysRequest) (*admin.ListKeysResponse, error) {
	resp := &admin.ListKeysResponse{}
	for _, k := range s.o.State.Snapshot().Keys {
		if req.Customer == "" || k.Customer == req.Customer {
			resp.Keys = append(resp.Keys, keyOf(k))
		}
	}
	slices.SortFunc(resp.Keys, func(a, b *admin.Key) int {
		return cmp.Or(cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.Id, b.Id))
	})
	return resp, nil
}

func keyOf(k *config.Key) *admin.Key {
	return &admin.Key{
		Id:       k.ID,
		Customer: k.Customer,
		Team:     k.Team,
		Created:  k.Created.Format(time.RFC3339),
		Revoked:  k.Revoked,
	}
}

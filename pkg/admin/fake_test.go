package admin

import (
	"bytes"
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/fescuestep/fescuestep/examples"
	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/controller/orders"
	"github.com/fescuestep/fescuestep/pkg/order"
	"github.com/fescuestep/fescuestep/pkg/questionnaire"
	"github.com/fescuestep/fescuestep/pkg/upstream"
)

// fleet is State, Publisher, Pools and Orders in memory.
type fleet struct {
	mu        sync.Mutex
	snapshot  *config.Snapshot
	conflicts int   // Propose calls build this many times more
	err       error // of Propose, after build
	progress  func() (bool, []string, error)
	resolved  map[string]bool
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	d, err := questionnaire.Build(examples.UCAB)
	if err != nil {
		t.Fatal(err)
	}
	return &fleet{
		snapshot: config.Restore(7, []*config.Deployment{d}, nil, config.Membership{Members: []config.Member{{ID: "r1"}, {ID: "r2"}}}),
		progress: func() (bool, []string, error) { return true, nil, nil },
		resolved: map[string]bool{},
	}
}

func (f *fleet) Snapshot() *config.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.snapshot
}

func (f *fleet) Fresh() bool { return true }

func (f *fleet) Propose(_ context.Context, build func(*config.Snapshot) (config.Change, error)) (uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for range f.conflicts {
		if _, err := build(f.snapshot); err != nil {
			return 0, err
		}
	}
	change, err := build(f.snapshot)
	if err == nil {
		err = f.err
	}
	if err != nil {
		return 0, err
	}
	change.Revision = f.snapshot.Revision + 1
	f.snapshot, err = f.snapshot.Apply(change)
	return change.Revision, err
}

func (f *fleet) Progress(context.Context, uint64) (bool, []string, error) { return f.progress() }

func (f *fleet) Status() []upstream.Status {
	return []upstream.Status{
		{ID: "u2", Pool: "plume", State: upstream.StateLive, QueueWait: 1500 * time.Millisecond},
		{ID: "u1", Pool: "plume", State: upstream.StateEjected},
		{ID: "a1", Pool: "atelier", State: upstream.StateLive},
	}
}

func (f *fleet) Unresolved(_ context.Context, limit int) ([]orders.Unresolved, error) {
	list := []orders.Unresolved{{Reference: "o1"}, {Reference: "o2"}, {Reference: "o3"}}
	return list[:min(limit, len(list))], nil
}

func (f *fleet) Resolve(_ context.Context, reference string, ran bool, _, _ string) error {
	if reference == "o4" {
		return orders.ErrUnknownReference
	}
	if _, ok := f.resolved[reference]; ok {
		return errors.Wrap(order.ErrOutcomeKnown, "its state is ran")
	}
	f.resolved[reference] = ran
	return nil
}

func newService(f *fleet, log *bytes.Buffer) *Service {
	o := Options{State: f, Publisher: f, Pools: f, Orders: f, Wait: 2 * time.Second}
	if log != nil {
		o.Log = hclog.New(&hclog.LoggerOptions{Output: log, Level: hclog.Trace})
	}
	return New(o)
}

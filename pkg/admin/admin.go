// Package admin implements the administration service: operators apply
// questionnaires, create and revoke keys and look into the fleet.
package admin

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/controller/orders"
	"github.com/fescuestep/fescuestep/pkg/metrics"
	"github.com/fescuestep/fescuestep/pkg/upstream"
)

// State is the configuration that this instance holds.
type State interface {
	Snapshot() *config.Snapshot // never nil
	Fresh() bool                // keyed requests are served now
}

// Publisher commits changes.
type Publisher interface {
	// Propose reads the newest snapshot, calls build and commits the change it
	// returns; build is called again after a conflict. An error of build is
	// returned wrapped or as it is and nothing is committed.
	Propose(ctx context.Context, build func(*config.Snapshot) (config.Change, error)) (revision uint64, err error)
	// Progress reports whether the revision is accepted and which members have
	// not confirmed it; after acceptance these are the ones that are cut off.
	Progress(ctx context.Context, revision uint64) (accepted bool, pending []string, err error)
}

// Pools reports what this instance knows about upstreams
// (*upstream.Pools).
type Pools interface {
	Status() []upstream.Status
}

// Orders lists and resolves orders whose outcome is unknown
// (*orders.Service).
type Orders interface {
	// Unresolved returns up to limit orders by reference.
	Unresolved(ctx context.Context, limit int) ([]orders.Unresolved, error)
	// Resolve records a finding. It returns orders.ErrUnknownReference,
	// order.ErrOutcomeKnown, order.ErrStillRunning or an error of the table.
	Resolve(ctx context.Context, reference string, ran bool, by, note string) error
}

// Options are the parts and bounds of a Service. All fields but Metrics and
// Log are required.
type Options struct {
	State     State
	Publisher Publisher
	Pools     Pools
	Orders    Orders
	Wait      time.Duration    // longest wait for a change to be in force
	Metrics   *metrics.Metrics // nil: none
	Log       hclog.Logger     // state changes; nil: none
}

// DefaultWait is twice the 4 s within which a change is in force when the
// fleet is healthy.
const DefaultWait = 8 * time.Second

// pollInterval is shorter than the 250 ms at which relays read the table, so
// that waiting adds little to the time a change takes.
const pollInterval = 100 * time.Millisecond

// Service implements the Twirp service.
type Service struct {
	o Options
}

// New returns the service.
func New(o Options) *Service {
	if o.Log == nil {
		o.Log = hclog.NewNullLogger()
	}
	return &Service{o}
}

// count counts a change by an operator.
func (s *Service) count(c metrics.Change, err error) {
	if s.o.Metrics == nil {
		return
	}
	if err != nil {
		s.o.Metrics.AdminChange(c, metrics.Failure)
		return
	}
	s.o.Metrics.AdminChange(c, metrics.OK)
}

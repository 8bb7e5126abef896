// Package admin implements the administration service: operators apply
// questionnaires, create and revoke keys and look into the fleet.
package admin

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/fescuestep/fescuestep/pkg/config"
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
	// not confirmed it.
	Progress(ctx context.Context, revision uint64) (accepted bool, pending []string, err error)
}

// UpstreamStatus reports what this instance knows about upstreams.
type UpstreamStatus interface {
	UpstreamStatus() []Upstream
}

// Upstream is the status of one upstream.
type Upstream struct {
	ID           string
	Pool         string
	Addr         string // IP:port
	Domain       string // failure domain
	State        string // live, leaving, ejected or slow_start
	Incarnation  string
	Weights      string // version loaded
	InFlight     int    // requests of this instance
	Running      int    // as reported
	Waiting      int    // as reported
	CachedBlocks int
	ReportAge    time.Duration // negative: no report
}

// Orders lists and resolves orders whose outcome is unknown.
type Orders interface {
	// Unresolved returns up to limit orders by reference, after the given one.
	Unresolved(ctx context.Context, after string, limit int) ([]Order, error)
	// Resolve records a finding. It returns ErrNotUnresolved when the order is
	// not known, still running or resolved already.
	Resolve(ctx context.Context, reference string, ran bool, note string) error
}

// Order is an order whose outcome is unknown.
type Order struct {
	Reference   string
	Space       string // order space
	Customer    string
	Application string
	Call        string // method and path
	Owner       string // instance that claimed it
	Claimed     time.Time
}

// Options are the parts and bounds of a Service. All fields but Log are
// required.
type Options struct {
	State     State
	Publisher Publisher
	Upstreams UpstreamStatus
	Orders    Orders
	Wait      time.Duration // longest wait for a change to be in force
	Log       hclog.Logger  // state changes; nil: none
}

// DefaultWait is twice the 4 s within which a change is in force when the
// fleet is healthy.
const DefaultWait = 8 * time.Second

// pollInterval is shorter than the 250 ms at which relays read the table, so
// that waiting adds little to the time a change takes.
const pollInterval = 100 * time.Millisecond

// Service implements the Twirp service.
type Service struct {
	Options
}

// New returns the service.
func New(o Options) *Service {
	if o.Log == nil {
		o.Log = hclog.NewNullLogger()
	}
	return &Service{o}
}

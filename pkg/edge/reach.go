package edge

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/fescuestep/fescuestep/pkg/fleet"
	"github.com/fescuestep/fescuestep/pkg/httpconn"
	"github.com/fescuestep/fescuestep/pkg/reach"
)

// reachability wraps a reach.Tracker for concurrent use and probes upstreams while this
// instance may be cut off from a service. It implements dispatch.Reachability.
type reachability struct {
	log   hclog.Logger
	now   func() time.Time
	conns *httpconn.ConnPool
	view  func() *fleet.View
	wake  chan struct{} // requests a round of probes

	helpers      func(service string) []string                 // addresses of other instances that reach a service
	helpersNamed func(service string, names []string) []string // those of some instances
	onChange     func()                                        // called when this instance is cut off from a service, or is not any more

	mu       sync.Mutex
	tracker  *reach.Tracker
	cutOffAt map[string]time.Time // by service
	doubted  map[string]bool      // services to probe once, since the instance is cut off from another one
}

const (
	// probeInterval is the pause between two rounds of probes.
	probeInterval = 250 * time.Millisecond
	// probeTimeout is the connect timeout of a probe. Upstreams are a few milliseconds away.
	probeTimeout = 300 * time.Millisecond
)

func newReachability(conns *httpconn.ConnPool, view func() *fleet.View, log hclog.Logger, now func() time.Time) *reachability {
	return &reachability{
		log: log, now: now, conns: conns, view: view, wake: make(chan struct{}, 1),
		helpers: func(string) []string { return nil }, helpersNamed: func(string, []string) []string { return nil }, onChange: func() {},
		tracker: reach.New(), cutOffAt: map[string]time.Time{}, doubted: map[string]bool{},
	}
}

// Opened records that a connection to an upstream of a service was opened.
func (r *reachability) Opened(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.doubted, service)
	if !r.tracker.Opened(service) {
		return
	}
	r.log.Info("upstreams of a service can be reached again", "service", service, "after", r.now().Sub(r.cutOffAt[service]).String())
	delete(r.cutOffAt, service)
	r.onChange()
}

// Failed records that no connection to an upstream could be opened.
func (r *reachability) Failed(u *fleet.Upstream) {
	listed := usableIDs(r.view(), u.Service)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tracker.Failed(u.Service, u.ID)
	if r.tracker.Suspected(u.Service, listed) {
		r.requestProbes()
	}
}

// probesFailed records that a round of probes has opened no connection to a service.
func (r *reachability) probesFailed(service string) {
	view := r.view()
	listed := usableIDs(view, service)
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.tracker.ProbesFailed(service, listed) {
		return
	}
	r.log.Warn("no upstream of a service can be reached", "service", service, "listed", len(listed))
	r.cutOffAt[service] = r.now()
	r.doubtOthers(view, service)
	r.onChange()
}

// CutOff reports whether this instance reaches no upstream of a service.
func (r *reachability) CutOff(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tracker.CutOff(service)
}

// Helpers returns the addresses of other instances that reach the upstreams of a service.
func (r *reachability) Helpers(service string) []string { return r.helpers(service) }

// HelpersNamed returns the addresses of those of the named instances that reach the
// upstreams of a service.
func (r *reachability) HelpersNamed(service string, names []string) []string {
	return r.helpersNamed(service, names)
}

// cutOffServices returns the services from which this instance is cut off.
func (r *reachability) cutOffServices() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tracker.CutOffServices()
}

// doubtOthers has the other services probed. The caller holds mu.
func (r *reachability) doubtOthers(view *fleet.View, cutOff string) {
	for _, u := range view.All() {
		if u.Service != cutOff {
			r.doubted[u.Service] = true
		}
	}
}

func (r *reachability) requestProbes() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// run probes upstreams of suspected services until ctx ends.
func (r *reachability) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		}
		for targets := r.targets(); len(targets) > 0 && ctx.Err() == nil; targets = r.targets() {
			r.probe(ctx, targets)
			sleep(ctx, probeInterval)
		}
	}
}

// targets returns the upstreams for one round of probes.
func (r *reachability) targets() []*fleet.Upstream {
	view := r.view()
	r.mu.Lock()
	defer r.mu.Unlock()
	services := map[string]bool{}
	for _, u := range view.All() {
		services[u.Service] = true
	}
	var out []*fleet.Upstream
	for service := range services {
		listed := usableIDs(view, service)
		if !r.doubted[service] && !r.tracker.Suspected(service, listed) {
			continue
		}
		delete(r.doubted, service)
		for _, id := range r.tracker.Probes(service, listed, rand.IntN) {
			out = append(out, view.ByID(id))
		}
	}
	return out
}

// probe opens a connection to each target, which requests may use later.
func (r *reachability) probe(ctx context.Context, targets []*fleet.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	opened := make([]bool, len(targets))
	var wg sync.WaitGroup
	for i, u := range targets {
		wg.Go(func() { opened[i] = r.probeOne(ctx, u) })
	}
	wg.Wait()
	reached := map[string]bool{}
	for i, u := range targets {
		reached[u.Service] = reached[u.Service] || opened[i]
	}
	for service, ok := range reached {
		if !ok {
			r.probesFailed(service)
		}
	}
}

func (r *reachability) probeOne(ctx context.Context, u *fleet.Upstream) (opened bool) {
	conn, err := r.conns.Get(ctx, u.Addr, 0)
	if err != nil {
		r.Failed(u)
		return false
	}
	r.conns.Put(u.Addr, conn, 0)
	r.Opened(u.Service)
	return true
}

// usableIDs returns the IDs of the upstreams of a service that may get requests.
func usableIDs(view *fleet.View, service string) []string {
	var out []string
	for _, u := range view.ByService(service) {
		if !u.Draining {
			out = append(out, u.ID)
		}
	}
	return out
}

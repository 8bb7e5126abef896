package edge

import (
	"github.com/fescuestep/fescuestep/pkg/configcheck"
	"github.com/fescuestep/fescuestep/pkg/fleet"
	"github.com/fescuestep/fescuestep/pkg/routing"
	"github.com/fescuestep/fescuestep/pkg/state"
)

// EraChanged implements state.Sink. It drops the leader lease, and registers this
// instance again if the store came back from an older copy.
func (i *Instance) EraChanged(era uint64) {
	i.rollouts.observeEra(era)
	if i.eraSeen.Swap(true) {
		i.deps.Log.Warn("store came back from an older copy", "era", era)
		i.peers.storeRestored()
		i.versionRows.writeAgain()
		i.crashRows.writeAgain()
		i.releases.storeRestored()
	}
	i.peers.announceState()
}

// ConfigChanged implements state.Sink. It applies rates, connection limits and
// routes of the new configuration.
func (i *Instance) ConfigChanged(s *routing.Snapshot) {
	defer i.peers.announceState()
	now := i.now()
	i.configuredAt.CompareAndSwap(nil, &now)
	i.limiter.configure(s)
	i.logFindings(s)
	for _, c := range s.Customers() {
		i.deps.Log.Debug("customer limit", "config", s.Version, "customer", c.Name, "rate", c.Rate, "burst", c.Burst)
	}
	i.listener.setLimits(s.Limits)
	i.forwards.setLimits(s.Limits)
	i.streams.setRoutes(s)
	i.snapshot.Store(s)
}

// maxLoggedFindings bounds the log lines per configuration.
const maxLoggedFindings = 10

// logFindings logs the mistakes in a configuration, which is adopted nevertheless: only
// what can be served is concerned by them.
func (i *Instance) logFindings(s *routing.Snapshot) {
	findings := configcheck.Check(s.Config())
	for _, f := range findings[:min(len(findings), maxLoggedFindings)] {
		i.deps.Log.Warn("mistake in the configuration", "config", s.Version, "severity", f.Severity.String(), "entry", f.Entry, "finding", f.Message)
	}
	if more := len(findings) - maxLoggedFindings; more > 0 {
		i.deps.Log.Warn("further mistakes in the configuration", "config", s.Version, "count", more)
	}
}

// WeightsTargetChanged implements state.Sink. Requests may start on older weights
// until WeightsDeadline after the target was set, which may have been while this instance
// was away from the store or stood still.
func (i *Instance) WeightsTargetChanged(w state.WeightsTarget) {
	since := i.pauses.earliest()
	if w.Recent && !w.NotBefore.IsZero() && w.NotBefore.Before(since) {
		since = w.NotBefore
	}
	if !w.Recent {
		// The target may have been set at any time in the past. The deadline is
		// StartupGrace from now, so that an instance that has just started has time
		// to settle.
		since = i.now().Add(i.options.StartupGrace - i.options.WeightsDeadline)
	}
	i.placer.setTargetVersion(w.Model, w.Version, since)
	i.rollouts.requestCheck()
	i.peers.announceState()
}

// UpstreamsChanged implements state.Sink. It replaces the upstreams that requests
// can be sent to.
func (i *Instance) UpstreamsChanged(v *fleet.View) {
	i.placer.setView(v)
	i.peers.requestSum()
	i.rollouts.requestCheck()
	i.streams.setServing(v)
	i.releases.setView(v)
	i.peers.announceState()
	i.deps.Log.Info("upstreams changed", "count", v.Len())
}

// ReleaseRequested hands an operator's request for a rollout to the state of rollouts.
func (i *Instance) ReleaseRequested(r state.ReleaseRequest) { i.releases.request(r) }

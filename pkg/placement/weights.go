package placement

import (
	"slices"
	"time"

	"github.com/fescuestep/fescuestep/pkg/fleet"
)

// dropUnconfirmedWeights discards inferred versions, which a newer listing supersedes.
func (s *upstreamState) dropUnconfirmedWeights() {
	for model, observed := range s.weights {
		if !observed.confirmed {
			delete(s.weights, model)
		}
	}
}

// SetTargetVersion sets the version that a model's weights must reach and reports
// whether it is new. Versions up to the highest known one are ignored.
func (b *Balancer) SetTargetVersion(model string, version int, now time.Time) bool {
	list := b.targets[model]
	if len(list) > 0 && version <= list[len(list)-1].version {
		return false
	}
	list = append(b.currentTargets(list, now), targetVersion{version: version, setAt: now})
	if len(list) > maxTargets {
		list[1].setAt = list[0].setAt // weights below the first one must still be left in time
		list = list[1:]
	}
	b.targets[model] = list
	return true
}

// currentTargets drops the targets before the newest one since which OldWeightsPeriod has
// passed: no request may start on weights below that one.
func (b *Balancer) currentTargets(list []targetVersion, now time.Time) []targetVersion {
	for i, target := range slices.Backward(list) {
		if now.Sub(target.setAt) >= b.cfg.OldWeightsPeriod {
			return list[i:]
		}
	}
	return list
}

// TargetVersion returns the version that a model's weights must reach, or 0 if none
// was set.
func (b *Balancer) TargetVersion(model string) int {
	list := b.targets[model]
	if len(list) == 0 {
		return 0
	}
	return list[len(list)-1].version
}

// nextTarget returns the lowest target version above the given one.
func (b *Balancer) nextTarget(model string, version int) (targetVersion, bool) {
	for _, target := range b.targets[model] {
		if target.version > version {
			return target, true
		}
	}
	return targetVersion{}, false
}

// WeightsVersion returns the version of a model's weights that an upstream has: the
// higher of the listed and the observed one, because versions only increase.
func (b *Balancer) WeightsVersion(u *fleet.Upstream, model string) int {
	version := u.Weights[model]
	if s := b.states[u.ID]; s != nil {
		version = max(version, s.weights[model].version)
	}
	return version
}

// RecordWeights records the version of a model's weights that an upstream, or the
// instance that ordered the load, reported. Versions below the listed or an earlier
// reported one are ignored.
func (b *Balancer) RecordWeights(id, model string, version int, now time.Time) {
	u := b.view.ByID(id)
	if u == nil {
		return
	}
	s := b.state(u)
	observed := s.weights[model]
	if observed.confirmed && version == observed.version {
		s.weights[model] = observedVersion{version, true, now}
		return
	}
	if version < u.Weights[model] || (observed.confirmed && version < observed.version) {
		return
	}
	b.setWeights(u, model, observedVersion{version, true, now})
}

// ExpireObservedWeights discards reported versions that are higher than the listed
// one if the listing changed more than fleet.MaxListingLag after the last report. An
// upstream goes back to older weights when it executes a delayed load order after a
// restart.
func (b *Balancer) ExpireObservedWeights(now time.Time) {
	if b.listingChanged {
		b.listingChangedAt, b.listingChanged = now, false
	}
	for id, s := range b.states {
		u := b.view.ByID(id)
		if u == nil {
			continue
		}
		for model, observed := range s.weights {
			if observed.confirmed && u.Weights[model] < observed.version && b.listingChangedAt.Sub(observed.observedAt) > fleet.MaxListingLag {
				delete(s.weights, model)
				b.prefixes.removeEngine(id)
			}
		}
	}
}

// RecordWeightsMismatch records that an upstream refused a request for a version of a
// model's weights. The upstream has loaded a later version, which is assumed to be the
// next target until the upstream reports one or the listing changes.
func (b *Balancer) RecordWeightsMismatch(id, model string, refused int) {
	u := b.view.ByID(id)
	if u == nil || b.WeightsVersion(u, model) != refused {
		return
	}
	if next, ok := b.nextTarget(model, refused); ok {
		b.setWeights(u, model, observedVersion{version: next.version})
	}
}

// setWeights replaces the observed version and removes the engine from the prefix
// index, because an engine that loads weights discards its cache.
func (b *Balancer) setWeights(u *fleet.Upstream, model string, observed observedVersion) {
	s := b.state(u)
	if s.weights == nil {
		s.weights = map[string]observedVersion{}
	}
	s.weights[model] = observed
	b.prefixes.removeEngine(u.ID)
}

// Package release decides how the traffic of a service moves to another version of its
// upstreams' software: which version a request goes to, how many requests the new version
// gets before it is accepted, whether it is worse than the old one, and when the old
// upstreams may be stopped. It does no I/O; callers pass in the current time.
package release

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Order is the operator's request that the traffic of a service moves to upstreams of a
// software version.
type Order struct {
	Service  string
	To       string        // version of the software; all others count as old
	Duration time.Duration // from the order until the rollout should be completed
}

const (
	maxNameBytes = 128
	maxDuration  = 24 * time.Hour
)

// Validate returns an error if the order cannot be carried out by any fleet.
func (o Order) Validate() error {
	switch {
	case o.Service == "" || len(o.Service) > maxNameBytes:
		return errors.Newf("the service %q is missing or longer than %d bytes", o.Service, maxNameBytes)
	case o.To == "" || len(o.To) > maxNameBytes:
		return errors.Newf("the version %q is missing or longer than %d bytes", o.To, maxNameBytes)
	case o.Duration <= 0 || o.Duration > maxDuration:
		return errors.Newf("the duration %s is not between 0 and %s", o.Duration, maxDuration)
	}
	return nil
}

// Phase is the progress of a rollout. Later phases replace earlier ones.
type Phase int

// Phases of a rollout.
const (
	Observing  Phase = iota // the new version gets a bounded share of the requests
	Shifting                // the share of the new version rises to all requests
	Closing                 // nothing is sent to the old version; what runs there ends
	RolledBack              // nothing is sent to the new version
	Completed               // the old upstreams may be stopped at any moment
)

// String returns the name used in logs and in the status row of the instances.
func (p Phase) String() string {
	names := [...]string{"observing", "shifting", "closing", "rolled_back", "completed"}
	if p < 0 || int(p) >= len(names) {
		return "unknown"
	}
	return names[p]
}

// PhaseOf returns the phase with a name. It returns false for an unknown name.
func PhaseOf(name string) (Phase, bool) {
	for p := Observing; p <= Completed; p++ {
		if p.String() == name {
			return p, true
		}
	}
	return 0, false
}

// Bounds are the limits that the platform sets for rollouts.
type Bounds struct {
	ExposureShare float64       // of the service's requests, that a bad version may get at most
	ExposureSlack int           // requests that it may get besides
	RollbackTime  time.Duration // from the 50th bad answer to the last request to the bad version
}

// DefaultBounds returns the bounds that hold if the platform states none.
func DefaultBounds() Bounds {
	return Bounds{ExposureShare: 0.1, ExposureSlack: 50, RollbackTime: 5 * time.Second}
}

// VerdictDelay returns about how long after it is clear that a version is bad all of n
// instances know it: evidence counts over a few slices, and instances tell it within 0.8 s
// and the time between two digests.
func VerdictDelay(n int) time.Duration {
	return 4*sliceTime + 800*time.Millisecond + time.Duration(n)*time.Millisecond
}

const (
	// spentShare is the part of the bounds on exposure that is granted. The goal is to
	// stay under half.
	spentShare = 0.45
	// PermitLife is how long after a statement of another instance this one may rely on
	// it to send requests to the old version. A takeover of the leader lease takes up to
	// 3.7 s, during which the old version must stay usable.
	PermitLife = 4 * time.Second
	// permitLead is how long before the earliest shift requests to the old version need a
	// permit. Instances may have learned of the order at times that far apart. Orders with
	// little time leave half of the time before the shift, so that permits are known by then.
	permitLead = 3 * time.Second
	// rampTime is how long the share of the new version takes to rise to all requests.
	rampTime = 3 * time.Second
	// closeMargin is added to the waiting times of the leader for messages on their way
	// and for clocks that run at different rates.
	closeMargin = time.Second
	// shiftReserve is the time from the begin of the shift to the completion if an
	// instance is silent and requests last for 10 s.
	shiftReserve = rampTime + PermitLife + 10*time.Second + 3*closeMargin
)

// shiftAfter returns how long after the order the shift begins at the earliest. Versions
// may turn bad late, so most of the time is spent with a bounded share.
func (o Order) shiftAfter() time.Duration {
	d := float64(o.Duration)
	return time.Duration(min(max(d*0.9-float64(shiftReserve), 0.35*d), 0.8*d))
}

// permitAfter returns how long after the order requests to the old version need a permit.
func (o Order) permitAfter() time.Duration {
	return max(o.shiftAfter()-permitLead, o.shiftAfter()/2)
}

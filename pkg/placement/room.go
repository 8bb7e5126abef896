package placement

import (
	"time"

	"github.com/fescuestep/fescuestep/pkg/concurrency"
	"github.com/fescuestep/fescuestep/pkg/fleet"
)

const (
	// durationWeight is the weight of one request in the mean duration of a service's.
	durationWeight = 0.05
	// defaultDuration is assumed until a request of the service has ended.
	defaultDuration = 100 * time.Millisecond
)

// newState returns the state of an upstream of which nothing is known beyond its listing.
func newState(u *fleet.Upstream) *upstreamState {
	var startedAt time.Time
	if u.StartTimeMS > 0 {
		startedAt = time.UnixMilli(u.StartTimeMS)
	}
	cfg := concurrency.PlainConfig(u.Slots)
	if len(u.Weights) > 0 {
		cfg = concurrency.EngineConfig(u.Slots)
	}
	return &upstreamState{startTimeMS: u.StartTimeMS, capacity: concurrency.NewTracker(cfg, startedAt)}
}

// Room returns the capacity of a service's upstreams for all instances together, without
// those that take no requests now.
func (b *Balancer) Room(service string, now time.Time) concurrency.Room {
	var room concurrency.Room
	duration := b.meanDuration(service)
	for _, u := range b.view.ByService(service) {
		s := b.state(u)
		if u.Draining || s.health.Ejected(now) || now.Before(b.unavailableUntil(u, now)) {
			continue
		}
		room.Add(s.capacity.Limit(now), s.own.Requests+s.peers.Requests, s.capacity.Stretch(now, duration))
	}
	return room
}

// meanDuration returns how long a request of a service occupies its upstream.
func (b *Balancer) meanDuration(service string) time.Duration {
	if d := b.durations[service]; d > 0 {
		return d
	}
	return defaultDuration
}

// recordDuration adds the duration of an attempt that ended to the mean of its service.
func (b *Balancer) recordDuration(a *Attempt, now time.Time) {
	d := max(0, now.Sub(a.sentAt))
	mean, ok := b.durations[a.Upstream.Service]
	if !ok {
		b.durations[a.Upstream.Service] = d
		return
	}
	b.durations[a.Upstream.Service] = mean + time.Duration(durationWeight*float64(d-mean))
}

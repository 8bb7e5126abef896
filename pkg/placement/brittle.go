package placement

import (
	"slices"
	"time"

	"github.com/fescuestep/fescuestep/pkg/fleet"
)

// brittleness is what the upstreams of a service state in their answers while they are
// brittle: one that refuses more than a number of requests in a second, for want of room,
// ends.
type brittleness struct {
	maxRefusals int // per second and upstream, from all instances together
	statedAt    time.Time
	room        learnedRoom // for upstreams that have refused none, such as one that has just started
}

const (
	// brittleMemory is how long a statement holds that is not received again. Only a
	// service that is asked for nothing says nothing for so long.
	brittleMemory = 10 * time.Minute
	// brittleEndTold is for how long instances tell that a statement has ended.
	brittleEndTold = time.Minute
	// refusedBusyTime is how long no requests are sent to an upstream that refused one for
	// lack of capacity.
	refusedBusyTime = 60 * time.Millisecond
	// brittleRefusalShare is the share of the refusals that a brittle upstream takes which
	// instances may cause by trying again. The rest is for requests that cross: instances
	// tell each other of a refusal within some milliseconds.
	brittleRefusalShare = 0.25
	// roomGrowth is the share of the learned room of a brittle upstream that is added per
	// second, at least one place. A refusal halves it.
	roomGrowth = 0.125
)

// RecordBrittle records that an upstream stated, in its answer to an attempt, that those
// of its service end if they refuse more than maxRefusals requests in a second.
func (b *Balancer) RecordBrittle(a *Attempt, maxRefusals int, now time.Time) (began bool) {
	known := b.brittle[a.Upstream.Service]
	if known == nil {
		known = &brittleness{}
		b.brittle[a.Upstream.Service] = known
		began = true
	}
	known.maxRefusals, known.statedAt = maxRefusals, now
	return began
}

// RecordNotBrittle records that an upstream stated nothing of that kind. Answers to
// requests that were sent before the last statement show nothing. It reports whether that
// ends the statement.
func (b *Balancer) RecordNotBrittle(a *Attempt, now time.Time) (ended bool) {
	known := b.brittle[a.Upstream.Service]
	if known == nil || !(a.sentAt.After(known.statedAt) || now.Sub(known.statedAt) > brittleMemory) {
		return false
	}
	delete(b.brittle, a.Upstream.Service)
	b.brittleEnded[a.Upstream.Service] = now
	return true
}

// BrittleStatement is a statement that an upstream and those of its service are brittle,
// as instances tell it.
type BrittleStatement struct {
	Upstream    string
	MaxRefusals int       // per second and upstream, from all instances together; 0: the upstreams are not brittle any more
	At          time.Time // when an instance last received it, or an answer without it
}

// BrittleStatements returns the statements that hold and those that have just ended, one
// per service.
func (b *Balancer) BrittleStatements(now time.Time) []BrittleStatement {
	var out []BrittleStatement
	for service, known := range b.brittle {
		if listed := b.view.ByService(service); len(listed) > 0 && now.Sub(known.statedAt) <= brittleMemory {
			out = append(out, BrittleStatement{listed[0].ID, known.maxRefusals, known.statedAt})
		}
	}
	for service, at := range b.brittleEnded {
		if listed := b.view.ByService(service); len(listed) > 0 && b.brittle[service] == nil && now.Sub(at) <= brittleEndTold {
			out = append(out, BrittleStatement{listed[0].ID, 0, at})
		}
	}
	return out
}

// AdoptBrittle takes over a statement that another instance has received, or its end: one
// without a place of its own may get no answer for long. One from before the end of the
// last statement is ignored.
func (b *Balancer) AdoptBrittle(s BrittleStatement, now time.Time) (began bool) {
	u := b.view.ByID(s.Upstream)
	if u == nil || now.Sub(s.At) > brittleMemory || !s.At.After(b.brittleEnded[u.Service]) {
		return false
	}
	known := b.brittle[u.Service]
	if s.MaxRefusals <= 0 {
		if known != nil && s.At.After(known.statedAt) {
			delete(b.brittle, u.Service)
			b.brittleEnded[u.Service] = s.At
		}
		return false
	}
	if known == nil {
		known = &brittleness{}
		b.brittle[u.Service] = known
		began = true
	}
	if s.At.After(known.statedAt) {
		known.maxRefusals, known.statedAt = s.MaxRefusals, s.At
	}
	return began
}

// learnedRoom is the share of its slots for which a brittle upstream is expected to have
// room, after a refusal.
type learnedRoom struct {
	share float64
	at    time.Time // zero: no refusal
}

// places returns for how many requests there is room at an upstream.
func (l learnedRoom) places(now time.Time, slots int) int {
	if l.at.IsZero() {
		return slots
	}
	atRefusal := max(1, l.share*float64(slots))
	perSecond := max(1, atRefusal*roomGrowth)
	return min(slots, int(atRefusal+perSecond*now.Sub(l.at).Seconds()))
}

// learn records a refusal by an upstream with room for so many requests.
func (l *learnedRoom) learn(places, slots int, now time.Time) {
	places = max(1, min(places, l.places(now, slots)))
	*l = learnedRoom{float64(places) / float64(slots), now}
}

// placesAt returns for how many requests a brittle upstream is expected to have room.
func (b *Balancer) placesAt(u *fleet.Upstream, known *brittleness, now time.Time) int {
	if s := b.state(u); !s.room.at.IsZero() {
		return s.room.places(now, u.Slots)
	}
	return known.room.places(now, u.Slots)
}

// hasPlace reports whether a request may be sent to an upstream without the risk that it
// is refused for want of room, if the upstream is brittle. Instances know of each other's
// requests late, so each keeps to its own places.
func (b *Balancer) hasPlace(u *fleet.Upstream, now time.Time) bool {
	known := b.brittle[u.Service]
	if known == nil || u.Slots <= 0 || now.Sub(known.statedAt) > brittleMemory {
		return true
	}
	return b.state(u).own.Requests < b.limits.OwnPlaces(u.ID, b.placesAt(u, known, now))
}

const (
	// maxPlaceOwners bounds the instances that are named for a request.
	maxPlaceOwners = 3
	// placeOwnerDraws is the number of places that are looked at to find them.
	placeOwnerDraws = 4 * maxPlaceOwners
)

// placeOwners returns other instances that have places at the brittle upstreams which
// could run a request, each as likely as it has places.
func (b *Balancer) placeOwners(now time.Time, q Query) []string {
	known := b.brittle[q.Service.Name]
	if known == nil {
		return nil
	}
	upstreams := slices.DeleteFunc(slices.Clone(b.view.ByService(q.Service.Name)), func(u *fleet.Upstream) bool {
		return u.Slots <= 0 || !b.available(now, u, q)
	})
	if len(upstreams) == 0 {
		return nil
	}
	var out []string
	for range placeOwnerDraws {
		u := upstreams[b.rng.IntN(len(upstreams))]
		places := b.placesAt(u, known, now)
		name := b.limits.PlaceOwner(u.ID, places, b.rng.IntN(places))
		if name != b.cfg.Instance && !slices.Contains(out, name) {
			out = append(out, name)
		}
		if len(out) == maxPlaceOwners {
			break
		}
	}
	return out
}

// Occupancy is what an instance knows of the requests at a brittle upstream.
type Occupancy struct {
	Own       int // requests of this instance
	Others    int // requests that the others have told
	Places    int // requests that it is expected to have room for
	OwnPlaces int // places that are this instance's
}

// Occupancy returns what is known of the requests at an upstream. It reports false if the
// upstream is not brittle.
func (b *Balancer) Occupancy(u *fleet.Upstream, now time.Time) (o Occupancy, brittle bool) {
	known := b.brittle[u.Service]
	if known == nil {
		return Occupancy{}, false
	}
	s := b.state(u)
	places := b.placesAt(u, known, now)
	return Occupancy{s.own.Requests, s.peers.Requests, places, b.limits.OwnPlaces(u.ID, places)}, true
}

// Refusal is what all instances must know of a request that a brittle upstream refused for
// want of room.
type Refusal struct {
	Upstream string
	Room     int           // requests that it is expected to have room for
	Hold     time.Duration // for which it gets none at all
}

// RecordRefusal keeps new requests away from an upstream that refused one for want of
// room. The others must be told if the upstream is brittle.
func (b *Balancer) RecordRefusal(u *fleet.Upstream, now time.Time) (r Refusal, tell bool) {
	known := b.brittle[u.Service]
	if known == nil {
		b.SetBusyUntil(u.ID, now.Add(refusedBusyTime))
		return Refusal{}, false
	}
	others := b.othersAtRefusal(u, known, now)
	r = Refusal{Upstream: u.ID, Room: max(1, others/2), Hold: refusedBusyTime}
	if others <= 1 {
		triesPerSecond := max(1, float64(known.maxRefusals)) * brittleRefusalShare
		r.Hold = max(refusedBusyTime, time.Duration(float64(time.Second)/triesPerSecond))
	}
	b.ApplyRefusal(r, now)
	return r, true
}

// othersAtRefusal returns how many requests are expected to be at an upstream beside one
// that it refused. Those of other instances are known late: they are taken to use their
// places as this instance uses its own.
func (b *Balancer) othersAtRefusal(u *fleet.Upstream, known *brittleness, now time.Time) int {
	s := b.state(u)
	places := b.placesAt(u, known, now)
	others := s.own.Requests + s.peers.Requests - 1
	if own := b.limits.OwnPlaces(u.ID, places); own > 0 {
		others = max(others, (s.own.Requests-1)*places/own)
	}
	return others
}

// ApplyRefusal records a refusal that this or another instance got. Instances try the
// upstream again one after the other.
func (b *Balancer) ApplyRefusal(r Refusal, now time.Time) {
	u := b.view.ByID(r.Upstream)
	if u == nil || r.Hold <= 0 {
		return
	}
	s := b.state(u)
	if known := b.brittle[u.Service]; known != nil && u.Slots > 0 {
		s.room.learn(min(r.Room, b.placesAt(u, known, now)), u.Slots, now)
		known.room.learn(r.Room, u.Slots, now)
	}
	until := now.Add(r.Hold + time.Duration(b.rng.Int64N(int64(r.Hold)/2+1)))
	if until.After(s.busyUntil) {
		s.busyUntil = until
	}
}

// Package fleet keeps the set of upstreams that the platform lists. It does no
// I/O, and callers pass in the current time.
package fleet

import (
	"sort"
	"time"

	"github.com/fescuestep/fescuestep/pkg/history"
)

// ReconnectGracePeriod is how long upstreams whose entries expired during an outage of
// the store stay listed after its first answer to any instance. A live upstream rewrites
// its entry within about two seconds.
const ReconnectGracePeriod = 2300 * time.Millisecond

// Upstream is one upstream as the platform lists it.
type Upstream struct {
	ID          string // of this entry; usually changes when the upstream restarts
	Service     string
	Addr        string // IP:port
	Domain      string // failure domain
	Slots       int    // maximum number of concurrent requests; 0 if unknown
	Draining    bool
	Software    string         // version of its software, not of weights; empty if unknown
	StartTimeMS int64          // since the Unix epoch, 0 if unknown; changes when the upstream restarts and keeps its ID
	Weights     map[string]int // version of the loaded weights by model
}

// View is an immutable snapshot of the listed upstreams.
type View struct {
	byID      map[string]*Upstream
	byService map[string][]*Upstream
}

// ByID returns the upstream with the ID, or nil if it is not listed.
func (v *View) ByID(id string) *Upstream { return v.byID[id] }

// ByService returns the upstreams of a service in the order of their IDs,
// including those that are draining.
func (v *View) ByService(name string) []*Upstream { return v.byService[name] }

// All returns all upstreams in no particular order.
func (v *View) All() []*Upstream {
	out := make([]*Upstream, 0, len(v.byID))
	for _, u := range v.byID {
		out = append(out, u)
	}
	return out
}

// Len returns the number of upstreams.
func (v *View) Len() int { return len(v.byID) }

// NewView returns a view of the given upstreams.
func NewView(list []*Upstream) *View {
	v := &View{byID: make(map[string]*Upstream, len(list)), byService: map[string][]*Upstream{}}
	for _, u := range list {
		v.byID[u.ID] = u
		v.byService[u.Service] = append(v.byService[u.Service], u)
	}
	for _, upstreams := range v.byService {
		sort.Slice(upstreams, func(i, j int) bool { return upstreams[i].ID < upstreams[j].ID })
	}
	return v
}

// Registry tracks the listed upstreams. It delays removals after the store was
// unreachable, and keeps upstreams that leave out of use, whatever an older copy of
// the store lists. It is not safe for concurrent use.
type Registry struct {
	listed          map[string]entry     // by ID
	pendingRemovals map[string]bool      // by ID: upstreams without an entry whose removal is deferred
	departures      map[string]Departure // by ID: the last known one
	outage          outage
	outdatedUntil   time.Time // until when entries may stem from a copy with which the store's era began
	restoredUntil   time.Time // until when the store may lack entries since it came back from a copy
}

// entry is a listed upstream and the position at which it was written.
type entry struct {
	listed *Upstream
	shown  *Upstream // listed, or a copy that is draining if the upstream has departed
	at     history.Position
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{listed: map[string]entry{}, pendingRemovals: map[string]bool{}, departures: map[string]Departure{}}
}

// StoreAnswered records that the store answered this or another instance, for any table,
// at a time. The first answer after an outage starts the grace period for removals. It
// reports whether that is so.
func (r *Registry) StoreAnswered(at time.Time) (returned bool) {
	return r.outage.answered(Uptime{at, at})
}

// StoreUp records a period in which the store answered another instance. If it covers the
// time in which calls of this instance failed, there was no outage, and removals are not
// deferred any more. It reports the same as StoreAnswered.
func (r *Registry) StoreUp(u Uptime) (returned bool) { return r.outage.answered(u) }

// StoreUptime returns the newest period in which the store is known to have answered.
func (r *Registry) StoreUptime() Uptime { return r.outage.uptime }

// StoreCallFailed records that a call of this instance to the store failed that began at a
// time.
func (r *Registry) StoreCallFailed(began time.Time) { r.outage.failed(began) }

// SetStoreLeftToOthers sets whether other instances follow the store for this one, so that
// deferred removals do not wait for an answer of the store.
func (r *Registry) SetStoreLeftToOthers(left bool) { r.outage.leftToOthers = left }

// MarkEraSeen records that an era of the store was seen for the first time. The store
// may just have come back from an older copy, which lists upstreams that have left
// since.
func (r *Registry) MarkEraSeen(now time.Time) { r.outdatedUntil = now.Add(outdatedEntryPeriod) }

// MarkStoreRestored records that the store came back from an older copy, in a new
// era. The copy lacks upstreams that have started since; they write their entries
// again.
func (r *Registry) MarkStoreRestored(now time.Time) {
	r.MarkEraSeen(now)
	r.restoredUntil = now.Add(ReconnectGracePeriod)
}

// GraceUntil returns the end of the last grace period for removals.
func (r *Registry) GraceUntil() time.Time {
	if r.restoredUntil.After(r.outage.graceUntil) {
		return r.restoredUntil
	}
	return r.outage.graceUntil
}

// Put adds or replaces an upstream that the store lists at a position, and cancels
// its pending removal. It reports whether the view changes.
func (r *Registry) Put(u *Upstream, at history.Position, now time.Time) bool {
	delete(r.pendingRemovals, u.ID)
	e := entry{u, u, at}
	switch {
	case r.departed(e, now):
		e.shown = u.asDraining()
	case u.Draining:
		r.recordListedDeparture(e.listed, at, now)
	case !r.departures[u.ID].Stated:
		delete(r.departures, u.ID) // it was listed again
	}
	old := r.listed[u.ID].shown
	r.listed[u.ID] = e
	return old == nil || !equal(old, e.shown)
}

func equal(a, b *Upstream) bool {
	if a.Service != b.Service || a.Addr != b.Addr || a.Domain != b.Domain || a.Slots != b.Slots ||
		a.Draining != b.Draining || a.Software != b.Software || a.StartTimeMS != b.StartTimeMS || len(a.Weights) != len(b.Weights) {
		return false
	}
	for model, version := range a.Weights {
		if b.Weights[model] != version {
			return false
		}
	}
	return true
}

// Remove removes an upstream whose entry was deleted at a position, and reports
// whether the view changes. Within ReconnectGracePeriod after an outage of the store, or
// after it came back from a copy, the removal is deferred to the end of that period unless
// the upstream was draining.
func (r *Registry) Remove(id string, at history.Position, now time.Time) bool {
	e, ok := r.listed[id]
	if !ok {
		return false
	}
	if !e.shown.Draining && now.Before(r.GraceUntil()) {
		r.pendingRemovals[id] = true
		return false
	}
	r.recordListedDeparture(e.listed, at, now)
	delete(r.listed, id)
	delete(r.pendingRemovals, id)
	return true
}

// Expire completes the deferred removals that are due, unless the store is
// unreachable, and forgets departures that no longer matter. It reports whether the
// view changes.
func (r *Registry) Expire(now time.Time) bool {
	r.expireDepartures(now)
	changed := r.showReturned(now)
	if r.outage.ongoing(now) || now.Before(r.GraceUntil()) {
		return changed
	}
	for id := range r.pendingRemovals {
		delete(r.listed, id)
		delete(r.pendingRemovals, id)
		changed = true
	}
	return changed
}

// Availability says whether an upstream is used for new requests.
type Availability int

// States of an upstream.
const (
	Absent Availability = iota
	Leaving
	InUse
	RemovalDeferred // in use although its entry was deleted
)

// Availability returns the state of an upstream and, for RemovalDeferred, when it is
// removed at the earliest.
func (r *Registry) Availability(id string) (state Availability, until time.Time) {
	e, ok := r.listed[id]
	switch {
	case !ok:
		return Absent, time.Time{}
	case e.shown.Draining:
		return Leaving, time.Time{}
	case r.pendingRemovals[id]:
		return RemovalDeferred, r.GraceUntil()
	}
	return InUse, time.Time{}
}

// View returns a snapshot of the current upstreams.
func (r *Registry) View() *View {
	list := make([]*Upstream, 0, len(r.listed))
	for _, e := range r.listed {
		list = append(list, e.shown)
	}
	return NewView(list)
}

// Package fleet keeps the set of upstreams that the platform lists. It does no
// I/O, and callers pass in the current time.
package fleet

import (
	"sort"
	"time"
)

// ReconnectGracePeriod is how long upstreams whose entries expired while the store
// was unreachable stay listed after it is reachable again. A live upstream
// rewrites its entry within about two seconds.
const ReconnectGracePeriod = 2300 * time.Millisecond

// Upstream is one upstream as the platform lists it.
type Upstream struct {
	ID          string // of this entry; usually changes when the upstream restarts
	Service     string
	Addr        string // IP:port
	Domain      string // failure domain
	Slots       int    // maximum number of concurrent requests; 0 if unknown
	Draining    bool
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

// Registry tracks the listed upstreams and delays removals after the store was
// unreachable. It is not safe for concurrent use.
type Registry struct {
	upstreams        map[string]*Upstream
	pendingRemovals  map[string]time.Time // by ID: when upstreams without an entry are removed
	storeUnreachable bool
	reconnectedAt    time.Time // when the store last became reachable again
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{upstreams: map[string]*Upstream{}, pendingRemovals: map[string]time.Time{}}
}

// MarkStoreUnreachable records that the store cannot be reached.
func (r *Registry) MarkStoreUnreachable() { r.storeUnreachable = true }

// MarkStoreReachable records that the store answers. After an outage it starts the
// grace period for removals.
func (r *Registry) MarkStoreReachable(now time.Time) {
	if r.storeUnreachable {
		r.reconnectedAt = now
	}
	r.storeUnreachable = false
}

// Put adds or replaces an upstream and cancels its pending removal. It reports
// whether the view changes.
func (r *Registry) Put(u *Upstream) bool {
	delete(r.pendingRemovals, u.ID)
	old := r.upstreams[u.ID]
	r.upstreams[u.ID] = u
	return old == nil || !equal(old, u)
}

func equal(a, b *Upstream) bool {
	if a.Service != b.Service || a.Addr != b.Addr || a.Domain != b.Domain || a.Slots != b.Slots ||
		a.Draining != b.Draining || a.StartTimeMS != b.StartTimeMS || len(a.Weights) != len(b.Weights) {
		return false
	}
	for model, version := range a.Weights {
		if b.Weights[model] != version {
			return false
		}
	}
	return true
}

// Remove removes an upstream and reports whether the view changes. Within
// ReconnectGracePeriod after the store became reachable again, the removal is
// deferred to the end of that period unless the upstream was draining.
func (r *Registry) Remove(id string, now time.Time) bool {
	u := r.upstreams[id]
	if u == nil {
		return false
	}
	end := r.reconnectedAt.Add(ReconnectGracePeriod)
	if !u.Draining && !r.reconnectedAt.IsZero() && now.Before(end) {
		if _, pending := r.pendingRemovals[id]; !pending {
			r.pendingRemovals[id] = end
		}
		return false
	}
	delete(r.upstreams, id)
	delete(r.pendingRemovals, id)
	return true
}

// Replace sets the full list of upstreams, for example when the store no longer
// has the history of changes. Upstreams that are missing from it are removed as
// by Remove. It reports whether the view changes.
func (r *Registry) Replace(list []*Upstream, now time.Time) bool {
	changed := false
	seen := make(map[string]bool, len(list))
	for _, u := range list {
		seen[u.ID] = true
		changed = r.Put(u) || changed
	}
	for id := range r.upstreams {
		if !seen[id] {
			changed = r.Remove(id, now) || changed
		}
	}
	return changed
}

// Expire completes the deferred removals that are due, unless the store is
// unreachable. It reports whether the view changes.
func (r *Registry) Expire(now time.Time) bool {
	changed := false
	for id, end := range r.pendingRemovals {
		if r.storeUnreachable || now.Before(end) {
			continue
		}
		delete(r.upstreams, id)
		delete(r.pendingRemovals, id)
		changed = true
	}
	return changed
}

// View returns a snapshot of the current upstreams.
func (r *Registry) View() *View {
	list := make([]*Upstream, 0, len(r.upstreams))
	for _, u := range r.upstreams {
		list = append(list, u)
	}
	return NewView(list)
}

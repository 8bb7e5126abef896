// Package fleet keeps the set of upstreams as the platform lists them. It does
// no I/O; times are arguments.
package fleet

import (
	"sort"
	"time"
)

// ReconnectGracePeriod is how long upstreams that vanished from the list while the
// store was away stay in use after its return: an upstream that lives writes
// its entry again within about two seconds.
const ReconnectGracePeriod = 2300 * time.Millisecond

// Upstream is one listed server.
type Upstream struct {
	ID          string // of this listing; a restarted server mostly has a new one
	Service     string
	Addr        string // IP:port
	Domain      string // failure domain
	Slots       int    // requests served at once; 0: unknown
	Draining    bool
	StartTimeMS int64          // ms since the Unix epoch, 0: unknown; changes when a server restarts under its ID
	Weights     map[string]int // version of the weights by model
}

// View is an immutable set of upstreams.
type View struct {
	byID      map[string]*Upstream
	byService map[string][]*Upstream
}

// ByID returns the upstream, or nil.
func (v *View) ByID(id string) *Upstream { return v.byID[id] }

// ByService returns the upstreams of a service ordered by ID, the draining ones
// included.
func (v *View) ByService(name string) []*Upstream { return v.byService[name] }

// All returns all upstreams in no order.
func (v *View) All() []*Upstream {
	out := make([]*Upstream, 0, len(v.byID))
	for _, u := range v.byID {
		out = append(out, u)
	}
	return out
}

// Len returns the number of upstreams.
func (v *View) Len() int { return len(v.byID) }

// NewView returns a view of the upstreams.
func NewView(list []*Upstream) *View {
	v := &View{byID: make(map[string]*Upstream, len(list)), byService: map[string][]*Upstream{}}
	for _, u := range list {
		v.byID[u.ID] = u
		v.byService[u.Service] = append(v.byService[u.Service], u)
	}
	for _, of := range v.byService {
		sort.Slice(of, func(i, j int) bool { return of[i].ID < of[j].ID })
	}
	return v
}

// Registry is the state machine behind views.
type Registry struct {
	upstreams        map[string]*Upstream
	pendingRemovals  map[string]time.Time // listed upstreams without entry, by end of their grace
	storeUnreachable bool                 // the store cannot be reached
	reconnectedAt    time.Time            // when it was last reached again
}

// NewRegistry returns an empty list.
func NewRegistry() *Registry {
	return &Registry{upstreams: map[string]*Upstream{}, pendingRemovals: map[string]time.Time{}}
}

// MarkStoreUnreachable records that the store cannot be reached.
func (l *Registry) MarkStoreUnreachable() { l.storeUnreachable = true }

// MarkStoreReachable records that the store answers.
func (l *Registry) MarkStoreReachable(now time.Time) {
	if l.storeUnreachable {
		l.reconnectedAt = now
	}
	l.storeUnreachable = false
}

// Put adds or replaces an upstream. It reports whether the view changes.
func (l *Registry) Put(u *Upstream) bool {
	delete(l.pendingRemovals, u.ID)
	old := l.upstreams[u.ID]
	l.upstreams[u.ID] = u
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

// Remove takes an upstream off the list. Shortly after the store's return the
// removal waits for the grace, unless the upstream was draining.
func (l *Registry) Remove(id string, now time.Time) bool {
	u := l.upstreams[id]
	if u == nil {
		return false
	}
	end := l.reconnectedAt.Add(ReconnectGracePeriod)
	if !u.Draining && !l.reconnectedAt.IsZero() && now.Before(end) {
		if _, waiting := l.pendingRemovals[id]; !waiting {
			l.pendingRemovals[id] = end
		}
		return false
	}
	delete(l.upstreams, id)
	delete(l.pendingRemovals, id)
	return true
}

// Replace sets the whole list, for example after the store's history was lost.
// Upstreams that are no longer listed are removed as by Remove.
func (l *Registry) Replace(list []*Upstream, now time.Time) bool {
	changed := false
	seen := make(map[string]bool, len(list))
	for _, u := range list {
		seen[u.ID] = true
		changed = l.Put(u) || changed
	}
	for id := range l.upstreams {
		if !seen[id] {
			changed = l.Remove(id, now) || changed
		}
	}
	return changed
}

// Expire removes upstreams whose grace has passed.
func (l *Registry) Expire(now time.Time) bool {
	changed := false
	for id, end := range l.pendingRemovals {
		if l.storeUnreachable || now.Before(end) {
			continue
		}
		delete(l.upstreams, id)
		delete(l.pendingRemovals, id)
		changed = true
	}
	return changed
}

// View returns the current set.
func (l *Registry) View() *View {
	list := make([]*Upstream, 0, len(l.upstreams))
	for _, u := range l.upstreams {
		list = append(list, u)
	}
	return NewView(list)
}

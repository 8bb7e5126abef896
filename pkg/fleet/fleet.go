// Package fleet keeps the set of upstreams as the platform lists them. It does
// no I/O; times are arguments.
package fleet

import (
	"sort"
	"time"
)

// ReturnGrace is how long upstreams that vanished from the list while the
// store was away stay in use after its return: an upstream that lives writes
// its entry again within about two seconds.
const ReturnGrace = 2300 * time.Millisecond

// Upstream is one listed server.
type Upstream struct {
	ID       string // of this listing; a restarted server mostly has a new one
	Service  string
	Addr     string // IP:port
	Domain   string // failure domain
	Slots    int    // requests served at once; 0: unknown
	Draining bool
	Born     int64          // ms since the Unix epoch, 0: unknown; changes when a server restarts under its ID
	Weights  map[string]int // version of the weights by model
}

// View is an immutable set of upstreams.
type View struct {
	byID      map[string]*Upstream
	byService map[string][]*Upstream
}

// ByID returns the upstream, or nil.
func (v *View) ByID(id string) *Upstream { return v.byID[id] }

// Service returns the upstreams of a service ordered by ID, the draining ones
// included.
func (v *View) Service(name string) []*Upstream { return v.byService[name] }

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

// List is the state machine behind views.
type List struct {
	listed  map[string]*Upstream
	missing map[string]time.Time // listed upstreams without entry, by end of their grace
	away    bool                 // the store cannot be reached
	back    time.Time            // when it was last reached again
}

// NewList returns an empty list.
func NewList() *List {
	return &List{listed: map[string]*Upstream{}, missing: map[string]time.Time{}}
}

// StoreAway records that the store cannot be reached.
func (l *List) StoreAway() { l.away = true }

// StoreBack records that the store answers.
func (l *List) StoreBack(now time.Time) {
	if l.away {
		l.back = now
	}
	l.away = false
}

// Put adds or replaces an upstream. It reports whether the view changes.
func (l *List) Put(u *Upstream) bool {
	delete(l.missing, u.ID)
	old := l.listed[u.ID]
	l.listed[u.ID] = u
	return old == nil || !equal(old, u)
}

func equal(a, b *Upstream) bool {
	if a.Service != b.Service || a.Addr != b.Addr || a.Domain != b.Domain || a.Slots != b.Slots ||
		a.Draining != b.Draining || a.Born != b.Born || len(a.Weights) != len(b.Weights) {
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
func (l *List) Remove(id string, now time.Time) bool {
	u := l.listed[id]
	if u == nil {
		return false
	}
	end := l.back.Add(ReturnGrace)
	if !u.Draining && !l.back.IsZero() && now.Before(end) {
		if _, waiting := l.missing[id]; !waiting {
			l.missing[id] = end
		}
		return false
	}
	delete(l.listed, id)
	delete(l.missing, id)
	return true
}

// Replace sets the whole list, for example after the store's history was lost.
// Upstreams that are no longer listed are removed as by Remove.
func (l *List) Replace(list []*Upstream, now time.Time) bool {
	changed := false
	seen := make(map[string]bool, len(list))
	for _, u := range list {
		seen[u.ID] = true
		changed = l.Put(u) || changed
	}
	for id := range l.listed {
		if !seen[id] {
			changed = l.Remove(id, now) || changed
		}
	}
	return changed
}

// Expire removes upstreams whose grace has passed.
func (l *List) Expire(now time.Time) bool {
	changed := false
	for id, end := range l.missing {
		if l.away || now.Before(end) {
			continue
		}
		delete(l.listed, id)
		delete(l.missing, id)
		changed = true
	}
	return changed
}

// View returns the current set.
func (l *List) View() *View {
	list := make([]*Upstream, 0, len(l.listed))
	for _, u := range l.listed {
		list = append(list, u)
	}
	return NewView(list)
}

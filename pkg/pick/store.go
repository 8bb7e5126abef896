package pick

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/fescuestep/fescuestep/pkg/cacheindex"
	"github.com/fescuestep/fescuestep/pkg/retry"
)

// Limits bounds the work sent to one upstream.
type Limits struct {
	Slots        int           // requests in flight, over all instances
	MaxQueueWait time.Duration // estimated queue above which requests wait in the router; 0 disables
	Outlier      retry.OutlierConfig
}

// Store is the datastore that policies choose from. It is not safe for
// concurrent use.
type Store struct {
	Limits               Limits
	Instances            int    // router instances that share the upstreams
	TargetWeightsVersion string // wanted weights version, empty for any
	Index                *cacheindex.Index
	KVBlocks             *cacheindex.RecentBlocks // blocks that the KV store is taken to hold, nil without one
	KVPausedUntil        time.Time                // no imports before this time

	origin            time.Time   // of index times
	list              []*Upstream // listed upstreams, sorted by ID
	byID              map[string]*Upstream
	byHandle          []*Upstream
	sendRate          rateMeter // uncached tokens per second that this instance sends
	lanesStale        bool      // the list changed since lanes were assigned
	longLaneUpstreams []*Upstream
}

// NewStore returns an empty store. Index times count from now.
func NewStore(now time.Time, limits Limits) *Store {
	return &Store{
		Limits:    limits,
		Instances: 1,
		Index:     cacheindex.New(),
		origin:    now,
		byID:      map[string]*Upstream{},
	}
}

// IndexTime converts now to the time base of the index.
func (s *Store) IndexTime(now time.Time) time.Duration { return now.Sub(s.origin) }

// Get returns the listed upstream with the ID, or nil.
func (s *Store) Get(id string) *Upstream { return s.byID[id] }

// List returns the listed upstreams sorted by ID. The caller does not modify it.
func (s *Store) List() []*Upstream { return s.list }

// Add lists an upstream that Get does not know.
func (s *Store) Add(u *Upstream) {
	u.IndexHandle = s.Index.AddEngine(u.ID)
	for len(s.byHandle) <= int(u.IndexHandle) {
		s.byHandle = append(s.byHandle, nil)
	}
	s.byHandle[u.IndexHandle] = u
	s.byID[u.ID] = u
	at, _ := slices.BinarySearchFunc(s.list, u.ID, compareID)
	s.list = slices.Insert(s.list, at, u)
	s.lanesStale = true
}

// Remove takes an upstream off the list. Its flights end as usual.
func (s *Store) Remove(id string) {
	u := s.byID[id]
	if u == nil {
		return
	}
	u.Removed = true
	delete(s.byID, id)
	s.byHandle[u.IndexHandle] = nil
	at, _ := slices.BinarySearchFunc(s.list, id, compareID)
	s.list = slices.Delete(s.list, at, at+1)
	s.lanesStale = true
	s.Index.RemoveEngine(id)
}

func compareID(u *Upstream, id string) int { return strings.Compare(u.ID, id) }

// upstreamByHandle returns the upstream of an index handle, or nil.
func (s *Store) upstreamByHandle(e cacheindex.EngineHandle) *Upstream {
	if int(e) >= len(s.byHandle) {
		return nil
	}
	return s.byHandle[e]
}

// Admits reports whether the upstream has a free slot and a short queue.
func (s *Store) Admits(now time.Time, u *Upstream, r *Request) bool {
	if !s.hasSlot(now, u) {
		return false
	}
	limit := s.Limits.MaxQueueWait
	if r.MaxQueueWait > 0 {
		limit = min(limit, r.MaxQueueWait)
	}
	return s.Limits.MaxQueueWait <= 0 || u.QueueWait(now, s.Instances) <= limit
}

// hasSlot reports whether a slot is free, fewer during a slow start.
func (s *Store) hasSlot(now time.Time, u *Upstream) bool {
	if s.TargetWeightsVersion != "" && u.WeightsVersion != "" && u.WeightsVersion != s.TargetWeightsVersion {
		return false // being loaded; the engine would refuse the request
	}
	slots := s.Limits.Slots
	if slots <= 0 {
		return true
	}
	if share := u.Outlier.Capacity(now, &s.Limits.Outlier); share < 1 {
		slots = max(1, int(share*float64(slots)))
	}
	return len(u.inFlight) < slots && u.TotalInFlight() < slots
}

// Selectable is the filter of all policies: usable and not excluded.
func (s *Store) Selectable(now time.Time, u *Upstream, r *Request) bool {
	return u != nil && u.Usable(now) && !slices.Contains(r.Exclude, u.ID)
}

// AnySelectable reports whether the request could run on any upstream once
// slots are free.
func (s *Store) AnySelectable(now time.Time, r *Request) bool {
	for _, u := range s.list {
		if s.Selectable(now, u, r) {
			return true
		}
	}
	return false
}

// assignLanes marks a share of the upstreams as preferred for long prefills.
// The order of the hashed IDs is equal on all instances.
func (s *Store) assignLanes(share float64) {
	if !s.lanesStale {
		return
	}
	s.lanesStale = false
	order := slices.Clone(s.list)
	slices.SortFunc(order, func(a, b *Upstream) int { return cmp.Compare(a.hash(), b.hash()) })
	long := int(share*float64(len(order)) + 0.5)
	for i, u := range order {
		u.inLongLane = i < long
	}
	s.longLaneUpstreams = order[:max(long, min(1, len(order)))]
}

// Start records a request that this instance sends to u now.
func (s *Store) Start(now time.Time, u *Upstream, uncached int) *InFlightRequest {
	s.sendRate.add(now, float64(uncached))
	return u.Start(now, uncached)
}

// unreportedWait estimates the queue that other instances have built up on an upstream
// since its last report: their share of its time, if all send alike. It favours
// upstreams with a fresh report, which differ between instances.
func (s *Store) unreportedWait(now time.Time, u *Upstream) time.Duration {
	if s.Instances < 2 || u.PrefillPerSec <= 0 || len(s.list) == 0 || u.report.SampledAt.IsZero() {
		return 0
	}
	others := float64(s.Instances-1) * s.sendRate.perSecond(now) / float64(len(s.list))
	share := min(others/u.PrefillPerSec, 1)
	age := min(max(now.Sub(u.report.SampledAt), 0), maxUnreportedAge)
	return time.Duration(share * float64(age))
}

// maxUnreportedAge bounds the age over which unseen work is extrapolated.
const maxUnreportedAge = time.Second

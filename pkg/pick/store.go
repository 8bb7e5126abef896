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
	Slots        int           // maximum requests in flight from all instances; 0 for no limit
	MaxQueueWait time.Duration // estimated queue wait above which requests wait in the router; 0 for no limit
	Outlier      retry.OutlierConfig
}

// Store holds the upstreams of a pool and the state that policies choose by. It is
// not safe for concurrent use.
type Store struct {
	Limits               Limits
	Instances            int    // router instances that share the upstreams
	TargetWeightsVersion string // version that upstreams have to run, empty for any
	Index                *cacheindex.Index
	KVBlocks             *cacheindex.RecentBlocks // blocks assumed to be in the KV store, nil without one
	KVPausedUntil        time.Time                // no imports or exports before this time

	origin            time.Time   // origin of index times
	list              []*Upstream // listed upstreams, sorted by ID
	byID              map[string]*Upstream
	byHandle          []*Upstream // by index handle; nil if not listed
	sendRate          rateMeter   // uncached tokens per second that this instance sends
	lanesStale        bool        // list has changed since assignLanes
	longLaneUpstreams []*Upstream // in the order of hashed IDs
}

// NewStore returns an empty store whose index times are relative to now.
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

// List returns the listed upstreams sorted by ID. The caller must not modify the
// slice.
func (s *Store) List() []*Upstream { return s.list }

// Add lists an upstream whose ID is not listed yet.
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

// Remove removes an upstream from the list and the index. Its requests in flight
// continue.
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

// upstreamByHandle returns the listed upstream with the index handle, or nil.
func (s *Store) upstreamByHandle(e cacheindex.EngineHandle) *Upstream {
	if int(e) >= len(s.byHandle) {
		return nil
	}
	return s.byHandle[e]
}

// Admits reports whether the upstream has a free slot and its estimated queue wait
// is within the limits.
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

// hasSlot reports whether the upstream has a free slot. During a slow start only
// some of its slots are available.
func (s *Store) hasSlot(now time.Time, u *Upstream) bool {
	if s.TargetWeightsVersion != "" && u.WeightsVersion != "" && u.WeightsVersion != s.TargetWeightsVersion {
		return false // the target version is not loaded yet; the engine would reject the request
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

// Selectable reports whether the upstream is usable and not excluded from the
// request. All policies choose among selectable upstreams only.
func (s *Store) Selectable(now time.Time, u *Upstream, r *Request) bool {
	return u != nil && u.Usable(now) && !slices.Contains(r.Exclude, u.ID)
}

// AnySelectable reports whether any upstream could run the request once it has a
// free slot.
func (s *Store) AnySelectable(now time.Time, r *Request) bool {
	for _, u := range s.list {
		if s.Selectable(now, u, r) {
			return true
		}
	}
	return false
}

// assignLanes marks a share of the upstreams as preferred for long prefills. It
// takes them in the order of the hashed IDs, which is equal on all instances.
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

// unreportedWait estimates the queue wait that other instances have added on an
// upstream since its last report, assuming that all instances send at the same rate
// and to all upstreams alike. It favours upstreams with a recent report, which are
// different ones on each instance.
func (s *Store) unreportedWait(now time.Time, u *Upstream) time.Duration {
	if s.Instances < 2 || u.PrefillPerSec <= 0 || len(s.list) == 0 || u.report.SampledAt.IsZero() {
		return 0
	}
	others := float64(s.Instances-1) * s.sendRate.perSecond(now) / float64(len(s.list))
	share := min(others/u.PrefillPerSec, 1)
	age := min(max(now.Sub(u.report.SampledAt), 0), maxUnreportedAge)
	return time.Duration(share * float64(age))
}

// maxUnreportedAge bounds the age of a report over which unreported work is
// extrapolated.
const maxUnreportedAge = time.Second

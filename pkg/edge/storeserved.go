package edge

import (
	"sync"
	"time"

	"github.com/fescuestep/fescuestep/pkg/history"
	rpc "github.com/fescuestep/fescuestep/rpc/edge"
)

// storeServed notes when digests show that the store answers other instances: they tell
// newer positions of the store than all before, or that their sender follows it.
type storeServed struct {
	mu         sync.Mutex
	newest     map[string]history.Position // by table
	advancedAt time.Time
	followedAt time.Time
}

const (
	// storeServedAge is how long ago the last such digest may have come if the store
	// answers others now, and how long after an answer of the store it may come.
	storeServedAge = time.Second
	// followingIsProof is how long an instance may believe that it follows a store that
	// has fallen silent: one long poll.
	followingIsProof = 3600 * time.Millisecond
)

// note records what a digest tells.
func (s *storeServed) note(d *rpc.Digest, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d.Follows {
		s.followedAt = now
	}
	for _, t := range d.Tables {
		known, ok := s.newest[t.Name]
		if ok && !known.Before(position(t)) {
			continue
		}
		if s.newest == nil {
			s.newest = map[string]history.Position{}
		}
		s.newest[t.Name] = position(t)
		if ok {
			s.advancedAt = now
		}
	}
}

// since reports whether the store has answered another instance from a time until now.
func (s *storeServed) since(from, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	advanced := s.advancedAt.Sub(from) > storeServedAge && now.Sub(s.advancedAt) <= storeServedAge
	followed := now.Sub(from) >= followingIsProof && now.Sub(s.followedAt) <= storeServedAge
	return advanced || followed
}

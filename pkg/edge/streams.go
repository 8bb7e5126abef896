package edge

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/fescuestep/fescuestep/pkg/fleet"
	"github.com/fescuestep/fescuestep/pkg/routing"
	"github.com/fescuestep/fescuestep/pkg/streamversion"
	rpc "github.com/fescuestep/fescuestep/rpc/edge"
)

// streams wraps a streamversion.Memory for concurrent use. It implements
// dispatch.StreamOrigins.
type streams struct {
	log      hclog.Logger
	now      func() time.Time
	onUntold func() // called when the other instances must be told of a stream
	// lately returns, by service, what the store keeps of those that have served lately, or
	// false if that cannot be told.
	lately func(ctx context.Context) (stored map[string]streamversion.Served, ok bool)

	mu     sync.Mutex
	memory *streamversion.Memory
	routes streamRoutes
}

func newStreams(log hclog.Logger, now func() time.Time) *streams {
	return &streams{
		log: log, now: now, memory: streamversion.NewMemory(), routes: newStreamRoutes(),
		onUntold: func() {}, lately: func(context.Context) (map[string]streamversion.Served, bool) { return nil, true },
	}
}

// Origin returns where a stream began that a caller takes up. resumes is the ID of the
// request that brought its first event, and services are those that may serve it. If no
// instance has told the origin, it is known only where one version of one service can have
// begun the stream.
func (s *streams) Origin(ctx context.Context, resumes string, services []string) (streamversion.Origin, bool) {
	stream := streamversion.StreamOf(resumes)
	if origin, ok := s.told(stream); ok {
		return origin, true
	}
	stored, ok := s.lately(ctx)
	if !ok {
		return streamversion.Origin{}, false
	}
	if origin, ok := s.told(stream); ok {
		return origin, true // told meanwhile
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.memory.Only(services, stored, s.now())
}

func (s *streams) told(stream streamversion.Stream) (streamversion.Origin, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.memory.Origin(stream, s.now())
}

// Began records that the caller of a stream has got an event from its origin.
func (s *streams) Began(firstRequest string, o streamversion.Origin, until time.Time) {
	s.mu.Lock()
	untold := s.memory.Begin(streamversion.Beginning{Stream: streamversion.StreamOf(firstRequest), Origin: o, Until: until}, s.now())
	s.mu.Unlock()
	if untold {
		s.onUntold()
	}
}

// setServing records which versions the listed upstreams have.
func (s *streams) setServing(v *fleet.View) {
	serving := map[string]map[string]bool{}
	for _, u := range v.All() {
		if serving[u.Service] == nil {
			serving[u.Service] = map[string]bool{}
		}
		serving[u.Service][u.Software] = true
	}
	s.mu.Lock()
	untold := s.memory.SetServing(serving, s.now())
	s.mu.Unlock()
	if untold {
		s.onUntold()
	}
}

// maxStreamsTold limits the streams in a digest; each takes 8 bytes. maxStreamsRetained
// limits those that an instance is told that starts.
const (
	maxStreamsTold     = 48
	maxStreamsRetained = 1 << 12
)

// untold returns the streams for the next digest, and whether others remain.
func (s *streams) untold() ([]streamversion.Beginning, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.memory.Untold(maxStreamsTold, s.now())
}

// retained returns what an instance that starts must know.
func (s *streams) retained() []streamversion.Beginning {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.memory.Beginnings(maxStreamsRetained, s.now())
}

// learn records streams that other instances tell.
func (s *streams) learn(list []*rpc.Streams) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for _, m := range list {
		origin := streamversion.Origin{Service: m.Service, Software: m.Software}
		until := now.Add(time.Duration(m.Ms) * time.Millisecond)
		for _, stream := range m.Streams {
			s.memory.Learn(streamversion.Beginning{Stream: streamversion.Stream(stream), Origin: origin, Until: until}, now)
		}
	}
}

// setRoutes records which services may have begun the same streams, now that a configuration
// is in force.
func (s *streams) setRoutes(config *routing.Snapshot) {
	s.mu.Lock()
	now := s.now()
	untold := s.memory.SetRoutes(s.routes.change(config, now), now)
	s.mu.Unlock()
	if untold {
		s.onUntold()
	}
}

// adoptServed records what the store kept of services before this instance started.
func (s *streams) adoptServed(stored map[string]streamversion.Served) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.memory.AdoptServed(stored, s.now())
}

// served returns what the store is to keep, by service: of those with streams that may be
// resumed, and of their alternatives.
func (s *streams) served() map[string]streamversion.Served {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, out := s.now(), map[string]streamversion.Served{}
	for _, name := range s.routes.services {
		out[name] = s.servedAt(name, now)
		for _, other := range out[name].Alternatives {
			out[other] = s.servedAt(other, now)
		}
	}
	return out
}

// servedAt is served for one service. The caller holds mu.
func (s *streams) servedAt(name string, now time.Time) streamversion.Served {
	return streamversion.Served{Versions: s.memory.Versions(name, now), Alternatives: s.memory.Alternatives(name, now)}
}

// encodeStreams encodes streams by origin. Those of an origin are remembered for as long
// as the one whose caller waits longest.
func encodeStreams(list []streamversion.Beginning, now time.Time) []*rpc.Streams {
	byOrigin := map[streamversion.Origin]*rpc.Streams{}
	var out []*rpc.Streams
	for _, b := range list {
		m := byOrigin[b.Origin]
		if m == nil {
			m = &rpc.Streams{Service: b.Origin.Service, Software: b.Origin.Software}
			byOrigin[b.Origin] = m
			out = append(out, m)
		}
		m.Streams = append(m.Streams, uint64(b.Stream))
		m.Ms = max(m.Ms, ago(now, b.Until))
	}
	return out
}

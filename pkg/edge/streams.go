package edge

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/fescuestep/fescuestep/pkg/fleet"
	"github.com/fescuestep/fescuestep/pkg/streamversion"
	rpc "github.com/fescuestep/fescuestep/rpc/edge"
)

// streams wraps a streamversion.Memory for concurrent use. It implements
// dispatch.StreamOrigins.
type streams struct {
	log      hclog.Logger
	now      func() time.Time
	onUntold func() // called when the other instances must be told of a stream
	// lately returns the versions of a service that have served lately, or false if that
	// cannot be told.
	lately func(ctx context.Context, service string) (versions []string, ok bool)

	mu     sync.Mutex
	memory *streamversion.Memory
}

func newStreams(log hclog.Logger, now func() time.Time) *streams {
	return &streams{
		log: log, now: now, memory: streamversion.NewMemory(),
		onUntold: func() {}, lately: func(context.Context, string) ([]string, bool) { return nil, true },
	}
}

// Origin returns where a stream began that a caller takes up. resumes is the ID of the
// request that brought its first event, and services are those that may serve it. If no
// instance has told the origin, it is known only where one service, and one version of
// it, can have begun the stream.
func (s *streams) Origin(ctx context.Context, resumes string, services []string) (streamversion.Origin, bool) {
	stream := streamversion.StreamOf(resumes)
	if origin, ok := s.told(stream); ok || len(services) != 1 {
		return origin, ok
	}
	lately, ok := s.lately(ctx, services[0])
	if !ok {
		return streamversion.Origin{}, false
	}
	if origin, ok := s.told(stream); ok {
		return origin, true // told meanwhile
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	software, ok := s.memory.Only(services[0], lately, s.now())
	return streamversion.Origin{Service: services[0], Software: software}, ok
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

// adoptServed records which versions, by service, had served before this instance started.
func (s *streams) adoptServed(served map[string][]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.memory.AdoptServed(served, s.now())
}

// versions returns the versions of a service that may have begun a stream.
func (s *streams) versions(service string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.memory.Versions(service, s.now())
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

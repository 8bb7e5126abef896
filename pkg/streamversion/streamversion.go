// Package streamversion decides at which version of an upstream's software a broken
// stream may go on. Versions may serve side by side, and what two of them write does not
// fit together. The package does no I/O, is not safe for concurrent use, and takes the
// current time as an argument.
package streamversion

import (
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// Stream identifies a stream by the request that brought its first event.
type Stream uint64

// StreamOf returns the stream whose first event a request brought.
func StreamOf(requestID string) Stream { return Stream(xxh3.HashString(requestID)) }

// Origin is where a stream began, and where alone it may go on.
type Origin struct {
	Service  string
	Software string // version of the upstream's software; empty if it states none
}

// Served is what is stored of a service.
type Served struct {
	Versions     []string // that have served lately; nil: not known
	Alternatives []string // services at which its streams may have begun as well
}

// Beginning tells that a stream began.
type Beginning struct {
	Stream Stream
	Origin Origin
	Until  time.Time // when its caller no longer waits for it
}

const (
	// minWindow is the least time for which a version that no longer serves counts. A
	// caller may take up a stream for as long as it waits for the whole answer, which is
	// seconds; a longer wait that a caller states makes the time longer.
	minWindow = 30 * time.Second
	// maxWindow bounds that time, whatever callers state.
	maxWindow = 10 * time.Minute
	// maxStreams bounds the streams that are remembered, at about 80 bytes each.
	maxStreams = 1 << 16
	// purgeInterval is the time between two searches for streams that are over.
	purgeInterval = time.Second
)

// Memory is what one instance knows of streams and of the versions that have served.
type Memory struct {
	streams  map[Stream]beginning
	services map[string]*service
	untold   []Stream // streams that the other instances must know
	window   time.Duration
	purgedAt time.Time

	alternatives alternatives
	watchedAt    time.Time // since when the versions that serve are known; zero: not yet
	knowsBefore  bool      // which versions served before this instance started
}

type beginning struct {
	origin Origin
	until  time.Time
	own    bool // it began at this instance
	told   bool // the other instances were told
}

// service is what is known of the versions of a service.
type service struct {
	serving   map[string]bool
	ended     map[string]time.Time // by version: when it was last seen to serve
	watchedAt time.Time            // since when nothing has been missed; zero: since ever
}

// NewMemory returns the memory of an instance that has just started.
func NewMemory() *Memory {
	return &Memory{streams: map[Stream]beginning{}, services: map[string]*service{}, window: minWindow, alternatives: newAlternatives()}
}

// Begin records that a stream began at this instance, or goes on here. It reports whether
// the other instances must be told.
func (m *Memory) Begin(b Beginning, now time.Time) (untold bool) {
	known, ok := m.streams[b.Stream]
	told := ok && known.told && known.origin == b.Origin
	m.put(b, beginning{b.Origin, b.Until, true, told}, now)
	if told || !m.several(b.Origin.Service, now) {
		return false
	}
	m.untold = append(m.untold, b.Stream)
	return true
}

// Learn records that a stream began at another instance.
func (m *Memory) Learn(b Beginning, now time.Time) {
	if known, ok := m.streams[b.Stream]; ok && known.own {
		return
	}
	m.put(b, beginning{b.Origin, b.Until, false, true}, now)
}

func (m *Memory) put(b Beginning, entry beginning, now time.Time) {
	m.window = min(max(m.window, b.Until.Sub(now)), maxWindow)
	m.purge(now)
	if _, known := m.streams[b.Stream]; !known && len(m.streams) >= maxStreams {
		m.dropOne()
	}
	m.streams[b.Stream] = entry
}

// purge forgets the streams for which no caller waits any more.
func (m *Memory) purge(now time.Time) {
	if now.Sub(m.purgedAt) < purgeInterval {
		return
	}
	m.purgedAt = now
	for stream, b := range m.streams {
		if now.After(b.until) {
			delete(m.streams, stream)
		}
	}
}

func (m *Memory) dropOne() {
	for stream := range m.streams {
		delete(m.streams, stream)
		return
	}
}

// Origin returns where a stream began that this instance saw begin or was told of.
func (m *Memory) Origin(stream Stream, now time.Time) (Origin, bool) {
	b, ok := m.streams[stream]
	return b.origin, ok && !now.After(b.until)
}

// Only returns the origin that alone is possible for a stream for which a caller still
// waits, if a route leads to some services. stored is what the store keeps of all services.
// The origin may be at a service to which the route no longer leads.
func (m *Memory) Only(services []string, stored map[string]Served, now time.Time) (only Origin, ok bool) {
	for _, name := range m.alternatives.closure(services, stored, m.window, now) {
		versions, known := m.completeVersions(name, stored, now)
		if !known || len(versions) > 1 || (ok && len(versions) > 0) {
			return Origin{}, false
		}
		if len(versions) == 1 {
			only, ok = Origin{name, versions[0]}, true
		}
	}
	return only, ok
}

// completeVersions returns the versions of a service that can have begun a stream for which
// a caller still waits. It returns false if there may be others.
func (m *Memory) completeVersions(name string, stored map[string]Served, now time.Time) (versions []string, ok bool) {
	watchedAt := m.watchedAt
	if s := m.services[name]; s != nil {
		watchedAt = s.watchedAt
	} else if m.knowsBefore {
		watchedAt = time.Time{}
	}
	if m.watchedAt.IsZero() || now.Sub(watchedAt) < m.window {
		return nil, false
	}
	versions = m.Versions(name, now)
	lately, named := stored[name]
	if named && lately.Versions == nil {
		return nil, false
	}
	unseen := slices.ContainsFunc(lately.Versions, func(v string) bool { return !slices.Contains(versions, v) })
	return versions, !unseen
}

// SetRoutes replaces which services may have begun the same streams. It reports whether the
// other instances must be told of streams.
func (m *Memory) SetRoutes(r Routes, now time.Time) (untold bool) {
	return m.change(now, func() { m.alternatives.set(r, now) })
}

// Alternatives returns, in order, the services that share a route with one, or did when
// streams began for which callers still wait.
func (m *Memory) Alternatives(name string, now time.Time) []string {
	return m.alternatives.neighbors(name, m.window, now)
}

// change makes a change, and has the streams told that can have begun elsewhere only since.
// It reports whether the other instances must be told of streams.
func (m *Memory) change(now time.Time, apply func()) (untold bool) {
	before := map[string]bool{}
	for name := range m.services {
		before[name] = m.several(name, now)
	}
	apply()
	for name := range m.services {
		if !before[name] && m.several(name, now) {
			m.queueUntold(name)
		}
	}
	return len(m.untold) > 0
}

// SetServing replaces the versions that serve, by service. It reports whether the other
// instances must be told of streams.
func (m *Memory) SetServing(serving map[string]map[string]bool, now time.Time) (untold bool) {
	if m.watchedAt.IsZero() {
		m.watchedAt = now
	}
	return m.change(now, func() { m.setServing(serving, now) })
}

func (m *Memory) setServing(serving map[string]map[string]bool, now time.Time) {
	for name := range serving {
		m.service(name, now)
	}
	for name, s := range m.services {
		for software := range s.serving {
			if !serving[name][software] {
				s.ended[software] = now
			}
		}
		s.serving = serving[name]
	}
}

func (m *Memory) service(name string, now time.Time) *service {
	s := m.services[name]
	if s == nil {
		s = &service{ended: map[string]time.Time{}, watchedAt: now}
		if m.knowsBefore {
			s.watchedAt = time.Time{}
		}
		m.services[name] = s
	}
	return s
}

// AdoptServed records what the store keeps of services, by name: which versions had served
// before this instance started, none of a service that is not named. When they ended is not
// known, so they count from now on.
func (m *Memory) AdoptServed(stored map[string]Served, now time.Time) {
	m.knowsBefore = true
	for _, s := range m.services {
		s.watchedAt = time.Time{}
	}
	for name, served := range stored {
		s := m.service(name, now)
		if served.Versions == nil {
			s.watchedAt = now
		}
		for _, software := range served.Versions {
			if !s.serving[software] && s.ended[software].IsZero() {
				s.ended[software] = now
			}
		}
		m.alternatives.adopt(name, served.Alternatives, now)
	}
}

// Versions returns, in order, the versions of a service that can have begun a stream for
// which a caller still waits.
func (m *Memory) Versions(name string, now time.Time) []string {
	s := m.services[name]
	if s == nil {
		return nil
	}
	var out []string
	for software := range s.serving {
		out = append(out, software)
	}
	for software, at := range s.ended {
		switch {
		case now.Sub(at) >= m.window:
			delete(s.ended, software)
		case !s.serving[software]:
			out = append(out, software)
		}
	}
	slices.Sort(out)
	return out
}

// several reports whether a stream of a service can have begun at more than one version, of
// it or of its alternatives. Only then must instances tell each other where it did.
func (m *Memory) several(name string, now time.Time) bool {
	n := 0
	for _, name := range m.alternatives.closure([]string{name}, nil, m.window, now) {
		n += m.versionCount(name, now)
	}
	return n > 1
}

func (m *Memory) versionCount(name string, now time.Time) int {
	s := m.services[name]
	if s == nil {
		return 0
	}
	n := len(s.serving)
	for software, at := range s.ended {
		if !s.serving[software] && now.Sub(at) < m.window {
			n++
		}
	}
	return n
}

// queueUntold has the streams told that began here while one version of their service
// served.
func (m *Memory) queueUntold(name string) {
	for stream, b := range m.streams {
		if b.own && !b.told && b.origin.Service == name {
			m.untold = append(m.untold, stream)
		}
	}
}

// Untold returns at most most streams that began here and that the other instances must
// know, and counts them as told. more says that there are others.
func (m *Memory) Untold(most int, now time.Time) (out []Beginning, more bool) {
	for len(m.untold) > 0 && len(out) < most {
		stream := m.untold[0]
		m.untold = m.untold[1:]
		b, ok := m.streams[stream]
		if !ok || b.told || now.After(b.until) {
			continue
		}
		b.told = true
		m.streams[stream] = b
		out = append(out, Beginning{stream, b.origin, b.until})
	}
	return out, len(m.untold) > 0
}

// Beginnings returns at most most of the streams for which callers still wait, for an
// instance that has just started.
func (m *Memory) Beginnings(most int, now time.Time) []Beginning {
	var out []Beginning
	for stream, b := range m.streams {
		if len(out) == most {
			break
		}
		if !now.After(b.until) {
			out = append(out, Beginning{stream, b.origin, b.until})
		}
	}
	return out
}

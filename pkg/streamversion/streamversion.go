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

	knowsBefore bool // which versions served before this instance started
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
	return &Memory{streams: map[Stream]beginning{}, services: map[string]*service{}, window: minWindow}
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

// Only returns the version of a service that alone can have begun a stream for which a
// caller still waits. lately are the versions that have served lately by what others know.
func (m *Memory) Only(name string, lately []string, now time.Time) (software string, ok bool) {
	s := m.services[name]
	if s == nil || now.Sub(s.watchedAt) < m.window {
		return "", false
	}
	versions := m.Versions(name, now)
	if len(versions) != 1 || slices.ContainsFunc(lately, func(v string) bool { return v != versions[0] }) {
		return "", false
	}
	return versions[0], true
}

// SetServing replaces the versions that serve, by service. It reports whether the other
// instances must be told of streams.
func (m *Memory) SetServing(serving map[string]map[string]bool, now time.Time) (untold bool) {
	for name := range serving {
		m.service(name, now)
	}
	for name, s := range m.services {
		before := m.several(name, now)
		for software := range s.serving {
			if !serving[name][software] {
				s.ended[software] = now
			}
		}
		s.serving = serving[name]
		if !before && m.several(name, now) {
			m.queueUntold(name)
		}
	}
	return len(m.untold) > 0
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

// AdoptServed records which versions, by service, had served before this instance
// started: none of a service that is not named, and unknown ones if they are nil. When
// they ended is not known, so they count from now on.
func (m *Memory) AdoptServed(served map[string][]string, now time.Time) {
	m.knowsBefore = true
	for _, s := range m.services {
		s.watchedAt = time.Time{}
	}
	for name, versions := range served {
		s := m.service(name, now)
		if versions == nil {
			s.watchedAt = now
		}
		for _, software := range versions {
			if !s.serving[software] && s.ended[software].IsZero() {
				s.ended[software] = now
			}
		}
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

// several reports whether more than one version of a service can have begun a stream. Only
// then must instances tell each other which one did.
func (m *Memory) several(name string, now time.Time) bool {
	s := m.services[name]
	if s == nil {
		return false
	}
	n := len(s.serving)
	for software, at := range s.ended {
		if !s.serving[software] && now.Sub(at) < m.window {
			n++
		}
	}
	return n > 1
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

package streamversion

import (
	"slices"
	"time"
)

// Routes tells which services may have begun the same streams.
type Routes struct {
	Shared [][]string // services to which one route leads now
	Moved  [][]string // services to which a route leads now, and those to which it led just before
}

// link joins two services, in the order of their names.
type link struct{ a, b string }

func linkOf(a, b string) link { return link{min(a, b), max(a, b)} }

// alternatives are the services at which the streams of a service may have begun as well,
// since one route leads or led to both.
type alternatives struct {
	shared map[link]bool
	ended  map[link]time.Time // when two services last shared a route
}

func newAlternatives() alternatives {
	return alternatives{shared: map[link]bool{}, ended: map[link]time.Time{}}
}

// set replaces which services share a route.
func (l *alternatives) set(r Routes, now time.Time) {
	before := l.shared
	l.shared = map[link]bool{}
	for _, services := range r.Shared {
		eachLink(services, func(k link) { l.shared[k] = true })
	}
	for k := range before {
		if !l.shared[k] {
			l.ended[k] = now
		}
	}
	for _, services := range r.Moved {
		eachLink(services, func(k link) { l.ended[k] = now })
	}
}

// adopt records services that shared a route with one until an unknown time.
func (l *alternatives) adopt(service string, others []string, now time.Time) {
	for _, other := range others {
		if k := linkOf(service, other); other != service && l.ended[k].IsZero() {
			l.ended[k] = now
		}
	}
}

// eachLink calls f for links that join all services.
func eachLink(services []string, f func(link)) {
	for i, service := range services {
		if service != services[0] && !slices.Contains(services[:i], service) {
			f(linkOf(services[0], service))
		}
	}
}

// neighbors returns, in order, the services that share a route with one, or did within a
// window.
func (l *alternatives) neighbors(service string, window time.Duration, now time.Time) []string {
	var out []string
	add := func(k link) {
		other := k.a
		if other == service {
			other = k.b
		}
		if (k.a == service || k.b == service) && !slices.Contains(out, other) {
			out = append(out, other)
		}
	}
	for k := range l.shared {
		add(k)
	}
	for k, at := range l.ended {
		if now.Sub(at) >= window {
			delete(l.ended, k)
			continue
		}
		add(k)
	}
	slices.Sort(out)
	return out
}

// closure returns services and all that are linked to them over any number of links.
// stored are further links that the store keeps.
func (l *alternatives) closure(services []string, stored map[string]Served, window time.Duration, now time.Time) []string {
	out := slices.Clone(services)
	if len(l.shared) == 0 && len(l.ended) == 0 && len(stored) == 0 {
		return out
	}
	for i := 0; i < len(out); i++ {
		for _, other := range append(l.neighbors(out[i], window, now), stored[out[i]].Alternatives...) {
			if !slices.Contains(out, other) {
				out = append(out, other)
			}
		}
	}
	return out
}

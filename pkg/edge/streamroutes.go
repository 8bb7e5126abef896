package edge

import (
	"maps"
	"slices"
	"time"

	"github.com/fescuestep/fescuestep/pkg/routing"
	"github.com/fescuestep/fescuestep/pkg/streamversion"
)

// removedRouteMemory is how long the services of a removed route are remembered. A route that
// is added again may lead to others.
const removedRouteMemory = 10 * time.Minute

// streamRoutes follows which services may have begun the same streams while configurations
// follow each other.
type streamRoutes struct {
	config   *routing.Snapshot // in force; nil: none yet
	services []string          // with streams that may be resumed, in order
	removed  map[pathPrefix]removedRoute
}

// pathPrefix is what a route matches.
type pathPrefix struct{ host, prefix string }

type removedRoute struct {
	services  []string
	removedAt time.Time
}

func newStreamRoutes() streamRoutes { return streamRoutes{removed: map[pathPrefix]removedRoute{}} }

// change returns which services may have begun the same streams, now that a configuration
// follows the one in force.
func (r *streamRoutes) change(config *routing.Snapshot, now time.Time) (out streamversion.Routes) {
	old, current := resumableRoutes(r.config), resumableRoutes(config)
	for key, route := range current {
		services := route.Services()
		if len(services) > 1 {
			out.Shared = append(out.Shared, services)
		}
		out.Moved = appendMove(out.Moved, matchingServices(r.config, key), services)
		out.Moved = appendMove(out.Moved, r.removed[key].services, services)
	}
	for key, route := range old {
		if current[key] == nil {
			out.Moved = appendMove(out.Moved, route.Services(), matchingServices(config, key))
		}
	}
	r.rememberRemoved(old, current, now)
	r.config, r.services = config, servicesOf(current)
	return out
}

// servicesOf returns the services of routes, in order.
func servicesOf(routes map[pathPrefix]*routing.Route) []string {
	services := map[string]bool{}
	for _, route := range routes {
		for _, name := range route.Services() {
			services[name] = true
		}
	}
	return slices.Sorted(maps.Keys(services))
}

func (r *streamRoutes) rememberRemoved(old, current map[pathPrefix]*routing.Route, now time.Time) {
	maps.DeleteFunc(r.removed, func(key pathPrefix, route removedRoute) bool {
		return current[key] != nil || now.Sub(route.removedAt) > removedRouteMemory
	})
	for key, route := range old {
		if current[key] == nil {
			r.removed[key] = removedRoute{route.Services(), now}
		}
	}
}

// resumableRoutes returns the routes with streams that may be resumed.
func resumableRoutes(s *routing.Snapshot) map[pathPrefix]*routing.Route {
	out := map[pathPrefix]*routing.Route{}
	if s == nil {
		return out
	}
	for _, route := range s.Routes() {
		if route.MayResume() {
			out[pathPrefix{route.Host, route.Prefix}] = route
		}
	}
	return out
}

// matchingServices returns the services to which a configuration leads the paths of a
// prefix, if their streams may be resumed.
func matchingServices(s *routing.Snapshot, key pathPrefix) []string {
	if s == nil {
		return nil
	}
	if route := s.Match(key.host, key.prefix); route != nil && route.MayResume() {
		return route.Services()
	}
	return nil
}

// appendMove appends the services of a route before and after a change, if some of those
// before are no longer among them.
func appendMove(moved [][]string, before, now []string) [][]string {
	if len(now) == 0 || !slices.ContainsFunc(before, func(name string) bool { return !slices.Contains(now, name) }) {
		return moved
	}
	return append(moved, slices.Concat(before, now))
}

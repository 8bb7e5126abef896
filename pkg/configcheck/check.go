// Package configcheck examines a routing configuration before it is published and when an
// instance adopts it: entries that are ambiguous, that no request can ever match, and
// limits that contradict each other. It also lists what differs between two versions.
package configcheck

import (
	"fmt"
	"slices"
	"strings"

	"github.com/fescuestep/fescuestep/pkg/routing"
)

// Severity tells what a finding means for an operator.
type Severity int

// Severities.
const (
	Warning Severity = iota // the entry has no effect, or another one than it seems to have
	Error                   // requests are refused or reach another service than intended
)

// String returns the name used in output.
func (s Severity) String() string { return [...]string{"warning", "error"}[s] }

// Finding is one mistake in a configuration.
type Finding struct {
	Severity Severity
	Entry    string // the entry concerned, such as `route "chat"`
	Message  string
}

// String returns the finding as one line.
func (f Finding) String() string { return fmt.Sprintf("%s: %s: %s", f.Severity, f.Entry, f.Message) }

type checker struct {
	config   routing.Config
	services map[string]*routing.Service
	findings []Finding
}

// Check returns the mistakes in a configuration, errors first, otherwise in the order of
// its entries.
func Check(c routing.Config) []Finding {
	k := &checker{config: c, services: map[string]*routing.Service{}}
	k.checkServices()
	k.checkRoutes()
	k.checkUnusedServices()
	k.checkCustomers()
	k.checkLimits()
	slices.SortStableFunc(k.findings, func(a, b Finding) int { return int(b.Severity) - int(a.Severity) })
	return k.findings
}

func (k *checker) add(s Severity, entry, format string, args ...any) {
	k.findings = append(k.findings, Finding{s, entry, fmt.Sprintf(format, args...)})
}

func entry(kind, name string) string { return fmt.Sprintf("%s %q", kind, name) }

func (k *checker) checkServices() {
	for i := range k.config.Services {
		s := &k.config.Services[i]
		name := entry("service", s.Name)
		if k.services[s.Name] != nil {
			k.add(Error, name, "is listed twice; only one entry has an effect")
		}
		k.services[s.Name] = s
		e := s.Engine
		switch {
		case e == nil:
			continue
		case len(e.Models) == 0:
			k.add(Warning, name, "has engines without a model, so no version of weights applies to them")
		case e.Slots <= 0 || e.KVTokens <= 0:
			k.add(Error, name, "has engines with %d slots and %d tokens of KV cache, so they take no request", e.Slots, e.KVTokens)
		}
		if s.ConnLimit > 0 && s.ConnLimit < e.Slots {
			k.add(Warning, name, "accepts %d connections, fewer than its %d slots", s.ConnLimit, e.Slots)
		}
	}
}

// routeKey identifies the requests that a route matches.
type routeKey struct{ host, prefix string }

func (k *checker) checkRoutes() {
	names := map[string]bool{}
	first := map[routeKey]string{}
	for i := range k.config.Routes {
		r := &k.config.Routes[i]
		name := entry("route", r.Name)
		if names[r.Name] {
			k.add(Warning, name, "has the name of an earlier route, so metrics and logs mix them")
		}
		names[r.Name] = true
		key := routeKey{strings.ToLower(r.Host), r.Prefix}
		if earlier, ok := first[key]; ok {
			k.add(Error, name, "matches the same host and prefix as route %q, so one of them never matches", earlier)
		} else {
			first[key] = r.Name
		}
		if strings.ContainsAny(r.Prefix, "?#") {
			k.add(Error, name, "never matches, since the prefix %q contains more than a path", r.Prefix)
		}
		if !strings.HasSuffix(r.Prefix, "/") {
			k.add(Warning, name, "the prefix %q does not end with a slash, so it also matches the beginning of longer names", r.Prefix)
		}
		k.checkDestinations(name, r)
		k.checkRouteLimits(name, r)
	}
}

func (k *checker) checkDestinations(name string, r *routing.Route) {
	seen := map[string]bool{}
	for _, split := range r.Split {
		s := k.services[split.Service]
		switch {
		case s == nil:
			k.add(Error, name, "leads to the service %q, which is not listed", split.Service)
		case s.KVStore != nil:
			k.add(Error, name, "leads to the service %q, which is a store of KV cache and takes no requests", split.Service)
		case r.HasPrompt && s.Engine == nil:
			k.add(Warning, name, "its requests state prompts, but the service %q has no engines", split.Service)
		case r.Kind == routing.Stream && !r.HasPrompt && s.Engine != nil:
			k.add(Warning, name, "its requests state no prompts, so the engines of %q are chosen without regard to what they have cached", split.Service)
		}
		if seen[split.Service] {
			k.add(Warning, name, "lists the service %q twice in its traffic split", split.Service)
		}
		seen[split.Service] = true
	}
}

func (k *checker) checkRouteLimits(name string, r *routing.Route) {
	if r.Timeout <= 0 {
		k.add(Warning, name, "has no timeout, so only the caller's deadline applies")
	}
	if r.Timeout > 0 && r.TargetLatency > r.Timeout {
		k.add(Error, name, "has a target latency of %s, longer than its timeout of %s", r.TargetLatency, r.Timeout)
	}
	if r.Timeout > 0 && r.TargetEventGap > r.Timeout {
		k.add(Error, name, "has a target event gap of %s, longer than its timeout of %s", r.TargetEventGap, r.Timeout)
	}
	if r.Kind != routing.Stream && (r.TargetEventGap > 0 || r.Resumable) {
		k.add(Warning, name, "does not stream, so its target event gap and resumability have no effect")
	}
	if r.MaxAttempts > 1 && !r.Idempotent() {
		k.add(Warning, name, "allows %d attempts, but its requests run at most once: more than one is made only after a refusal", r.MaxAttempts)
	}
}

func (k *checker) checkUnusedServices() {
	used := map[string]bool{}
	for _, r := range k.config.Routes {
		for _, s := range r.Split {
			used[s.Service] = true
		}
	}
	for _, s := range k.config.Services {
		if !used[s.Name] && s.KVStore == nil {
			k.add(Warning, entry("service", s.Name), "no route leads to it")
		}
	}
}

func (k *checker) checkCustomers() {
	keys := map[string]int{}
	for _, customer := range k.config.Keys {
		keys[customer]++
	}
	names := map[string]bool{}
	for _, c := range k.config.Customers {
		name := entry("customer", c.Name)
		if names[c.Name] {
			k.add(Error, name, "is listed twice; only one entry has an effect")
		}
		names[c.Name] = true
		if keys[c.Name] == 0 {
			k.add(Warning, name, "has no key, so no request can be its own")
		}
		switch {
		case c.Rate <= 0 && c.Burst > 0:
			k.add(Warning, name, "has a burst but no rate, so it has no limit at all")
		case c.Rate > 0 && c.Burst <= 0:
			k.add(Warning, name, "has a rate without a burst, so requests are admitted one at a time")
		case c.Rate > 0 && !c.CountsRequests && c.Burst < float64(c.DefaultRequestTokens):
			k.add(Warning, name, "its burst of %g tokens is less than the %d tokens that a request without token counts is charged", c.Burst, c.DefaultRequestTokens)
		}
	}
	for _, shared := range k.config.SharedKeys {
		k.add(Error, entry("customer", shared), "has a key that is also listed for another customer")
	}
}

func (k *checker) checkLimits() {
	l := k.config.Limits
	if l.HeaderTimeout > l.IdleTimeout {
		k.add(Warning, "limits", "callers may take %s for a head, longer than the %s for which a connection may be idle", l.HeaderTimeout, l.IdleTimeout)
	}
	if int64(l.HeaderBytes) > l.BodyBytes {
		k.add(Warning, "limits", "heads may have %d bytes, more than bodies with %d", l.HeaderBytes, l.BodyBytes)
	}
}

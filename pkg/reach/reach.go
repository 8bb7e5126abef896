// Package reach decides whether one instance is cut off from the upstreams of a service:
// whether it can open connections to none of them. The package does no I/O and is not safe
// for concurrent use.
package reach

import "slices"

const (
	// suspectAfter is the number of upstreams that must refuse connections, with none
	// opened in between, before others are probed. Single upstreams end all the time.
	suspectAfter = 2
	// cutOffAfter is the number of upstreams to which no connection can be opened after
	// which the instance counts as cut off, if that many are listed.
	cutOffAfter = 5
	// probes is the number of upstreams that are probed at once.
	probes = 3
)

// Tracker is what an instance knows of its connections to the upstreams of all services.
type Tracker struct{ services map[string]*service }

type service struct {
	failed map[string]bool // by upstream ID: no connection could be opened since one could last
	cutOff bool
}

// New returns a tracker of an instance that reaches all services.
func New() *Tracker { return &Tracker{services: map[string]*service{}} }

func (t *Tracker) service(name string) *service {
	s := t.services[name]
	if s == nil {
		s = &service{failed: map[string]bool{}}
		t.services[name] = s
	}
	return s
}

// Opened records that a connection to an upstream of a service was opened. It reports
// whether the instance was cut off until then.
func (t *Tracker) Opened(name string) (reachedAgain bool) {
	s := t.service(name)
	clear(s.failed)
	reachedAgain = s.cutOff
	s.cutOff = false
	return reachedAgain
}

// Failed records that no connection to an upstream could be opened.
func (t *Tracker) Failed(name, upstream string) { t.service(name).failed[upstream] = true }

// ProbesFailed records that a round of probes has opened no connection. listed are the IDs
// of all upstreams of the service. It reports whether the instance is cut off from now on.
// Failures of requests alone show too little: connections that are kept open are used
// again, so that only those to upstreams that cannot be reached are opened anew.
func (t *Tracker) ProbesFailed(name string, listed []string) (cutOff bool) {
	s := t.service(name)
	if s.cutOff || len(listed) == 0 || s.failures(listed) < min(cutOffAfter, len(listed)) {
		return false
	}
	s.cutOff = true
	return true
}

// failures returns how many of the listed upstreams have failed, and forgets others.
func (s *service) failures(listed []string) int {
	for id := range s.failed {
		if !slices.Contains(listed, id) {
			delete(s.failed, id)
		}
	}
	return len(s.failed)
}

// CutOff reports whether the instance is cut off from a service.
func (t *Tracker) CutOff(name string) bool {
	s := t.services[name]
	return s != nil && s.cutOff
}

// Suspected reports whether upstreams of a service must be probed.
func (t *Tracker) Suspected(name string, listed []string) bool {
	s := t.services[name]
	return s != nil && (s.cutOff || (len(listed) > 0 && s.failures(listed) >= min(suspectAfter, len(listed))))
}

// Probes chooses the upstreams of a service to probe: first those that have not failed.
// pick returns a number from 0 to n-1.
func (t *Tracker) Probes(name string, listed []string, pick func(n int) int) []string {
	s := t.service(name)
	var untried, failed []string
	for _, id := range listed {
		if s.failed[id] {
			failed = append(failed, id)
			continue
		}
		untried = append(untried, id)
	}
	out := draw(untried, probes, pick)
	return append(out, draw(failed, probes-len(out), pick)...)
}

// draw returns at most n entries of list, chosen by pick.
func draw(list []string, n int, pick func(n int) int) []string {
	var out []string
	for len(out) < n && len(list) > 0 {
		i := pick(len(list))
		out = append(out, list[i])
		list = slices.Delete(list, i, i+1)
	}
	return out
}

// CutOffServices returns, in order, the services from which the instance is cut off.
func (t *Tracker) CutOffServices() []string {
	var out []string
	for name, s := range t.services {
		if s.cutOff {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

package dissemination

import (
	"math/rand/v2"
	"time"

	"github.com/fescuestep/fescuestep/pkg/history"
)

const (
	// failureBackoff is how long an instance is not asked after a call to it failed. One
	// that has just died can still look like the best source by its last digest.
	failureBackoff = 3 * time.Second
	// foreignDelay is how long instances of other failure domains are not asked for a change
	// that an instance of the own domain may still get.
	foreignDelay = 200 * time.Millisecond
	// maxRetryAfter bounds the time for which an instance that refused is not asked again.
	maxRetryAfter = time.Second
)

// Source is an instance that may be asked for a copy of a table.
type Source struct {
	Addr       string           // at which it takes calls
	SameDomain bool             // it is in the failure domain of the asking instance
	At         history.Position // of its table
}

// Sources chooses which instance is asked for one table.
type Sources struct {
	random       *rand.Rand
	avoidedUntil map[string]time.Time        // by address
	referred     map[string]history.Position // by address: instances that others have named, which got a copy at this position
	held         history.Position            // of the table at the last choice
	lackingSince time.Time                   // when another instance was first seen to have more than held; zero: none has
}

// NewSources returns a choice that draws among equal instances.
func NewSources(random *rand.Rand) *Sources {
	return &Sources{random: random, avoidedUntil: map[string]time.Time{}, referred: map[string]history.Position{}}
}

// Next returns the address of the instance to ask for a table that is held up to a
// position, or "" if none is to be asked now. Among those with the newest table it prefers
// the own failure domain, and draws evenly, so that all that have a copy share its
// distribution. wait is the time after which to call Next again; 0: when something changes.
func (s *Sources) Next(now time.Time, held history.Position, known []Source) (addr string, wait time.Duration) {
	newer := s.newer(held, known)
	if len(newer) == 0 {
		s.lackingSince = time.Time{}
		clear(s.referred)
		return "", 0
	}
	if s.lackingSince.IsZero() || s.held.Before(held) {
		s.lackingSince, s.held = now, held
	}
	local, foreign := s.newest(now, newer, true), s.newest(now, newer, false)
	foreignWait := foreignDelay - now.Sub(s.lackingSince)
	switch {
	case len(local) > 0:
		return s.draw(local), 0
	case len(foreign) == 0:
		return "", s.soonest(now, newer)
	case foreignWait > 0 && hasLocal(known):
		return "", foreignWait
	}
	return s.draw(foreign), 0
}

// newer returns the instances with a table beyond the held position, with those that others
// have named.
func (s *Sources) newer(held history.Position, known []Source) []Source {
	var out []Source
	for _, source := range known {
		if at, ok := s.referred[source.Addr]; ok && source.At.Before(at) {
			source.At = at
		}
		if held.Before(source.At) {
			out = append(out, source)
		}
	}
	return out
}

// newest returns those of the instances of the own or of the other failure domains with the
// newest table that may be asked now.
func (s *Sources) newest(now time.Time, sources []Source, sameDomain bool) []Source {
	var out []Source
	for _, source := range sources {
		if source.SameDomain != sameDomain || now.Before(s.avoidedUntil[source.Addr]) {
			continue
		}
		if len(out) > 0 && out[0].At.Before(source.At) {
			out = out[:0]
		}
		if len(out) == 0 || !source.At.Before(out[0].At) {
			out = append(out, source)
		}
	}
	return out
}

func (s *Sources) draw(sources []Source) string { return sources[s.random.IntN(len(sources))].Addr }

// soonest returns the time until one of the instances may be asked again.
func (s *Sources) soonest(now time.Time, sources []Source) time.Duration {
	wait := failureBackoff
	for _, source := range sources {
		wait = min(wait, s.avoidedUntil[source.Addr].Sub(now))
	}
	return max(wait, time.Millisecond)
}

func hasLocal(known []Source) bool {
	for _, source := range known {
		if source.SameDomain {
			return true
		}
	}
	return false
}

// Refused records that an instance sends no copy for some time, and names instances that
// have got one at a position.
func (s *Sources) Refused(now time.Time, addr string, retryAfter time.Duration, referred []string, at history.Position) {
	s.avoidedUntil[addr] = now.Add(min(max(retryAfter, 0), maxRetryAfter))
	for _, other := range referred {
		s.referred[other] = at
	}
}

// Failed records that a call to an instance failed. It is not asked for failureBackoff.
func (s *Sources) Failed(now time.Time, addr string) {
	s.avoidedUntil[addr] = now.Add(failureBackoff)
	delete(s.referred, addr)
	for other, until := range s.avoidedUntil {
		if !now.Before(until) {
			delete(s.avoidedUntil, other)
		}
	}
}

package fleet

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/fescuestep/fescuestep/pkg/history"
)

const (
	// outdatedEntryPeriod is how long an entry may be outdated after the store came back
	// from a copy that has it, or after its process was listed as draining: the store may
	// carry out an earlier report seconds later. The platform removes the entry of an
	// upstream that has been silent for three of its intervals of about a second.
	outdatedEntryPeriod = 8 * time.Second
	// departureMemory is how long a departure is remembered while the upstream is not
	// listed. No copy of the store is as old.
	departureMemory = 5 * time.Minute
	// unknownProcessMemory is how long a departure is remembered of a process whose
	// start time is not known: the next one with its ID looks the same.
	unknownProcessMemory = 30 * time.Second
)

// Departure is the knowledge that an upstream leaves or has left.
type Departure struct {
	ID          string
	StartTimeMS int64 // of the process that leaves, as in Upstream
	// Stated means that the upstream itself said so in a response. It then holds for
	// as long as that process runs. Otherwise the store listed it, at position At.
	Stated bool
	At     history.Position

	knownAt       time.Time // when this instance learned of it
	outdatedUntil time.Time // until when entries that list the process as ready are outdated
}

// supersedes reports whether d is newer knowledge than other about the same upstream.
func (d Departure) supersedes(other Departure) bool {
	switch {
	case d.StartTimeMS != other.StartTimeMS:
		return d.StartTimeMS > other.StartTimeMS
	case other.Stated:
		return false
	}
	return d.Stated || other.At.Before(d.At)
}

// asDraining returns a copy that gets no new requests.
func (u *Upstream) asDraining() *Upstream {
	out := *u
	out.Draining = true
	return &out
}

// Leave records a departure that the upstream itself stated or that another instance
// knows. It reports whether the view changes.
func (r *Registry) Leave(d Departure, now time.Time) bool {
	if known, ok := r.departures[d.ID]; ok && !d.supersedes(known) {
		return false
	}
	d.knownAt = now
	r.departures[d.ID] = d
	e, ok := r.listed[d.ID]
	if !ok || e.shown.Draining || !r.departed(e, now) {
		return false
	}
	e.shown = e.listed.asDraining()
	r.listed[d.ID] = e
	return true
}

// Departures returns the known departures, ordered by ID.
func (r *Registry) Departures() []Departure {
	out := slices.Collect(maps.Values(r.departures))
	slices.SortFunc(out, func(a, b Departure) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// recordListedDeparture records that the store lists an upstream as draining, or no
// longer lists it, at a position. The removal of an upstream whose start time is not
// known ends what it stated, since the next one with its ID may be another process.
func (r *Registry) recordListedDeparture(u *Upstream, at history.Position, now time.Time) {
	known, ok := r.departures[u.ID]
	d := Departure{ID: u.ID, StartTimeMS: u.StartTimeMS, At: at}
	switch {
	case u.StartTimeMS == 0: // the next process with the ID looks the same
	case u.Draining:
		d.outdatedUntil = now.Add(outdatedEntryPeriod)
	case known.StartTimeMS == u.StartTimeMS:
		d.outdatedUntil = known.outdatedUntil
	}
	if !ok || d.supersedes(known) || (known.Stated && known.StartTimeMS == 0 && u.StartTimeMS == 0 && !u.Draining) {
		r.departures[u.ID] = d
	}
}

// departed reports whether a listed upstream is known to leave. An entry without a start
// time shows no other process than the one that leaves: another writer may have left it.
// A departure that only
// the store listed is void if the upstream was listed again after it. In a new era
// that is certain for higher versions only: an entry with a lower one may stem from
// the copy with which the era began, and counts as outdated for a while.
func (r *Registry) departed(e entry, now time.Time) bool {
	d, ok := r.departures[e.listed.ID]
	switch {
	case !ok:
		return false
	case e.listed.StartTimeMS == 0 && d.StartTimeMS != 0:
		return true
	case d.StartTimeMS != e.listed.StartTimeMS:
		return false
	case d.Stated || now.Before(d.outdatedUntil):
		return true
	case e.at.Era <= d.At.Era:
		return e.at.Before(d.At)
	}
	return e.at.Version <= d.At.Version && now.Before(r.outdatedUntil)
}

// expireDepartures forgets departures of upstreams that have not been listed for
// departureMemory, and those of unknown processes.
func (r *Registry) expireDepartures(now time.Time) {
	for id, d := range r.departures {
		_, listed := r.listed[id]
		memory := departureMemory
		if d.StartTimeMS == 0 {
			listed, memory = false, unknownProcessMemory
		}
		switch {
		case listed || d.knownAt.IsZero():
			d.knownAt = now
			r.departures[id] = d
		case now.Sub(d.knownAt) > memory:
			delete(r.departures, id)
		}
	}
}

// showReturned shows upstreams again whose entries no longer count as outdated. It
// reports whether there were any.
func (r *Registry) showReturned(now time.Time) bool {
	changed := false
	for id, e := range r.listed {
		if e.shown != e.listed && !r.departed(e, now) {
			e.shown = e.listed
			r.listed[id] = e
			changed = true
		}
	}
	return changed
}

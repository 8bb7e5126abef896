// Package upstreamrate divides the rate that an upstream takes from all instances
// together. Instances tell each other the limits that upstreams name and how many
// requests each of them would send; from that each one computes which of the limit's
// slots are its own, so that no request needs a question to another instance. The
// package does no I/O, is not safe for concurrent use, and takes the current time as an
// argument.
package upstreamrate

import (
	"math"
	"time"

	"github.com/fescuestep/fescuestep/pkg/movingrate"
)

// Process identifies one process of an upstream.
type Process struct {
	ID          string
	StartTimeMS int64 // as in fleet.Upstream; 0 if unknown
}

// Statement is what a process names in its answers.
type Statement struct {
	Process   Process
	Limited   bool      // false: it names no limit any more
	PerSecond float64   // limit in requests per second
	Since     time.Time // when an instance first received this limit
	Base      float64   // slots that were due until Since; see slots.go
	At        time.Time // when an instance last received it
}

const (
	// statementMemory is how long a limit holds that no instance has received again. Only
	// an upstream that is asked for nothing says nothing for so long.
	statementMemory = 10 * time.Minute
	// endMemory is how long the end of a limit is remembered, so that an older statement
	// of another instance does not bring it back.
	endMemory = time.Minute
)

// Limits holds the limits of all upstreams, as one instance knows them.
type Limits struct {
	self      string
	limits    map[string]*limit // by upstream ID
	instances map[string]wishes

	places     map[string]dealtPlaces // by upstream ID
	generation uint64                 // increases with each change of the known instances
}

// limit is a statement and this instance's use of it.
type limit struct {
	Statement
	lastSlot int64          // last slot that this instance has used
	own      map[int64]bool // by slot: whether it is this instance's
	division division
	wished   movingrate.Rate // requests that this instance would send without the limit
	told     float64         // wish that the other instances know, if hasTold
	hasTold  bool
}

// New returns an instance's limits; self is its name.
func New(self string) *Limits {
	return &Limits{self: self, limits: map[string]*limit{}, instances: map[string]wishes{}, places: map[string]dealtPlaces{}}
}

// Record records a statement that this instance has received or another one tells. It
// reports whether the limit of the upstream changed.
func (l *Limits) Record(s Statement) (changed bool) {
	known := l.limits[s.Process.ID]
	if known == nil || known.Process.StartTimeMS < s.Process.StartTimeMS {
		if !s.Limited {
			return false
		}
		l.limits[s.Process.ID] = newLimit(s)
		return true
	}
	if known.Process != s.Process {
		return false // of an earlier process
	}
	if known.Limited == s.Limited && known.PerSecond == s.PerSecond {
		known.confirm(s)
		return false
	}
	if !s.At.After(known.At) {
		return false
	}
	known.replace(s)
	return true
}

// Next returns the statement of a limit, in requests per second, that this instance has
// just received from a process. Slots are counted on from those of an earlier limit, so
// that one that often changes grants no more.
func (l *Limits) Next(p Process, perSecond float64, now time.Time) Statement {
	s := Statement{Process: p, Limited: true, PerSecond: perSecond, Since: now, At: now}
	if known := l.limits[p.ID]; known != nil && known.Process == p {
		s.Base = known.position(now)
	}
	return s
}

func newLimit(s Statement) *limit {
	return &limit{Statement: s, lastSlot: -1, own: map[int64]bool{}}
}

// replace takes over another statement. The number of slots since the last used one stays.
func (l *limit) replace(s Statement) {
	before := l.position(s.At)
	l.Statement = s
	l.lastSlot += int64(math.Round(l.position(s.At) - before))
	clear(l.own)
}

// confirm takes over when the same limit was first and last received. All instances count
// slots from the first time.
func (l *limit) confirm(s Statement) {
	if l.Limited && s.Since.Before(l.Since) {
		first := l.Statement
		first.Since, first.Base = s.Since, s.Base
		l.replace(first)
	}
	if s.At.After(l.At) {
		l.At = s.At
	}
}

// RecordNone records that a process named no limit in the answer to a request sent at a
// time. Answers to requests that were sent before the limit was last named show nothing.
// It reports whether a limit ended.
func (l *Limits) RecordNone(p Process, sentAt, now time.Time) (ended bool) {
	known := l.limits[p.ID]
	if known == nil || known.Process != p || !known.Limited || !sentAt.After(known.At) {
		return false
	}
	return l.Record(Statement{Process: p, At: now})
}

// Statements returns what other instances must know, and forgets what is outdated. Ends
// of limits are not among them.
func (l *Limits) Statements(now time.Time) []Statement {
	var out []Statement
	for id, known := range l.limits {
		age := now.Sub(known.At)
		switch {
		case age > statementMemory || (!known.Limited && age > endMemory):
			delete(l.limits, id)
		case known.Limited:
			out = append(out, known.Statement)
		}
	}
	return out
}

// Limited reports whether an upstream names a limit.
func (l *Limits) Limited(p Process) bool { return l.limit(p) != nil }

// limit returns the limit in force for a process, or nil.
func (l *Limits) limit(p Process) *limit {
	known := l.limits[p.ID]
	if known == nil || !known.Limited || known.Process != p {
		return nil
	}
	return known
}

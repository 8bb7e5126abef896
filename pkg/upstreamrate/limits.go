// Package upstreamrate divides the rate that an upstream takes from all instances
// together. Instances tell each other the limits that upstreams name and how many
// requests each of them would send; from that each one computes which of the limit's
// slots are its own, so that no request needs a question to another instance. The
// package does no I/O, is not safe for concurrent use, and takes the current time as an
// argument.
package upstreamrate

import "time"

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
	limits map[string]*limit // by upstream ID
}

// limit is the newest statement of an upstream.
type limit struct {
	Statement
}

// New returns an instance's limits; self is its name.
func New(string) *Limits {
	return &Limits{limits: map[string]*limit{}}
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
	if s.Limited {
		l.limits[s.Process.ID] = newLimit(s)
		return true
	}
	known.Statement = s
	return true
}

func newLimit(s Statement) *limit { return &limit{Statement: s} }

// confirm takes over when the same limit was first and last received.
func (l *limit) confirm(s Statement) {
	if s.Since.Before(l.Since) {
		l.Since = s.Since
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

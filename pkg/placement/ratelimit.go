package placement

import (
	"time"

	"github.com/fescuestep/fescuestep/pkg/fleet"
	"github.com/fescuestep/fescuestep/pkg/upstreamrate"
)

// Limits returns the limits that upstreams name.
func (b *Balancer) Limits() *upstreamrate.Limits { return b.limits }

func processOf(u *fleet.Upstream) upstreamrate.Process {
	return upstreamrate.Process{ID: u.ID, StartTimeMS: u.StartTimeMS}
}

// RecordRateLimit records the limit, in requests per second, that an upstream named in its
// answer to an attempt. It returns the statement and whether it changes the limit.
func (b *Balancer) RecordRateLimit(a *Attempt, perSecond float64, now time.Time) (s upstreamrate.Statement, changed bool) {
	s = b.limits.Next(processOf(a.Upstream), perSecond, now)
	return s, b.limits.Record(s)
}

// RecordNoRateLimit records that an upstream named no limit in its answer to an attempt.
// It returns the statement and whether a limit ended.
func (b *Balancer) RecordNoRateLimit(a *Attempt, now time.Time) (s upstreamrate.Statement, ended bool) {
	s = upstreamrate.Statement{Process: processOf(a.Upstream), At: now}
	return s, b.limits.RecordNone(s.Process, a.sentAt, now)
}

// withinLimit reports whether an upstream takes another request from this instance now.
func (b *Balancer) withinLimit(u *fleet.Upstream, now time.Time) bool {
	return b.limits.Due(processOf(u), now)
}

// recordWish counts a request for the upstream that it would be sent to if no upstream
// had a limit. Limits are divided by these wishes.
func (b *Balancer) recordWish(u *fleet.Upstream, now time.Time) {
	if u != nil {
		b.limits.Wish(processOf(u), now)
	}
}

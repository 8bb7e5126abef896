package edge

import (
	"time"

	"github.com/fescuestep/fescuestep/pkg/upstreamrate"
	rpc "github.com/fescuestep/fescuestep/rpc/edge"
)

// rateLimit is what an instance tells of a limit that an upstream names.
type rateLimit struct {
	upstreamrate.Statement
	wished *float64 // requests per second that this instance would send without it; nil: not told
}

// nextRateLimits returns the limits in force for one whole digest: at most maxUpdates, in
// turn if there are more.
func (p *peers) nextRateLimits() []rateLimit {
	all := p.placer.rateLimits()
	out := make([]rateLimit, 0, maxUpdates)
	for range min(len(all), maxUpdates) {
		p.nextRateLimit++
		out = append(out, all[p.nextRateLimit%len(all)])
	}
	p.placer.tellWishes(out)
	return out
}

// applyRateLimits applies the limits that another instance tells. It skips what no
// instance encodes.
func (p *peers) applyRateLimits(instance string, list []*rpc.RateLimit) {
	now := p.now()
	for _, m := range list {
		if !(m.PerSecond >= 0) || !(m.GetWished() >= 0) {
			continue
		}
		s := decodeRateLimit(m, now)
		if p.placer.adoptRateLimit(instance, s, m.Wished) {
			p.logRateLimit(s)
		}
	}
}

// logRateLimit logs that an upstream names another limit than before, or none.
func (p *peers) logRateLimit(s upstreamrate.Statement) {
	if !s.Limited {
		p.log.Info("upstream names no limit any more", "upstream", s.Process.ID)
		return
	}
	p.log.Info("upstream names a limit", "upstream", s.Process.ID, "requests_per_second", s.PerSecond)
}

func encodeRateLimits(list []rateLimit, now time.Time) []*rpc.RateLimit {
	var out []*rpc.RateLimit
	for _, l := range list {
		out = append(out, &rpc.RateLimit{
			Upstream: l.Process.ID, StartMs: l.Process.StartTimeMS, Limited: l.Limited, PerSecond: l.PerSecond,
			SinceAgoMs: ago(l.Since, now), Base: l.Base, AgoMs: ago(l.At, now), Wished: l.wished,
		})
	}
	return out
}

func decodeRateLimit(m *rpc.RateLimit, now time.Time) upstreamrate.Statement {
	return upstreamrate.Statement{
		Process: upstreamrate.Process{ID: m.Upstream, StartTimeMS: m.StartMs}, Limited: m.Limited, PerSecond: m.PerSecond,
		Since: before(m.SinceAgoMs, now), Base: m.Base, At: before(m.AgoMs, now),
	}
}

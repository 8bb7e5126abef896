package placement

import (
	"time"

	"github.com/fescuestep/fescuestep/pkg/concurrency"
	"github.com/fescuestep/fescuestep/pkg/fleet"
)

const (
	// defaultPlainTime is the time of a request to a plain service until one was measured.
	defaultPlainTime = 30 * time.Millisecond
	// plainTimeWeight is the weight of a measurement in the usual time of a plain service.
	plainTimeWeight = 0.05
	// plainTolerance is the factor by which a plain upstream may be slower than usual and
	// count as usual: requests of one service differ in their work.
	plainTolerance = 1.25
	// maxStatementAge is the age up to which the numbers of requests that an upstream
	// stated are taken into account.
	maxStatementAge = 400 * time.Millisecond
)

// currentSpeed returns the prefill speed that an engine is expected to have now.
func (b *Balancer) currentSpeed(s *upstreamState, now time.Time) Speed {
	return b.meanSpeed / Speed(s.capacity.SlowdownFactor(now))
}

// computeTime returns the expected time for which an engine computes that many prompt
// tokens from now on.
func (b *Balancer) computeTime(s *upstreamState, tokens float64, now time.Time) time.Duration {
	return s.capacity.Stretch(now, b.meanSpeed.timeFor(tokens))
}

// requestsAt returns the number of requests at an upstream: those of all instances or,
// if it stated more just now, those.
func (s *upstreamState) requestsAt(now time.Time) int {
	requests := s.own.Requests + s.peers.Requests
	if now.Sub(s.statedAt) < maxStatementAge {
		requests = max(requests, s.statedRequests)
	}
	return requests
}

// slotWait returns the expected time until a slot of an upstream is free for another
// request, if so many requests are there.
func (b *Balancer) slotWait(u *fleet.Upstream, s *upstreamState, requests int, now time.Time) time.Duration {
	if u.Slots <= 0 {
		return 0
	}
	var room concurrency.Room
	room.Add(s.capacity.Limit(now), requests, s.capacity.Stretch(now, b.meanDuration(u.Service)))
	return room.Wait
}

// plainTime returns the expected time that a plain upstream takes for a request. A faster
// one counts as usual: few slow answers raise the mean, by which all upstreams that were
// measured lately seem faster than the others.
func (b *Balancer) plainTime(u *fleet.Upstream, s *upstreamState, now time.Time) time.Duration {
	usual := b.usualPlainTime(u.Service)
	if s.capacity.SlowdownFactor(now) < plainTolerance {
		return usual
	}
	return s.capacity.Stretch(now, usual)
}

func (b *Balancer) usualPlainTime(service string) time.Duration {
	if d := b.plainTimes[service]; d > 0 {
		return d
	}
	return defaultPlainTime
}

// Answered records that the head of the answer to an attempt has arrived. For a plain
// service this measures the upstream; for an engine, FirstToken does.
func (b *Balancer) Answered(a *Attempt, now time.Time) {
	s := b.states[a.Upstream.ID]
	took := now.Sub(a.sentAt)
	if s == nil || len(a.Upstream.Weights) > 0 || a.measured || took <= 0 {
		return
	}
	a.measured = true
	service := a.Upstream.Service
	usual, known := b.plainTimes[service]
	if !known {
		usual = took
	}
	s.capacity.RecordSample(now, concurrency.Sample{Took: took, Usual: usual, Running: a.runningAtSend})
	b.noteCapacity(a.Upstream.ID, s, now)
	if a.runningAtSend <= max(1, s.capacity.Limit(now)/2) {
		unslowed := time.Duration(float64(took) / s.capacity.StatedFactor(now))
		usual += time.Duration(plainTimeWeight * float64(unslowed-usual))
		b.plainTimes[service] = usual
	}
}

// CapacityReport is what an instance tells the others of an upstream's capacity.
type CapacityReport struct {
	Upstream string
	concurrency.Report
}

// toldCapacity is the last report of an upstream that this instance sent, or received.
type toldCapacity struct {
	report concurrency.Report
	at     time.Time
}

// noteCapacity marks an upstream for the next report if what this instance knows of it
// differs noticeably from what the instances have told.
func (b *Balancer) noteCapacity(id string, s *upstreamState, now time.Time) {
	if b.capacityReport(id, s, now).Changed(s.told.report, now.Sub(s.told.at)) {
		b.untold[id] = true
	}
}

// capacityReport returns what is told of an upstream. The speeds of engines are announced
// with the prompts that measured them; told twice they would count twice.
func (b *Balancer) capacityReport(id string, s *upstreamState, now time.Time) concurrency.Report {
	r := s.capacity.Report(now)
	if u := b.view.ByID(id); u != nil && len(u.Weights) > 0 {
		r.Learned = 0
	}
	return r
}

// CapacityReports returns at most most reports of upstreams that changed noticeably since
// the last ones. The rest follows with the next call.
func (b *Balancer) CapacityReports(most int, now time.Time) []CapacityReport {
	var out []CapacityReport
	for id := range b.untold {
		if len(out) == most {
			break
		}
		delete(b.untold, id)
		s := b.states[id]
		if s == nil {
			continue
		}
		r := b.capacityReport(id, s, now)
		if !r.Changed(s.told.report, now.Sub(s.told.at)) {
			continue
		}
		s.told = toldCapacity{r, now}
		out = append(out, CapacityReport{id, r})
	}
	return out
}

// MergeCapacity takes over a report of another instance. It ignores those for upstreams
// that are not listed.
func (b *Balancer) MergeCapacity(r CapacityReport, now time.Time) {
	u := b.view.ByID(r.Upstream)
	if u == nil {
		return
	}
	s := b.state(u)
	b.advanceBacklog(s, now)
	s.capacity.Merge(now, r.Report)
	if r.Stated > 0 {
		// The others know this statement; this instance need not repeat it.
		s.told.report.Stated, s.told.at = r.Stated, now
	}
}

// SlowdownFactor returns how many times as long as usual work takes at the upstream with
// the ID, 1 if nothing is known.
func (b *Balancer) SlowdownFactor(id string, now time.Time) float64 {
	s := b.states[id]
	if s == nil {
		return 1
	}
	return s.capacity.SlowdownFactor(now)
}

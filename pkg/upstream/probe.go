package upstream

import (
	"slices"
	"time"

	"github.com/fescuestep/fescuestep/pkg/pick"
)

// Limits for probes: fresh load reports of the best candidates, read before a
// long prefill is sent.
const (
	// minProbePrefill is the expected prefill time from which a probe pays off.
	// A probe takes a few ms; without it, a prefill queued behind requests that
	// this instance does not know of waits for all of them.
	minProbePrefill = 80 * time.Millisecond
	// maxProbedCandidates is the number of candidates that are probed for one
	// request.
	maxProbedCandidates = 8
	// minProbeReportAge is the age of a load report up to which a probe would
	// bring nothing new.
	minProbeReportAge = 30 * time.Millisecond
	// maxProbeWait is the longest wait for answers to probes. After it an
	// upstream is chosen without them.
	maxProbeWait = 10 * time.Millisecond
)

// OnProbe sets the function that requests the load reports of upstreams right
// away. Answers are passed to OnReport or OnPollFailed. The function must not
// call back into the Scheduler before it returns.
func (s *Scheduler) OnProbe(probe func(upstreamIDs []string)) { s.onProbe = probe }

// probeCandidates probes the best candidates for w if its prefill is long and
// their load reports are old. It reports whether w waits for the answers.
func (s *Scheduler) probeCandidates(now time.Time, w *Waiter, choice *pick.Choice) bool {
	policy, ok := s.policy.(*pick.LeastTTFT)
	u := choice.Upstream
	if !ok || !s.settings.Probe || w.wasProbed || u.PrefillPerSec <= 0 {
		return false
	}
	prefill := time.Duration(float64(choice.UncachedTokens) / u.PrefillPerSec * float64(time.Second))
	if prefill < minProbePrefill {
		return false
	}
	w.wasProbed = true
	w.pendingProbes = w.pendingProbes[:0]
	for _, u := range policy.BestCandidates(maxProbedCandidates) {
		if now.Sub(u.LastReport().SampledAt) > minProbeReportAge {
			w.pendingProbes = append(w.pendingProbes, u.ID)
		}
	}
	if len(w.pendingProbes) == 0 {
		return false
	}
	w.state, w.releaseAt = probing, now.Add(maxProbeWait)
	s.awaitingProbes = append(s.awaitingProbes, w)
	if s.onProbe != nil { // nil in a replay, whose trace contains the answers
		s.onProbe(slices.Clone(w.pendingProbes))
	}
	return true
}

// probeAnswered records that the upstream has answered and requeues requests
// whose probes are all answered.
func (s *Scheduler) probeAnswered(now time.Time, id string) {
	s.requeueProbed(now, func(w *Waiter) bool {
		w.pendingProbes = slices.DeleteFunc(w.pendingProbes, func(a string) bool { return a == id })
		return len(w.pendingProbes) == 0
	})
}

func (s *Scheduler) requeueProbed(now time.Time, match func(*Waiter) bool) {
	if len(s.awaitingProbes) == 0 {
		return
	}
	var requeued []*Waiter
	s.awaitingProbes = slices.DeleteFunc(s.awaitingProbes, func(w *Waiter) bool {
		if !match(w) {
			return false
		}
		requeued = append(requeued, w)
		return true
	})
	for _, w := range requeued {
		s.enqueue(now, w)
	}
}

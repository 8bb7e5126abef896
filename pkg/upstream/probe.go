package upstream

import (
	"slices"
	"time"

	"github.com/fescuestep/fescuestep/pkg/pick"
)

// Probing the load of the best candidates before a long prefill is sent.
const (
	// minProbePrefill is the expected prefill from which a probe pays: it takes a
	// few ms, and a prefill behind unseen work waits for all of that.
	minProbePrefill = 80 * time.Millisecond
	// maxProbedCandidates is the number of candidates probed.
	maxProbedCandidates = 8
	// minProbeReportAge is the age of a report below which a probe brings nothing new.
	minProbeReportAge = 30 * time.Millisecond
	// maxProbeWait bounds the wait for answers; the choice is made without them
	// then.
	maxProbeWait = 10 * time.Millisecond
)

// OnProbe sets the function that asks for the load reports of upstreams at
// once. The answers come through OnReport or OnPollFailed. It must not call
// back into the Core before it returns.
func (c *Scheduler) OnProbe(probe func(upstreamIDs []string)) { c.onProbe = probe }

// probeCandidates reports whether a chosen request should wait for fresh reports of
// its best candidates, and asks for them.
func (c *Scheduler) probeCandidates(now time.Time, w *Waiter, choice *pick.Choice) bool {
	estimate, ok := c.policy.(*pick.LeastTTFT)
	u := choice.Upstream
	if !ok || !c.settings.Probe || w.wasProbed || u.PrefillPerSec <= 0 {
		return false
	}
	prefill := time.Duration(float64(choice.UncachedTokens) / u.PrefillPerSec * float64(time.Second))
	if prefill < minProbePrefill {
		return false
	}
	w.wasProbed = true
	w.pendingProbes = w.pendingProbes[:0]
	for _, u := range estimate.BestCandidates(maxProbedCandidates) {
		if now.Sub(u.LastReport().SampledAt) > minProbeReportAge {
			w.pendingProbes = append(w.pendingProbes, u.ID)
		}
	}
	if len(w.pendingProbes) == 0 {
		return false
	}
	w.state, w.releaseAt = probing, now.Add(maxProbeWait)
	c.awaitingProbes = append(c.awaitingProbes, w)
	if c.onProbe != nil { // nil in a replay, which has the answers
		c.onProbe(slices.Clone(w.pendingProbes))
	}
	return true
}

// probeAnswered ends the wait of requests whose probes have all been probeAnswered.
func (c *Scheduler) probeAnswered(now time.Time, id string) {
	c.requeueProbed(now, func(w *Waiter) bool {
		w.pendingProbes = slices.DeleteFunc(w.pendingProbes, func(a string) bool { return a == id })
		return len(w.pendingProbes) == 0
	})
}

func (c *Scheduler) requeueProbed(now time.Time, ended func(*Waiter) bool) {
	if len(c.awaitingProbes) == 0 {
		return
	}
	var out []*Waiter
	c.awaitingProbes = slices.DeleteFunc(c.awaitingProbes, func(w *Waiter) bool {
		if !ended(w) {
			return false
		}
		out = append(out, w)
		return true
	})
	for _, w := range out {
		c.enqueue(now, w)
	}
}

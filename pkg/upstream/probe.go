package upstream

import (
	"slices"
	"time"

	"github.com/fescuestep/fescuestep/pkg/pick"
)

// Probing the load of the best candidates before a long prefill is sent.
const (
	// probePrefill is the expected prefill from which a probe pays: it takes a
	// few ms, and a prefill behind unseen work waits for all of that.
	probePrefill = 80 * time.Millisecond
	// probeCount is the number of candidates probed.
	probeCount = 8
	// probeFresh is the age of a report below which a probe brings nothing new.
	probeFresh = 30 * time.Millisecond
	// probeWait bounds the wait for answers; the choice is made without them
	// then.
	probeWait = 10 * time.Millisecond
)

// OnProbe sets the function that asks for the load reports of upstreams at
// once. The answers come through OnReport or OnPollFailed. It must not call
// back into the Core before it returns.
func (c *Core) OnProbe(probe func(upstreamIDs []string)) { c.probe = probe }

// wantsProbe reports whether a chosen request should wait for fresh reports of
// its best candidates, and asks for them.
func (c *Core) wantsProbe(now time.Time, w *Wait, choice *pick.Choice) bool {
	estimate, ok := c.policy.(*pick.LeastTTFT)
	u := choice.Upstream
	if !ok || !c.set.Probe || w.probed || u.PrefillPerSec <= 0 {
		return false
	}
	prefill := time.Duration(float64(choice.UncachedTokens) / u.PrefillPerSec * float64(time.Second))
	if prefill < probePrefill {
		return false
	}
	w.probed = true
	w.awaited = w.awaited[:0]
	for _, u := range estimate.BestCandidates(probeCount) {
		if now.Sub(u.LastReport().SampledAt) > probeFresh {
			w.awaited = append(w.awaited, u.ID)
		}
	}
	if len(w.awaited) == 0 {
		return false
	}
	w.state, w.until = probing, now.Add(probeWait)
	c.probed = append(c.probed, w)
	if c.probe != nil { // nil in a replay, which has the answers
		c.probe(slices.Clone(w.awaited))
	}
	return true
}

// answered ends the wait of requests whose probes have all been answered.
func (c *Core) answered(now time.Time, id string) {
	c.endProbes(now, func(w *Wait) bool {
		w.awaited = slices.DeleteFunc(w.awaited, func(a string) bool { return a == id })
		return len(w.awaited) == 0
	})
}

func (c *Core) endProbes(now time.Time, ended func(*Wait) bool) {
	if len(c.probed) == 0 {
		return
	}
	var out []*Wait
	c.probed = slices.DeleteFunc(c.probed, func(w *Wait) bool {
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

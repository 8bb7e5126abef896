package release

import (
	"fmt"
	"slices"
	"time"
)

// Record is what the store holds of a rollout.
type Record struct {
	To      string
	Phase   Phase
	Elapsed time.Duration
	Reason  string
	Renews  bool // it changes nothing of the status
}

// ended reports whether a phase ends a rollout.
func ended(p Phase) bool { return p == RolledBack || p == Completed }

// Adopt takes over what the store holds; nil: nothing. What concerns another version than
// the order's is of an earlier rollout. A read that failed is not adopted.
func (r *Rollout) Adopt(rec *Record, now time.Time) {
	if rec == nil {
		rec = &Record{}
	}
	r.recorded, r.unsure = rec, false
	r.known = true
	if rec.To != r.order.To {
		return
	}
	if rec.Elapsed > r.elapsed(now) && rec.Elapsed <= maxDuration {
		r.startedAt = now.Add(-rec.Elapsed)
	}
	switch {
	case r.final:
	case ended(rec.Phase):
		r.enter(rec.Phase, now)
		r.reason = rec.Reason
		r.final = true
	case rec.Phase > r.phase:
		r.enter(rec.Phase, now)
	}
}

// Peer is another instance as the leader knows it.
type Peer struct {
	Name string
	Live bool // it was heard lately
}

// withdrawTime is how long the order must be missing before the rollout is rolled back. A
// store that came back from an older copy lacks it until the operator writes it again.
const withdrawTime = 5 * time.Second

// Lead returns the record that the leader must write next, if any. It moves the rollout on
// from observing to shifting, which needs no record.
func (r *Rollout) Lead(now time.Time, peers []Peer) (write *Record) {
	if r.recorded == nil || !r.known {
		return nil
	}
	if !r.final && r.phase != RolledBack && !r.withdrawn.IsZero() && now.Sub(r.withdrawn) >= withdrawTime {
		r.reason = "the order was withdrawn"
		r.enter(RolledBack, now)
	}
	next := r.phase
	switch {
	case ended(r.phase):
	case r.recorded.To != r.order.To:
		next = Observing
	case len(r.Waiting(now, peers)) > 0:
		return r.renewal(now)
	case r.phase == Observing:
		r.enter(Shifting, now)
		return nil
	case r.phase == Shifting:
		next = Closing
	case r.phase == Closing:
		next = Completed
	}
	if r.recorded.To == r.order.To && r.recorded.Phase == next {
		return nil
	}
	return r.record(next, now)
}

func (r *Rollout) record(p Phase, now time.Time) *Record {
	return &Record{
		To: r.order.To, Phase: p, Elapsed: r.elapsed(now), Reason: r.reason,
		Renews: r.recorded.To == r.order.To && !ended(p),
	}
}

// renewInterval is the time after which the record is written again while the new version
// is observed: a fleet that starts anew goes on from there.
const renewInterval = 5 * time.Second

// renewal returns the record with the time that has passed since, if it is due.
func (r *Rollout) renewal(now time.Time) *Record {
	if r.phase != Observing || r.elapsed(now)-r.recorded.Elapsed < renewInterval {
		return nil
	}
	return r.record(Observing, now)
}

// Waiting returns what the next phase waits for, in order; none when the rollout has ended.
func (r *Rollout) Waiting(now time.Time, peers []Peer) []string {
	var out []string
	switch r.phase {
	case Observing:
		out = r.waitingForShift(now)
	case Shifting:
		if left := rampTime - now.Sub(r.since); left > 0 {
			out = append(out, fmt.Sprintf("the share of the new version rises for %s", left.Round(time.Millisecond)))
		}
	case Closing:
		out = r.waitingForOld(now, peers)
		// Upstreams may work for a moment on requests whose connections were closed.
		if left := closeMargin - now.Sub(r.since); left > 0 {
			out = append(out, fmt.Sprintf("the phase lasts for %s more", left.Round(time.Millisecond)))
		}
	case RolledBack, Completed:
	}
	return out
}

func (r *Rollout) waitingForShift(now time.Time) []string {
	var out []string
	if !r.withdrawn.IsZero() {
		out = append(out, "the order was withdrawn")
	}
	if left := r.order.shiftAfter() - r.elapsed(now); left > 0 {
		out = append(out, fmt.Sprintf("the new version is observed for %s", left.Round(time.Millisecond)))
	}
	switch {
	case r.plan.news == 0:
		out = append(out, "no upstream of the new version takes requests")
	case 2*r.plan.newSlots < r.plan.oldSlots:
		out = append(out, fmt.Sprintf("the new version has %d slots, less than half of %d", r.plan.newSlots, r.plan.oldSlots))
	case r.plan.olds == 0:
		return out // nothing to compare with, and nothing to shift
	}
	return append(out, r.tester.missing(r.evidence.all)...)
}

// waitingForOld returns what may still run at the old version or be sent there.
func (r *Rollout) waitingForOld(now time.Time, peers []Peer) []string {
	var out []string
	if r.running > 0 {
		out = append(out, fmt.Sprintf("%d requests of this instance run at the old version", r.running))
	}
	stated, silent := 1, 0
	for _, p := range peers {
		h, ok := r.heard[p.Name]
		switch {
		case !p.Live:
			silent++
		case !ok || !h.Closed:
			out = append(out, fmt.Sprintf("instance %s has not stated that it stopped using the old version", p.Name))
		case h.RunningOld > 0:
			stated++
			out = append(out, fmt.Sprintf("%d requests of instance %s run at the old version", h.RunningOld, p.Name))
		default:
			stated++
		}
	}
	switch {
	case 2*stated <= len(peers)+1:
		r.mostClosed = time.Time{}
		out = append(out, fmt.Sprintf("%d of %d instances are heard, not most", stated, len(peers)+1))
	case r.mostClosed.IsZero():
		r.mostClosed = now
	}
	// A silent instance may have got a permit just before most had stopped, and have sent a
	// request at the permit's end.
	if left := PermitLife + maxRequestTime + closeMargin - now.Sub(r.mostClosed); silent > 0 && left > 0 && !r.mostClosed.IsZero() {
		out = append(out, fmt.Sprintf("%d silent instances may use the old version for %s", silent, left.Round(time.Millisecond)))
	}
	slices.Sort(out)
	return out
}

// maxRequestTime is the longest deadline of a request that a silent instance may have
// sent. Routes with longer ones do not occur with rollouts.
const maxRequestTime = 10 * time.Second

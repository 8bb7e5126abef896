package admission

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/fescuestep/fescuestep/pkg/movingrate"
)

const (
	// usualMargin is the multiple of its usual demand up to which a flow is served before
	// any gets more, once all have their usual demand, because demand comes in waves.
	// usualDeviations standard deviations of a count by chance are added, without which
	// small flows are cut down often.
	usualMargin     = 1.25
	usualDeviations = 2
	// leastShare is the share of the room that is divided between all flows regardless of
	// priority, so that urgent ones leave some to the others.
	leastShare = 0.2
	// satisfiedShare is the share of its demand from which a flow counts as satisfied.
	satisfiedShare = 0.98
	// priorArrivals is the weight, in requests per second, of the part of all requests that
	// arrive at this instance in the estimate of the part of a flow. Few requests of a flow
	// arrive at one of many instances, and their rate is known by chance only.
	priorArrivals = 4.0
	// minWeight is the least weight of a flow, in slots.
	minWeight = 0.01
	// holdWeight is the weight of a request in the average of how long requests run.
	holdWeight = 0.05
	// maxCredit bounds the unused slot-seconds that an instance may use later. It covers
	// one request of the usual length.
	maxCredit = 0.1
	// rounding covers errors in the sum of shares.
	rounding = 1e-6
)

// hold is how long requests run on average.
type hold struct {
	seconds float64
	samples float64
}

// add takes over how long a request ran. The first samples replace the assumed value.
func (h *hold) add(sample float64) {
	h.samples++
	h.seconds += max(holdWeight, 1/h.samples) * (max(sample, 0.001) - h.seconds)
}

// flow is the requests of one customer, priority and length.
type flow struct {
	key      flowKey
	running  int // of this instance
	waiting  int // of this instance
	arrivals movingrate.Rate
	others   row // sum over the other instances
	usual    usualRate
	usedAt   time.Time
	retryAt  time.Time // time that was last given to a refused caller

	demand   float64 // slots needed over all instances
	share    float64 // slots given over all instances
	ownShare float64 // of these, slots of this instance
}

// isSatisfied reports whether a flow gets all that it needs.
func (f *flow) isSatisfied() bool { return f.share >= satisfiedShare*f.demand }

// flow returns the flow with a key, which it creates if there is none.
func (s *service) flow(key flowKey, now time.Time) *flow {
	f := s.flows[key]
	if f == nil && len(s.flows) >= maxFlows {
		key.customer = ""
		f = s.flows[key]
	}
	if f == nil {
		f = &flow{key: key, usedAt: now}
		s.flows[key] = f
	}
	return f
}

func (s *service) holdOf(f *flow) float64 { return s.holds[isLong(f.key.class)].seconds }

// used returns how many requests run at the upstreams, over all instances. The room states
// it at short intervals, but does not count instances that this one does not hear of.
func (s *service) used() int {
	return max(s.room.Total-s.room.Free+max(0, s.admitted), s.running+s.runningElsewhere)
}

// total returns how many requests the upstreams take, over all instances.
func (s *service) total() float64 { return float64(s.room.Total) }

// hasRoom reports whether another request may be sent now.
func (s *service) hasRoom(c *Controller, now time.Time) bool {
	if s.room.Total <= 0 || float64(s.used()+1) <= openShare*s.total() {
		return true
	}
	s.updateShares(c, now)
	s.advanceCredit(now)
	running := float64(s.running)
	return running+1 <= s.quota+rounding || (running < s.quota && s.credit > 0)
}

// advanceCredit adds the slot-seconds by which this instance stayed below its quota. With
// them, a quota of a fraction of a slot is used on average over time.
func (s *service) advanceCredit(now time.Time) {
	elapsed := now.Sub(s.creditAt).Seconds()
	s.creditAt = now
	if elapsed > 0 && elapsed < 1 {
		s.credit += (s.quota - float64(s.running)) * elapsed
	}
	s.credit = min(max(s.credit, -maxCredit), maxCredit)
}

// updateShares divides the room between the flows and sets the quota of this instance.
func (s *service) updateShares(c *Controller, now time.Time) {
	if now.Sub(s.sharesAt) < shareInterval {
		return
	}
	s.advanceCredit(now)
	s.sharesAt = now
	flows := make([]*flow, 0, len(s.flows))
	for _, f := range s.flows {
		count := float64(f.running + f.waiting + f.others.Running + f.others.Waiting)
		f.demand = max(count, f.totalArrivals(now)*s.holdOf(f))
		f.share = 0
		flows = append(flows, f)
	}
	slices.SortFunc(flows, func(a, b *flow) int {
		return cmp.Or(cmp.Compare(a.key.class/2, b.key.class/2), cmp.Compare(a.key.class, b.key.class), cmp.Compare(a.key.customer, b.key.customer))
	})
	upTo := func(factor, deviations float64) func(*flow) float64 {
		return func(f *flow) float64 {
			slots := f.usual.perSecond * s.holdOf(f)
			return min(f.demand, factor*slots+deviations*math.Sqrt(slots))
		}
	}
	usual := upTo(1, 1)
	rest := s.total() - s.divide(flows, leastShare*s.total(), usual)
	rest -= s.divideByPriority(flows, rest, usual)
	rest -= s.divideByPriority(flows, rest, upTo(usualMargin, usualDeviations))
	rest -= s.divideByPriority(flows, rest, func(f *flow) float64 { return f.demand })
	scale := 1.0
	if given := s.total() - rest; rest > 0 && given > 0 {
		scale = s.total() / given
	}
	s.quota = 0
	own, all := 0.0, 0.0
	for _, f := range flows {
		own += f.arrivals.PerSecond(now) * s.holdOf(f)
		all += f.totalArrivals(now) * s.holdOf(f)
	}
	mean := 1 / float64(len(c.others)+1)
	if all > 0 {
		mean = own / all
	}
	for _, f := range flows {
		part := (f.arrivals.PerSecond(now) + priorArrivals*mean) / (f.totalArrivals(now) + priorArrivals)
		f.ownShare = f.share * scale * part
		s.quota += f.ownShare
	}
}

// charge returns what a request of a flow is charged in the order of the queue: nothing if
// the flow gets all that it needs, so that it goes before those that are cut down, and the
// more the further it is cut down. If it were charged in full at once, small flows whose
// demand is just over their share by chance would wait as long as the largest.
func (s *service) charge(f *flow) float64 {
	if f.demand <= 0 {
		return 0
	}
	return s.holdOf(f) * max(0, 1-f.share/f.demand)
}

func (f *flow) totalArrivals(now time.Time) float64 {
	return f.arrivals.PerSecond(now) + f.others.PerSecond
}

// divideByPriority divides slots like divide, among the most urgent flows first.
func (s *service) divideByPriority(flows []*flow, slots float64, most func(*flow) float64) (given float64) {
	for len(flows) > 0 {
		n := 1
		for n < len(flows) && flows[n].key.class/2 == flows[0].key.class/2 {
			n++
		}
		given += s.divide(flows[:n], slots-given, most)
		flows = flows[n:]
	}
	return given
}

// divide adds to the shares of flows, in proportion to their usual demand and up to most,
// and returns how many slots it gave.
func (s *service) divide(flows []*flow, slots float64, most func(*flow) float64) (given float64) {
	open := slices.Clone(flows)
	for len(open) > 0 && slots-given > 1e-9 {
		weights := 0.0
		for _, f := range open {
			weights += s.weight(f)
		}
		perWeight := math.Inf(1)
		for _, f := range open {
			perWeight = min(perWeight, max(0, most(f)-f.share)/s.weight(f))
		}
		perWeight = min(perWeight, (slots-given)/weights)
		for _, f := range open {
			f.share += perWeight * s.weight(f)
		}
		given += perWeight * weights
		open = slices.DeleteFunc(open, func(f *flow) bool { return most(f)-f.share < 1e-9 })
	}
	return given
}

func (s *service) weight(f *flow) float64 { return max(minWeight, f.usual.perSecond*s.holdOf(f)) }

// expectedWait returns how long another request of a flow would wait. Those of its own flow
// are ahead of it, and as many of the others as their weights allow meanwhile.
func (s *service) expectedWait(f *flow) time.Duration {
	total, weights := 0.0, 0.0
	for _, other := range s.flows {
		if (other.waiting > 0 || other == f) && (!f.isSatisfied() || other.isSatisfied()) {
			total += float64(other.waiting) * s.holdOf(other)
			weights += max(other.ownShare, minWeight)
		}
	}
	own := float64(f.waiting) * s.holdOf(f)
	ahead := min(total, own*weights/max(f.ownShare, minWeight))
	return seconds(ahead / max(s.quota, minWeight))
}

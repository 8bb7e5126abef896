package admission

import (
	"math"
	"time"
)

const (
	// staleAfter is the age from which what an instance told is not used any more. Until then
	// it is taken to use as much as it told last: most instances that are not heard of are
	// partitioned, and if theirs counted as free, each half of a fleet would use all.
	staleAfter = 20 * time.Second
	// learnTime is how long the usual rate of a flow is the mean since its first request.
	learnTime = 10 * time.Second
	// usualDrift bounds the change of the usual rate per second after that, as a share. A
	// customer's burst of 8 s raises it by less than a fifth.
	usualDrift = 0.02
	// minRetryAfter and maxRetryAfter bound what refused callers are told.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 8 * time.Second
)

// usualRate is the rate at which a flow usually arrives over all instances.
type usualRate struct {
	perSecond float64
	since, at time.Time
}

// observe takes over the present rate.
func (u *usualRate) observe(rate float64, now time.Time) {
	if u.since.IsZero() {
		if rate > 0 {
			u.perSecond, u.since, u.at = rate, now, now
		}
		return
	}
	elapsed := now.Sub(u.at).Seconds()
	u.at = now
	if elapsed <= 0 {
		return
	}
	if age := now.Sub(u.since); age < learnTime {
		u.perSecond += (rate - u.perSecond) * min(1, elapsed/max(age.Seconds(), elapsed))
		return
	}
	drift := math.Exp(usualDrift * min(elapsed, 5))
	u.perSecond = min(max(rate, u.perSecond/drift), u.perSecond*drift)
}

// row is how one flow uses a service.
type row struct {
	Running, Waiting int
	PerSecond        float64 // arrivals
}

// FlowUsage is how one flow uses a service at one instance. Class identifies the flow among
// those of the customer.
type FlowUsage struct {
	Service, Customer string
	Class             uint32
	Running, Waiting  int
	PerSecond         float64 // arrivals
}

// Usage is what an instance tells the others. It may be a part of all flows.
type Usage []FlowUsage

// report is what another instance told.
type report struct {
	at          time.Time // when it last told anything
	incarnation uint64
	rows        map[reportKey]row
}

type reportKey struct {
	service string
	flowKey
}

// maxRows bounds the flows that one instance may tell, and maxTold each of their values, so
// that a faulty one does no harm to the memory or the sums of the others.
const (
	maxRows = 4096
	maxTold = 1e5
)

// Usage returns how flows use this instance. It must be called regularly, because it also
// advances the usual rates and drops what is idle or stale.
func (c *Controller) Usage(now time.Time) Usage {
	for _, report := range c.others {
		if now.Sub(report.at) > staleAfter {
			c.clear(report)
		}
	}
	var out Usage
	for name, s := range c.services {
		for key, f := range s.flows {
			f.usual.observe(f.totalArrivals(now), now)
			if f.running+f.waiting == 0 && now.Sub(f.usedAt) > idleFlowTime && f.others.isIdle() {
				delete(s.flows, key)
				continue
			}
			if now.Sub(f.usedAt) <= idleFlowTime || f.running+f.waiting > 0 {
				out = append(out, FlowUsage{name, key.customer, key.class, f.running, f.waiting, f.arrivals.PerSecond(now)})
			}
		}
	}
	return out
}

// Restarted drops what an earlier process of an instance told.
func (c *Controller) Restarted(now time.Time, instance string, incarnation uint64) {
	if known := c.others[instance]; known != nil && known.incarnation != incarnation {
		c.Merge(now, instance, incarnation, nil)
	}
}

// Merge takes over what another instance tells. Flows that it does not name stay as it last
// told. incarnation identifies its process.
func (c *Controller) Merge(now time.Time, instance string, incarnation uint64, usage Usage) {
	known := c.others[instance]
	if known == nil {
		known = &report{rows: map[reportKey]row{}}
		c.others[instance] = known
	}
	if known.incarnation != incarnation {
		c.clear(known)
	}
	known.at, known.incarnation = now, incarnation
	for _, u := range usage {
		next := row{min(max(u.Running, 0), maxTold), min(max(u.Waiting, 0), maxTold), u.PerSecond}
		if !(next.PerSecond >= 0 && next.PerSecond <= maxTold) || u.Class >= 2*priorityLevels*priorityLevels {
			continue // also ignores NaN
		}
		key := reportKey{u.Service, flowKey{u.Customer, u.Class}}
		last, ok := known.rows[key]
		s := c.services[u.Service]
		if s == nil || (!ok && len(known.rows) >= maxRows) {
			continue // this instance has no request for the service
		}
		if f := s.flow(key.flowKey, now); f.key == key.flowKey {
			s.move(f, last, next)
			known.rows[key] = next
		}
	}
}

// move replaces what another instance told of a flow.
func (s *service) move(f *flow, last, next row) {
	f.others.add(next, 1)
	f.others.add(last, -1)
	s.runningElsewhere += next.Running - last.Running
}

// isIdle reports whether nothing is left but rounding errors.
func (r *row) isIdle() bool { return r.Running == 0 && r.Waiting == 0 && r.PerSecond < 1e-6 }

func (r *row) add(o row, sign int) {
	r.Running += sign * o.Running
	r.Waiting += sign * o.Waiting
	r.PerSecond = max(0, r.PerSecond+float64(sign)*o.PerSecond)
}

// clear drops what an instance told, but not the instance.
func (c *Controller) clear(known *report) {
	for key, last := range known.rows {
		if s := c.services[key.service]; s != nil && s.flows[key.flowKey] != nil {
			s.move(s.flows[key.flowKey], last, row{})
		}
	}
	clear(known.rows)
}

// Forget drops an instance that was removed.
func (c *Controller) Forget(instance string) {
	if known := c.others[instance]; known != nil {
		c.clear(known)
		delete(c.others, instance)
	}
}

// goldenStep is the step of a sequence in [0, 1) whose members are evenly spread however
// many there are.
const goldenStep = 0.6180339887498949

// retryAfter returns when a refused request of a flow is to be sent again. excess is by how
// much its wait would have been too long. Each refused request of the flow is told a later
// time, at the distance in which the flow gets room, so that they do not return together.
func (s *service) retryAfter(f *flow, excess time.Duration, now time.Time) time.Duration {
	interval := s.holdOf(f) / max(f.ownShare, minWeight)
	at := now.Add(max(excess, s.room.Wait, minRetryAfter))
	if f.retryAt.After(at) {
		at = f.retryAt
	}
	f.retryAt = at.Add(seconds(min(interval, maxRetryAfter.Seconds())))
	after := at.Sub(now)
	if after <= maxRetryAfter {
		return after
	}
	f.retryAt = now.Add(maxRetryAfter + 1)
	s.retrySpread = math.Mod(s.retrySpread+goldenStep, 1)
	return time.Duration((0.5 + s.retrySpread/2) * float64(maxRetryAfter))
}

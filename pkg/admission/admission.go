// Package admission decides whether a request may go to the upstreams of its service now,
// waits for room there, or is refused. As long as the upstreams have room for all, every
// request is admitted at once. Beyond that the room is divided over all instances together
// between flows, which are the requests of one customer of similar length and priority:
// each flow first gets what it usually needs, in the order of priorities, and only then
// more. Instances know each other by Usage only, which may be old or missing.
//
// The package does no I/O, takes the current time as an argument and is not safe for
// concurrent use.
package admission

import (
	"fmt"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/fescuestep/fescuestep/pkg/concurrency"
	"github.com/fescuestep/fescuestep/pkg/fair"
)

const (
	// openShare is the share of a service's room below which requests are admitted without
	// regard to shares. The rest covers what the other instances have admitted within the
	// age of what is known of them.
	openShare = 0.9
	// longTokens is the number of prompt tokens from which a request is long. It is the
	// number from which placement announces a prompt to the other instances.
	longTokens = 4096
	// maxWaiting and maxWaitingPerFlow bound the queue of a service at one instance. Each
	// waiting request holds a connection and its body.
	maxWaiting        = 512
	maxWaitingPerFlow = 128
	// maxFlows bounds the flows of a service. The requests of further customers share one.
	maxFlows = 1024
	// idleFlowTime is how long a flow without requests is kept, so that the other instances
	// are told that it has none.
	idleFlowTime = 30 * time.Second
	// holdMargin is the multiple of the mean time that requests run which must be left before
	// the deadline, because that time varies.
	holdMargin = 1.5
	// shareInterval is the minimum time between two calculations of the shares.
	shareInterval = 20 * time.Millisecond
)

// Request is a request that asks for admission.
type Request struct {
	ID               uint64 // unique among the requests of this instance
	Service          string
	Customer         string // empty: none
	CustomerPriority int    // 0 is the most urgent
	RoutePriority    int    // the same
	PromptTokens     int
	Deadline         time.Time
	Target           time.Duration // within which the caller needs the answer; 0: not stated
}

// Action is what happens to a request.
type Action int

// Actions.
const (
	Admit Action = iota
	Wait
	Refuse
)

// Reason tells why a request is refused.
type Reason int

// Reasons.
const (
	QueueFull    Reason = iota // as many requests wait as can be served within the target
	DeadlineMiss               // it cannot be answered before its deadline
	Stopping                   // the instance shuts down
)

// Decision is the decision on a request. A waiting request is decided again by Poll.
type Decision struct {
	Action     Action
	Reason     Reason        // of a refusal
	Until      time.Time     // a waiting request is refused then
	RetryAfter time.Duration // after which a refused request is expected to find room
}

// Outcome is the decision on a request that waited.
type Outcome struct {
	ID     uint64
	Waited time.Duration
	Decision
}

// request is an admitted or waiting request.
type request struct {
	Request
	service *service
	flow    *flow
	arrived time.Time
	until   time.Time
	item    *fair.Item[*request] // nil: not waiting
	began   time.Time
}

// Controller decides on the requests of one instance.
type Controller struct {
	self     string
	services map[string]*service
	requests map[uint64]*request
	others   map[string]*report // by instance
	stopping bool
}

// New returns a controller for the instance named self.
func New(self string) *Controller {
	return &Controller{self: self, services: map[string]*service{}, requests: map[uint64]*request{}, others: map[string]*report{}}
}

// service is what is known of one service.
type service struct {
	name             string
	room             concurrency.Room
	admitted         int // of this instance since room was set, without those that ended
	running          int // of this instance
	runningElsewhere int // of the other instances, as they told
	flows            map[flowKey]*flow
	holds            [2]hold // of short and long requests
	queue            *fair.Queue[*request]
	waiting          map[uint64]*request
	nextUntil        time.Time // when the first waiting request is refused at the latest
	quota            float64   // requests that this instance may run at once
	credit           float64   // slot-seconds below quota that were not used
	creditAt         time.Time
	sharesAt         time.Time
	retrySpread      float64 // position in the sequence that spreads distant retries, in [0, 1)
}

// flowKey identifies a flow. class combines the priorities and whether its requests are
// long.
type flowKey struct {
	customer string
	class    uint32
}

const priorityLevels = 16

// classOf returns the class of a request.
func classOf(r *Request) uint32 {
	level := func(p int) uint32 { return uint32(min(max(p, 0), priorityLevels-1)) }
	class := (level(r.CustomerPriority)*priorityLevels + level(r.RoutePriority)) * 2
	if r.PromptTokens >= longTokens {
		class++
	}
	return class
}

func isLong(class uint32) uint32 { return class % 2 }

func (c *Controller) service(name string) *service {
	s := c.services[name]
	if s == nil {
		s = &service{
			name: name, flows: map[flowKey]*flow{}, waiting: map[uint64]*request{},
			holds:       [2]hold{{seconds: 0.1}, {seconds: 0.4}},
			queue:       fair.New[*request](fair.Limits{PerCustomer: maxWaitingPerFlow, Total: maxWaiting}),
			retrySpread: float64(xxh3.HashString(c.self)%1000) / 1000,
		}
		c.services[name] = s
	}
	return s
}

// SetRoom replaces the room of a service over all instances. While its total is 0, which
// means that it is not known or that no upstream takes requests, every request is admitted
// and the choice of an upstream tells the caller why there is none.
func (c *Controller) SetRoom(name string, room concurrency.Room) {
	s := c.service(name)
	s.room, s.admitted = room, 0
}

// Arrive decides on a request.
func (c *Controller) Arrive(now time.Time, q Request) Decision {
	s := c.service(q.Service)
	f := s.flow(flowKey{q.Customer, classOf(&q)}, now)
	f.arrivals.Add(1, now)
	f.usedAt = now
	r := &request{Request: q, service: s, flow: f, arrived: now}
	if c.stopping {
		return Decision{Action: Refuse, Reason: Stopping, RetryAfter: minRetryAfter}
	}
	if len(s.waiting) == 0 && s.hasRoom(c, now) {
		s.queue.Charge(now, r.newItem(), s.charge(f))
		c.start(r, now)
		return Decision{Action: Admit}
	}
	s.updateShares(c, now)
	limit, reason := s.waitLimit(r, now)
	if wait := s.expectedWait(f); wait > limit || limit <= 0 {
		return Decision{Action: Refuse, Reason: reason, RetryAfter: s.retryAfter(f, wait-limit, now)}
	}
	item := r.newItem()
	if err := s.queue.Push(item); err != nil {
		return Decision{Action: Refuse, Reason: QueueFull, RetryAfter: s.retryAfter(f, s.expectedWait(f), now)}
	}
	r.item, r.until = item, now.Add(limit)
	f.waiting++
	s.waiting[r.ID], c.requests[r.ID] = r, r
	if s.nextUntil.IsZero() || r.until.Before(s.nextUntil) {
		s.nextUntil = r.until
	}
	return Decision{Action: Wait, Reason: reason, Until: r.until}
}

func (r *request) newItem() *fair.Item[*request] {
	return &fair.Item[*request]{
		Customer: fmt.Sprintf("%d/%s", r.flow.key.class, r.flow.key.customer), Weight: max(r.flow.ownShare, minWeight),
		Cost: r.service.holdOf(r.flow), Value: r,
	}
}

// waitLimit returns how long a request may wait, and the reason for its refusal after
// that. A request that waits for longer than its target is late in any case, and would
// delay those behind it too.
func (s *service) waitLimit(r *request, now time.Time) (time.Duration, Reason) {
	limit := r.Deadline.Sub(now) - seconds(holdMargin*s.holdOf(r.flow))
	if r.Target > 0 && r.Target < limit {
		return r.Target, QueueFull
	}
	return limit, DeadlineMiss
}

// start counts a request as running.
func (c *Controller) start(r *request, now time.Time) {
	s := r.service
	s.advanceCredit(now)
	r.began = now
	s.running++
	s.admitted++
	r.flow.running++
	c.requests[r.ID] = r
}

// Done ends a request that was admitted or that waits. Unknown IDs are ignored.
func (c *Controller) Done(now time.Time, id uint64) {
	r := c.requests[id]
	if r == nil {
		return
	}
	delete(c.requests, id)
	if r.item != nil {
		r.service.stopWaiting(r)
		return
	}
	s := r.service
	s.advanceCredit(now)
	s.running--
	s.admitted--
	r.flow.running--
	r.flow.usedAt = now
	s.holds[isLong(r.flow.key.class)].add(now.Sub(r.began).Seconds())
}

// stopWaiting removes a request from the queue.
func (s *service) stopWaiting(r *request) {
	s.queue.Remove(r.item)
	s.forgetWaiting(r)
}

func (s *service) forgetWaiting(r *request) {
	delete(s.waiting, r.ID)
	r.item = nil
	r.flow.waiting--
}

// Waiting returns the number of waiting requests of a service.
func (c *Controller) Waiting(name string) int { return len(c.service(name).waiting) }

// Used returns how many requests to a service run, over all instances as far as is known.
func (c *Controller) Used(name string) int { return c.service(name).used() }

// Poll returns the decisions on requests that waited and do not any more.
func (c *Controller) Poll(now time.Time) []Outcome {
	var out []Outcome
	for _, s := range c.services {
		if len(s.waiting) == 0 {
			continue
		}
		out = s.expire(c, now, out)
		for len(s.waiting) > 0 && s.hasRoom(c, now) {
			var r *request
			s.queue.Scan(now, 1, func(item *fair.Item[*request]) (float64, bool) {
				r = item.Value
				return s.charge(r.flow), true
			})
			s.forgetWaiting(r)
			if limit := r.Deadline.Sub(now) - seconds(holdMargin*s.holdOf(r.flow)); limit < 0 {
				// Requests run for longer now than when it arrived.
				delete(c.requests, r.ID)
				out = append(out, Outcome{r.ID, now.Sub(r.arrived), Decision{Action: Refuse, Reason: DeadlineMiss, RetryAfter: s.retryAfter(r.flow, 0, now)}})
				continue
			}
			c.start(r, now)
			out = append(out, Outcome{r.ID, now.Sub(r.arrived), Decision{Action: Admit}})
		}
	}
	return out
}

// expire refuses the requests that have waited for as long as they may.
func (s *service) expire(c *Controller, now time.Time, out []Outcome) []Outcome {
	if now.Before(s.nextUntil) {
		return out
	}
	s.nextUntil = time.Time{}
	for id, r := range s.waiting {
		if now.Before(r.until) {
			if s.nextUntil.IsZero() || r.until.Before(s.nextUntil) {
				s.nextUntil = r.until
			}
			continue
		}
		s.stopWaiting(r)
		delete(c.requests, id)
		_, reason := s.waitLimit(r, r.arrived)
		out = append(out, Outcome{id, now.Sub(r.arrived), Decision{Action: Refuse, Reason: reason, RetryAfter: s.retryAfter(r.flow, 0, now)}})
	}
	return out
}

// Stop refuses the requests that wait, and those that arrive from now on.
func (c *Controller) Stop(now time.Time) []Outcome {
	c.stopping = true
	var out []Outcome
	for _, s := range c.services {
		for id, r := range s.waiting {
			s.stopWaiting(r)
			delete(c.requests, id)
			out = append(out, Outcome{id, now.Sub(r.arrived), Decision{Action: Refuse, Reason: Stopping, RetryAfter: minRetryAfter}})
		}
	}
	return out
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

package edge

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/fescuestep/fescuestep/pkg/admission"
	"github.com/fescuestep/fescuestep/pkg/code"
	"github.com/fescuestep/fescuestep/pkg/concurrency"
	"github.com/fescuestep/fescuestep/pkg/metrics"
)

// AdmissionMode tells for which services requests ask for admission.
type AdmissionMode string

// Admission modes.
const (
	AdmissionAuto AdmissionMode = "auto" // those whose upstreams state how long work takes there
	AdmissionOn   AdmissionMode = "on"   // all
	AdmissionOff  AdmissionMode = "off"  // none
)

// Valid reports whether m is one of the modes.
func (m AdmissionMode) Valid() bool {
	return m == AdmissionAuto || m == AdmissionOn || m == AdmissionOff
}

const (
	// workTimeMemory is how long after an upstream last stated how long work takes there
	// its service counts as one whose upstreams do.
	workTimeMemory = time.Minute
	// roomInterval is the minimum time between two looks at the room of a service, which
	// takes time in proportion to its upstreams.
	roomInterval = 10 * time.Millisecond
	// pollInterval is the time between two decisions on requests that wait. It is small
	// beside the shortest targets of callers.
	pollInterval = 5 * time.Millisecond
	// refusalLogInterval is the minimum time between two log lines on refusals of a service.
	refusalLogInterval = 5 * time.Second
)

// admitter wraps an admission.Controller for concurrent use. It implements
// dispatch.Admission.
type admitter struct {
	mode    AdmissionMode
	room    func(service string) concurrency.Room
	metrics ServiceMetrics
	log     hclog.Logger
	now     func() time.Time
	wake    chan struct{}        // a request waits
	onInUse func(service string) // called every second while requests to a service ask for admission

	mu         sync.Mutex
	controller *admission.Controller
	services   map[string]*admittedService
	waiting    map[uint64]chan admission.Outcome
	lastID     uint64
	nextFlow   int // position in the usage from which the next digest tells
}

// admittedService is what the admitter knows of a service beside the controller.
type admittedService struct {
	workTimeAt   time.Time // when an upstream last stated how long work takes there
	replicatedAt time.Time // when onInUse was last called
	roomAt       time.Time // when its room was last looked at
	logAt        time.Time // when refusals were last logged
	refused      int       // requests since then
}

func newAdmitter(mode AdmissionMode, instance string, room func(string) concurrency.Room, m ServiceMetrics, log hclog.Logger, now func() time.Time) *admitter {
	if mode == "" {
		mode = AdmissionAuto
	}
	return &admitter{
		onInUse: func(string) {},
		mode:    mode, room: room, metrics: m, log: log, now: now, wake: make(chan struct{}, 1),
		controller: admission.New(instance), services: map[string]*admittedService{}, waiting: map[uint64]chan admission.Outcome{},
	}
}

// recordWorkTime records that an upstream of a service states how long work takes there.
func (a *admitter) recordWorkTime(name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s, now := a.service(name), a.now()
	if a.mode == AdmissionAuto && now.Sub(s.workTimeAt) > workTimeMemory {
		a.log.Info("upstreams state how long work takes, requests ask for admission", "service", name)
	}
	s.workTimeAt = now
}

// service returns the state of a service. The caller holds mu.
func (a *admitter) service(name string) *admittedService {
	s := a.services[name]
	if s == nil {
		s = &admittedService{}
		a.services[name] = s
	}
	return s
}

// decides reports whether requests to a service ask for admission. The caller holds mu.
func (a *admitter) decides(s *admittedService, now time.Time) bool {
	return a.mode == AdmissionOn || (a.mode != AdmissionOff && now.Sub(s.workTimeAt) <= workTimeMemory)
}

// Admit waits until the request may be sent, unless the service has room for all. It returns a
// function to call once when the request has ended, or a *code.Error if it is refused.
func (a *admitter) Admit(ctx context.Context, q admission.Request) (end func(), err error) {
	a.mu.Lock()
	now, s := a.now(), a.service(q.Service)
	if !a.decides(s, now) {
		a.mu.Unlock()
		return func() {}, nil
	}
	a.lastID++
	q.ID = a.lastID
	a.updateRoom(q.Service, s, now)
	decision := a.controller.Arrive(now, q)
	if decision.Action != admission.Wait {
		a.mu.Unlock()
		return a.conclude(&q, admission.Outcome{ID: q.ID, Decision: decision})
	}
	decided := make(chan admission.Outcome, 1)
	a.waiting[q.ID] = decided
	a.mu.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
	select {
	case outcome := <-decided:
		return a.conclude(&q, outcome)
	case <-ctx.Done():
		a.end(q.ID)
		a.metrics.RecordAdmission(q.Service, metrics.LeftQueue, 0)
		return nil, context.Cause(ctx)
	}
}

// conclude returns what Admit returns on the decision on a request.
func (a *admitter) conclude(q *admission.Request, o admission.Outcome) (end func(), err error) {
	if o.Action == admission.Admit {
		decision := metrics.AdmittedAtOnce
		if o.Waited > 0 {
			decision = metrics.AdmittedLater
		}
		a.metrics.RecordAdmission(q.Service, decision, o.Waited)
		return func() { a.end(q.ID) }, nil
	}
	var refusal *code.Error
	decision := metrics.RefusedQueueFull
	switch o.Reason {
	case admission.DeadlineMiss:
		decision = metrics.RefusedDeadline
		refusal = code.New(code.DeadlineUnreachable, "the upstreams of the service have no room before the deadline")
	case admission.Stopping:
		decision = metrics.RefusedAtShutdown
		refusal = code.New(code.ShuttingDown, "the instance shuts down")
	default:
		refusal = code.New(code.QueueFull, "as many requests wait as the upstreams of the service can answer in time")
	}
	a.metrics.RecordAdmission(q.Service, decision, o.Waited)
	if o.Reason != admission.Stopping {
		a.logRefusal(q.Service, o)
	}
	return nil, refusal.WithRetryAfter(o.RetryAfter)
}

// logRefusal logs refusals of a service, at most once in refusalLogInterval.
func (a *admitter) logRefusal(name string, o admission.Outcome) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s, now := a.service(name), a.now()
	s.refused++
	if now.Sub(s.logAt) < refusalLogInterval {
		return
	}
	room := a.room(name)
	a.log.Warn("requests refused for want of room", "service", name, "refused", s.refused, "waiting", a.controller.Waiting(name),
		"room", room.Total, "free", room.Free, "retry_after", o.RetryAfter.String())
	s.logAt, s.refused = now, 0
}

// end ends an admitted or waiting request.
func (a *admitter) end(id uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.waiting, id)
	now := a.now()
	a.controller.Done(now, id)
	a.poll(now)
}

// updateRoom tells the controller the room of a service. The caller holds mu.
func (a *admitter) updateRoom(name string, s *admittedService, now time.Time) {
	if now.Sub(s.roomAt) >= roomInterval {
		s.roomAt = now
		a.controller.SetRoom(name, a.room(name))
	}
	if now.Sub(s.replicatedAt) >= time.Second {
		s.replicatedAt = now
		a.onInUse(name)
	}
}

// poll passes on decisions on requests that waited. The caller holds mu.
func (a *admitter) poll(now time.Time) {
	if len(a.waiting) == 0 {
		return
	}
	for name, s := range a.services {
		if a.controller.Waiting(name) > 0 {
			a.updateRoom(name, s, now)
		}
	}
	a.deliver(a.controller.Poll(now))
}

func (a *admitter) deliver(outcomes []admission.Outcome) {
	for _, o := range outcomes {
		if decided := a.waiting[o.ID]; decided != nil {
			delete(a.waiting, o.ID)
			decided <- o
		}
	}
}

// run decides on waiting requests until ctx ends.
func (a *admitter) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.wake:
		}
		for a.pollOnce() && ctx.Err() == nil {
			sleep(ctx, pollInterval)
		}
	}
}

// pollOnce reports whether requests still wait.
func (a *admitter) pollOnce() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.poll(a.now())
	return len(a.waiting) > 0
}

// stop refuses the requests that wait, and those that ask from now on.
func (a *admitter) stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.deliver(a.controller.Stop(a.now()))
}

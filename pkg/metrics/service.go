package metrics

import "time"

// Outcomes of a request as its caller sees it.
const (
	InTime Outcome = "in_time" // first token or whole answer within the route's target
	Late   Outcome = "late"
)

// SizeClass is a range of prompt sizes.
type SizeClass string

// Upper bounds of the size classes in tokens.
const (
	smallPrompt  = 2_000
	mediumPrompt = 20_000
)

// SizeOf returns the class of a prompt.
func SizeOf(promptTokens int) SizeClass {
	switch {
	case promptTokens <= 0:
		return "none"
	case promptTokens < smallPrompt:
		return "small"
	case promptTokens < mediumPrompt:
		return "medium"
	}
	return "large"
}

// RecordOutcome counts a request by what its caller got: InTime, Late, Refused or
// Failure.
func (m *Metrics) RecordOutcome(route string, promptTokens int, o Outcome) {
	m.counter(defServed, m.routes.value(route), string(SizeOf(promptTokens)), string(o)).Inc(1)
}

// Decisions of admission.
const (
	AdmittedAtOnce    Decision = "admitted"
	AdmittedLater     Decision = "waited"
	RefusedQueueFull  Decision = "refused_queue_full"
	RefusedDeadline   Decision = "refused_deadline"
	RefusedAtShutdown Decision = "refused_shutdown"
	LeftQueue         Decision = "left"
)

// Decision is the decision on a request that asks for admission.
type Decision string

// RecordAdmission counts the decision on a request to a service that waited for so long.
func (m *Metrics) RecordAdmission(service string, d Decision, waited time.Duration) {
	service = m.services.value(service)
	m.counter(defAdmission, service, string(d)).Inc(1)
	if d == AdmittedLater {
		m.histogram(defAdmWait, service).RecordDuration(waited)
	}
}

// UndecodableStatement counts a statement of an upstream that could not be decoded. The
// name is one of a fixed set.
func (m *Metrics) UndecodableStatement(name string) { m.counter(defUndecodable, name).Inc(1) }

// ReleaseState sets the state of the rollout of a service's software.
func (m *Metrics) ReleaseState(service string, phase int, requests, exposed uint64) {
	name := m.pools.value(service)
	m.gauge(defReleasePhase, name).Update(float64(phase))
	m.gauge(defReleaseShare, name, "all").Update(float64(requests))
	m.gauge(defReleaseShare, name, "exposed").Update(float64(exposed))
}

// Capacity is the capacity of a service's upstreams.
type Capacity struct {
	Upstreams, Slow int // upstreams, and those that are slow now
	Free, Total     int // concurrent requests from all instances
}

// RecordCapacity records the capacity of a service's upstreams.
func (m *Metrics) RecordCapacity(service string, c Capacity) {
	pool := m.routes.value(service)
	m.gauge(defSlow, pool).Update(float64(c.Slow))
	m.gauge(defRoom, pool, "free").Update(float64(c.Free))
	m.gauge(defRoom, pool, "total").Update(float64(c.Total))
}

// TableAge sets how long ago a table of the platform's store was last known to be current.
// The name is one of a fixed set.
func (m *Metrics) TableAge(table string, age time.Duration) {
	m.gauge(defTableAge, table).Update(age.Seconds())
}

// StateTransferred counts a State call between edge instances and the bytes of its response.
// The direction is one of a fixed set.
func (m *Metrics) StateTransferred(direction string, bytes int64) {
	m.counter(defStateCalls, direction).Inc(1)
	m.counter(defStateBytes, direction).Inc(bytes)
}

// ConnectionEnded counts a connection that was refused or ended for what it holds. The
// reason is one of a fixed set.
func (m *Metrics) ConnectionEnded(reason string) { m.counter(defEnded, reason).Inc(1) }

// LogLinesDropped counts lines that did not fit into the queue of the log.
func (m *Metrics) LogLinesDropped(n int64) { m.counter(defLogDropped).Inc(n) }

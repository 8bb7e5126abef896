package metrics

import "time"

// Outcome is the value of an outcome label. The constants keep the number of
// series bounded.
type Outcome string

// Outcomes. Each method says which ones it takes.
const (
	OK          Outcome = "ok"
	Failure     Outcome = "failed"
	Refused     Outcome = "refused"
	Unreachable Outcome = "unreachable"
	Cancelled   Outcome = "cancelled"
	Finished    Outcome = "done"
	Replayed    Outcome = "replayed"
	Running     Outcome = "running"
	Reused      Outcome = "reused"
	Unknown     Outcome = "unknown"
	Released    Outcome = "released"
	Stale       Outcome = "stale"
	Conflict    Outcome = "conflict"
	Unavailable Outcome = "unavailable"
)

// Service is an external service of the platform.
type Service string

// Services of the platform.
const (
	Table   Service = "table"
	Objects Service = "objects"
	List    Service = "list"
	Weights Service = "weights"
)

// PeerCall is a call between instances.
type PeerCall string

// Calls between instances.
const (
	Sync             PeerCall = "sync"
	Acknowledgements PeerCall = "acknowledgements"
	Join             PeerCall = "join"
	Acquire          PeerCall = "acquire"
	Return           PeerCall = "return"
	Forward          PeerCall = "forward"
	Lookup           PeerCall = "lookup"
)

// Change is a change by an operator.
type Change string

// Changes by operators.
const (
	Apply        Change = "apply"
	CreateKey    Change = "create_key"
	RevokeKey    Change = "revoke_key"
	ResolveOrder Change = "resolve_order"
)

// UpstreamState is the state of an upstream.
type UpstreamState string

// States of upstreams.
const (
	Live    UpstreamState = "live"
	Leaving UpstreamState = "leaving"
	Down    UpstreamState = "unreachable"
	Ejected UpstreamState = "ejected"
	Loading UpstreamState = "loading"
)

// UpstreamStates returns all states of upstreams. They have the names that
// the administration service uses.
func UpstreamStates() []UpstreamState {
	return []UpstreamState{Live, Leaving, Down, Ejected, Loading}
}

// Fresh sets whether keyed requests are served and how old the last
// confirmation of the configuration is.
func (m *Metrics) Fresh(fresh bool, age time.Duration) {
	m.gauge(defFresh).Update(flag(fresh))
	m.gauge(defStateAge).Update(age.Seconds())
}

// AdminChange counts a change by an operator: OK or Failure.
func (m *Metrics) AdminChange(c Change, o Outcome) {
	m.counter(defAdminChanges, string(c), string(o)).Inc(1)
}

// QuotaWait records the time a request waited for tokens.
func (m *Metrics) QuotaWait(d time.Duration) { m.histogram(defQuotaWait).RecordDuration(d) }

// Order counts an order: Finished, Replayed, Running, Reused, Unknown,
// Released or Refused.
func (m *Metrics) Order(o Outcome) { m.counter(defOrders, string(o)).Inc(1) }

// UnresolvedOrders sets the number of orders whose outcome is unknown.
func (m *Metrics) UnresolvedOrders(n int) { m.gauge(defUnresolved).Update(float64(n)) }

// ControlLeader sets whether this instance holds the lease.
func (m *Metrics) ControlLeader(leader bool) { m.gauge(defLeader).Update(flag(leader)) }

// Command counts a control command: Finished, Stale or Failure.
func (m *Metrics) Command(o Outcome) { m.counter(defCommands, string(o)).Inc(1) }

// WeightLoads sets the number of weight loads running.
func (m *Metrics) WeightLoads(n int) { m.gauge(defWeightLoads).Update(float64(n)) }

// PlatformCall records a call to the platform: OK, Conflict, Unavailable or
// Unknown.
func (m *Metrics) PlatformCall(s Service, o Outcome, d time.Duration) {
	m.counter(defPlatformCalls, string(s), string(o)).Inc(1)
	m.histogram(defPlatformTime, string(s)).RecordDuration(d)
}

// PeerCall counts a call to another instance: OK or Failure.
func (m *Metrics) PeerCall(c PeerCall, o Outcome) {
	m.counter(defPeerCalls, string(c), string(o)).Inc(1)
}

package metrics

import "time"

// Outcome is the value of an outcome label. The constants keep the number of
// series bounded.
type Outcome string

// Outcomes. Each method says which ones it takes.
const (
	OK          Outcome = "ok"
	Failure     Outcome = "failed"
	Resumed     Outcome = "resumed"
	Granted     Outcome = "granted"
	Partial     Outcome = "partial"
	Refused     Outcome = "refused"
	Unreachable Outcome = "unreachable"
	Cancelled   Outcome = "cancelled"
	Allowed     Outcome = "allowed"
	OverBudget  Outcome = "over_budget"
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

// Source is where a configuration was read from.
type Source string

// Sources of the configuration.
const (
	FromTable Source = "table"
	FromRelay Source = "relay"
	FromPeers Source = "peers"
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

// OpenStreams sets the number of streams in progress.
func (m *Metrics) OpenStreams(n int) { m.gauge(defOpenStreams).Update(float64(n)) }

// StreamResume counts a truncated stream: Resumed or Failure.
func (m *Metrics) StreamResume(o Outcome) { m.counter(defStreamResumes, string(o)).Inc(1) }

// Fresh sets whether keyed requests are served and how old the last
// confirmation of the configuration is.
func (m *Metrics) Fresh(fresh bool, age time.Duration) {
	m.gauge(defFresh).Update(flag(fresh))
	m.gauge(defStateAge).Update(age.Seconds())
}

// ConfigRead counts a read of the configuration: OK or Failure.
func (m *Metrics) ConfigRead(from Source, o Outcome) {
	m.counter(defSyncs, string(from), string(o)).Inc(1)
}

// AdminChange counts a change by an operator: OK or Failure.
func (m *Metrics) AdminChange(c Change, o Outcome) {
	m.counter(defAdminChanges, string(c), string(o)).Inc(1)
}

// QuotaWait records the time a request waited for tokens.
func (m *Metrics) QuotaWait(d time.Duration) { m.histogram(defQuotaWait).RecordDuration(d) }

// TokensGranted counts tokens granted as share holder.
func (m *Metrics) TokensGranted(n int) { m.counter(defGrantedTokens).Inc(int64(n)) }

// TokensReturned counts granted tokens that came back.
func (m *Metrics) TokensReturned(n int) { m.counter(defReturnedTokens).Inc(int64(n)) }

// GrantRequest counts a request to a share holder: Granted, Partial, Refused
// or Failure.
func (m *Metrics) GrantRequest(o Outcome) { m.counter(defGrantRequests, string(o)).Inc(1) }

// Order counts an order: Finished, Replayed, Running, Reused, Unknown,
// Released or Refused.
func (m *Metrics) Order(o Outcome) { m.counter(defOrders, string(o)).Inc(1) }

// UnresolvedOrders sets the number of orders whose outcome is unknown.
func (m *Metrics) UnresolvedOrders(n int) { m.gauge(defUnresolved).Update(float64(n)) }

// ControlLeader sets whether this instance holds the lease.
func (m *Metrics) ControlLeader(leader bool) { m.gauge(defLeader).Update(flag(leader)) }

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

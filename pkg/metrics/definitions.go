// Package metrics counts and times what one instance does and serves the
// figures at a scrape endpoint. Callers use typed functions, so that names and
// labels stand only in this package.
package metrics

// Kind is the type of a metric.
type Kind string

// Kinds of metrics.
const (
	Counter   Kind = "counter"
	Gauge     Kind = "gauge"
	Histogram Kind = "histogram" // in seconds
)

// Definition describes one metric.
type Definition struct {
	Name    string
	Kind    Kind
	Labels  []string
	Meaning string
}

// Prefix stands before the names of all metrics.
const Prefix = "fescuestep_"

var definitions []Definition

// Definitions returns all metrics. docs/metrics.md is tested against it.
func Definitions() []Definition { return append([]Definition(nil), definitions...) }

func define(kind Kind, name, meaning string, labels ...string) Definition {
	d := Definition{Prefix + name, kind, labels, meaning}
	definitions = append(definitions, d)
	return d
}

// Requests.
var (
	defFirstToken   = define(Histogram, "first_token_seconds", "Time from the arrival of a request to its first token.", "customer", "class")
	defTokenGap     = define(Histogram, "token_gap_seconds", "Time between two tokens of a stream.", "customer", "class")
	defRequest      = define(Histogram, "request_seconds", "Time of a whole request.", "customer", "class")
	defResults      = define(Counter, "results_total", "Requests by result: ok or the name of a result code.", "class", "result")
	defPromptTokens = define(Counter, "prompt_tokens_total", "Prompt tokens of completed requests.", "customer", "class")
	defCachedTokens = define(Counter, "cached_tokens_total", "Prompt tokens that the engine had cached.", "customer", "class")
	defServed       = define(Counter, "served_total", "Requests of edge instances by route, prompt size (none, small below 2,000 tokens, medium below 20,000, large) and what the caller got: in_time, late, refused or failed.", "route", "size", "outcome")
	defAdmission    = define(Counter, "admission_total", "Requests of services with admission by service and decision: admitted at once, admitted after waiting, refused since their customer's queue is full, that could not be answered before the deadline or at a shutdown, left while waiting.", "service", "decision")
	defAdmWait      = define(Histogram, "admission_wait_seconds", "Time that admitted requests waited for room at the upstreams of a service.", "service")
	defTableAge     = define(Gauge, "table_age_seconds", "Time since a table of the platform's store was last known to be current at an edge instance.", "table")
	defStateCalls   = define(Counter, "state_calls_total", "State calls between edge instances by direction of the state: sent or received.", "direction")
	defStateBytes   = define(Counter, "state_bytes_total", "Bytes of the responses to State calls between edge instances by direction: sent or received.", "direction")
	defUndecodable  = define(Counter, "undecodable_statements_total", "Statements of upstreams in heads of responses that could not be decoded and count as not made.", "statement")
	defSlow         = define(Gauge, "slow_upstreams", "Upstreams of edge instances at which work takes 1.5 times the usual time or longer.", "pool")
	defRoom         = define(Gauge, "room", "Concurrent requests that the upstreams of edge instances run without queueing, from all instances together, by kind: free or total.", "pool", "kind")
	defLogDropped   = define(Counter, "log_lines_dropped_total", "Log lines dropped because the output was too slow.")
	defReleasePhase = define(Gauge, "release_phase", "Phase of the rollout of a service's software: 0 observing, 1 shifting, 2 closing, 3 rolled back, 4 completed.", "service")
	defReleaseShare = define(Gauge, "release_requests", "Requests of a service during the rollout of its software at this instance: all, and those exposed to the new version before the shift.", "service", "kind")
	defEnded        = define(Counter, "caller_connections_ended_total", "Connections refused or ended for what they hold, by reason: refused (no room), evicted (gave way to others), fields (too many header fields), framing (ambiguous) or slow_reader.", "reason")
	defOutputTokens = define(Counter, "output_tokens_total", "Tokens generated.", "customer", "class")
)

// Configuration and membership.
var (
	defRevision     = define(Gauge, "revision", "Revision of the configuration held.")
	defFresh        = define(Gauge, "fresh", "1 when keyed requests are served, otherwise 0.")
	defStateAge     = define(Gauge, "state_age_seconds", "Age of the last confirmation that the configuration is current.")
	defMembers      = define(Gauge, "members", "Instances in the membership record.")
	defAdminChanges = define(Counter, "admin_changes_total", "Changes by operators through this instance by kind (apply, create_key, revoke_key, resolve_order) and outcome.", "change", "outcome")
)

// Quota.
var (
	defQuotaWait       = define(Histogram, "quota_wait_seconds", "Time a request waited for tokens.")
	defRefusedInRate   = define(Counter, "refused_within_rate_total", "Requests refused although the customer was within its rate.")
	defCustomerStarved = define(Counter, "rate_refusals_total", "Requests refused because the customer used up its rate.", "customer", "class")
)

// Upstreams.
var (
	defUpstreams    = define(Gauge, "upstreams", "Upstreams by state: live, leaving, unreachable, ejected or loading.", "pool", "state")
	defInFlight     = define(Gauge, "in_flight", "Requests of this instance at upstreams.", "pool")
	defQueued       = define(Gauge, "queued", "Requests waiting for an upstream slot.", "pool")
	defQueueWait    = define(Histogram, "queue_wait_seconds", "Time a request waited for an upstream slot.", "pool")
	defAttempts     = define(Counter, "upstream_attempts_total", "Attempts by outcome: ok, unreachable, failed or cancelled.", "pool", "outcome")
	defEjections    = define(Counter, "ejections_total", "Upstreams taken out because of failures.", "pool")
	defExpectedHits = define(Counter, "expected_cached_tokens_total", "Prompt tokens expected to be cached at the chosen engine.", "pool")
	defCacheEvents  = define(Counter, "cache_events_total", "Cache events read.", "pool")
	defEventGaps    = define(Counter, "cache_event_gaps_total", "Jumps in an engine's event sequence.", "pool")
	defResyncs      = define(Counter, "cache_resyncs_total", "Snapshots of an engine's cache read.", "pool")
	defCachedBlocks = define(Gauge, "cached_blocks", "Blocks in the cache index.", "pool")
	defReportAge    = define(Gauge, "report_age_seconds", "Age of the oldest load report of a live upstream.", "pool")
)

// Orders, control commands and the platform.
var (
	defOrders        = define(Counter, "orders_total", "Orders by outcome: done, replayed, running, reused, unknown, released or refused.", "outcome")
	defUnresolved    = define(Gauge, "unresolved_orders", "Orders whose outcome is unknown, as last listed.")
	defLeader        = define(Gauge, "control_leader", "1 when this instance holds the lease for control commands, otherwise 0.")
	defCommands      = define(Counter, "control_commands_total", "Control commands sent by outcome: done, stale or failed.", "outcome")
	defWeightLoads   = define(Gauge, "weight_loads", "Weight loads running, as the leader sees them.")
	defPlatformCalls = define(Counter, "platform_calls_total", "Calls to the platform by service (table, objects, list, weights) and outcome (ok, conflict, unavailable, unknown).", "service", "outcome")
	defPlatformTime  = define(Histogram, "platform_seconds", "Time of calls to the platform.", "service")
	defPeerCalls     = define(Counter, "peer_calls_total", "Calls to other instances by call (sync, acknowledgements, join, acquire, return, forward, lookup) and outcome (ok or failed).", "call", "outcome")
)

package capacity

import "math"

// Row is the cost of one role for one instance, the busiest one where they
// differ.
type Row struct {
	Role      string
	State     float64 // bytes
	Messages  float64 // per second, sent and answered
	Core      float64 // percent of a core
	Bytes     float64 // per second on the network, both directions
	Reads     float64 // table reads per second, whole fleet
	Writes    float64 // table transactions per second, whole fleet
	Control   bool    // counts towards the budget for control
	Mechanism string
}

const (
	nsPerCorePercent = 1e9 / 100
	sides            = 2 // peer calls are measured with both sides in one process
)

// Rows returns the cost of every role at a size.
func Rows(s Size, r *reader) []Row {
	return []Row{
		requestPath(s, r),
		configuration(s, r),
		freshness(s, r),
		quota(s, r),
		cacheIndex(s, r),
		loadReports(s, r),
		orderClaims(s),
		controlCommands(s, r),
		metricsRow(s, r),
	}
}

func core(perSecond, ns float64) float64 { return perSecond * ns / nsPerCorePercent }

func requestPath(s Size, r *reader) Row {
	requests := s.Requests / s.Instances
	streams := s.Tokens / s.Instances * s.TokenTime
	return Row{
		Role:     "request path",
		State:    streams * r.get("router.BenchmarkStreamMemory:KiB/stream") * 1024,
		Messages: requests,
		Core: core(requests, r.get("router.BenchmarkChain:ns/op")+r.get("pick.BenchmarkPick/upstreams=2800:ns/op")) +
			core(s.Tokens/s.Instances, r.get("router.BenchmarkStreamEvent:cpu-ns/event")),
		Mechanism: "one goroutine per request, bounded bodies, events flushed as they come",
	}
}

func configuration(s Size, r *reader) Row {
	changes := s.Changes / secondsADay
	calls := r.get("controller.BenchmarkControlTraffic/instances=243:calls/change/instance")
	return Row{
		Role:     "configuration and keys",
		State:    s.Keys*r.get("config.BenchmarkState/key:heap-B/entry") + s.Customers*r.get("config.BenchmarkState/customer:heap-B/entry"),
		Messages: changes * calls,
		Core:     core(changes, r.get("config.BenchmarkApplyKey:ns/op")+calls*r.get("peer.BenchmarkCall/sync_with_change:cpu-ns/op")),
		Bytes:    changes * calls * r.get("peer.BenchmarkCall/sync_with_change:wire-B/op"),
		Reads:    changes * relays(s), Writes: changes * 2, // the change and its acceptance
		Control:   true,
		Mechanism: "change rows, relays per failure domain, acceptance by acknowledgement",
	}
}

func relays(s Size) float64 {
	if s.Instances < s.Domains*minRelays {
		return s.Instances
	}
	return s.Domains * math.Max(minRelays, math.Ceil(s.Instances/s.Domains/relayFanout))
}

func freshness(s Size, r *reader) Row {
	polled := (s.Instances - relays(s)) / relays(s) * pollsPerSecond
	return Row{
		Role:     "membership and freshness (relay)",
		State:    s.Instances * 200, // one member with its last acknowledgement
		Messages: polled,
		Core:     core(polled, r.get("peer.BenchmarkCall/sync:cpu-ns/op")/sides),
		Bytes:    polled * r.get("peer.BenchmarkCall/sync:wire-B/op"),
		Reads:    relays(s) * headReads, Writes: (2*s.Restarts + s.Failures) / secondsADay * 2,
		Control:   true,
		Mechanism: "relays read the head, the others ask a relay of their failure domain",
	}
}

func quota(s Size, r *reader) Row {
	requests := s.Requests / s.Instances
	remote := 1 - math.Min(1, holders/s.Instances)
	// Each request that is not charged to the own share asks one holder and
	// settles with it; an instance does both for its own requests and answers
	// as many.
	calls := requests * remote * 2
	bytes := requests * remote * (r.get("peer.BenchmarkCall/acquire=1:wire-B/op") + r.get("peer.BenchmarkCall/return:wire-B/op"))
	cpu := requests * remote * (r.get("peer.BenchmarkCall/acquire=1:cpu-ns/op") + r.get("peer.BenchmarkCall/return:cpu-ns/op"))
	return Row{
		Role:      "quota",
		State:     s.Customers * math.Min(1, holders/s.Instances) * r.get("quota.BenchmarkAccount:heap-B/account"),
		Messages:  calls * sides,
		Core:      core(1, cpu) + core(requests, r.get("quota.BenchmarkAdmission:ns/op")),
		Bytes:     bytes * sides,
		Control:   true,
		Mechanism: "eight share holders per customer, grants with a lease, no table",
	}
}

func cacheIndex(s Size, r *reader) Row {
	polls := pollRate(s.Engines, eventInterval)
	perEvent := r.get("upstreams.BenchmarkPoll/events=32:body-B/op") / 32
	decode := r.get("upstreams.BenchmarkPoll/events=32:cpu-ns/op") / 32 / sides
	return Row{
		Role:      "cache index",
		State:     s.Blocks * r.get("cacheindex.BenchmarkEvent/engines=2800:bytes/block"),
		Messages:  polls,
		Core:      core(s.Events, r.get("cacheindex.BenchmarkEvent/engines=2800:ns/op")+decode),
		Bytes:     s.Events * perEvent,
		Control:   true,
		Mechanism: "every instance follows every engine, see below",
	}
}

// pollRate returns the polls per second of n targets: the spacing between polls
// stretches the interval, up to a bound.
func pollRate(n, interval float64) float64 {
	return n / math.Min(math.Max(interval, n*pollSpacing), math.Max(interval, maxPollInterval))
}

func loadReports(s Size, r *reader) Row {
	polls := pollRate(s.Engines, reportInterval) + pollRate(s.Upstreams-s.Engines, serviceInterval)
	return Row{
		Role:      "load reports",
		State:     s.Upstreams * 600, // one upstream with its outlier state
		Messages:  polls,
		Core:      core(polls, r.get("upstreams.BenchmarkPoll/report:cpu-ns/op")/sides),
		Bytes:     polls * r.get("upstreams.BenchmarkPoll/report:body-B/op"),
		Control:   true,
		Mechanism: "every instance polls every upstream; to be replaced by followers and probes, see below",
	}
}

func orderClaims(s Size) Row {
	orders := s.Requests * s.OrderShare
	return Row{
		Role:      "order claims",
		Messages:  orders / s.Instances * writesPerOrder,
		Writes:    orders * writesPerOrder,
		Mechanism: "one row per order, claims of one instance batched into one transaction",
	}
}

func controlCommands(s Size, r *reader) Row {
	return Row{
		Role:      "control commands (leader)",
		State:     s.Engines * 300, // one engine with its wanted and known state
		Core:      core(50, r.get("control.BenchmarkPlan:ns/op")),
		Writes:    0.2, // lease renewals
		Control:   true,
		Mechanism: "one leader with a lease and a fencing token, read-back at a bounded rate",
	}
}

func metricsRow(s Size, r *reader) Row {
	requests := s.Requests / s.Instances
	perRequest := s.Tokens / s.Requests
	return Row{
		Role:      "metrics",
		State:     math.Min(s.Customers, 100) * 16e3,
		Core:      core(requests, r.get("metrics.BenchmarkRequest:ns/op")*math.Max(1, perRequest/100)),
		Mechanism: "series of the 100 largest customers, the others share one",
	}
}

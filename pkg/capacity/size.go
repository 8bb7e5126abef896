package capacity

// Size is a fleet that the page computes for. Figures marked as assumed are
// not stated by anyone and can be changed here.
type Size struct {
	Name       string
	Instances  float64
	Domains    float64
	Engines    float64 // model engines that publish cache events
	Upstreams  float64 // engines and plain servers that report load
	Requests   float64 // per second
	Tokens     float64 // generated per second
	TokenTime  float64 // seconds between two tokens of a stream
	Events     float64 // cache events per second
	Blocks     float64 // cached blocks
	Customers  float64
	Keys       float64 // assumed: 10 per customer
	Changes    float64 // per day
	Failures   float64 // instances per day
	Restarts   float64 // planned restarts and replacements of instances per day
	OrderShare float64 // assumed: part of the requests that may not run twice
}

// Today is one deployment at the larger end of its 6 to 9 instances, with the
// traffic of the load tool's profiles. A request computes about two blocks, each
// of which is stored and evicted once: 160 events a second.
func Today() Size {
	return Size{
		Name: "today", Instances: 9, Domains: 4, Engines: 12, Upstreams: 16,
		Requests: 40, Tokens: 40 * 60, TokenTime: 0.032, Events: 160, Blocks: 12 * 96,
		Customers: 5, Keys: 50, Changes: 20, Failures: 1, Restarts: 9, OrderShare: 0.1,
	}
}

// TwoYears is the size that CONTRIBUTING.md asks to design for.
func TwoYears() Size {
	return Size{
		Name: "two years", Instances: 700, Domains: 7, Engines: 2800, Upstreams: 2800,
		Requests: 17_000, Tokens: 6_200_000, TokenTime: 0.032, Events: 450_000, Blocks: 90_000_000,
		Customers: 1600, Keys: 16_000, Changes: 3900, Failures: 47, Restarts: 740, OrderShare: 0.01,
	}
}

// Budget of one instance for control, and of the platform's services.
const (
	budgetCore   = 3.3       // percent of a core
	budgetMemory = 128e6     // bytes
	budgetBytes  = 25e3      // per second
	budgetReads  = 2000.0    // table reads per second
	budgetWrites = 300.0     // table transactions per second, the low end of several hundred
	secondsADay  = 24 * 3600 // s
)

// Settings of the code that the computation depends on. A test compares them
// with the code.
const (
	pollsPerSecond   = 2.0   // of a relay by an instance, configsync
	headReads        = 4.0   // per second and relay, configsync
	relayFanout      = 25.0  // instances per relay, member
	minRelays        = 2.0   // per failure domain, member
	holders          = 8.0   // per customer, member
	reportInterval   = 0.25  // s, load reports of engines, controller/upstreams
	serviceInterval  = 0.5   // s, load reports of plain servers, controller/upstreams
	eventInterval    = 0.2   // s, cache events, controller/upstreams
	pollSpacing      = 0.006 // s between two polls of one kind, controller/upstreams
	maxPollInterval  = 1.0   // s, to which spacing stretches an interval, controller/upstreams
	writesPerOrder   = 2.0   // claim and outcome, order
	resyncBlockBytes = 21.0  // JSON of one block hash in a snapshot
)

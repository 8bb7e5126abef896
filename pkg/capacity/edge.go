package capacity

// EdgeSize is a deployment of edge instances on the users' platform.
type EdgeSize struct {
	Name      string
	Instances float64
	Domains   float64
	Engines   float64
	Customers float64
	Long      float64 // requests with long shared prompts per second
	PickTime  float64 // seconds of one choice of an engine, measured by BenchmarkPick of pkg/placement
}

// EdgeRow is what one mechanism costs one instance.
type EdgeRow struct {
	Role      string
	Messages  float64 // sent and received per second
	Bytes     float64 // sent and received per second
	Core      float64 // percent of a core
	Reads     float64 // store calls per second of the whole fleet
	Mechanism string
}

// Times and sizes of pkg/edge and pkg/state that the rows rest on.
const (
	edgeDigestLeast   = 0.2  // s, between whole digests
	edgeDigestPerPeer = 0.01 // s, added per instance
	edgeDigestHead    = 90.0 // bytes with the datagram's own head
	edgeSpending      = 32.0 // bytes per customer
	edgeWork          = 26.0 // bytes per engine with work
	edgeNews          = 160.0
	edgeDatagramMost  = 1400.0
	edgeDatagramTime  = 12e-6 // s of processor time to send or take one, with its system call
	edgeFeedWait      = 2.5   // s, of a held call of the store
	edgeTables        = 2.0
	edgeRelays        = 2.0 // per failure domain
)

// EdgeSizes are the sizes of the section.
func EdgeSizes() []EdgeSize {
	return []EdgeSize{
		{Name: "today", Instances: 9, Domains: 4, Engines: 12, Customers: 5, Long: 19, PickTime: 4.7e-6},
		{Name: "grown", Instances: 81, Domains: 5, Engines: 71, Customers: 16, Long: 100, PickTime: 21.6e-6},
		{Name: "two years", Instances: 700, Domains: 7, Engines: 2800, Customers: 1600, Long: 4000, PickTime: 1048e-6},
	}
}

// EdgeRows returns the rows of a size.
func EdgeRows(s EdgeSize) []EdgeRow {
	return []EdgeRow{edgeDigests(s), edgePlacements(s), edgeState(s), edgeChoice(s)}
}

// EdgeDigestBytes is the size of a whole digest; above edgeDatagramMost the work
// is left out, and more customers than fit make it larger still.
func EdgeDigestBytes(s EdgeSize) float64 {
	fixed := edgeDigestHead + edgeSpending*s.Customers
	busy := min(s.Engines, s.Long+1) * edgeWork
	return max(fixed, min(fixed+busy, edgeDatagramMost))
}

func edgeDigests(s EdgeSize) EdgeRow {
	interval := max(edgeDigestLeast, edgeDigestPerPeer*s.Instances)
	each := 2 * (s.Instances - 1) / interval
	return EdgeRow{
		Role: "whole digests", Messages: each, Bytes: each * EdgeDigestBytes(s), Core: 100 * each * edgeDatagramTime,
		Mechanism: "every instance to every other, the interval grows with the fleet",
	}
}

func edgePlacements(s EdgeSize) EdgeRow {
	// Sent when the prompt begins and when it was computed, to all others.
	each := 2 * 2 * s.Long * (s.Instances - 1) / s.Instances
	return EdgeRow{
		Role: "placements of long prompts", Messages: each, Bytes: each * edgeNews, Core: 100 * each * edgeDatagramTime,
		Mechanism: "told to all instances",
	}
}

func edgeState(s EdgeSize) EdgeRow {
	followers := min(s.Instances, edgeRelays*s.Domains)
	return EdgeRow{
		Role: "state without changes", Reads: followers * edgeTables / edgeFeedWait,
		Mechanism: "two relays per failure domain hold calls of the store; the others learn from digests that there is more",
	}
}

func edgeChoice(s EdgeSize) EdgeRow {
	perInstance := s.Long / s.Instances
	return EdgeRow{
		Role: "choice of engines for long prompts", Core: 100 * perInstance * s.PickTime,
		Mechanism: "at most, when every engine of the service is estimated; owners, holders and a sample of them in a large fleet",
	}
}

// edgeFleet is what the page shows of one size.
type edgeFleet struct {
	Size  EdgeSize
	Rows  []EdgeRow
	Total EdgeRow
}

func edgeFleets() []edgeFleet {
	var out []edgeFleet
	for _, size := range EdgeSizes() {
		f := edgeFleet{Size: size, Rows: EdgeRows(size)}
		for _, row := range f.Rows {
			f.Total.Messages += row.Messages
			f.Total.Bytes += row.Bytes
			f.Total.Core += row.Core
			f.Total.Reads += row.Reads
		}
		out = append(out, f)
	}
	return out
}

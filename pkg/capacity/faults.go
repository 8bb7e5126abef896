package capacity

// Fault is what one kind of failure costs at a size.
type Fault struct {
	Name      string
	Reads     float64 // table reads
	Writes    float64 // table transactions
	Refused   float64 // requests
	Tokens    float64 // tokens computed again
	Reasoning string
}

const (
	takeover    = 10.0   // seconds until a dead instance is removed: grace of the platform's list
	cacheTokens = 96.0   // blocks of one engine today; at two years blocks / engines
	blockTokens = 2000.0 // tokens of a block
	startReads  = 3.0    // table reads of a relay that starts: head, state rows, changes
	window      = 2.0    // seconds of freshness
)

func faults(s Size) []Fault {
	perInstance := s.Requests / s.Instances
	blocksPerEngine := s.Blocks / s.Engines
	domainInstances := s.Instances / s.Domains
	domainEngines := s.Engines / s.Domains
	return []Fault{
		{"one instance fails", 0, 2, perInstance * s.Tokens / s.Requests * s.TokenTime, 0,
			"its running streams break; its 1/k of each bucket is missing for about 10 s"},
		{"the instances that fail in a day", 0, 2 * s.Failures, s.Failures * perInstance * s.Tokens / s.Requests * s.TokenTime, 0, "as above"},
		{"planned restarts of a day", startReads * s.Restarts * relays(s) / s.Instances, 4 * s.Restarts, 0, 0,
			"leave and join with their acceptance; streams run to their end"},
		{"one engine fails", 0, 0, 0, blocksPerEngine * blockTokens,
			"its cached blocks are gone, at most all of them are computed again"},
		{"a failure domain fails", 0, 4, domainInstances * perInstance * s.Tokens / s.Requests * s.TokenTime, domainEngines * blocksPerEngine * blockTokens,
			"one batched change removes its instances"},
		{"all instances restart together", startReads * relays(s), 4, s.Requests * window, 0,
			"keyed requests wait or are refused until the first confirmation; shares start empty"},
		{"regions apart for an hour, one of three cut from the table", 3600 * relays(s) / 3 * headReads, 0, s.Requests / 3 * 3600, 0,
			"the region without table and majority refuses keyed requests as not run, unless the questionnaire says serve_last_known"},
	}
}

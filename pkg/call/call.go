// Package call describes a request to an edge instance, one attempt to send it
// to an upstream and the upstream's response, independent of the headers that
// encode them.
package call

import "time"

// PromptPart is a segment of a prompt. Requests whose prompts begin with the
// same parts share KV cache; the last part is specific to the request or its
// session.
type PromptPart struct {
	ID     string
	Tokens int
}

// PartIDs returns the IDs of parts, for logs.
func PartIDs(parts []PromptPart) []string {
	ids := make([]string, 0, len(parts))
	for _, part := range parts {
		ids = append(ids, part.ID)
	}
	return ids
}

// Request is what a caller states about its request.
type Request struct {
	ID             string
	Key            string        // API key; empty if the request has none
	Timeout        time.Duration // how long the caller waits; 0: not stated
	Model          string        // empty on routes without a model
	PromptTokens   int
	MaxTokens      int  // maximum number of output tokens
	HasTokenCounts bool // PromptTokens and MaxTokens were stated
	PromptParts    []PromptPart
	LastEventID    string // last event received of a stream to resume; empty: start a new stream
	Resumes        string // ID of the request that brought the first event of that stream; empty: not stated
	ConfigVersion  uint64 // of a forwarded request: configuration of the instance that took it; 0: not stated
}

// Attempt is what an edge instance tells an upstream in addition to the
// caller's headers.
type Attempt struct {
	UpstreamID     string        // the upstream refuses the request if its ID differs
	TimeRemaining  time.Duration // until the request's deadline
	Key            string        // the caller's API key, which must not be forwarded
	Customer       string        // customer name
	CacheScope     string        // engines reuse KV cache only within the same scope
	FetchFrom      string        // IP:port of an engine or KV cache store that has more of the prompt; empty: none
	SaveTo         string        // IP:port of the KV cache store to save the prompt to; empty: none
	LastEventID    string        // last event of the stream that the caller has; empty: start a new stream
	WeightsVersion int           // the upstream refuses the request if its version differs; 0: any
	Priority       int           // 0 is the most urgent; set if HasPriority is true
	HasPriority    bool
}

// Forwarded is what an instance tells another one, which handles a request in its place,
// in addition to the caller's headers.
type Forwarded struct {
	TimeRemaining time.Duration // until the request's deadline
	ConfigVersion uint64        // configuration by which the request was taken
	LastEventID   string        // last event of the stream that the caller has; empty: none
	Resumes       string        // ID of the request that brought the first event of that stream
}

// Load is the load that an upstream reports in a response.
type Load struct {
	Running, Waiting, Slots int // requests
	// WorkTimePercent states how long work takes on the upstream's machine at this moment;
	// 100 is usual, 200 twice as long. 0 means not stated.
	WorkTimePercent int
}

// Statement names an optional statement in the head of a response.
type Statement string

// Statements that are counted when they cannot be decoded.
const (
	LoadStatement      Statement = "load"
	RateLimitStatement Statement = "rate_limit"
	BrittleStatement   Statement = "brittle"
	RetryStatement     Statement = "retry_after"
	WeightsStatement   Statement = "weights_version"
)

// Response is what the head of an upstream's response states.
type Response struct {
	Status          int
	RequestID       string
	Attested        bool          // carries the upstream's attestation that it produced the response
	Refused         bool          // the upstream did not run the request
	UpstreamID      string        // set in refusals and health check responses
	ConnectionClose bool          // the connection is closed after the response
	ContentEncoded  bool          // the body has a content encoding, so the upstream did not produce it
	Leaving         bool          // the upstream leaves and wants no new requests
	RetryAfter      time.Duration // time for which the upstream wants no requests from this instance; 0: not stated
	RateLimit       float64       // requests per second that the upstream takes from all instances together; valid if HasRateLimit
	HasRateLimit    bool          // the upstream names a limit
	MaxRefusals     int           // the upstreams of the service are brittle: one that refuses more requests than this in a second, for want of room, ends; valid if Brittle
	Brittle         bool
	KeepAlive       time.Duration // time after which the upstream closes the idle connection; 0: not stated
	WeightsVersion  int           // version of the weights that run the request; 0: not stated
	Load            *Load         // nil: not stated
	Undecodable     []Statement   // present, but not decoded; they count as not stated
}

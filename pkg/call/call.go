// Package call holds what the edge knows of a request, of one attempt at an
// upstream and of its answer, independent of how these are spelled in headers.
package call

import "time"

// PromptPart is a piece of a prompt. Requests with the same first parts share KV
// cache; the last part belongs to the request or its session.
type PromptPart struct {
	ID     string
	Tokens int
}

// Request is what a caller states.
type Request struct {
	ID             string
	Key            string        // empty when none was shown
	Timeout        time.Duration // how long the caller waits; 0: not stated
	Model          string        // empty on plain routes
	PromptTokens   int
	MaxTokens      int  // most output tokens
	HasTokenCounts bool // PromptTokens and MaxTokens were stated
	PromptParts    []PromptPart
	LastEventID    string // of a stream that is to be resumed after it
}

// Attempt is what the edge tells an upstream besides the caller's headers.
type Attempt struct {
	UpstreamID     string        // ID that the server must have, or it refuses
	TimeRemaining  time.Duration // until the request is given up
	Key            string        // the caller's, which must not pass
	Customer       string
	CacheScope     string // engines find KV cache under the same scope only
	FetchFrom      string // IP:port of an engine or store that holds more of the prompt
	SaveTo         string // IP:port of a store
	LastEventID    string
	WeightsVersion int // version that the server must have, or it refuses; 0: any
	Priority       int // 0 is the most urgent
	HasPriority    bool
}

// Load is what a server says of itself in an answer.
type Load struct {
	Running, Waiting, Slots int
}

// Response is what an upstream's answer states.
type Response struct {
	Status          int
	RequestID       string
	Attested        bool          // carries the server's proof
	Refused         bool          // the server did not run the request
	UpstreamID      string        // stated by refusals and health checks
	ConnectionClose bool          // the connection closes after the answer
	ContentEncoded  bool          // the body has a content encoding, so it is not the server's
	KeepAlive       time.Duration // after which the server closes the idle connection; 0: not stated
	WeightsVersion  int           // version that runs the request; 0: not stated
	Load            *Load         // nil: not stated
}

// Package engine implements the client side of the protocol between the router
// and its upstreams: completions, cache events, load reports, control commands
// and KV transfers.
package engine

import (
	"time"

	"github.com/fescuestep/fescuestep/pkg/block"
)

// Headers of requests to upstreams and of their responses.
const (
	HeaderRequestID      = "X-Request-Id"      // echoed by the upstream
	HeaderCacheSalt      = "X-Cache-Salt"      // salt that scopes prefix cache entries to the customer
	HeaderAdapter        = "X-Adapter"         // name of the adapter to apply
	HeaderWeightsVersion = "X-Weights-Version" // required weights version; an engine that serves another responds with 409
	HeaderPriority       = "X-Priority"        // a lower value is more urgent
	HeaderDeadline       = "X-Deadline-Ms"     // time left until the request's deadline, in milliseconds
	HeaderFencingToken   = "X-Fencing-Token"   // fencing token of a control command
	HeaderResumeAfter    = "X-Resume-After"    // sequence number of the last event received
	HeaderIncarnation    = "X-Incarnation"     // in responses: the engine's incarnation
	HeaderCachedTokens   = "X-Cached-Tokens"   // in responses, optional: number of prompt tokens found in the cache
)

// EventKind says how a cache event changes the set of cached blocks.
type EventKind string

// Kinds of cache events.
const (
	Stored  EventKind = "stored"
	Removed EventKind = "removed"
	Cleared EventKind = "cleared" // every block was removed
)

// Event is one cache event. Seq increases by 1 with each event of an
// incarnation; a gap means that events were lost.
type Event struct {
	Seq    uint64       `json:"seq"`
	Kind   EventKind    `json:"kind"`
	Blocks []block.Hash `json:"blocks,omitempty"` // in chain order
	Parent block.Hash   `json:"parent,omitempty"` // parent of the first block; the seed of the block identity if that block is a root
}

// Position identifies the last cache event that a reader has received.
type Position struct {
	Incarnation string
	Seq         uint64
}

// EventBatch is the response to a read of cache events. When Snapshot is set,
// Blocks lists all cached blocks as of Seq and Events is empty. Engines send a
// snapshot when their incarnation has changed, when they no longer hold the
// events after the requested position, and on request.
type EventBatch struct {
	Incarnation string       `json:"incarnation"`
	Weights     string       `json:"weights"`
	Snapshot    bool         `json:"snapshot,omitempty"`
	Seq         uint64       `json:"seq"` // sequence number of the last event included
	Blocks      []block.Hash `json:"blocks,omitempty"`
	// Parents holds the parent hash of each element of Blocks. Engines may
	// omit it; the prefix roots of the blocks are then unknown.
	Parents []block.Hash `json:"parents,omitempty"`
	Events  []Event      `json:"events,omitempty"`
}

// LoadReport is an engine's load as last sampled; the current load may differ.
type LoadReport struct {
	Incarnation    string        `json:"incarnation"`
	Weights        string        `json:"weights"`
	Age            time.Duration `json:"age"` // time since the load was sampled, encoded in nanoseconds
	Running        int           `json:"running"`
	Waiting        int           `json:"waiting"`
	QueuedTokens   int           `json:"queued_tokens"` // uncached prompt tokens waiting for prefill
	CachedBlocks   int           `json:"cached_blocks"`
	CapacityBlocks int           `json:"capacity_blocks"`
	Leaving        bool          `json:"leaving,omitempty"`
}

// Command is a control command. It states the desired state of one engine.
type Command struct {
	FencingToken uint64   `json:"fencing_token"`
	Weights      string   `json:"weights,omitempty"`
	Adapters     []string `json:"adapters,omitempty"`
	Role         string   `json:"role,omitempty"` // prefill, decode or both
}

// CommandResult is the engine's state after a command.
type CommandResult struct {
	Accepted     bool     `json:"accepted"`
	Stale        bool     `json:"stale,omitempty"` // the command's fencing token is lower than one seen before
	Weights      string   `json:"weights"`
	Adapters     []string `json:"adapters,omitempty"`
	Role         string   `json:"role,omitempty"`
	Loading      bool     `json:"loading,omitempty"`
	FencingToken uint64   `json:"fencing_token"` // highest fencing token seen
}

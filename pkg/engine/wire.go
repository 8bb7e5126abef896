// Package engine is the client side of the protocol that model engines and
// plain upstreams speak: completions, cache events, load reports and control
// commands.
package engine

import (
	"time"

	"github.com/fescuestep/fescuestep/pkg/block"
)

// Headers between the router and upstreams.
const (
	HeaderRequestID      = "X-Request-Id"      // echoed by the upstream
	HeaderCacheSalt      = "X-Cache-Salt"      // cache scope of the customer
	HeaderAdapter        = "X-Adapter"         // adapter to apply
	HeaderWeightsVersion = "X-Weights-Version" // 409 when the engine serves another
	HeaderPriority       = "X-Priority"        // lower is more urgent
	HeaderDeadline       = "X-Deadline-Ms"     // remaining time in ms
	HeaderFencingToken   = "X-Fencing-Token"   // of control commands
	HeaderResumeAfter    = "X-Resume-After"    // sequence number of the last event received
	HeaderIncarnation    = "X-Incarnation"     // in answers: the engine's incarnation
	HeaderCachedTokens   = "X-Cached-Tokens"   // in answers, optional: prompt tokens found in the cache
)

// EventKind is the kind of a cache event.
type EventKind string

// Kinds of cache events.
const (
	Stored  EventKind = "stored"
	Removed EventKind = "removed"
	Cleared EventKind = "cleared" // all blocks are gone
)

// Event is one cache event. Seq increases by 1 within an incarnation; a jump
// means that events were lost.
type Event struct {
	Seq    uint64       `json:"seq"`
	Kind   EventKind    `json:"kind"`
	Blocks []block.Hash `json:"blocks,omitempty"` // in chain order
	Parent block.Hash   `json:"parent,omitempty"` // of the first block; the identity's seed at the root
}

// Position is where a reader of events stands.
type Position struct {
	Incarnation string
	Seq         uint64
}

// EventBatch is the answer to a read of cache events. When Snapshot is set,
// Blocks lists all cached blocks as of Seq and Events is empty: engines answer
// so after a new incarnation, when After is too old, and on request.
type EventBatch struct {
	Incarnation string       `json:"incarnation"`
	Weights     string       `json:"weights"`
	Snapshot    bool         `json:"snapshot,omitempty"`
	Seq         uint64       `json:"seq"` // of the last event included
	Blocks      []block.Hash `json:"blocks,omitempty"`
	// Parents holds for each of Blocks the hash that it is chained to. Engines
	// may leave it out; the prefix roots of the blocks are then unknown.
	Parents []block.Hash `json:"parents,omitempty"`
	Events  []Event      `json:"events,omitempty"`
}

// LoadReport is an engine's report of its load. It lags behind reality.
type LoadReport struct {
	Incarnation   string        `json:"incarnation"`
	Weights       string        `json:"weights"`
	Age           time.Duration `json:"age"` // ns since the load was sampled
	Running       int           `json:"running"`
	Waiting       int           `json:"waiting"`
	QueuedTokens  int           `json:"queued_tokens"` // uncached prompt tokens waiting for prefill
	CachedBlocks  int           `json:"cached_blocks"`
	CapacityBlock int           `json:"capacity_blocks"`
	Leaving       bool          `json:"leaving,omitempty"`
}

// Command is a control command: the wanted end state of one engine.
type Command struct {
	FencingToken uint64   `json:"fencing_token"`
	Weights      string   `json:"weights,omitempty"`
	Adapters     []string `json:"adapters,omitempty"`
	Role         string   `json:"role,omitempty"` // prefill, decode or both
}

// CommandResult is the engine's state after a command.
type CommandResult struct {
	Accepted     bool     `json:"accepted"`
	Stale        bool     `json:"stale,omitempty"` // the fencing token was older than one seen
	Weights      string   `json:"weights"`
	Adapters     []string `json:"adapters,omitempty"`
	Role         string   `json:"role,omitempty"`
	Loading      bool     `json:"loading,omitempty"`
	FencingToken uint64   `json:"fencing_token"` // highest seen
}

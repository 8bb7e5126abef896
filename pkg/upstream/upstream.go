// Package upstream keeps the state of all upstreams of a router instance and
// assigns requests to slots on them. Each pool combines a fair queue, the
// choice of an upstream, coalescing of common prefixes, a cache index and
// outlier ejection behind one lock.
package upstream

import (
	"time"

	"github.com/fescuestep/fescuestep/pkg/block"
	"github.com/fescuestep/fescuestep/pkg/chain"
	"github.com/fescuestep/fescuestep/pkg/pick"
)

// Query describes a request that needs a slot.
type Query struct {
	Pool, Customer string
	Weight         float64      // weight of the customer in the fair queue
	FromDomain     string       // failure domain of this instance
	Priority       int          // lower is more urgent
	Tokens         int          // prompt tokens
	MaxOutput      int          // limit on output tokens
	Blocks         []block.Hash // hashes of the prompt blocks; nil for service pools
	Deadline       time.Time    // zero if there is none
	Exclude        []string     // upstream IDs already tried
	Moves          int          // times this request was withdrawn from an engine's queue
}

// Result is how a request ended on an upstream.
type Result int

// Results of requests.
const (
	OK          Result = iota
	Unreachable        // the connection was refused; nothing was sent
	Failed             // the upstream failed after bytes may have been sent
	Cancelled          // the caller or the router cancelled; does not count for or against the upstream
)

// Slot is the right to send one request to the chosen upstream. Done must be
// called exactly once.
type Slot struct {
	pool   *pool
	grant  *Grant
	target chain.Target
}

// Target returns the chosen upstream.
func (s *Slot) Target() chain.Target { return s.target }

// FirstToken records that the prefill is finished and how many prompt tokens
// the engine found cached.
func (s *Slot) FirstToken(cachedTokens int) {
	s.pool.withLock(func(now time.Time, sched *Scheduler) { sched.FirstToken(now, s.grant, cachedTokens) })
}

// OnMove sets a function that is called at most once, before the first token,
// if the request should be withdrawn from this upstream and acquire another
// slot with Query.Moves incremented. f is called with the pool's lock held and
// must only send a signal. Once f has been called, no part of an answer may be
// passed on.
func (s *Slot) OnMove(f func()) {
	s.pool.withLock(func(time.Time, *Scheduler) { s.grant.onMove = f })
}

// Done releases the slot.
func (s *Slot) Done(r Result) {
	s.pool.withLock(func(now time.Time, sched *Scheduler) { sched.Done(now, s.grant, r) })
}

// Grant is a slot that a Scheduler assigned to a request.
type Grant struct {
	waiter         *Waiter
	inFlight       *pick.InFlightRequest
	incarnation    string
	query          *Query
	choice         pick.Choice
	pendingBlocks  []block.Hash // blocks computed by this prefill that other requests may wait for
	firstTokenSeen bool
	moveRequested  bool // the caller agreed to move the request
	onMove         func()
	done           bool
}

// Waiter returns the request that holds the slot.
func (g *Grant) Waiter() *Waiter { return g.waiter }

// Choice returns the chosen upstream and the estimates behind the choice.
func (g *Grant) Choice() pick.Choice { return g.choice }

func (g *Grant) signalMove() bool {
	if g.onMove == nil {
		return false
	}
	g.onMove()
	return true
}

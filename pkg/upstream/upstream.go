// Package upstream owns the state of all upstreams of a router instance and
// hands out slots on them: fair queue, endpoint choice, coalescing, cache
// index and outlier state, behind one lock per pool.
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
	Weight         float64      // of the customer
	FromDomain     string       // failure domain of this instance
	Priority       int          // lower is more urgent
	Tokens         int          // prompt tokens
	MaxOutput      int          // tokens
	Blocks         []block.Hash // nil for services
	Deadline       time.Time    // zero for none
	Exclude        []string     // upstream IDs already tried
	// Sharded says that Holders replaces the own cache index. Pools sets both.
	Sharded bool
	Holders []pick.Holder
	Moves   int // times this request was withdrawn from an engine's queue
}

// Result is the end of a request on an upstream.
type Result int

// Results.
const (
	OK          Result = iota
	Unreachable        // the connection was refused; nothing was sent
	Failed             // the upstream failed after bytes may have been sent
	Cancelled          // the caller or the router gave up; says nothing about the upstream
)

// Slot holds a chosen upstream until Done is called exactly once.
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
	s.pool.withLock(func(now time.Time, c *Scheduler) { c.FirstToken(now, s.grant, cachedTokens) })
}

// OnMove sets a function that is called at most once, before the first token,
// when the request should be withdrawn from this upstream and acquire another
// slot with Query.Moves raised. f runs under the pool's lock and only signals.
// Once f has been called, nothing of an answer may be passed on.
func (s *Slot) OnMove(f func()) {
	s.pool.withLock(func(time.Time, *Scheduler) { s.grant.onMove = f })
}

// Done releases the slot.
func (s *Slot) Done(r Result) {
	s.pool.withLock(func(now time.Time, c *Scheduler) { c.Done(now, s.grant, r) })
}

// Grant is a slot in the state machine.
type Grant struct {
	waiter         *Waiter
	flight         *pick.InFlightRequest
	incarnation    string
	query          *Query
	choice         pick.Choice
	pendingBlocks  []block.Hash // blocks that others may wait for
	firstTokenSeen bool
	moveRequested  bool // was asked to move
	onMove         func()
	done           bool
}

// Waiter returns the request that holds the slot.
func (g *Grant) Waiter() *Waiter { return g.waiter }

// Choice returns the decision behind the grant.
func (g *Grant) Choice() pick.Choice { return g.choice }

func (g *Grant) signalMove() bool {
	if g.onMove == nil {
		return false
	}
	g.onMove()
	return true
}

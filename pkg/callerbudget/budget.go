// Package callerbudget decides who may hold how much of a process's memory and
// descriptors on behalf of callers, and who gives way when they run short. It does no I/O
// and has no clock; it is not safe for concurrent use.
package callerbudget

import "time"

// Limits bound what all connections of a process hold together.
type Limits struct {
	Bytes       int64
	Connections int
	// Reserved is the number of connections that each listener may have although
	// others hold all, so that readiness checks and other instances get in.
	Reserved int
}

// ConnectionBytes is what a connection costs without a request: two goroutine stacks, the
// buffers of the HTTP server for reading and writing and those of this module.
const ConnectionBytes = 20 << 10

// HeadBytes returns what a head costs in memory. 3,200 fields in 20 KB took 260 KB.
func HeadBytes(bytes, fields int) int64 { return 2*int64(bytes) + 100*int64(fields) }

// Phase is what a connection is doing.
type Phase int

// Phases of a connection.
const (
	Idle      Phase = iota // no request
	Receiving              // a request is not complete; connections without a request yet as well
	Running                // a complete request is handled
	Writing                // the handler waits for the caller to read
	Closing                // closed for writing; the rest of the request is discarded
)

// Holder is one connection.
type Holder struct {
	listener string
	address  string
	customer string // of the last request with a valid key; empty: none
	owner    string // the customer, if one is known, or else the address
	phase    Phase
	began    time.Time // of the phase
	movedAt  time.Time // last progress in it
	moved    int64     // bytes in it
	held     int64
	gone     bool // evicted or closed
	counted  bool // in the number of connections
}

// Budget is what the connections of a process hold.
type Budget struct {
	limits     Limits
	held       int64
	open       int            // connections that are not closed
	leaving    int            // of those the evicted ones
	byListener map[string]int // connections that are neither evicted nor closed
	byOwner    map[string]int64
	holders    map[*Holder]struct{}
}

// New returns a budget with nothing in use.
func New(l Limits) *Budget {
	return &Budget{limits: l, byListener: map[string]int{}, byOwner: map[string]int64{}, holders: map[*Holder]struct{}{}}
}

// Held returns the bytes and connections in use.
func (b *Budget) Held() (bytes int64, connections int) { return b.held, b.open }

// maxLeavingDivisor bounds the evicted connections that are not yet closed to this part of
// the limit; their descriptors are in use.
const maxLeavingDivisor = 8

// Open adds a connection. It returns those that must be closed first. If it returns nil,
// the new connection must be refused.
func (b *Budget) Open(now time.Time, listener, address string) (h *Holder, evicted []*Holder) {
	h = &Holder{listener: listener, address: address, owner: address, phase: Receiving, began: now, movedAt: now, counted: true}
	if b.open-b.leaving >= b.limits.Connections {
		if b.leaving <= b.limits.Connections/maxLeavingDivisor {
			evicted = b.evict(now, h, ConnectionBytes, shortage{connections: 1})
		}
		if evicted == nil && b.byListener[listener] >= b.limits.Reserved {
			return nil, nil
		}
	}
	b.open++
	b.byListener[listener]++
	b.holders[h] = struct{}{}
	more, ok := b.Charge(now, h, ConnectionBytes)
	if !ok && b.byListener[listener] > b.limits.Reserved {
		b.Close(h)
		return nil, evicted
	}
	return h, append(evicted, more...)
}

// Close removes a connection with all that it holds.
func (b *Budget) Close(h *Holder) {
	if !h.gone {
		b.remove(h)
	} else if h.counted {
		b.leaving--
	}
	if h.counted {
		b.open--
		h.counted = false
	}
}

// remove takes a connection and what it holds out of the sums.
func (b *Budget) remove(h *Holder) {
	h.gone = true
	delete(b.holders, h)
	b.release(h, h.held)
	if b.byListener[h.listener]--; b.byListener[h.listener] == 0 {
		delete(b.byListener, h.listener)
	}
}

// Charge adds n bytes to what a connection holds. It returns the connections that must be
// closed for it. ok is false if the bytes can't be had.
func (b *Budget) Charge(now time.Time, h *Holder, n int64) (evicted []*Holder, ok bool) {
	if h.gone {
		return nil, false
	}
	if over := b.held + n - b.limits.Bytes; over > 0 {
		if evicted = b.evict(now, h, h.held+n, shortage{bytes: over}); evicted == nil {
			return nil, false
		}
	}
	b.add(h, n)
	return evicted, true
}

// Release takes n bytes from what a connection holds.
func (b *Budget) Release(h *Holder, n int64) {
	if !h.gone {
		b.release(h, n)
	}
}

func (b *Budget) add(h *Holder, n int64) {
	h.held += n
	b.held += n
	b.byOwner[h.owner] += n
}

func (b *Budget) release(h *Holder, n int64) {
	n = min(n, h.held)
	h.held -= n
	b.held -= n
	if b.byOwner[h.owner] -= n; b.byOwner[h.owner] <= 0 {
		delete(b.byOwner, h.owner)
	}
}

// Enter begins a phase of a connection.
func (b *Budget) Enter(now time.Time, h *Holder, p Phase) {
	h.phase, h.began, h.movedAt, h.moved = p, now, now, 0
}

// Phase returns the phase of a connection.
func (h *Holder) Phase() Phase { return h.phase }

// Progress records that n bytes were received or written.
func (b *Budget) Progress(now time.Time, h *Holder, n int) {
	if n > 0 {
		h.moved += int64(n)
		h.movedAt = now
	}
}

// Identify records that a request on the connection had the valid key of a customer.
func (b *Budget) Identify(h *Holder, customer string) {
	if h.gone || h.customer == customer {
		return
	}
	held := h.held
	b.release(h, held)
	h.customer, h.owner = customer, h.address
	if customer != "" {
		h.owner = "customer " + customer
	}
	b.add(h, held)
}

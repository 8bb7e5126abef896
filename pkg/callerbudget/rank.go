package callerbudget

import (
	"math/bits"
	"slices"
	"time"
)

const (
	// stallTime without a byte makes a request or a reader a stalled one.
	stallTime = time.Second
	// slowRate in bytes per second is below that of a body of 4 MB in a minute, the longest
	// time for a request without a timeout of its own.
	slowRate = 16 << 10
	// youth is the time in which a request is not yet judged by its rate.
	youth = time.Second
	// longIdle is the idle time after which a connection of a customer counts as little
	// as one without a key, so that idle customers don't keep new callers out.
	longIdle = 5 * time.Second
	// evictionShare of a limit is freed at once from stalled connections, so that a flood
	// of connections does not cost a search for each of them.
	evictionShare = 32
)

// grade orders connections; lower ones give way first.
type grade int

const (
	closing    grade = iota // only discards what still arrives
	stalled                 // nothing moved for stallTime, or too little
	idle                    // no request
	advanced                // moves on
	young                   // has just begun
	guarded                 // added to the last three for connections of customers
	keepsAlive = guarded + young + 1
)

// rank is the place of a connection in the order of giving way.
type rank struct {
	grade  grade
	rate   int   // log2 of bytes per second, if it is judged by its rate
	keyed  int   // 1: last request had a valid key
	shares int   // log2 of what its owner holds, negative
	weight int64 // what it holds, negative, or when its phase began
}

func (r rank) before(o rank) bool {
	switch {
	case r.grade != o.grade:
		return r.grade < o.grade
	case r.rate != o.rate:
		return r.rate < o.rate
	case r.keyed != o.keyed:
		return r.keyed < o.keyed
	case r.shares != o.shares:
		return r.shares < o.shares
	}
	return r.weight < o.weight
}

// rank returns the place of a connection that holds so many bytes. It returns false for
// those that never give way.
func (b *Budget) rank(now time.Time, h *Holder, held int64) (rank, bool) {
	r := rank{shares: -bits.Len64(uint64(b.byOwner[h.owner])), weight: -held}
	if h.customer != "" {
		r.keyed = 1
	}
	age, quiet := now.Sub(h.began), now.Sub(h.movedAt)
	switch h.phase {
	case Running:
		return rank{}, false
	case Closing:
		r.grade = closing
		return r, true
	case Idle:
		r.grade, r.weight = idle, h.began.UnixNano()
		if r.keyed == 1 && quiet >= longIdle {
			r.keyed = 0
		}
	case Receiving, Writing:
		perSecond := int64(float64(h.moved) / max(age.Seconds(), youth.Seconds()))
		switch {
		case quiet >= stallTime || age >= youth && perSecond < slowRate:
			r.grade, r.rate = stalled, bits.Len64(uint64(perSecond))
			return r, true
		case age < youth:
			r.grade = young
		default:
			r.grade, r.rate = advanced, bits.Len64(uint64(perSecond))
		}
	}
	if r.keyed == 1 {
		r.grade += guarded
	}
	return r, true
}

// shortage is what is missing.
type shortage struct {
	bytes       int64
	connections int
}

// evict frees what is missing for a connection that will hold so many bytes, from those
// that give way before it. It returns nil, and frees nothing, if they hold too little.
func (b *Budget) evict(now time.Time, h *Holder, held int64, missing shortage) []*Holder {
	own, ok := b.rank(now, h, held)
	if !ok {
		own.grade = keepsAlive
	}
	type candidate struct {
		rank
		*Holder
	}
	var candidates []candidate
	for other := range b.holders {
		if other == h || missing.connections > 0 && other.listener != h.listener && b.byListener[other.listener] <= b.limits.Reserved {
			continue // else the listener would soon take another one beyond the limit
		}
		if r, ok := b.rank(now, other, other.held); ok && r.before(own) {
			candidates = append(candidates, candidate{r, other})
		}
	}
	slices.SortFunc(candidates, func(x, y candidate) int {
		switch {
		case x.rank.before(y.rank):
			return -1
		case y.rank.before(x.rank):
			return 1
		}
		return 0
	})
	free, n := int64(0), 0
	for n < len(candidates) && (free < missing.bytes || n < missing.connections) {
		free += candidates[n].held
		n++
	}
	if free < missing.bytes || n < missing.connections {
		return nil
	}
	extra := shortage{b.limits.Bytes / evictionShare, b.limits.Connections / evictionShare}
	if missing.connections > 0 {
		extra.connections = min(extra.connections, len(candidates)-b.limits.Reserved)
	}
	for n < len(candidates) && candidates[n].grade <= stalled &&
		(missing.bytes > 0 && free < missing.bytes+extra.bytes || missing.connections > 0 && n < extra.connections) {
		free += candidates[n].held
		n++
	}
	var out []*Holder
	for _, c := range candidates[:n] {
		b.remove(c.Holder)
		b.leaving++
		out = append(out, c.Holder)
	}
	return out
}

// Stalled evicts the readers that have taken nothing for stallTime, and returns them.
func (b *Budget) Stalled(now time.Time) []*Holder {
	var out []*Holder
	for h := range b.holders {
		if h.phase == Writing && now.Sub(h.movedAt) >= stallTime {
			out = append(out, h)
		}
	}
	for _, h := range out {
		b.remove(h)
		b.leaving++
	}
	return out
}

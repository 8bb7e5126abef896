package shard

import (
	"cmp"
	"slices"
	"time"

	"github.com/fescuestep/fescuestep/pkg/block"
	"github.com/fescuestep/fescuestep/pkg/config"
	rpc "github.com/fescuestep/fescuestep/rpc/peer"
)

// outbox is what a follower has to send to one owner.
type outbox struct {
	to       config.Member
	key      uint64 // keyOf(to)
	lanes    map[*followed]*lane
	seq      uint64 // of the last message
	acked    uint64 // highest sequence that arrived
	waiting  bool   // a message is under way
	next     time.Duration
	sent     time.Duration
	failures int // since the last answer
}

func newOutbox(to config.Member) *outbox {
	return &outbox{to: to, key: keyOf(to), lanes: map[*followed]*lane{}}
}

// lane is what one owner gets of one engine.
type lane struct {
	introduced bool // the owner acknowledged the source
	complete   bool // the owner acknowledged that it has all parts
	gone       bool
	loaded     bool                              // the owner acknowledged a load report of this source
	offered    map[Partition]bool                // parts that the owner was or will be sent
	resync     map[Partition]bool                // parts to send as snapshots
	deltas     map[Partition]map[block.Hash]bool // net changes, true when stored
	underWay   underWay
}

// underWay is what a lane's part of the unanswered message carried.
type underWay struct {
	source   uint32
	identity bool
	complete bool
	gone     bool
	loaded   bool
	parts    []Partition
}

func (o *outbox) lane(e *followed) *lane {
	l := o.lanes[e]
	if l == nil {
		l = &lane{offered: map[Partition]bool{}}
		l.reset()
		o.lanes[e] = l
	}
	return l
}

// reset starts over: the owner is to be told everything.
func (l *lane) reset() {
	l.introduced, l.complete, l.loaded = false, false, false
	l.resync = map[Partition]bool{}
	l.deltas = map[Partition]map[block.Hash]bool{}
	clear(l.offered)
}

// change notes a changed block. A block that is stored and removed between two
// messages is not sent. The first block of a part that the owner was not sent
// yet makes it a snapshot.
func (l *lane) change(p Partition, h block.Hash, stored bool) {
	if l.resync[p] {
		return
	}
	if !l.offered[p] {
		l.offered[p] = true
		if !l.complete {
			l.resync[p] = true
			return
		}
	}
	d := l.deltas[p]
	if d == nil {
		d = map[block.Hash]bool{}
		l.deltas[p] = d
	}
	if _, ok := d[h]; ok {
		delete(d, h)
		return
	}
	d[h] = stored
}

// pending reports whether the owner has to hear of the engine before the next
// keep-alive. A changed load is no reason, the first report is.
func (l *lane) pending(e *followed) bool {
	return !l.introduced || e.reported && !l.loaded || !l.complete || l.gone || len(l.resync) > 0 || len(l.deltas) > 0
}

func (o *outbox) pending() bool {
	for e, l := range o.lanes {
		if l.pending(e) {
			return true
		}
	}
	return false
}

// retain drops engines that are no longer followed and partitions that the
// owner no longer has. An owner that gained partitions is told everything: it
// may still hold entries from when it owned them before.
func (o *outbox) retain(f *Follower, gained bool) {
	for e, l := range o.lanes {
		if !l.gone && f.engines[e.id] != e {
			delete(o.lanes, e)
			continue
		}
		if gained {
			l.reset()
			continue
		}
		for p := range l.offered {
			if !f.assigned.Owns(o.to, p) {
				delete(l.offered, p)
				delete(l.resync, p)
				delete(l.deltas, p)
			}
		}
	}
}

// build assembles the next message to an owner.
func (f *Follower) build(now time.Duration, o *outbox) *rpc.ForwardRequest {
	f.sequence++
	o.seq = f.sequence
	o.waiting, o.sent = true, now
	o.next = now + f.pace.pause(len(f.assigned.members))<<min(o.failures, maxBackoff)
	req := &rpc.ForwardRequest{Follower: keyOf(f.self), Sequence: o.seq, Acknowledged: o.acked}
	left := f.pace.MaxBlocks
	if o.failures > 0 {
		left = 0 // a probe: an unreachable owner takes no part of the resync rate
	}
	for _, e := range o.order() {
		l := o.lanes[e]
		if e.source == 0 && !l.gone {
			l.underWay = underWay{}
			continue
		}
		req.Engines = append(req.Engines, f.engineUpdate(now, e, l, &left))
	}
	return req
}

// maxBackoff is the number of times that the interval doubles after failures.
const maxBackoff = 4

// order returns the engines in a fixed order, so that messages do not depend
// on the order of a map.
func (o *outbox) order() []*followed {
	out := make([]*followed, 0, len(o.lanes))
	for e := range o.lanes {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b *followed) int { return cmp.Compare(a.id, b.id) })
	return out
}

func (f *Follower) engineUpdate(now time.Duration, e *followed, l *lane, left *int) *rpc.EngineUpdate {
	u := &rpc.EngineUpdate{Source: e.source, Gone: l.gone}
	if !l.introduced {
		u.Identity = &rpc.EngineIdentity{Id: e.id, Incarnation: e.incarnation, Weights: e.weights, Since: e.since, Pool: e.pool}
	}
	l.underWay = underWay{source: e.source, identity: !l.introduced, gone: l.gone}
	if l.gone {
		return u
	}
	u.Load = e.loadMessage(now)
	l.underWay.loaded = u.Load != nil
	u.Stale = e.gap || !e.known || now-e.read > staleAfter
	f.addDeltas(u, l, left)
	f.addSnapshots(u, e, l, left)
	u.Complete = !l.complete && e.known && len(l.resync) == 0
	l.underWay.complete = u.Complete
	return u
}

// staleAfter is the time without events read after which an owner is told that
// the engine's entries may be old. Reads are at most a second apart.
const staleAfter = 3 * time.Second

func (f *Follower) addDeltas(u *rpc.EngineUpdate, l *lane, left *int) {
	for _, p := range sorted(l.deltas) {
		if *left <= 0 {
			return
		}
		d := l.deltas[p]
		delete(l.deltas, p)
		if len(d) == 0 {
			continue
		}
		part := &rpc.PartUpdate{Partition: uint32(p)}
		for h, stored := range d {
			if stored {
				part.Stored = append(part.Stored, uint64(h))
			} else {
				part.Removed = append(part.Removed, uint64(h))
			}
		}
		slices.Sort(part.Stored)
		slices.Sort(part.Removed)
		*left -= len(d)
		u.Parts = append(u.Parts, part)
		l.underWay.parts = append(l.underWay.parts, p)
	}
}

// addSnapshots adds resyncs as far as the pace allows and lists the parts that
// have to wait.
func (f *Follower) addSnapshots(u *rpc.EngineUpdate, e *followed, l *lane, left *int) {
	for _, p := range sorted(l.resync) {
		if *left <= 0 || f.stock <= 0 {
			u.Uncertain = append(u.Uncertain, uint32(p))
			continue
		}
		part := &rpc.PartUpdate{Partition: uint32(p), Snapshot: true}
		for _, h := range e.parts[p] {
			part.Stored = append(part.Stored, uint64(h))
		}
		cost := 1 + len(part.Stored)
		*left -= cost
		f.stock -= float64(cost)
		delete(l.resync, p)
		u.Parts = append(u.Parts, part)
		l.underWay.parts = append(l.underWay.parts, p)
	}
}

func sorted[V any](m map[Partition]V) []Partition {
	out := make([]Partition, 0, len(m))
	for p := range m {
		out = append(out, p)
	}
	slices.Sort(out)
	return out
}

func (o *outbox) answered(req *rpc.ForwardRequest, resp *rpc.ForwardResponse) {
	o.waiting, o.failures = false, 0
	if resp.Unknown {
		o.acked = 0
		for _, l := range o.lanes {
			l.reset()
		}
		return
	}
	o.acked = req.Sequence
	for e, l := range o.lanes {
		l.acknowledged(e)
		if l.gone && l.underWay.gone {
			delete(o.lanes, e)
		}
		l.underWay = underWay{}
	}
	for _, r := range resp.Refused {
		o.refused(r)
	}
}

// acknowledged notes what arrived, unless the engine restarted meanwhile.
func (l *lane) acknowledged(e *followed) {
	w := &l.underWay
	if w.source != e.source {
		return
	}
	l.introduced = l.introduced || w.identity
	l.complete = l.complete || w.complete
	l.loaded = l.loaded || w.loaded
}

// refused queues a part again whose owner does not know yet that it is.
func (o *outbox) refused(r *rpc.RefusedPart) {
	for e, l := range o.lanes {
		if e.source == r.Source && l.offered[Partition(r.Partition)] {
			l.again(Partition(r.Partition))
		}
	}
}

func (l *lane) again(p Partition) {
	l.resync[p] = true
	delete(l.deltas, p)
}

func (o *outbox) failed() {
	o.waiting = false
	o.failures++
	for e, l := range o.lanes {
		if l.underWay.source == e.source {
			for _, p := range l.underWay.parts {
				if l.offered[p] {
					l.again(p)
				}
			}
		}
		l.underWay = underWay{}
	}
}

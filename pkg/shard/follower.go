package shard

import (
	"cmp"
	"slices"
	"time"

	"github.com/fescuestep/fescuestep/pkg/block"
	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/engine"
	rpc "github.com/fescuestep/fescuestep/rpc/peer"
)

// Pace bounds what a follower sends.
type Pace struct {
	Interval  time.Duration // longest pause between messages to one owner
	PerOwner  time.Duration // pause for each owner in the fleet, up to Interval; 0 for Interval
	KeepAlive time.Duration // after which an owner hears of its engines in any case
	Resync    float64       // blocks per second in snapshots, over all owners
	MaxBlocks int           // about the most blocks in one message
}

// DefaultPace sends at most 100 messages a second to up to 100 owners. With more
// owners the pause stays at 1 s: a message then carries about one chain, so
// that their number is bounded by the events. Resyncs take about 16 KB/s.
var DefaultPace = Pace{Interval: time.Second, PerOwner: 10 * time.Millisecond, KeepAlive: 5 * time.Second, Resync: 2000, MaxBlocks: 4096}

// minPause keeps a few owners from getting a message for every poll.
const minPause = 100 * time.Millisecond

// pause returns the time between two messages to one of n owners.
func (p *Pace) pause(n int) time.Duration {
	if p.PerOwner <= 0 {
		return p.Interval
	}
	return min(max(p.PerOwner*time.Duration(n), minPause), p.Interval)
}

// Message is a request to send to an owner. The caller reports the outcome
// with Answered or Failed.
type Message struct {
	To      config.Member
	Request *rpc.ForwardRequest
}

// Follower keeps the cached blocks of the engines that one instance follows
// and decides what to forward to which owner. It is not safe for concurrent
// use.
type Follower struct {
	self       config.Member
	pace       Pace
	assigned   *Map
	engines    map[string]*followed
	lastSource uint32
	// sequence numbers messages to all owners: an owner that left the
	// membership and returned has to take the new ones for newer.
	sequence uint64
	outboxes []*outbox // sorted by the owner's ID
	stock    float64   // blocks that resyncs may send now
	refilled time.Duration
}

// NewFollower returns a follower without engines.
func NewFollower(self config.Member, pace Pace) *Follower {
	return &Follower{self: self, pace: pace, engines: map[string]*followed{}, stock: pace.Resync}
}

// SetMap applies a changed assignment. Engines that another instance follows
// now are forgotten: its higher revision replaces this follower at the owners.
func (f *Follower) SetMap(m *Map) {
	old := f.assigned
	f.assigned = m
	for id, e := range f.engines {
		if !m.Follows(f.self, id, e.domain) {
			delete(f.engines, id)
		}
	}
	gained := m.gained(old)
	kept := f.outboxes[:0]
	for _, o := range f.outboxes {
		if m.keys[o.key] {
			o.retain(f, gained[o.key])
			kept = append(kept, o)
		}
	}
	clear(f.outboxes[len(kept):])
	f.outboxes = kept
	for _, e := range f.engines {
		f.offerParts(e)
	}
}

// offerParts queues a resync of the parts that their owner was not sent.
func (f *Follower) offerParts(e *followed) {
	for p := range e.parts {
		if l := f.lane(e, p); l != nil && !l.offered[p] {
			l.offered[p] = true
			l.resync[p] = true
		}
	}
}

// Listed is an engine of the platform's list.
type Listed struct{ Pool, Domain string }

// SetEngines takes the engines of the platform's list, by ID, and follows
// those that are assigned to this instance. Engines that it followed and that
// are no longer listed are reported as gone.
func (f *Follower) SetEngines(now time.Duration, listed map[string]Listed) {
	for id := range f.engines {
		if _, ok := listed[id]; !ok {
			f.Gone(now, id)
		}
	}
	for id, x := range listed {
		if f.engines[id] != nil || !f.assigned.Follows(f.self, id, x.Domain) {
			continue
		}
		e := &followed{id: id, pool: x.Pool, domain: x.Domain, since: f.assigned.Revision, changed: f.change}
		e.reset()
		f.engines[id] = e
	}
}

// Engines returns the engines that this instance follows, sorted.
func (f *Follower) Engines() []string {
	out := make([]string, 0, len(f.engines))
	for id := range f.engines {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// Gone reports an engine as dead or no longer listed to the owners at once.
func (f *Follower) Gone(now time.Duration, id string) {
	e := f.engines[id]
	if e == nil {
		return
	}
	delete(f.engines, id)
	for _, o := range f.outboxes {
		if l := o.lanes[e]; l != nil {
			l.gone = true
			l.reset()
			o.next = now
		}
	}
}

// Position returns where the reader of the engine's events stands.
func (f *Follower) Position(id string) engine.Position {
	if e := f.engines[id]; e != nil {
		return e.position()
	}
	return engine.Position{}
}

// OnReport notes a load report received at now.
func (f *Follower) OnReport(now time.Duration, id string, r engine.LoadReport) {
	e := f.engines[id]
	if e == nil {
		return
	}
	if !f.sawIncarnation(now, e, r.Incarnation, e.weights) {
		return
	}
	e.load, e.sampled, e.reported = r, now-r.Age, true
}

// OnEvents applies a batch of cache events read at now.
func (f *Follower) OnEvents(now time.Duration, id string, batch *engine.EventBatch) {
	e := f.engines[id]
	if e == nil {
		return
	}
	if !f.sawIncarnation(now, e, batch.Incarnation, batch.Weights) {
		return
	}
	if batch.Snapshot {
		e.resync(batch)
	} else {
		e.events(batch)
	}
	e.read = now
}

// sawIncarnation starts a new source when the engine restarted or serves other
// weights: owners drop the entries of the earlier one. It returns false for an
// incarnation that has ended.
func (f *Follower) sawIncarnation(now time.Duration, e *followed, incarnation, weights string) bool {
	if e.incarnation == incarnation && e.weights == weights {
		return true
	}
	if slices.Contains(e.previous, incarnation) {
		return false
	}
	if e.incarnation != incarnation {
		e.previous = append(e.previous[max(0, len(e.previous)+1-maxPrevious):], e.incarnation)
		e.known, e.gap, e.seq, e.reported = false, false, 0, false
	}
	e.incarnation, e.weights = incarnation, weights
	e.reset()
	e.gap = e.known // other weights in the same incarnation: read all blocks again
	f.renew(e, func(o *outbox) { o.next = now })
	return true
}

// renew gives the engine a new source and starts over at all owners.
func (f *Follower) renew(e *followed, each func(*outbox)) {
	f.lastSource++
	e.source = f.lastSource
	for _, o := range f.outboxes {
		if l := o.lanes[e]; l != nil {
			l.reset()
			each(o)
		}
	}
}

// outdated renews engines that another instance followed in between while this
// one missed a change of the membership. A claim of the present revision is
// newer than any that the other one can make.
func (f *Follower) outdated(sources []uint32) {
	for _, e := range f.engines {
		if slices.Contains(sources, e.source) && e.since < f.assigned.Revision {
			e.since = f.assigned.Revision
			f.renew(e, func(*outbox) {})
			f.offerParts(e)
		}
	}
}

// maxPrevious bounds the remembered incarnations of an engine. Late answers of
// older ones arrive within seconds, so that a few restarts suffice.
const maxPrevious = 8

// change queues a changed block for the owner of its partition.
func (f *Follower) change(e *followed, p Partition, h block.Hash) {
	if l := f.lane(e, p); l != nil {
		l.change(p, h, e.holds(h))
	}
}

// lane returns what the owner of the partition gets of the engine.
func (f *Follower) lane(e *followed, p Partition) *lane {
	to, ok := f.assigned.Owner(p)
	if !ok {
		return nil
	}
	at, found := slices.BinarySearchFunc(f.outboxes, to.ID, func(o *outbox, id string) int { return cmp.Compare(o.to.ID, id) })
	if !found {
		f.outboxes = slices.Insert(f.outboxes, at, newOutbox(to))
	}
	return f.outboxes[at].lane(e)
}

// Due returns the messages to send now. One message per owner is under way at
// a time, so that an owner sees changes in order.
func (f *Follower) Due(now time.Duration) []Message {
	f.refill(now)
	var out []Message
	for _, o := range f.outboxes {
		if o.waiting || now < o.next || (!o.pending() && now < o.sent+f.pace.KeepAlive) {
			continue
		}
		if len(o.lanes) == 0 {
			continue
		}
		out = append(out, Message{To: o.to, Request: f.build(now, o)})
	}
	return out
}

func (f *Follower) refill(now time.Duration) {
	f.stock += f.pace.Resync * (now - f.refilled).Seconds()
	f.stock = min(f.stock, f.pace.Resync)
	f.refilled = now
}

func (f *Follower) find(to config.Member, sequence uint64) *outbox {
	for _, o := range f.outboxes {
		if o.waiting && o.seq == sequence && o.key == keyOf(to) {
			return o
		}
	}
	return nil
}

// Answered reports the answer to a message.
func (f *Follower) Answered(m Message, resp *rpc.ForwardResponse) {
	if o := f.find(m.To, m.Request.Sequence); o != nil {
		o.answered(m.Request, resp)
		f.outdated(resp.Outdated)
		if resp.Unknown {
			for _, e := range f.engines {
				f.offerParts(e)
			}
		}
	}
}

// Failed reports that the outcome of a message is unknown. What it carried is
// sent again as a resync of exactly those parts.
func (f *Follower) Failed(m Message) {
	if o := f.find(m.To, m.Request.Sequence); o != nil {
		o.failed()
	}
}

package shard

import (
	"slices"
	"strconv"
	"time"

	"github.com/fescuestep/fescuestep/pkg/block"
	"github.com/fescuestep/fescuestep/pkg/cacheindex"
	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/engine"
	rpc "github.com/fescuestep/fescuestep/rpc/peer"
)

// Owner keeps the index parts of the partitions that one instance owns. It is
// not safe for concurrent use.
type Owner struct {
	self      config.Member
	assigned  *Map
	index     *cacheindex.Index
	engines   map[string]*owned
	pools     map[string][]*owned // the same engines by pool
	followers map[uint64]*stream
	handles   []*owned // by cacheindex.EngineHandle
	lives     uint64   // parts added so far
	scratch   []cacheindex.Match
}

// stream is what an owner knows of one follower's messages.
type stream struct {
	sequence uint64
	sources  map[uint32]*owned
}

// owned is one engine as far as this instance owns its blocks.
type owned struct {
	id, pool    string
	from        uint64 // follower and source that the entries come from
	source      uint32
	since       uint64 // membership revision at which the follower took over
	incarnation string
	weights     string
	parts       map[Partition]*part
	load        *rpc.EngineLoad
	heard       time.Duration // when the follower last reported
}

// part is the entries of one engine in one partition: an engine of its own in
// the index, so that a gap and a resync concern exactly this part.
type part struct {
	handle cacheindex.EngineHandle
	life   string // incarnation in the index, new whenever the part is added
	source uint32 // that the entries were last confirmed by
	seq    uint64 // of the index's events
}

// NewOwner returns an owner of nothing.
func NewOwner(self config.Member) *Owner {
	return &Owner{
		self:      self,
		index:     cacheindex.New(),
		engines:   map[string]*owned{},
		pools:     map[string][]*owned{},
		followers: map[uint64]*stream{},
	}
}

// SetMap applies a changed assignment: parts that another instance owns now
// are forgotten, and so are the message numbers of followers that left. Their
// engines' entries stay uncertain until the new follower's resync or Expire.
func (o *Owner) SetMap(m *Map) {
	o.assigned = m
	for _, e := range o.engines {
		for p := range e.parts {
			if !m.Owns(o.self, p) {
				o.forget(e, p)
			}
		}
		if !m.keys[e.from] {
			o.distrust(e)
		}
	}
	for key := range o.followers {
		if !m.keys[key] {
			delete(o.followers, key)
		}
	}
}

// forgetAfter is the time without word of an engine after which its entries
// are dropped. Followers report every few seconds. It covers an engine that
// moved to a follower which has no blocks of it for this owner.
const forgetAfter = 30 * time.Second

// Expire drops what no follower vouches for any more. It is called about once
// a second.
func (o *Owner) Expire(now time.Duration) {
	for id, e := range o.engines {
		if now-e.heard > forgetAfter {
			o.clear(e)
			delete(o.engines, id)
			o.pools[e.pool] = slices.DeleteFunc(o.pools[e.pool], func(x *owned) bool { return x == e })
		}
	}
}

// Forward applies a message. Repeated and late messages change nothing.
func (o *Owner) Forward(now time.Duration, req *rpc.ForwardRequest) *rpc.ForwardResponse {
	s := o.followers[req.Follower]
	if s != nil && req.Acknowledged > s.sequence || s == nil && req.Acknowledged > 0 {
		delete(o.followers, req.Follower) // messages that the follower relies on are not known here
		return &rpc.ForwardResponse{Unknown: true}
	}
	if s == nil {
		s = &stream{sources: map[uint32]*owned{}}
		o.followers[req.Follower] = s
	}
	if req.Sequence <= s.sequence {
		return &rpc.ForwardResponse{}
	}
	s.sequence = req.Sequence
	resp := &rpc.ForwardResponse{}
	for _, u := range req.Engines {
		if u.Identity != nil {
			o.introduce(s, req.Follower, u)
		}
		e := s.sources[u.Source]
		if e == nil || o.engines[e.id] != e {
			resp.Unknown = true
			continue
		}
		if e.from != req.Follower || e.source != u.Source {
			resp.Outdated = append(resp.Outdated, u.Source)
			continue
		}
		o.update(now, e, u, resp)
	}
	return resp
}

// introduce makes a source the one that an engine's entries come from, unless
// the present one is newer. Entries of another incarnation or other weights
// are dropped; the rest is uncertain until the source confirms it. A source
// that introduces itself again starts over.
func (o *Owner) introduce(s *stream, follower uint64, u *rpc.EngineUpdate) {
	id := u.Identity
	e := o.engines[id.Id]
	if e == nil {
		e = &owned{id: id.Id, pool: id.Pool, parts: map[Partition]*part{}}
		o.engines[id.Id] = e
		o.pools[id.Pool] = append(o.pools[id.Pool], e)
	}
	s.sources[u.Source] = e
	if e.from == follower && e.source > u.Source || id.Since < e.since {
		return
	}
	if e.from == follower && e.source != u.Source {
		delete(s.sources, e.source)
	}
	if e.incarnation != id.Incarnation || e.weights != id.Weights {
		o.clear(e)
	}
	e.from, e.source, e.since = follower, u.Source, id.Since
	e.incarnation, e.weights, e.load = id.Incarnation, id.Weights, nil
	o.distrust(e)
}

func (o *Owner) update(now time.Duration, e *owned, u *rpc.EngineUpdate, resp *rpc.ForwardResponse) {
	e.heard = now
	e.load = u.Load
	if u.Gone {
		o.clear(e) // the record stays until Expire and keeps late messages out
		e.load = nil
		return
	}
	for _, p := range u.Uncertain {
		if x := e.parts[Partition(p)]; x != nil {
			o.gap(now, x)
		}
	}
	for _, x := range u.Parts {
		if !o.assigned.Owns(o.self, Partition(x.Partition)) {
			resp.Refused = append(resp.Refused, &rpc.RefusedPart{Source: u.Source, Partition: x.Partition})
			continue
		}
		o.updatePart(now, e, x)
	}
	for p, x := range e.parts {
		switch {
		case x.source == e.source && !u.Stale:
			o.confirm(now, x)
		case x.source != e.source && u.Complete:
			o.forget(e, p)
		}
	}
}

func (o *Owner) updatePart(now time.Duration, e *owned, u *rpc.PartUpdate) {
	p := Partition(u.Partition)
	x := e.parts[p]
	if x == nil {
		x = o.addPart(e, p)
	}
	x.source = e.source
	batch := engine.EventBatch{Incarnation: x.life}
	if u.Snapshot {
		x.seq++
		batch.Snapshot, batch.Blocks = true, hashes(u.Stored)
	} else {
		x.seq += 2
		batch.Events = []engine.Event{
			{Seq: x.seq - 1, Kind: engine.Removed, Blocks: hashes(u.Removed)},
			{Seq: x.seq, Kind: engine.Stored, Blocks: hashes(u.Stored)},
		}
	}
	batch.Seq = x.seq
	o.index.Apply(now, x.handle, &batch)
}

func hashes(in []uint64) []block.Hash {
	out := make([]block.Hash, len(in))
	for i, h := range in {
		out[i] = block.Hash(h)
	}
	return out
}

// addPart gives an engine's part a handle in the index, with the empty state
// that a first event continues.
func (o *Owner) addPart(e *owned, p Partition) *part {
	o.lives++
	x := &part{handle: o.index.AddEngine(e.id + "/" + strconv.Itoa(int(p))), life: strconv.FormatUint(o.lives, 10)}
	for len(o.handles) <= int(x.handle) {
		o.handles = append(o.handles, nil)
	}
	o.handles[x.handle] = e
	e.parts[p] = x
	return x
}

func (o *Owner) confirm(now time.Duration, x *part) {
	o.index.Apply(now, x.handle, &engine.EventBatch{Incarnation: x.life, Seq: x.seq})
}

// gap makes the entries of a part uncertain.
func (o *Owner) gap(now time.Duration, x *part) {
	x.seq++
	o.confirm(now, x)
}

// distrust makes all entries of an engine uncertain and notes that no source
// has confirmed them.
func (o *Owner) distrust(e *owned) {
	for _, x := range e.parts {
		x.source = 0
		o.gap(0, x)
	}
}

func (o *Owner) clear(e *owned) {
	for p := range e.parts {
		o.forget(e, p)
	}
}

func (o *Owner) forget(e *owned, p Partition) {
	x := e.parts[p]
	o.index.RemoveEngine(e.id + "/" + strconv.Itoa(int(p)))
	o.handles[x.handle] = nil
	delete(e.parts, p)
}

// Blocks returns the number of entries.
func (o *Owner) Blocks() int { return o.index.Len() }

// Bytes returns the memory used by entries, without what is kept per engine.
func (o *Owner) Bytes() int { return o.index.Bytes() }

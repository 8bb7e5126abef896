// Package shard divides the cache index between router instances.
//
// Every engine has one follower, the instance that reads its cache events and
// load reports. The hashes of prefix roots are divided into partitions, and
// every partition has one owner, the instance that keeps the index part for
// it. Followers forward the net change of blocks to owners; a request asks the
// owner of its root. The package decides only: callers carry the messages.
package shard

import (
	"math/bits"

	"github.com/zeebo/xxh3"

	"github.com/fescuestep/fescuestep/pkg/block"
	"github.com/fescuestep/fescuestep/pkg/config"
)

// Partition is a part of the hash space of prefix roots.
type Partition uint16

// Partitions is the number of partitions. At 700 instances an owner has about
// 6 of them, and one engine holds about 8 blocks of each, so that the resync
// of one engine's part costs no more than a few forwarded events.
const Partitions = 1 << partitionBits

const partitionBits = 12

// PartitionOf returns the partition of a prefix root, the hash of the first
// block of a prompt.
func PartitionOf(root block.Hash) Partition {
	return Partition(mix(uint64(root)) >> (64 - partitionBits))
}

// mix is a multiplicative mixer, so that the partition does not depend on the
// same bits of the hash as the index's segments.
func mix(v uint64) uint64 {
	hi, lo := bits.Mul64(v^0x9e3779b97f4a7c15, 0xd6e8feb86659fd93)
	return hi ^ lo
}

// Map assigns engines to followers and partitions to owners for one revision
// of the membership. It is immutable.
type Map struct {
	Revision uint64
	members  []config.Member // those that stay
	keys     map[uint64]bool // keyOf the members
	all      group
	domains  map[string]group
	owners   []uint16 // by partition, positions in members
}

// group is a set of members to choose from.
type group struct {
	hashes    []uint64
	positions []uint16 // in Map.members
}

func (g *group) add(m *config.Member, at int) {
	g.hashes = append(g.hashes, xxh3.HashString(m.ID))
	g.positions = append(g.positions, uint16(at))
}

// NewMap returns the assignment for a membership. Leaving members get nothing.
func NewMap(revision uint64, m config.Membership) *Map {
	out := &Map{Revision: revision, keys: map[uint64]bool{}, domains: map[string]group{}}
	for _, x := range m.Members {
		if !x.Leaving {
			out.add(x)
		}
	}
	if len(out.members) == 0 {
		return out
	}
	out.owners = make([]uint16, Partitions)
	for p := range out.owners {
		out.owners[p] = out.all.highest(mix(uint64(p) + 1))
	}
	return out
}

func (m *Map) add(x config.Member) {
	at := len(m.members)
	m.members = append(m.members, x)
	m.keys[keyOf(x)] = true
	m.all.add(&x, at)
	local := m.domains[x.Domain]
	local.add(&x, at)
	m.domains[x.Domain] = local
}

// highest returns the position of the member with the highest rendezvous hash.
func (g *group) highest(key uint64) uint16 {
	best, top := 0, uint64(0)
	for i, h := range g.hashes {
		if v := mix(h ^ key); v > top {
			best, top = i, v
		}
	}
	return g.positions[best]
}

// Owner returns the owner of a partition, false without members.
func (m *Map) Owner(p Partition) (config.Member, bool) {
	if m == nil || len(m.owners) == 0 {
		return config.Member{}, false
	}
	return m.members[m.owners[p]], true
}

// Owns reports whether the member is the owner of the partition.
func (m *Map) Owns(self config.Member, p Partition) bool {
	o, ok := m.Owner(p)
	return ok && o.ID == self.ID && o.Incarnation == self.Incarnation
}

// gained returns the keys of the members that own a partition which another
// member owned before.
func (m *Map) gained(before *Map) map[uint64]bool {
	out := map[uint64]bool{}
	if before == nil || len(before.owners) == 0 {
		return out
	}
	for p := range m.owners {
		now, was := keyOf(m.members[m.owners[p]]), keyOf(before.members[before.owners[p]])
		if now != was {
			out[now] = true
		}
	}
	return out
}

// Follower returns the follower of an engine: a member of the engine's failure
// domain, or any member when the domain has none.
func (m *Map) Follower(engine, domain string) (config.Member, bool) {
	if m == nil || len(m.members) == 0 {
		return config.Member{}, false
	}
	local, ok := m.domains[domain]
	if !ok {
		local = m.all
	}
	return m.members[local.highest(xxh3.HashString(engine))], true
}

// Follows reports whether the member is the follower of the engine.
func (m *Map) Follows(self config.Member, engine, domain string) bool {
	f, ok := m.Follower(engine, domain)
	return ok && f.ID == self.ID && f.Incarnation == self.Incarnation
}

// designEventRate is the block events per second of one engine at the size to
// design for: 450,000 a second from 2,800 engines.
const designEventRate = 160

// fullCopyLimit is the events per second up to which every instance keeps the
// whole index. It is 160 engines, the most whose reports one instance reads
// within a second at its 160 polls per second; with more, loads get too old.
const fullCopyLimit = 160 * designEventRate

// Needed reports whether a fleet with this number of engines divides its index.
// It uses the design rate and not a measured one, so that all instances decide
// alike from the same list.
func Needed(engines int) bool { return engines*designEventRate > fullCopyLimit }

// keyOf identifies one incarnation of a member in messages.
func keyOf(m config.Member) uint64 { return xxh3.HashString(m.ID + "/" + m.Incarnation) }

// Package member computes changes of the membership of the router instances and
// selects the relays of a failure domain and the instances that hold a customer's
// quota shares.
package member

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"

	"github.com/fescuestep/fescuestep/pkg/config"
)

// MinRelays is the minimum number of relays of a failure domain that has as many
// members. It is two so that a domain keeps a relay while one restarts.
const MinRelays = 2

// RelayFanout is the maximum number of instances per relay. At two calls per
// second each, 25 instances use about 9 KB/s of a relay's budget of 25 KB/s.
const RelayFanout = 25

// MaxShareHolders is the maximum number of share holders per customer. With more
// holders, the failure of one makes less quota unavailable, but a large request
// needs more messages.
const MaxShareHolders = 8

// Rank returns the n members with the highest rendezvous hash for key, highest
// first. Ties are broken by ID.
func Rank(members []config.Member, key string, n int) []config.Member {
	best := make([]rankedMember, 0, min(n, len(members))+1)
	seed := xxh3.HashString(key)
	for i := range members {
		r := rankedMember{hash: xxh3.HashStringSeed(members[i].ID, seed), member: &members[i]}
		at, _ := slices.BinarySearchFunc(best, r, compareRankedMembers)
		if at >= n {
			continue
		}
		best = slices.Insert(best, at, r)
		best = best[:min(n, len(best))]
	}
	out := make([]config.Member, len(best))
	for i, r := range best {
		out[i] = *r.member
	}
	return out
}

type rankedMember struct {
	hash   uint64
	member *config.Member
}

func compareRankedMembers(a, b rankedMember) int {
	if c := cmp.Compare(b.hash, a.hash); c != 0 {
		return c
	}
	return cmp.Compare(a.member.ID, b.member.ID)
}

// RelayOrder returns relays in the order in which an instance asks them. The
// order differs between instances to balance the load.
func RelayOrder(relays []config.Member, instance string) []config.Member {
	return Rank(relays, "via/"+instance, len(relays))
}

// Domains returns the failure domains of the members, sorted.
func Domains(m config.Membership) []string {
	var out []string
	for _, x := range m.Members {
		if !slices.Contains(out, x.Domain) {
			out = append(out, x.Domain)
		}
	}
	slices.Sort(out)
	return out
}

// ShareHolders returns the members that hold quota shares of a customer, ordered
// by Rank. Leaving members hold no shares.
func ShareHolders(m config.Membership, customer string) []config.Member {
	staying := m.Members
	if slices.ContainsFunc(staying, func(x config.Member) bool { return x.Leaving }) {
		staying = slices.DeleteFunc(slices.Clone(staying), func(x config.Member) bool { return x.Leaving })
	}
	return Rank(staying, "quota/"+customer, MaxShareHolders)
}

// Find returns the member with the ID and incarnation, or false if the ID is not
// in the membership or has another incarnation there.
func Find(m config.Membership, id, incarnation string) (config.Member, bool) {
	i := slices.IndexFunc(m.Members, func(x config.Member) bool { return x.ID == id })
	if i < 0 || m.Members[i].Incarnation != incarnation {
		return config.Member{}, false
	}
	return m.Members[i], true
}

package member

import "github.com/fescuestep/fescuestep/pkg/config"

// wideLinkShare is the share of the widest link of a failure domain from which on a link
// counts as wide.
const wideLinkShare = 0.5

// Linked is a member with the rate of its link.
type Linked struct {
	config.Member
	LinkMbps uint32 // in Mbit/s; 0: unknown
}

// Relays returns the relays of a failure domain, ordered by Rank: one for every
// RelayFanout members, but at least MinRelays. Leaving members are not chosen.
func Relays(m config.Membership, domain string) []config.Member {
	local := candidates(m.Members, domain, func(x config.Member) config.Member { return x })
	return rankRelays(local, domain, relayCount(len(local)))
}

// LinkedRelays returns as many relays of a failure domain as Relays, but chooses members
// with a wide link first.
func LinkedRelays(members []Linked, domain string) []config.Member {
	local := candidates(members, domain, func(x Linked) config.Member { return x.Member })
	widest := uint32(0)
	for _, x := range local {
		widest = max(widest, x.LinkMbps)
	}
	var wide, narrow []config.Member
	for _, x := range local {
		if float64(x.LinkMbps) >= wideLinkShare*float64(widest) {
			wide = append(wide, x.Member)
		} else {
			narrow = append(narrow, x.Member)
		}
	}
	n := relayCount(len(local))
	relays := rankRelays(wide, domain, n)
	return append(relays, rankRelays(narrow, domain, n-len(relays))...)
}

// candidates returns the members of a failure domain that are not leaving.
func candidates[T any](members []T, domain string, of func(T) config.Member) []T {
	var out []T
	for _, x := range members {
		if m := of(x); m.Domain == domain && !m.Leaving {
			out = append(out, x)
		}
	}
	return out
}

func relayCount(members int) int { return max(MinRelays, (members+RelayFanout-1)/RelayFanout) }

func rankRelays(members []config.Member, domain string, n int) []config.Member {
	return Rank(members, "relay/"+domain, n)
}

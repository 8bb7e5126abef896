package control

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"

	"github.com/fescuestep/fescuestep/pkg/config"
)

// MaxCandidates is the number of instances that watch the lease. 700 instances
// that all read it twice a second would use most of the table's read rate.
const MaxCandidates = 3

// rankedMember is a member with the keys by which candidates are sorted.
type rankedMember struct {
	id         string
	domainRank int // position by hash among the members of its failure domain
	hash       uint64
	domain     string
}

// IsCandidate reports whether the instance self watches the lease: whether it is
// among the first MaxCandidates of the members that are not leaving, sorted by
// hash. The first member of each failure domain comes before all others, so that
// candidates remain after the loss of one domain. If no member is known, every
// instance is a candidate.
func IsCandidate(members []config.Member, self string) bool {
	candidates := rankMembers(members)
	if len(candidates) == 0 {
		return true
	}
	candidates = candidates[:min(len(candidates), MaxCandidates)]
	return slices.ContainsFunc(candidates, func(r rankedMember) bool { return r.id == self })
}

// rankMembers returns the members that are not leaving, sorted by domainRank and
// then by hash.
func rankMembers(members []config.Member) []rankedMember {
	var ranked []rankedMember
	for _, m := range members {
		if !m.Leaving {
			ranked = append(ranked, rankedMember{id: m.ID, domain: m.Domain, hash: xxh3.HashString(LeaseKey + "\x00" + m.ID)})
		}
	}
	slices.SortFunc(ranked, func(a, b rankedMember) int { return cmp.Compare(a.hash, b.hash) })
	domainCounts := map[string]int{}
	for i := range ranked {
		ranked[i].domainRank = domainCounts[ranked[i].domain]
		domainCounts[ranked[i].domain]++
	}
	slices.SortStableFunc(ranked, func(a, b rankedMember) int { return cmp.Compare(a.domainRank, b.domainRank) })
	return ranked
}

package control

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"

	"github.com/fescuestep/fescuestep/pkg/config"
)

// MaxCandidates is the number of instances that watch the lease. All 700 of them
// reading twice a second would take most of the table's read rate.
const MaxCandidates = 3

// rankedMember is a member in the order of candidates.
type rankedMember struct {
	id         string
	domainRank int // among the members of its failure domain
	hash       uint64
	domain     string
}

// IsCandidate reports whether the instance watches the lease: it is among the
// first Candidates of the members that are not leaving, ordered by hash. The
// first of each failure domain come before all others, so that the loss of one
// domain leaves candidates. With no known member every instance is a candidate.
func IsCandidate(members []config.Member, self string) bool {
	all := rankMembers(members)
	if len(all) == 0 {
		return true
	}
	all = all[:min(len(all), MaxCandidates)]
	return slices.ContainsFunc(all, func(r rankedMember) bool { return r.id == self })
}

func rankMembers(members []config.Member) []rankedMember {
	var all []rankedMember
	for _, m := range members {
		if !m.Leaving {
			all = append(all, rankedMember{id: m.ID, domain: m.Domain, hash: xxh3.HashString(LeaseKey + "\x00" + m.ID)})
		}
	}
	slices.SortFunc(all, func(a, b rankedMember) int { return cmp.Compare(a.hash, b.hash) })
	seen := map[string]int{}
	for i := range all {
		all[i].domainRank = seen[all[i].domain]
		seen[all[i].domain]++
	}
	slices.SortStableFunc(all, func(a, b rankedMember) int { return cmp.Compare(a.domainRank, b.domainRank) })
	return all
}

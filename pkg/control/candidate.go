package control

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"

	"github.com/fescuestep/fescuestep/pkg/config"
)

// Candidates is the number of instances that watch the lease. All 700 of them
// reading twice a second would take most of the table's read rate.
const Candidates = 3

// ranked is a member in the order of candidates.
type ranked struct {
	id     string
	nth    int // among the members of its failure domain
	hash   uint64
	domain string
}

// Candidate reports whether the instance watches the lease: it is among the
// first Candidates of the members that are not leaving, ordered by hash. The
// first of each failure domain come before all others, so that the loss of one
// domain leaves candidates. With no known member every instance is a candidate.
func Candidate(members []config.Member, self string) bool {
	all := rank(members)
	if len(all) == 0 {
		return true
	}
	all = all[:min(len(all), Candidates)]
	return slices.ContainsFunc(all, func(r ranked) bool { return r.id == self })
}

func rank(members []config.Member) []ranked {
	var all []ranked
	for _, m := range members {
		if !m.Leaving {
			all = append(all, ranked{id: m.ID, domain: m.Domain, hash: xxh3.HashString(LeaseKey + "\x00" + m.ID)})
		}
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Compare(a.hash, b.hash) })
	seen := map[string]int{}
	for i := range all {
		all[i].nth = seen[all[i].domain]
		seen[all[i].domain]++
	}
	slices.SortStableFunc(all, func(a, b ranked) int { return cmp.Compare(a.nth, b.nth) })
	return all
}

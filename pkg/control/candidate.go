package control

import (
	"slices"

	"github.com/zeebo/xxh3"

	"github.com/fescuestep/fescuestep/pkg/config"
)

// Candidates is the number of instances that watch the lease. All 700 of them
// reading twice a second would take most of the table's read rate.
const Candidates = 3

// Candidate reports whether the instance watches the lease: it is among the
// first Candidates of the members that are not leaving, ordered by hash. With
// no known member every instance is a candidate.
func Candidate(members []config.Member, self string) bool {
	type ranked struct {
		id   string
		hash uint64
	}
	var all []ranked
	for _, m := range members {
		if !m.Leaving {
			all = append(all, ranked{m.ID, xxh3.HashString(LeaseKey + "\x00" + m.ID)})
		}
	}
	if len(all) == 0 {
		return true
	}
	slices.SortFunc(all, func(a, b ranked) int {
		switch {
		case a.hash < b.hash:
			return -1
		case a.hash > b.hash:
			return 1
		}
		return 0
	})
	all = all[:min(len(all), Candidates)]
	return slices.ContainsFunc(all, func(r ranked) bool { return r.id == self })
}

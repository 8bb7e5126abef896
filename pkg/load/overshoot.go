package load

import (
	"cmp"
	"slices"
	"time"
)

// excess returns a lower bound of the tokens above rate and burst. When a use
// was charged between its arrival and its first token is not known, so that
// only uses that lie within an interval with both ends count for it.
func (u *rateUse) excess() int {
	byFirst := slices.Clone(u.uses)
	slices.SortFunc(byFirst, func(a, b use) int { return cmp.Compare(a.first, b.first) })
	highest := 0.0
	for _, from := range u.uses {
		sum := 0.0
		for _, x := range byFirst {
			if x.arrived < from.arrived {
				continue
			}
			sum += float64(x.tokens)
			highest = max(highest, sum-u.quota.allowed(x.first-from.arrived))
		}
	}
	return int(highest)
}

// allowed returns the most tokens that may be used over d.
func (b *bucket) allowed(d time.Duration) float64 { return b.burst + b.rate*d.Seconds() }

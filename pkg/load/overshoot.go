package load

import (
	"cmp"
	"slices"
	"time"
)

// excess returns the most tokens by which any interval exceeds rate times
// length plus burst: the highest level of a bucket that uses fill and the rate
// drains, above the burst.
func (u *rateUse) excess(at func(use) time.Duration) int {
	uses := slices.Clone(u.uses)
	slices.SortFunc(uses, func(a, b use) int { return cmp.Compare(at(a), at(b)) })
	level, highest := 0.0, 0.0
	var last time.Duration
	for _, x := range uses {
		level = max(level-(at(x)-last).Seconds()*u.quota.rate, 0) + float64(x.tokens)
		last = at(x)
		highest = max(highest, level)
	}
	return int(max(highest-u.quota.burst, 0))
}

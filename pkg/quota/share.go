package quota

import (
	"slices"
	"time"
)

// claim is a share that was or is in force at some revision. The holder uses
// the smallest share of all claims that some fresh instance could still act on.
type claim struct {
	share    Share
	end      uint64        // revision from which it no longer holds, 0 while current
	ended    bool          // end is known to be accepted
	endedAt  time.Duration // when that was learned
	notThere bool          // the customer did not exist or the past is unknown
}

// over reports whether neither the claim nor grants under it can be in use.
func (c claim) over(now, lease time.Duration) bool {
	return c.ended && now >= c.endedAt+lease
}

// claims is the history of one customer's shares here, oldest first.
type claims []claim

// add appends a share in force from the revision on.
func (c *claims) add(revision uint64, next claim) {
	if n := len(*c); n > 0 && (*c)[n-1].end == 0 {
		if (*c)[n-1].share == next.share && (*c)[n-1].notThere == next.notThere {
			return
		}
		(*c)[n-1].end = revision
	}
	*c = append(*c, next)
}

// accept records that a revision is accepted and drops claims that are over.
func (c *claims) accept(now, lease time.Duration, revision uint64) {
	for i := range *c {
		x := &(*c)[i]
		if x.end != 0 && x.end <= revision && !x.ended {
			x.ended, x.endedAt = true, now
		}
	}
	*c = slices.DeleteFunc(*c, func(x claim) bool { return x.over(now, lease) })
}

// settled reports whether only one claim is left.
func (c claims) settled() bool { return len(c) == 1 }

// share returns the smallest share of all claims.
func (c claims) share() Share {
	if len(c) == 0 {
		return Share{}
	}
	s := c[0].share
	for _, x := range c[1:] {
		s.Rate = min(s.Rate, x.share.Rate)
		s.Burst = min(s.Burst, x.share.Burst)
	}
	return s
}

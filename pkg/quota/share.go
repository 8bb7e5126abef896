package quota

import (
	"slices"
	"time"
)

// shareRecord is a share that was or is in force at some revision. The holder uses
// the smallest share of all claims that some fresh instance could still act on.
type shareRecord struct {
	share           Share
	endRevision     uint64        // revision from which it no longer holds, 0 while current
	endAccepted     bool          // end is known to be accepted
	endAcceptedAt   time.Duration // when that was learned
	absentOrUnknown bool          // the customer did not exist or the past is unknown
}

// expired reports whether neither the claim nor grants under it can be in use.
func (c shareRecord) expired(now, lease time.Duration) bool {
	return c.endAccepted && now >= c.endAcceptedAt+lease
}

// shareHistory is the history of one customer's shares here, oldest first.
type shareHistory []shareRecord

// appendShare appends a share in force from the revision on.
func (c *shareHistory) appendShare(revision uint64, next shareRecord) {
	if n := len(*c); n > 0 && (*c)[n-1].endRevision == 0 {
		if (*c)[n-1].share == next.share && (*c)[n-1].absentOrUnknown == next.absentOrUnknown {
			return
		}
		(*c)[n-1].endRevision = revision
	}
	*c = append(*c, next)
}

// acceptRevision records that a revision is accepted and drops claims that are over.
func (c *shareHistory) acceptRevision(now, lease time.Duration, revision uint64) {
	for i := range *c {
		x := &(*c)[i]
		if x.endRevision != 0 && x.endRevision <= revision && !x.endAccepted {
			x.endAccepted, x.endAcceptedAt = true, now
		}
	}
	*c = slices.DeleteFunc(*c, func(x shareRecord) bool { return x.expired(now, lease) })
}

// hasSingleRecord reports whether only one claim is left.
func (c shareHistory) hasSingleRecord() bool { return len(c) == 1 }

// minShare returns the smallest minShare of all claims.
func (c shareHistory) minShare() Share {
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

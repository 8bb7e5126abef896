package quota

import (
	"slices"
	"time"
)

// shareRecord is a share that is or was in force for a range of revisions. The
// holder uses the smallest share of all records that a fresh instance could still
// act on.
type shareRecord struct {
	share           Share
	endRevision     uint64        // first revision in which the share is not in force, 0 while it is
	endAccepted     bool          // endRevision is known to be accepted
	endAcceptedAt   time.Duration // when the instance learned that
	absentOrUnknown bool          // the customer did not exist, or its shares are unknown
}

// expired reports whether neither the share nor any grant from it can be in use.
func (r shareRecord) expired(now, lease time.Duration) bool {
	return r.endAccepted && now >= r.endAcceptedAt+lease
}

// shareHistory holds this instance's shares of one customer, oldest first.
type shareHistory []shareRecord

// appendShare adds a share that is in force from the revision on. It does nothing
// if that share is in force already.
func (h *shareHistory) appendShare(revision uint64, next shareRecord) {
	if n := len(*h); n > 0 && (*h)[n-1].endRevision == 0 {
		if (*h)[n-1].share == next.share && (*h)[n-1].absentOrUnknown == next.absentOrUnknown {
			return
		}
		(*h)[n-1].endRevision = revision
	}
	*h = append(*h, next)
}

// acceptRevision records that a revision is accepted and removes expired records.
func (h *shareHistory) acceptRevision(now, lease time.Duration, revision uint64) {
	for i := range *h {
		r := &(*h)[i]
		if r.endRevision != 0 && r.endRevision <= revision && !r.endAccepted {
			r.endAccepted, r.endAcceptedAt = true, now
		}
	}
	*h = slices.DeleteFunc(*h, func(r shareRecord) bool { return r.expired(now, lease) })
}

func (h shareHistory) hasSingleRecord() bool { return len(h) == 1 }

// minShare returns the smallest rate and the smallest burst of all records.
func (h shareHistory) minShare() Share {
	if len(h) == 0 {
		return Share{}
	}
	s := h[0].share
	for _, r := range h[1:] {
		s.Rate = min(s.Rate, r.share.Rate)
		s.Burst = min(s.Burst, r.share.Burst)
	}
	return s
}

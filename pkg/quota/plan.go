package quota

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// HolderView is what an entry instance (the instance that received a request) knows
// about one holder's bucket.
type HolderView struct {
	Holder      string // member ID
	Share       Share
	Level       float64       // tokens in the last report
	UpdatedAt   time.Duration // time of the last report or failed request
	Reported    bool          // the holder has reported its level
	Unavailable bool          // the holder did not answer, or was not fresh, at UpdatedAt
}

// unavailableRetryDelay is how long no tokens are requested from an unavailable
// holder.
const unavailableRetryDelay = time.Second

// Estimate returns the estimated number of tokens in the holder's bucket. A bucket
// that was never reported is assumed to be full.
func (v *HolderView) Estimate(now time.Duration) float64 {
	if v.Unavailable && now-v.UpdatedAt < unavailableRetryDelay {
		return 0
	}
	if !v.Reported {
		return v.Share.Burst
	}
	return min(v.Share.Burst, v.Level+v.Share.Rate*(now-v.UpdatedAt).Seconds())
}

// GrantRequest is a number of tokens to request from one holder.
type GrantRequest struct {
	Holder string
	Tokens int
}

// PlanRequests divides the missing tokens of one request among the holders that are
// estimated to available them, those with the most tokens first, to send as few messages
// as possible.
func PlanRequests(now time.Duration, views []*HolderView, missing int) []GrantRequest {
	order := slices.Clone(views)
	slices.SortStableFunc(order, func(a, b *HolderView) int {
		return cmp.Compare(b.Estimate(now), a.Estimate(now))
	})
	var requests []GrantRequest
	for _, v := range order {
		n := min(missing, int(v.Estimate(now)))
		if n <= 0 {
			break
		}
		requests = append(requests, GrantRequest{v.Holder, n})
		missing -= n
	}
	return requests
}

// EstimateWait returns the estimated time until the holders available the missing tokens
// and the tokens that requests ahead in the queue lack. ok is false when the
// available holders can never available the missing tokens.
func EstimateWait(now time.Duration, views []*HolderView, missing, ahead int) (d time.Duration, ok bool) {
	var available, rate, totalBurst float64
	for _, v := range views {
		if v.Unavailable && now-v.UpdatedAt < unavailableRetryDelay {
			continue
		}
		available += v.Estimate(now)
		rate += v.Share.Rate
		totalBurst += v.Share.Burst
	}
	lacking := float64(missing+ahead) - available
	switch {
	case rate <= 0 && lacking > 0 || totalBurst < float64(missing):
		return 0, false
	case lacking <= 0:
		return 0, true
	}
	return time.Duration(math.Ceil(lacking / rate * float64(time.Second))), true
}

package quota

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// HolderView is what an entry instance knows of one holder's bucket.
type HolderView struct {
	Holder      string // member ID
	Share       Share
	Level       float64       // tokens when last reported
	UpdatedAt   time.Duration // of the report
	Reported    bool          // it has reported
	Unavailable bool          // it did not answer, or was not fresh, at At
}

// unavailableRetryDelay is how long a holder that did not answer is left alone.
const unavailableRetryDelay = time.Second

// Estimate returns the tokens the holder probably has. A holder that never
// reported is assumed to be full.
func (v *HolderView) Estimate(now time.Duration) float64 {
	if v.Unavailable && now-v.UpdatedAt < unavailableRetryDelay {
		return 0
	}
	if !v.Reported {
		return v.Share.Burst
	}
	return min(v.Share.Burst, v.Level+v.Share.Rate*(now-v.UpdatedAt).Seconds())
}

// GrantRequest is a wish for tokens from one holder.
type GrantRequest struct {
	Holder string
	Tokens int
}

// PlanRequests spreads the missing tokens of one request over holders that probably
// have them, those with the most tokens first, in as few messages as possible.
func PlanRequests(now time.Duration, views []*HolderView, missing int) []GrantRequest {
	order := slices.Clone(views)
	slices.SortStableFunc(order, func(a, b *HolderView) int {
		return cmp.Compare(b.Estimate(now), a.Estimate(now))
	})
	var asks []GrantRequest
	for _, v := range order {
		n := min(missing, int(v.Estimate(now)))
		if n <= 0 {
			break
		}
		asks = append(asks, GrantRequest{v.Holder, n})
		missing -= n
	}
	return asks
}

// EstimateWait returns how long it probably takes until the holders have the missing
// tokens and those that requests ahead lack. ok is false when the holders that
// answer can never have the missing tokens.
func EstimateWait(now time.Duration, views []*HolderView, missing, ahead int) (d time.Duration, ok bool) {
	var have, rate, room float64
	for _, v := range views {
		if v.Unavailable && now-v.UpdatedAt < unavailableRetryDelay {
			continue
		}
		have += v.Estimate(now)
		rate += v.Share.Rate
		room += v.Share.Burst
	}
	lacking := float64(missing+ahead) - have
	switch {
	case rate <= 0 && lacking > 0 || room < float64(missing):
		return 0, false
	case lacking <= 0:
		return 0, true
	}
	return time.Duration(math.Ceil(lacking / rate * float64(time.Second))), true
}

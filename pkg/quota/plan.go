package quota

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// View is what an entry instance knows of one holder's bucket.
type View struct {
	Holder string // member ID
	Share  Share
	Level  float64       // tokens when last reported
	At     time.Duration // of the report
	Known  bool          // it has reported
	Down   bool          // it did not answer, or was not fresh, at At
}

// retryDown is how long a holder that did not answer is left alone.
const retryDown = time.Second

// Estimate returns the tokens the holder probably has. A holder that never
// reported is assumed to be full.
func (v *View) Estimate(now time.Duration) float64 {
	if v.Down && now-v.At < retryDown {
		return 0
	}
	if !v.Known {
		return v.Share.Burst
	}
	return min(v.Share.Burst, v.Level+v.Share.Rate*(now-v.At).Seconds())
}

// Ask is a wish for tokens from one holder.
type Ask struct {
	Holder string
	Tokens int
}

// Plan spreads the missing tokens of one request over holders that probably
// have them, those with the most tokens first, in as few messages as possible.
func Plan(now time.Duration, views []*View, missing int) []Ask {
	order := slices.Clone(views)
	slices.SortStableFunc(order, func(a, b *View) int {
		return cmp.Compare(b.Estimate(now), a.Estimate(now))
	})
	var asks []Ask
	for _, v := range order {
		n := min(missing, int(v.Estimate(now)))
		if n <= 0 {
			break
		}
		asks = append(asks, Ask{v.Holder, n})
		missing -= n
	}
	return asks
}

// Wait returns how long it probably takes until the holders have the missing
// tokens and those that requests ahead lack. ok is false when the holders that
// answer can never have the missing tokens.
func Wait(now time.Duration, views []*View, missing, ahead int) (d time.Duration, ok bool) {
	var have, rate, room float64
	for _, v := range views {
		if v.Down && now-v.At < retryDown {
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

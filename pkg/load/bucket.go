package load

import "time"

// Contract of a customer in both profiles, relative to its usual traffic. The
// margin covers the variance of open-loop traffic; the overloader exceeds it.
const (
	rateMargin  = 1.5
	burstLength = 6 * time.Second // of the contracted rate
)

// bucket is a token bucket: the model's stand-in for the router's quota.
type bucket struct {
	rate  float64 // tokens per second
	burst float64
	level float64
	last  time.Duration
}

// buckets returns the quota of every customer, from the mean cost of the
// arrivals within their usual rate.
func buckets(p *Profile, arrivals []Arrival, duration time.Duration) []bucket {
	out := make([]bucket, len(p.Customers))
	for i := range arrivals {
		if a := &arrivals[i]; !a.Excess {
			out[a.Customer].rate += rateMargin * a.charge() / duration.Seconds()
		}
	}
	for i := range out {
		out[i].burst = out[i].rate * burstLength.Seconds()
		out[i].level = out[i].burst
	}
	return out
}

func (a *Arrival) charge() float64 { return float64(a.Tokens + a.MaxOutput) }

// take spends tokens if there are enough.
func (b *bucket) take(now time.Duration, tokens float64) bool {
	b.level = min(b.burst, b.level+(now-b.last).Seconds()*b.rate)
	b.last = now
	if b.level < tokens {
		return false
	}
	b.level -= tokens
	return true
}

// markWithin notes for every arrival whether its customer is within rate and
// burst, by one ideal bucket per customer. A refusal of such an arrival counts
// as refused within the rate, whatever reason it gives.
func markWithin(p *Profile, arrivals []Arrival, duration time.Duration) {
	quota := buckets(p, arrivals, duration)
	for i := range arrivals {
		a := &arrivals[i]
		a.Within = quota[a.Customer].take(a.At, a.charge())
	}
}

// Quota is the contract of one customer.
type Quota struct {
	Rate  float64 // tokens per second
	Burst float64 // tokens
}

// Quotas returns the contracts of the profile's customers.
func Quotas(p *Profile, arrivals []Arrival, duration time.Duration) []Quota {
	var out []Quota
	for _, b := range buckets(p, arrivals, duration) {
		out = append(out, Quota{Rate: b.rate, Burst: b.burst})
	}
	return out
}

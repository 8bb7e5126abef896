package load

import (
	"maps"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/fescuestep/fescuestep/pkg/code"
)

// Timings is the outcome of one request as its sender saw it.
type Timings struct {
	TTFT         time.Duration // from the arrival at the router
	Total        time.Duration
	PromptTokens int
	CachedTokens int
	OutputTokens int
	Code         code.Code // of a refusal or failure
	Refused      bool      // answered with "not run"
	RateLimited  bool      // refused because the customer's rate was used up
	Revoked      bool      // refused or ended because the key was revoked
	Truncated    bool      // the stream ended without its end marker
	Failed       bool      // an error after the request may have run
	Unanswered   bool      // nothing was answered before the deadline
	Lost         bool      // the instance crashed; its connections broke
}

// Result is the measurement of one policy.
type Result struct {
	Name                   string         `json:"name"`
	PrefixHitRate          float64        `json:"prefix_hit_rate"`
	HitRateBound           float64        `json:"hit_rate_bound"`
	TTFTP50                float64        `json:"ttft_p50_ms"`
	TTFTP99                float64        `json:"ttft_p99_ms"`
	WastedTokens           int            `json:"wasted_tokens"`
	WorstCustomerTTFTP99   float64        `json:"worst_customer_ttft_p99_ms"`
	RefusedWithinRate      int            `json:"refused_within_rate"`
	Requests               int            `json:"requests"`
	OvershootTokens        int            `json:"overshoot_tokens"`
	TruncatedStreams       int            `json:"truncated_streams"`
	DuplicateOrders        int            `json:"duplicate_orders"`
	Unanswered             int            `json:"unanswered"`
	WorstCustomerWithout   float64        `json:"worst_customer_without_overload_ttft_p99_ms,omitempty"`
	ShortTTFTP99           float64        `json:"short_ttft_p99_ms"`
	RefusedByCode          map[string]int `json:"refused_by_code,omitempty"`
	RateLimited            int            `json:"rate_limited"`
	Revoked                int            `json:"revoked"`
	PrefilledTokens        int            `json:"prefilled_tokens"`
	LostWithInstance       int            `json:"lost_with_instance"`
	FailedAfterStart       int            `json:"failed"`
	RefusedWithinRateShare float64        `json:"refused_within_rate_share"`
}

// Range of the histograms in microseconds: a request may wait for its whole
// deadline.
const (
	histogramMin    = 1
	histogramMax    = 120_000_000
	histogramDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramMin, histogramMax, histogramDigits)
}

// window is one second of a run, for the plots.
type window struct {
	ttft   *hdrhistogram.Histogram
	prompt int
	cached int
}

// Recorder collects the outcomes of one policy. It is safe for concurrent use.
type Recorder struct {
	mu        sync.Mutex
	profile   *Profile
	all       *hdrhistogram.Histogram
	short     *hdrhistogram.Histogram
	customers []*hdrhistogram.Histogram
	refusals  []int          // by customer
	byCode    map[string]int // refusals by the name of their result code
	above     []int          // arrivals above rate and burst by customer
	windows   []window
	prompt    int
	cached    int
	result    Result
}

// NewRecorder returns an empty recorder.
func NewRecorder(p *Profile, policy string) *Recorder {
	r := &Recorder{profile: p, all: newHistogram(), short: newHistogram()}
	for range p.Customers {
		r.customers = append(r.customers, newHistogram())
	}
	r.byCode = map[string]int{}
	r.refusals, r.above = make([]int, len(p.Customers)), make([]int, len(p.Customers))
	r.result.Name = policy
	return r
}

// Record adds the outcome of one arrival.
func (r *Recorder) Record(a *Arrival, t Timings) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Requests++
	if !a.Within {
		r.above[a.Customer]++
	}
	switch {
	case t.Revoked:
		r.result.Revoked++
	case t.Refused:
		r.refusals[a.Customer]++
		r.byCode[t.Code.Info().Name]++
		if t.RateLimited {
			r.result.RateLimited++
		}
	case t.Lost:
		r.result.LostWithInstance++
	case t.Unanswered:
		r.result.Unanswered++
	case t.Truncated:
		r.result.TruncatedStreams++
	case t.Failed:
		r.result.FailedAfterStart++
	}
	if !t.Refused && t.TTFT > 0 {
		r.answered(a, t)
	}
}

func (r *Recorder) answered(a *Arrival, t Timings) {
	us := t.TTFT.Microseconds()
	w := r.window(a.At)
	_ = r.all.RecordValue(us)
	_ = w.ttft.RecordValue(us)
	_ = r.customers[a.Customer].RecordValue(us)
	if a.Short {
		_ = r.short.RecordValue(us)
	}
	r.prompt += t.PromptTokens
	r.cached += t.CachedTokens
	w.prompt += t.PromptTokens
	w.cached += t.CachedTokens
}

func (r *Recorder) window(at time.Duration) *window {
	i := int(at / time.Second)
	for len(r.windows) <= i {
		r.windows = append(r.windows, window{ttft: newHistogram()})
	}
	return &r.windows[i]
}

// Result returns the measurement. The fleet's own counters are filled in by
// the caller.
func (r *Recorder) Result() Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.result
	out.RefusedByCode = maps.Clone(r.byCode)
	if r.prompt > 0 {
		out.PrefixHitRate = float64(r.cached) / float64(r.prompt)
	}
	// Which of a customer's requests are above its rate depends on the order of
	// charges; their number hardly does.
	for i, n := range r.refusals {
		out.RefusedWithinRate += max(0, n-r.above[i])
	}
	out.TTFTP50 = quantile(r.all, 50)
	out.TTFTP99 = quantile(r.all, 99)
	out.ShortTTFTP99 = quantile(r.short, 99)
	out.WorstCustomerTTFTP99 = r.worst()
	if out.Requests > 0 {
		out.RefusedWithinRateShare = float64(out.RefusedWithinRate) / float64(out.Requests)
	}
	return out
}

// worst returns the highest p99 of the customers that keep to their rate.
func (r *Recorder) worst() float64 {
	worst := 0.0
	for i, h := range r.customers {
		if i != r.profile.Overloader {
			worst = max(worst, quantile(h, 99))
		}
	}
	return worst
}

func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

package quota

import (
	"slices"
	"time"
)

// headroomSamples bounds the memory of one bucket's history. When it is full
// the two oldest samples are merged, which can only lower an answer.
const headroomSamples = 64

// headroom answers what the smallest headroom of a bucket was since a time. It
// keeps the suffix minima of the samples: a later, smaller sample replaces all
// earlier ones that are not smaller.
type headroom struct {
	samples []sample // times and values both increase
}

type sample struct {
	at    time.Duration
	value float64
}

// add records a sample. Times do not decrease.
func (h *headroom) add(at time.Duration, value float64) {
	n := len(h.samples)
	if n > 0 {
		at = max(at, h.samples[n-1].at)
	}
	for n > 0 && h.samples[n-1].value >= value {
		n--
	}
	h.samples = append(h.samples[:n], sample{at, value})
	if len(h.samples) > headroomSamples {
		h.samples[0].at = h.samples[1].at
		h.samples = slices.Delete(h.samples, 1, 2)
	}
}

// since returns the smallest sample at or after a time, or current if there is
// none.
func (h *headroom) since(at time.Duration, current float64) float64 {
	if i := h.index(at); i < len(h.samples) {
		current = min(current, h.samples[i].value)
	}
	return max(0, current)
}

// use records that tokens were credited as if they had been in the bucket since
// a time: they no longer are headroom for another credit.
func (h *headroom) use(at time.Duration, tokens float64) {
	i := h.index(at)
	if i == len(h.samples) {
		return
	}
	for j := i; j < len(h.samples); j++ {
		h.samples[j].value -= tokens
	}
	first := i
	for first > 0 && h.samples[first-1].value >= h.samples[i].value {
		first--
	}
	h.samples = slices.Delete(h.samples, first, i)
}

// index returns the position of the first sample at or after a time.
func (h *headroom) index(at time.Duration) int {
	i, _ := slices.BinarySearchFunc(h.samples, at, func(s sample, at time.Duration) int {
		return int(s.at - at)
	})
	return i
}

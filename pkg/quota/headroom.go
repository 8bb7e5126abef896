package quota

import (
	"slices"
	"time"
)

// maxHeadroomSamples bounds the memory of one bucket's history. When it is full,
// the two oldest samples are merged, which can only lower the returned minimum.
const maxHeadroomSamples = 64

// headroomHistory stores the headroom of a bucket over time and returns its
// minimum since a given time. It keeps only the suffix minima of the samples: a
// new sample replaces all earlier ones that are not smaller.
type headroomHistory struct {
	samples []sample // ascending in both time and value
}

type sample struct {
	at    time.Duration
	value float64
}

// record adds a sample. If at is before the newest sample, the time of that sample
// is used instead.
func (h *headroomHistory) record(at time.Duration, value float64) {
	n := len(h.samples)
	if n > 0 {
		at = max(at, h.samples[n-1].at)
	}
	for n > 0 && h.samples[n-1].value >= value {
		n--
	}
	h.samples = append(h.samples[:n], sample{at, value})
	if len(h.samples) > maxHeadroomSamples {
		h.samples[0].at = h.samples[1].at
		h.samples = slices.Delete(h.samples, 1, 2)
	}
}

// minSince returns the smaller of current and the smallest sample at or after a
// time, but at least 0.
func (h *headroomHistory) minSince(at time.Duration, current float64) float64 {
	if i := h.indexAt(at); i < len(h.samples) {
		current = min(current, h.samples[i].value)
	}
	return max(0, current)
}

// consume records that tokens were credited as if they had been in the bucket since
// a time, so that another credit cannot use the same headroom.
func (h *headroomHistory) consume(at time.Duration, tokens float64) {
	i := h.indexAt(at)
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

// indexAt returns the position of the first sample at or after a time.
func (h *headroomHistory) indexAt(at time.Duration) int {
	i, _ := slices.BinarySearchFunc(h.samples, at, func(s sample, at time.Duration) int {
		return int(s.at - at)
	})
	return i
}

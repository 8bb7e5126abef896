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

func (h *headroom) add(at time.Duration, value float64) {
	n := len(h.samples)
	for n > 0 && h.samples[n-1].value >= value {
		n--
	}
	h.samples = append(h.samples[:n], sample{at, value})
	if len(h.samples) > headroomSamples {
		h.samples[0].at = h.samples[1].at
		h.samples = slices.Delete(h.samples, 1, 2)
	}
}

// since returns the smallest sample at or after a time, 0 when there is none.
func (h *headroom) since(at time.Duration) float64 {
	i, _ := slices.BinarySearchFunc(h.samples, at, func(s sample, at time.Duration) int {
		return int(s.at - at)
	})
	if i == len(h.samples) {
		return 0
	}
	return max(0, h.samples[i].value)
}
